// Package relay carries the sub-requests of a query to backend servers in
// another region through a VM there. That VM merges the parts, so that one
// short answer crosses the regions instead of every part with its headers.
//
// The origin chooses the backend servers and keeps all decisions on hedges and
// retries; the relay makes one attempt at each.
package relay

import (
	"fmt"
	"time"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/upstream"
)

// Path is where a VM takes requests of other VMs; a GET only opens a connection.
const Path = "/relay"

// request asks a VM to send one request to several backend servers.
type request struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Head   []byte `json:"head"`
	Body   []byte `json:"body,omitempty"`
	// Backends are the ids of the backend servers, one a part.
	Backends []string `json:"backends"`
	// Limit is how many records are wanted at most.
	Limit int `json:"limit"`
	// LeftMS is how much time is left, and FlushMS when the parts that are in
	// are sent although others are not; later parts follow one by one.
	LeftMS  int64 `json:"left_ms"`
	FlushMS int64 `json:"flush_ms"`
}

// batch is a line of the answer: some parts, merged.
type batch struct {
	Parts []part `json:"parts"`
	// Records are the greatest records of the parts that were served.
	Records []byte `json:"records,omitempty"`
	// ElapsedUS is the time since the request arrived, in microseconds.
	ElapsedUS int64 `json:"elapsed_us"`
}

// part is the end of one attempt.
type part struct {
	// Index counts the backend servers of the request.
	Index   int              `json:"i"`
	Verdict upstream.Verdict `json:"v"`
	// Signature is the backend server's signature of a served part.
	Signature string `json:"s,omitempty"`
	// Error says why there is no reply; Unsent that nothing was sent, and Down
	// that no connection could be opened.
	Error  string `json:"e,omitempty"`
	Unsent bool   `json:"u,omitempty"`
	Down   bool   `json:"d,omitempty"`
	// Load is what the backend server reports with a reply: running and waiting
	// requests, and slots; empty if none wait, or if it reports nothing.
	Load []int `json:"l,omitempty"`
}

// StatusError reports a relay that did not take a request.
type StatusError struct {
	Address string
	Status  int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("relay at %s: status %d", e.Address, e.Status)
}

// IncompleteError reports an answer that ended before all parts were in.
type IncompleteError struct{ Address string }

func (e *IncompleteError) Error() string { return "relay at " + e.Address + ": answer ended early" }

// PartError is what a relay reports of an attempt without a reply.
type PartError struct{ Text string }

func (e *PartError) Error() string { return "at the relay: " + e.Text }

// Transport sends attempts at the relay; upstream.Client implements it.
type Transport interface {
	Send(b *config.Backend, req *upstream.Request, deadline time.Time, tag int, results chan<- upstream.Result) upstream.Attempt
}

// Backends finds the backend server with an id that may get work; it is
// implemented by discovery.Registry.
type Backends interface {
	Usable(id string, now time.Time) (*config.Backend, bool)
}
