// Package relay sends the sub-requests of a query to backend servers in another
// availability zone through a VM there, the relay. The relay merges the replies,
// so that one short response travels between the zones instead of every reply
// with its headers.
//
// The VM that received the query, the origin, chooses the backend servers and
// decides on hedges and retries; the relay makes one attempt at each server.
// The outcome of an attempt is a part of the response. The relay sends the
// parts in batches, each with the merged records of its parts.
package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/upstream"
)

// Path is the HTTP path at which a VM relays requests of other VMs. A GET only
// opens a connection.
const Path = "/relay"

// request asks a relay to send one request to several backend servers.
type request struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Head   []byte `json:"head"`
	Body   []byte `json:"body,omitempty"`
	// Backends holds the ids of the backend servers, one for each part.
	Backends []string `json:"backends"`
	// Limit is the maximum number of records in the merged result.
	Limit int `json:"limit"`
	// RemainingMS is the time left until the deadline, and FlushMS how long the
	// relay collects parts before it sends them, both in milliseconds. It sends
	// the collected parts earlier when one has failed or all have arrived. After
	// FlushMS it sends each part as it arrives.
	RemainingMS int64 `json:"left_ms"`
	FlushMS     int64 `json:"flush_ms"`
}

// batch is one line of the response: some parts with their records merged.
type batch struct {
	Parts []part `json:"parts"`
	// Records holds the greatest records of the served parts.
	Records []byte `json:"records,omitempty"`
	// ElapsedUS is the time since the relay received the request, in
	// microseconds.
	ElapsedUS int64 `json:"elapsed_us"`
}

// part is the outcome of one attempt.
type part struct {
	// Index is the position of the backend server in the request's Backends.
	Index   int              `json:"i"`
	Verdict upstream.Verdict `json:"v"`
	// Signature is the backend server's signature over a served part.
	Signature string `json:"s,omitempty"`
	// Error is the reason if there is no reply. Unsent is set if the request was
	// not sent, and Unreachable if no connection could be opened.
	Error       string `json:"e,omitempty"`
	Unsent      bool   `json:"u,omitempty"`
	Unreachable bool   `json:"d,omitempty"`
	// Load is the load that the backend server reports in a reply: running
	// requests, waiting requests and slots. It is empty if no request waits or
	// the server reports no load.
	Load []int `json:"l,omitempty"`
	// Leaving and PauseMS are the notice in the backend server's reply, or the one
	// for which the relay sent nothing; the pause is in milliseconds.
	Leaving bool  `json:"x,omitempty"`
	PauseMS int64 `json:"p,omitempty"`
}

func (p *part) setNotice(n upstream.Notice) { p.Leaving, p.PauseMS = n.Leaving, n.Pause.Milliseconds() }

func (p *part) notice() upstream.Notice {
	return upstream.Notice{Leaving: p.Leaving, Pause: time.Duration(p.PauseMS) * time.Millisecond}
}

// StatusError reports a relay that rejected a request.
type StatusError struct {
	Address string
	Status  int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("relay at %s: status %d", e.Address, e.Status)
}

// IncompleteError reports a relay's response that ended before all parts had
// arrived.
type IncompleteError struct{ Address string }

func (e *IncompleteError) Error() string { return "relay at " + e.Address + ": response ended early" }

// PartError is the error that a relay reports for an attempt without a reply.
type PartError struct{ Text string }

func (e *PartError) Error() string { return "at the relay: " + e.Text }

// AbandonedSeconds returns the histogram of the time in seconds from when nobody
// awaited an attempt any more to its end. path is "direct" or "relayed" at the
// origin, and "relay" at the relay.
func AbandonedSeconds(set *metrics.Set, path string) *metrics.Histogram {
	return set.GetOrCreateHistogram(fmt.Sprintf("briarstand_entry_abandoned_attempt_seconds{path=%q}", path))
}

// Transport sends attempts to backend servers on behalf of a Handler;
// upstream.Client implements it.
type Transport interface {
	Send(b *config.Backend, req *upstream.Request, deadline time.Time, tag int, results chan<- upstream.Result) upstream.Attempt
}

// Backends looks up a backend server by id and reports whether requests may be
// sent to it; discovery.Registry implements it.
type Backends interface {
	Usable(id string, now time.Time) (*config.Backend, bool)
}
