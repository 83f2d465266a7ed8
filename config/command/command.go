// Package command changes the configuration of services. Every change is one
// compare-and-swap that writes the document together with its audit record.
// Changes are idempotent: the change id identifies a change in the audit trail
// when a call is repeated or the store's reply to it was lost.
package command

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"time"
	"unicode"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/kvstore"
)

// Actions in audit records.
const (
	ActionCreate  = "create"
	ActionUpdate  = "update"
	ActionDelete  = "delete"
	ActionDrain   = "drain"
	ActionRestore = "restore"
)

const (
	// maxAttempts is the maximum number of attempts of one change. Each attempt
	// starts from the newest document, so a concurrent change makes at most one of
	// them fail.
	maxAttempts = 32
	// retryDelay is the increment of the linear backoff between attempts, which
	// is at most maxRetryDelay.
	retryDelay    = 5 * time.Millisecond
	maxRetryDelay = 100 * time.Millisecond

	maxChangeIDBytes = 128
	maxOperatorBytes = 256
	maxReasonBytes   = 2048
)

// Change identifies a change, its operator, its reason and the revision that it
// is based on.
type Change struct {
	// ID identifies the change. A repeated call with the same ID returns the
	// result of the first and changes nothing.
	ID       string
	Operator string
	Reason   string
	// ExpectedRevision is the revision that the change is based on; 0 for
	// Create. For Drain and Restore, 0 means the newest.
	ExpectedRevision int64
}

// Writer changes the configuration. It is safe for concurrent use.
type Writer struct {
	store kvstore.Store
	clock func() time.Time
	// maxEmbedded is the maximum number of audit records in a document.
	maxEmbedded int
}

// New returns a Writer for a store. The clock gives the time of audit records.
func New(store kvstore.Store, clock func() time.Time) *Writer {
	return &Writer{store: store, clock: clock, maxEmbedded: maxEmbedded}
}

// edit is a change of a service, with functions that apply it and that recognize
// its result.
type edit struct {
	service string
	action  string
	change  Change
	// defaultToNewest means that an expected revision of 0 stands for the newest one.
	defaultToNewest bool
	// apply returns the state after the change. current is the newest document,
	// or nil if the service never existed.
	apply func(current *config.Service) (*config.Service, error)
	// matches reports whether an earlier state is the result of this same change.
	matches func(earlier *config.Service) bool
}

// Create adds a service. A service that was deleted can be created again. It
// returns an *ExistsError if the service exists.
func (w *Writer) Create(ctx context.Context, svc *config.Service, change Change) (*config.Service, error) {
	next, err := normalizeDeclaration(svc)
	if err != nil {
		return nil, err
	}
	return w.run(ctx, edit{
		service: next.Name, action: ActionCreate, change: change, matches: sameSpec(next),
		apply: func(current *config.Service) (*config.Service, error) {
			if current != nil && !current.Deleted {
				return nil, &ExistsError{Service: current.Name, Revision: current.Revision}
			}
			return next, nil
		},
	})
}

// Update replaces the declaration of a service. It returns a *NotFoundError if the
// service does not exist, and a *ConflictError if the change is based on an
// outdated revision.
func (w *Writer) Update(ctx context.Context, svc *config.Service, change Change) (*config.Service, error) {
	next, err := normalizeDeclaration(svc)
	if err != nil {
		return nil, err
	}
	return w.run(ctx, edit{
		service: next.Name, action: ActionUpdate, change: change, matches: sameSpec(next),
		apply: func(current *config.Service) (*config.Service, error) {
			return next, requireLive(next.Name, current)
		},
	})
}

// Delete replaces the document of a service by a tombstone. It fails like Update.
func (w *Writer) Delete(ctx context.Context, name string, change Change) (*config.Service, error) {
	return w.run(ctx, edit{
		service: name, action: ActionDelete, change: change,
		matches: func(earlier *config.Service) bool { return earlier.Deleted },
		apply: func(current *config.Service) (*config.Service, error) {
			return &config.Service{Name: name, Deleted: true}, requireLive(name, current)
		},
	})
}

// Drain marks a backend server as draining, so that it gets no new requests. It
// fails like Update, and with a *NotFoundError also if the service lacks the
// backend server.
func (w *Writer) Drain(ctx context.Context, service, backendID string, change Change) (*config.Service, error) {
	return w.setDraining(ctx, service, backendID, ActionDrain, true, change)
}

// Restore ends the draining of a backend server. It fails like Drain.
func (w *Writer) Restore(ctx context.Context, service, backendID string, change Change) (*config.Service, error) {
	return w.setDraining(ctx, service, backendID, ActionRestore, false, change)
}

func (w *Writer) setDraining(ctx context.Context, service, backendID, action string, draining bool, change Change) (*config.Service, error) {
	return w.run(ctx, edit{
		service: service, action: action, change: change, defaultToNewest: true,
		matches: func(earlier *config.Service) bool {
			b, ok := earlier.Backend(backendID)
			return ok && b.Draining == draining
		},
		apply: func(current *config.Service) (*config.Service, error) {
			if err := requireLive(service, current); err != nil {
				return nil, err
			}
			next := *current
			next.Backends = append([]config.Backend(nil), current.Backends...)
			b, ok := next.Backend(backendID)
			if !ok {
				return nil, &NotFoundError{Service: service, Backend: backendID, Revision: current.Revision}
			}
			b.Draining = draining
			return &next, nil
		},
	})
}

// normalizeDeclaration normalizes and validates a declaration and clears the
// fields that only the store and Writer set.
func normalizeDeclaration(svc *config.Service) (*config.Service, error) {
	next := config.Normalize(svc)
	next.Revision, next.ChangeID, next.Deleted = 0, "", false
	next.Audit, next.NewestChunk = nil, 0
	return next, config.Validate(next)
}

// sameSpec returns a function that reports whether a state has the spec of next.
func sameSpec(next *config.Service) func(*config.Service) bool {
	return func(earlier *config.Service) bool {
		return !earlier.Deleted && earlier.Policy == next.Policy &&
			equalLists(earlier.Backends, next.Backends) && equalLists(earlier.Versions, next.Versions)
	}
}

// equalLists reports whether two lists are equal. A nil list equals an empty one.
func equalLists[T any](a, b []T) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}

// requireLive returns a *NotFoundError if the service does not exist or was
// deleted.
func requireLive(name string, current *config.Service) error {
	switch {
	case current == nil:
		return &NotFoundError{Service: name}
	case current.Deleted:
		return &NotFoundError{Service: name, Revision: current.Revision}
	}
	return nil
}

// run applies an edit to the newest document and writes the result with
// compare-and-swap. After a conflict or a lost reply it reads the document again:
// if the change is in the audit trail, it took effect.
func (w *Writer) run(ctx context.Context, e edit) (*config.Service, error) {
	if err := e.validate(); err != nil {
		return nil, err
	}
	// unknown is the error of an earlier attempt whose reply was lost. If it is
	// set, the change may have taken effect. Only an error that proves the
	// opposite may then be returned as it is (see finalError).
	var unknown *kvstore.UnknownResultError
	for attempt := 1; ; attempt++ {
		written, err := w.attempt(ctx, e)
		if err == nil || !shouldRetry(err, e, attempt, &unknown) {
			return written, finalError(e, err, unknown)
		}
		if err := backoff(ctx, attempt); err != nil {
			return nil, finalError(e, err, unknown)
		}
	}
}

// shouldRetry reports whether another attempt can help, and records a lost reply
// in unknown.
func shouldRetry(err error, e edit, attempt int, unknown **kvstore.UnknownResultError) bool {
	if lost := (*kvstore.UnknownResultError)(nil); errors.As(err, &lost) {
		*unknown = lost
		return attempt < maxAttempts
	}
	// After a conflict, the next attempt reads the document again, which shows
	// whether an earlier attempt took effect and gives the newest revision for
	// the error.
	var conflict *kvstore.ConflictError
	return errors.As(err, &conflict) && attempt < maxAttempts
}

// finalError returns the error of the whole change. If the result of an earlier
// attempt is unknown, that is a *kvstore.UnknownResultError, unless err proves that
// the earlier attempt had no effect.
func finalError(e edit, err error, unknown *kvstore.UnknownResultError) error {
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
		return nil
	case unknown != nil && !provesNoEffect(err):
		return &kvstore.UnknownResultError{Key: unknown.Key, Err: err}
	case errors.As(err, &conflict):
		return &ConflictError{Service: e.service, Expected: e.change.ExpectedRevision, Actual: conflict.Actual}
	}
	return err
}

// provesNoEffect reports whether an error proves that an earlier attempt did not
// take effect. Such an error comes from reading a document that lacks the change
// and whose revision is above the one that the attempt was based on. The attempt
// therefore cannot take effect later either.
func provesNoEffect(err error) bool {
	var conflict *ConflictError
	var exists *ExistsError
	var notFound *NotFoundError
	var reused *ChangeIDReusedError
	return errors.As(err, &conflict) || errors.As(err, &exists) || errors.As(err, &notFound) || errors.As(err, &reused)
}

// backoff waits before the next attempt. It returns an error if ctx ends first.
func backoff(ctx context.Context, attempt int) error {
	timer := time.NewTimer(min(time.Duration(attempt)*retryDelay, maxRetryDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &kvstore.UnavailableError{Op: "change", Err: ctx.Err()}
	}
}

// attempt reads the newest document and, unless its audit trail already contains
// the change, writes the next one.
func (w *Writer) attempt(ctx context.Context, e edit) (*config.Service, error) {
	current, err := w.readDocument(ctx, e.service)
	if err != nil {
		return nil, err
	}
	if current != nil {
		earlier, err := w.earlierResult(ctx, e, current)
		if earlier != nil || err != nil {
			return earlier, err
		}
	}
	if err := e.checkRevision(current); err != nil {
		return nil, err
	}
	next, err := e.apply(current)
	if err != nil {
		return nil, err
	}
	return w.swap(ctx, e, current, next)
}

// readDocument returns the newest document, or nil if the service never existed.
func (w *Writer) readDocument(ctx context.Context, name string) (*config.Service, error) {
	entry, err := w.store.Get(ctx, config.ServiceKey(name))
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return config.Decode(entry)
}

// revisionOf returns the revision of a document, or 0 if there is none.
func revisionOf(svc *config.Service) int64 {
	if svc == nil {
		return 0
	}
	return svc.Revision
}

func (e edit) checkRevision(current *config.Service) error {
	expected := e.change.ExpectedRevision
	if e.defaultToNewest && expected == 0 {
		return nil
	}
	if e.action == ActionCreate {
		return nil // validate requires an expected revision of 0, and apply rejects a service that exists
	}
	if err := requireLive(e.service, current); err != nil {
		return err
	}
	if current.Revision != expected {
		return &ConflictError{Service: e.service, Expected: expected, Actual: current.Revision}
	}
	return nil
}

// swap writes the next document, with the audit record of the change, if the
// revision of the stored one is still that of current.
func (w *Writer) swap(ctx context.Context, e edit, current, next *config.Service) (*config.Service, error) {
	record, err := w.newAuditRecord(e, current, next)
	if err != nil {
		return nil, err
	}
	doc := *next
	doc.Name, doc.Revision, doc.ChangeID = e.service, 0, e.change.ID
	value, err := w.encodeAndArchive(ctx, &doc, current, record)
	if err != nil {
		return nil, err
	}
	entry, err := w.store.CompareAndSwap(ctx, config.ServiceKey(e.service), revisionOf(current), value)
	if err != nil {
		return nil, err
	}
	return config.Decode(entry)
}

func (w *Writer) newAuditRecord(e edit, current, next *config.Service) (config.AuditRecord, error) {
	before, after, err := config.Diff(current, next)
	if err != nil {
		return config.AuditRecord{}, fmt.Errorf("service %s: compare: %w", e.service, err)
	}
	return config.AuditRecord{
		ChangeID: e.change.ID, Base: revisionOf(current), Time: w.clock().UTC(), Operator: e.change.Operator,
		Action: e.action, Reason: e.change.Reason, Before: before, After: after,
	}, nil
}

// validate checks the fields of the change.
func (e edit) validate() error {
	if err := config.ValidateName(e.service); err != nil {
		return err
	}
	var fields []*config.FieldError
	checkText := func(field, value string, minBytes, maxBytes int) {
		if len(value) < minBytes || len(value) > maxBytes || !printable(value) {
			fields = append(fields, &config.FieldError{
				Field: field, Value: fmt.Sprintf("%.40q", value),
				Allowed: fmt.Sprintf("%d to %d bytes of printable text", minBytes, maxBytes),
			})
		}
	}
	checkText("change.change_id", e.change.ID, 1, maxChangeIDBytes)
	checkText("change.operator", e.change.Operator, 1, maxOperatorBytes)
	checkText("change.reason", e.change.Reason, 0, maxReasonBytes)
	if r := e.change.ExpectedRevision; r < 0 || (r != 0 && e.action == ActionCreate) {
		allowed := "the revision that the change is based on"
		if e.action == ActionCreate {
			allowed = "0, because a creation is based on no revision"
		}
		fields = append(fields, &config.FieldError{Field: "change.expected_revision", Value: strconv.FormatInt(r, 10), Allowed: allowed})
	}
	if len(fields) > 0 {
		return &config.ValidationError{Service: e.service, Fields: fields}
	}
	return nil
}

func printable(text string) bool {
	for _, r := range text {
		if r == unicode.ReplacementChar || (!unicode.IsPrint(r) && r != '\n' && r != '\t') {
			return false
		}
	}
	return true
}
