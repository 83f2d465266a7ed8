// Package backend carries sub-requests from a VM to backend servers and their
// replies back, over one gRPC stream per backend server. Package server uses it;
// package entry reaches its backend servers over HTTP/1.1 with package upstream.
package backend

import (
	"fmt"
	"time"

	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// Status is the outcome of a sub-request. The zero value is invalid, so that a
// Reply without a status never counts as a success.
type Status int

// Statuses of a sub-request.
const (
	// OK means that the reply carries the hits of the shard.
	OK Status = iota + 1
	// Shed means that the backend server refused because it is overloaded.
	Shed
	// Draining means that the backend server refused the sub-request because it
	// is draining, or that the sub-request was not written because the server had
	// announced a drain.
	Draining
	// VersionMissing means that the backend server lacks the index version or
	// the shard.
	VersionMissing
	// Expired means that the deadline passed before the sub-request was written
	// or before the backend server started it.
	Expired
	// Cancelled means that the sub-request was cancelled before it was written,
	// or before the backend server started it, as the server reports.
	Cancelled
	// Unsent means that the sub-request was never written to the stream.
	Unsent
	// Failed means that the backend server reported a failure, or that no valid
	// reply arrived in time. The sub-request may have run.
	Failed
	// StreamBroken means that the stream ended after the sub-request was
	// written and before its reply arrived. The sub-request may have run.
	StreamBroken
)

var statusNames = [...]string{
	OK:             "ok",
	Shed:           "shed",
	Draining:       "draining",
	VersionMissing: "version_missing",
	Expired:        "expired",
	Cancelled:      "cancelled",
	Unsent:         "unsent",
	Failed:         "failed",
	StreamBroken:   "stream_broken",
}

// String returns the name of the status as used in metrics and logs.
func (s Status) String() string {
	if s < OK || int(s) >= len(statusNames) {
		return fmt.Sprintf("status(%d)", int(s))
	}
	return statusNames[s]
}

// NotRun reports whether a sub-request with this status provably did not run.
func (s Status) NotRun() bool {
	switch s {
	case Shed, Draining, VersionMissing, Expired, Cancelled, Unsent:
		return true
	}
	return false
}

// Request is a sub-request for one shard. It must not be modified after Send,
// and several Sends may share it.
type Request struct {
	Service, IndexVersion string
	Shard                 int
	Deadline              time.Time
	Body                  []byte
	// Limit is the maximum number of hits.
	Limit         int
	NonIdempotent bool
	// RequestID is the caller's request id or ticket, for the backend server's
	// own records.
	RequestID string
}

// Reply is the result of a sub-request.
type Reply struct {
	Status Status
	// IndexVersion and Shard are what the backend server searched. They are set
	// when Status is OK, and then equal those of the request.
	IndexVersion string
	Shard        int
	Hits         []*briarstandv1.Hit
	// Err is nil when Status is OK; otherwise it is the reason.
	Err error
}

// Sink receives replies. Deliver is called exactly once for each Send, never
// from within Send or Cancel, and must not block, because it delays the replies
// of other queries.
type Sink interface {
	Deliver(tag int, r Reply)
}

// Call is a sub-request that was passed to Transport.Send.
type Call interface {
	// Cancel cancels the sub-request. It is idempotent. The sink still gets
	// exactly one reply: Cancelled if the sub-request was not yet written (it is
	// then never written), StreamBroken or Failed if it was written and no reply
	// arrives, and otherwise the reply of the backend server.
	Cancel()
}

// Transport sends sub-requests to backend servers.
type Transport interface {
	// Send queues a sub-request. It never blocks.
	Send(b *config.Backend, req *Request, tag int, sink Sink) Call
	// Draining reports whether the backend server itself announced a drain.
	Draining(backendID string) bool
	// Load returns the load that the backend server last reported, between 0
	// and 1, and the age of the report. ok is false if there is no report.
	Load(backendID string) (load float64, age time.Duration, ok bool)
}
