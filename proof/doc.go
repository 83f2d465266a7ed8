// Package proof tests the guarantees of docs/design.md, section 1.2, with real
// processes and injected faults. docs/proofs.md lists the tests. They check the
// records of the stand-ins, never what a daemon reports of itself.
package proof
