package query

import (
	"fmt"
	"time"
)

// NotAdmittedError reports that the VM may not admit new queries now, for
// example because its configuration is not known to be current.
type NotAdmittedError struct {
	Reason string
	// RetryAfter is the suggested delay before a retry, or 0.
	RetryAfter time.Duration
}

func (e *NotAdmittedError) Error() string { return "not admitted: " + e.Reason }

// InvalidRequestError reports a request that is malformed. Nothing ran.
type InvalidRequestError struct {
	Field  string
	Reason string
	Err    error
}

func (e *InvalidRequestError) Error() string {
	return fmt.Sprintf("invalid request: %s: %s", e.Field, e.Reason)
}

func (e *InvalidRequestError) Unwrap() error { return e.Err }

// UnknownServiceError reports a service that the current configuration does not
// contain. Nothing ran.
type UnknownServiceError struct{ Service string }

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("service %q does not exist", e.Service)
}

// DeadlinePassedError reports a request whose deadline had passed on arrival.
// Nothing ran.
type DeadlinePassedError struct{ Err error }

func (e *DeadlinePassedError) Error() string {
	return "the deadline of the request passed before it started"
}

func (e *DeadlinePassedError) Unwrap() error { return e.Err }
