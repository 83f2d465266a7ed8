// Package upstream sends requests to backend servers over HTTP/1.1 and reads
// their replies. An attempt writes its request at most once: unlike net/http,
// the client never retries on its own. Its Client belongs to the daemon of
// package entry; package server's daemon uses backend.Pool, which sends
// sub-requests over streams.
package upstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/briarstand/briarstand/limit"
)

// Request is a caller's request in the form that is sent to backend servers.
// All attempts share it, so it must not be modified once the first has started.
type Request struct {
	Method string
	// Head holds the request line and the headers common to all attempts,
	// without the terminating blank line.
	Head []byte
	Body []byte
	// ID is the request id that the caller set.
	ID string
	// MaxReplyBytes is the maximum size of a reply body in bytes; 0 means
	// DefaultMaxReplyBytes.
	MaxReplyBytes int64
}

// Verdict classifies a reply.
type Verdict int

// Verdicts that Protocol.Classify assigns.
const (
	// Served is a success with a body that the backend server signed.
	Served Verdict = iota + 1
	// Failed is an error status of the backend server, which may have run the
	// request.
	Failed
	// NotRun means that the backend server rejected the request without running
	// it.
	NotRun
	// WrongServer means that a different backend server answered at the address
	// and did not run the request.
	WrongServer
	// Untrusted is a reply to a different request, or one of unknown origin
	// that must not be forwarded.
	Untrusted
)

var verdictNames = [...]string{Served: "served", Failed: "failed", NotRun: "not_run", WrongServer: "other_server", Untrusted: "foreign"}

// Valid reports whether v is one of the verdicts above.
func (v Verdict) Valid() bool { return v >= Served && int(v) < len(verdictNames) }

func (v Verdict) String() string {
	if !v.Valid() {
		return fmt.Sprintf("verdict(%d)", int(v))
	}
	return verdictNames[v]
}

// Load is the load that a backend server reports in a reply: its running and
// waiting requests, and its slots, the number of requests that it runs at the
// same time. Known is false if the reply reports no load.
type Load struct {
	Running, Waiting, Slots int
	Known                   bool
}

// Reply is a complete reply of a backend server.
type Reply struct {
	Status  int
	Header  http.Header
	Body    []byte
	Verdict Verdict
	// Signature is the backend server's signature over its reply.
	Signature string
	Load      Load
	// Notice is what the server says about itself; empty if that may come from
	// another server.
	Notice Notice
	// Identified is set if the reply carries the id of its request.
	Identified bool
	// Latency is the time from the start of the request's write to the last byte
	// of the reply.
	Latency time.Duration

	memory   *limit.Memory
	reserved int64 // bytes reserved from memory
}

// Protocol encodes and decodes the headers exchanged with backend servers.
type Protocol interface {
	// AppendAttempt appends the headers of one attempt: the remaining time until
	// its deadline and the id of its backend server.
	AppendAttempt(head []byte, remaining time.Duration, backendID string) []byte
	// Classify sets Verdict, Signature, Load, Notice and Identified of a reply to
	// req.
	Classify(reply *Reply, req *Request)
}

// UnsentError reports an attempt whose request was not written and therefore
// did not run.
type UnsentError struct {
	Backend string
	Err     error
	// Unreachable is set if no connection to the backend server could be
	// opened.
	Unreachable bool
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("backend server %s: not sent: %v", e.Backend, e.Err)
}

func (e *UnsentError) Unwrap() error { return e.Err }

// IncompleteReplyError reports an attempt without a complete reply. The backend
// server may have run the request.
type IncompleteReplyError struct {
	Backend string
	Err     error
}

func (e *IncompleteReplyError) Error() string {
	return fmt.Sprintf("backend server %s: no whole reply: %v", e.Backend, e.Err)
}

func (e *IncompleteReplyError) Unwrap() error { return e.Err }

// BodyTooLargeError reports a reply body that exceeds the limit of its request,
// in bytes.
type BodyTooLargeError struct{ Limit int64 }

func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("reply body exceeds %d bytes", e.Limit)
}

// StatusError reports a reply whose status cannot end a request: one below 200 that is
// not an interim reply, or one that HTTP does not define.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("reply has status %d", e.Status) }

// HeadTooLargeError reports a reply whose status line and headers exceed a limit.
type HeadTooLargeError struct {
	What  string // unit of Limit: bytes, lines or interim replies
	Limit int
}

func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("reply head has more than %d %s", e.Limit, e.What)
}

// NotSent reports whether err means that the request was not sent, so that the
// backend server cannot have run it.
func NotSent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}

// DialFailed reports whether err is a failure to open a connection.
func DialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Unreachable reports whether err means that no connection to the backend
// server could be opened.
func Unreachable(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent) && unsent.Unreachable
}

// Result is the outcome of one attempt: a reply or an error.
type Result struct {
	Tag   int
	Reply *Reply
	Err   error
	// Batch holds the results of other attempts whose outcomes a relay reported
	// together with this one. The relay has merged the records of all served
	// replies among this result and Batch. They are in the Body of the first
	// served reply, and the bodies of the other replies are empty. So the
	// consumer has to use all of these replies or none.
	Batch []Result
}

// Attempt is an attempt in flight.
type Attempt interface {
	// Abandon declares that the reply is no longer needed. The attempt is still
	// awaited for grace, so that its connection can be reused if the reply comes,
	// and then ended. It yields its result in any case. A further call can only
	// end the attempt earlier.
	Abandon(grace time.Duration)
}
