package backend

import (
	"errors"
	"fmt"
	"time"
)

// ErrClosed reports a sub-request that was sent through a closed pool.
var ErrClosed = errors.New("pool is closed")

// StatusError reports a sub-request that the backend server answered with a
// status other than OK.
type StatusError struct {
	Backend string
	Status  Status
	Message string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server %s answered %s: %s", e.Backend, e.Status, e.Message)
}

// DrainingError reports a sub-request that was not written because the backend
// server had announced a drain.
type DrainingError struct{ Backend string }

func (e *DrainingError) Error() string {
	return fmt.Sprintf("backend server %s is draining", e.Backend)
}

// QueueFullError reports a sub-request that found the queue of its stream full.
type QueueFullError struct {
	Backend string
	Limit   int
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("queue of backend server %s is full: limit of %d sub-requests", e.Backend, e.Limit)
}

// TooLargeError reports a sub-request whose body exceeds the message limit.
type TooLargeError struct {
	Backend     string
	Size, Limit int // bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("body of %d bytes for backend server %s exceeds the limit of %d bytes", e.Size, e.Backend, e.Limit)
}

// UnavailableError reports a sub-request that was not written because there is
// no stream to the backend server.
type UnavailableError struct {
	Backend string
	Err     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no stream to backend server %s: %v", e.Backend, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// ConnectError reports a failure to connect or to open the stream.
type ConnectError struct {
	Backend, Address string
	Err              error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to backend server %s at %s: %v", e.Backend, e.Address, e.Err)
}

func (e *ConnectError) Unwrap() error { return e.Err }

// StreamError reports a stream that ended while sub-requests waited for their
// replies.
type StreamError struct {
	Backend string
	Err     error
}

func (e *StreamError) Error() string {
	return fmt.Sprintf("stream to backend server %s broke: %v", e.Backend, e.Err)
}

func (e *StreamError) Unwrap() error { return e.Err }

// SilentError is the reason for closing a stream that received nothing while
// replies were overdue.
type SilentError struct{ For time.Duration }

func (e *SilentError) Error() string {
	return fmt.Sprintf("nothing received for %s while replies were overdue", e.For)
}

// StaleWriteError is the reason for closing a stream instead of writing a
// message with a sub-request whose deadline has passed.
type StaleWriteError struct{ Late time.Duration }

func (e *StaleWriteError) Error() string {
	return fmt.Sprintf("deadline passed %s before the message could be written", e.Late)
}

// ExpiredError reports a sub-request whose deadline passed before it was
// written.
type ExpiredError struct{ Backend string }

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("deadline passed before the sub-request to backend server %s was written", e.Backend)
}

// CancelledError reports a sub-request that was cancelled before it was written.
type CancelledError struct{ Backend string }

func (e *CancelledError) Error() string {
	return fmt.Sprintf("cancelled before the sub-request to backend server %s was written", e.Backend)
}

// ReplyTimeoutError reports a written sub-request that got no reply until
// PoolConfig.ReplyGrace after its deadline.
type ReplyTimeoutError struct {
	Backend string
	After   time.Duration // since the sub-request was written
}

func (e *ReplyTimeoutError) Error() string {
	return fmt.Sprintf("no reply from backend server %s within %s", e.Backend, e.After)
}

// MismatchError reports a reply about another index version or shard than the
// requested ones.
type MismatchError struct {
	Backend                 string
	WantVersion, GotVersion string
	WantShard, GotShard     int
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("backend server %s answered for index version %q shard %d, requested %q shard %d",
		e.Backend, e.GotVersion, e.GotShard, e.WantVersion, e.WantShard)
}

// ProtocolError reports a reply that the protocol does not allow.
type ProtocolError struct {
	Backend string
	Detail  string
}

func (e *ProtocolError) Error() string {
	return fmt.Sprintf("backend server %s violated the protocol: %s", e.Backend, e.Detail)
}
