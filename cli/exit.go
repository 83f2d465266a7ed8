package cli

import (
	"errors"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// Exit codes of briarstand. They are listed in docs/cli.md.
const (
	ExitOK               = 0
	ExitError            = 1
	ExitUsage            = 2
	ExitConflict         = 3
	ExitNotAccepted      = 4
	ExitPartial          = 5
	ExitNotRun           = 6
	ExitUnknown          = 7
	ExitDeadlineExceeded = 8
	ExitUnavailable      = 9
)

// Error is the error of a command with its exit code and advice on what to do
// next.
type Error struct {
	Code int
	Err  error
	// Next is the advice, printed after the error; it may be empty.
	Next string
}

func (e *Error) Error() string { return e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

// usageError returns an error for invalid arguments or input.
func usageError(next, format string, args ...any) error {
	return &Error{Code: ExitUsage, Err: fmt.Errorf(format, args...), Next: next}
}

// UnreachableError reports that none of the addresses answered.
type UnreachableError struct {
	API       string
	Addresses []string
	// Sent is true if a request may have reached a VM before its answer was lost.
	Sent bool
	Err  error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from the %s API at %s: %v", e.API, strings.Join(e.Addresses, ", "), e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// classify returns err if it is an *Error, and otherwise wraps it in one, with an
// exit code and advice that depend on the kind of error.
func classify(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		return &Error{Code: ExitUnavailable, Err: err,
			Next: "check the address (see --help for its option) and that the VM runs: its admin API answers /readyz"}
	}
	var rpc *connect.Error
	if errors.As(err, &rpc) {
		return classifyRPC(rpc)
	}
	return &Error{Code: ExitError, Err: err}
}

func classifyRPC(err *connect.Error) *Error {
	if c, ok := conflictOf(err); ok && err.Code() == connect.CodeAlreadyExists {
		return &Error{Code: ExitConflict, Err: fmt.Errorf("service %s exists at revision %d; nothing was written", c.Service, c.ActualRevision),
			Next: fmt.Sprintf("use \"briarstand service update %s --revision %d\" to change it", c.Service, c.ActualRevision)}
	} else if ok {
		return &Error{Code: ExitConflict, Err: conflictError(c), Next: conflictAdvice(c)}
	}
	e := &Error{Code: ExitError, Err: fmt.Errorf("%s: %w", strings.ReplaceAll(err.Code().String(), "_", " "), rpcMessage{err})}
	switch err.Code() {
	case connect.CodeAborted:
		e.Code, e.Next = ExitConflict, "read the service again, apply the change to what you read, and try again"
	case connect.CodeInvalidArgument, connect.CodeOutOfRange:
		e.Code, e.Next = ExitUsage, "correct the value that is named and try again"
	case connect.CodeNotFound:
		e.Next = "\"briarstand service list\" shows the services that exist"
	case connect.CodeUnavailable:
		e.Code, e.Next = ExitUnavailable, "this call changed nothing; try again later or at another VM"
	case connect.CodeResourceExhausted:
		e.Code, e.Next = ExitUnavailable, "send less, or try again later or at another VM"
	case connect.CodeDeadlineExceeded:
		e.Code, e.Next = ExitDeadlineExceeded, "try again with a longer --timeout"
	}
	return e
}

// rpcMessage is an RPC error without the code that connect puts before the
// message.
type rpcMessage struct{ err *connect.Error }

func (m rpcMessage) Error() string { return m.err.Message() }

func (m rpcMessage) Unwrap() error { return m.err }

func conflictOf(err *connect.Error) (*briarstandv1.Conflict, bool) {
	for _, d := range err.Details() {
		v, derr := d.Value()
		if derr != nil {
			continue
		}
		if c, ok := v.(*briarstandv1.Conflict); ok {
			return c, true
		}
	}
	return nil, false
}

func conflictError(c *briarstandv1.Conflict) error {
	return fmt.Errorf("conflict: service %s is at revision %d, but the change was based on revision %d; nothing was written",
		c.Service, c.ActualRevision, c.ExpectedRevision)
}

func conflictAdvice(c *briarstandv1.Conflict) string {
	return fmt.Sprintf("run \"briarstand audit %s\" to see the change that came first and \"briarstand service get %s --spec\" to read revision %d, "+
		"apply your change to it, and try again with --revision %d",
		c.Service, c.Service, c.ActualRevision, c.ActualRevision)
}
