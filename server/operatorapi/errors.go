package operatorapi

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/config/command"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/kvstore"
)

// MissingFieldError reports a request without a required field.
type MissingFieldError struct {
	Field string
}

func (e *MissingFieldError) Error() string { return e.Field + " is missing from the request" }

// BusyError reports a request that was refused because the limit on concurrent
// requests was reached.
type BusyError struct {
	Limit int
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("%d operator requests are running, which is the limit; this call changed nothing, try again", e.Limit)
}

// PanicError reports a request whose handler panicked. Whether it changed
// anything is unknown.
type PanicError struct {
	Procedure string
}

func (e *PanicError) Error() string {
	return fmt.Sprintf("%s failed by an internal error; its result is unknown, send a change again with the same change id", e.Procedure)
}

// connectError maps an error to a Connect code, and adds to the message what
// the operator can do.
func connectError(err error) *connect.Error {
	var mapped *connect.Error
	if errors.As(err, &mapped) {
		return mapped
	}
	// Check for an unknown result first. It may wrap any of the other errors, and
	// their messages would tell the operator that the call changed nothing.
	var unknown *kvstore.UnknownResultError
	if errors.As(err, &unknown) {
		return connect.NewError(connect.CodeUnknown,
			fmt.Errorf("the change may or may not have taken effect; send it again with the same change id: %w", err))
	}
	if mapped := inputError(err); mapped != nil {
		return mapped
	}
	if mapped := platformError(err); mapped != nil {
		return mapped
	}
	switch {
	case errors.Is(err, context.Canceled):
		return connect.NewError(connect.CodeCanceled, err)
	case errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewError(connect.CodeInternal, err)
}

// inputError maps the errors that the request itself or the limit on concurrent
// requests causes, and returns nil for others.
func inputError(err error) *connect.Error {
	var (
		conflict *command.ConflictError
		exists   *command.ExistsError
		notFound *config.NotFoundError
		reused   *command.ChangeIDReusedError
		field    *config.FieldError
		missing  *MissingFieldError
		busy     *BusyError
	)
	switch {
	case errors.As(err, &conflict):
		return withDetail(connect.NewError(connect.CodeAborted, err), &briarstandv1.Conflict{
			Service: conflict.Service, ExpectedRevision: conflict.Expected, ActualRevision: conflict.Actual,
		})
	case errors.As(err, &exists):
		return withDetail(connect.NewError(connect.CodeAlreadyExists, err), &briarstandv1.Conflict{
			Service: exists.Service, ActualRevision: exists.Revision,
		})
	case errors.As(err, &notFound):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.As(err, &reused):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.As(err, &field), errors.As(err, &missing):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &busy):
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	return nil
}

// platformError maps the errors of the key-value service, and returns nil for
// others.
func platformError(err error) *connect.Error {
	var (
		document    *config.DocumentError
		unavailable *kvstore.UnavailableError
		tooLarge    *kvstore.TooLargeError
	)
	switch {
	case errors.As(err, &document):
		return connect.NewError(connect.CodeDataLoss,
			fmt.Errorf("this call changed nothing; repair the key in the key-value service: %w", err))
	case errors.As(err, &unavailable):
		return connect.NewError(connect.CodeUnavailable,
			fmt.Errorf("this call changed nothing, the configuration in force stays; try again when the key-value service answers: %w", err))
	case errors.As(err, &tooLarge):
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return nil
}

func withDetail(err *connect.Error, detail proto.Message) *connect.Error {
	d, detailErr := connect.NewErrorDetail(detail)
	if detailErr == nil {
		err.AddDetail(d)
	}
	return err
}
