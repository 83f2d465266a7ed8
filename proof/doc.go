// Package proof holds tests of the guarantees of docs/design.md, section 1.2,
// with real processes and injected faults. docs/proofs.md lists them. The
// records of the stand-ins, never the word of a daemon, decide.
package proof
