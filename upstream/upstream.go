// Package upstream sends requests to backend servers over HTTP/1.1 and reads
// their replies. A request is written at most once: unlike the standard client
// it never repeats one by itself.
package upstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/briarstand/briarstand/limit"
)

// Request is a caller's request as it is sent to backend servers. Several
// attempts share it; it must not be modified after the first.
type Request struct {
	Method string
	// Head is the request line and the header lines that every attempt has in
	// common, without the blank line.
	Head []byte
	Body []byte
	// ID is the caller's id of the request.
	ID string
	// MaxReply bounds the body of a reply in bytes; 0 for DefaultMaxReply.
	MaxReply int64
}

// Verdict says what a reply means.
type Verdict int

// Verdicts on a reply.
const (
	// Served is a success with the backend server's own bytes.
	Served Verdict = iota + 1
	// Failed is a failure of the backend server, which may have run the request.
	Failed
	// NotRun is a refusal: the request was not run.
	NotRun
	// OtherServer means that the address belongs to another backend server,
	// which did not run the request.
	OtherServer
	// Foreign is a reply to another request, or none that can be passed on.
	Foreign
)

var verdictNames = [...]string{Served: "served", Failed: "failed", NotRun: "not_run", OtherServer: "other_server", Foreign: "foreign"}

func (v Verdict) String() string {
	if v < Served || int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict(%d)", int(v))
	}
	return verdictNames[v]
}

// Load is the load that a backend server reports with a reply.
type Load struct {
	Running, Waiting, Slots int
	Known                   bool
}

// Reply is a whole reply of a backend server.
type Reply struct {
	Status  int
	Header  http.Header
	Body    []byte
	Verdict Verdict
	// Signature is the backend server's signature of its reply.
	Signature string
	Load      Load
	// Identified says that the reply names the request that it belongs to.
	Identified bool
	// Latency is the time from the write of the request to the whole reply.
	Latency time.Duration

	memory   *limit.Memory
	reserved int64 // bytes of memory
}

// Protocol translates what backend servers say in headers.
type Protocol interface {
	// AppendAttempt appends the header lines of one attempt: how much time is
	// left, and which backend server is meant.
	AppendAttempt(head []byte, left time.Duration, backendID string) []byte
	// Judge fills in Verdict, Signature, Load and Identified of a reply to a
	// request.
	Judge(reply *Reply, req *Request)
}

// UnsentError reports an attempt that was not written, so that it did not run.
type UnsentError struct {
	Backend string
	Err     error
	// Down says that no connection to the backend server could be opened.
	Down bool
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("backend server %s: not sent: %v", e.Backend, e.Err)
}

func (e *UnsentError) Unwrap() error { return e.Err }

// BrokenError reports an attempt without a whole reply. It may have run.
type BrokenError struct {
	Backend string
	Err     error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("backend server %s: no whole reply: %v", e.Backend, e.Err)
}

func (e *BrokenError) Unwrap() error { return e.Err }

// BodyTooLargeError reports a reply above the limit of its request.
type BodyTooLargeError struct{ Limit int64 }

func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("reply body exceeds %d bytes", e.Limit)
}

// HeadTooLargeError reports a reply whose head does not end within the bounds.
type HeadTooLargeError struct {
	What  string // what there is too much of
	Limit int
}

func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("reply head has more than %d %s", e.Limit, e.What)
}

// NotSent reports whether an error says that nothing was sent.
func NotSent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}

// DialFailed reports whether an error says that a connection was not opened.
func DialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Unreachable reports whether no connection to the backend server could be
// opened.
func Unreachable(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent) && unsent.Down
}

// Result is the end of one attempt: a reply or an error.
type Result struct {
	Tag   int
	Reply *Reply
	Err   error
	// Group holds more attempts that ended in the same message. Their records
	// are merged into the body of the first served reply, so that either all of
	// them are used or none.
	Group []Result
}

// Attempt is an attempt in progress.
type Attempt interface {
	// Abandon says that the reply is no longer needed.
	Abandon()
}
