// Package query reads the configuration of services and its audit trail from
// the store. It does not run the queries of callers, which is the task of the
// package query at the root.
package query

import (
	"context"
	"errors"
	"sort"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/kvstore"
)

// NotFoundError reports a service that does not exist.
type NotFoundError = config.NotFoundError

// Limits of the number of audit records that one call returns.
const (
	DefaultAuditLimit = 100
	MaxAuditLimit     = 10_000
	// maxAuditBytes bounds the memory for the text of the returned records; one
	// record can hold several hundred kilobytes.
	maxAuditBytes = 16 << 20
)

// Reader reads the configuration. It is safe for concurrent use.
type Reader struct {
	store kvstore.Store
}

// New returns a Reader for a store.
func New(store kvstore.Store) *Reader { return &Reader{store: store} }

// Get returns the newest document of a service, or a *NotFoundError, which
// carries the revision of the tombstone if the service was deleted.
func (r *Reader) Get(ctx context.Context, name string) (*config.Service, error) {
	svc, err := r.readDocument(ctx, name)
	if err != nil {
		return nil, err
	}
	if svc.Deleted {
		return nil, &NotFoundError{Service: name, Revision: svc.Revision}
	}
	return svc, nil
}

// readDocument returns the newest document of a service, which may be a
// tombstone.
func (r *Reader) readDocument(ctx context.Context, name string) (*config.Service, error) {
	if err := config.ValidateName(name); err != nil {
		return nil, err
	}
	entry, err := r.store.Get(ctx, config.ServiceKey(name))
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil, &NotFoundError{Service: name}
	}
	if err != nil {
		return nil, err
	}
	return config.Decode(entry)
}

// Revision returns the newest recorded revision of a service, also if it was
// deleted, or a *NotFoundError if it never existed.
func (r *Reader) Revision(ctx context.Context, name string) (int64, error) {
	svc, err := r.readDocument(ctx, name)
	if err != nil {
		return 0, err
	}
	return svc.Revision, nil
}

// List returns all services that are not deleted, sorted by name, and an error
// for each corrupt document.
func (r *Reader) List(ctx context.Context) ([]*config.Service, []*config.DocumentError, error) {
	listing, err := r.store.List(ctx, config.ServicesPrefix)
	if err != nil {
		return nil, nil, err
	}
	all, corrupt := config.DecodeListing(listing)
	live := all[:0]
	for _, svc := range all {
		if !svc.Deleted {
			live = append(live, svc)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live, corrupt, nil
}

// Audit returns the audit records of a service, also of a deleted one, newest
// first. A limit of 0 means DefaultAuditLimit. It returns at most MaxAuditLimit
// records, and no further ones once their text exceeds 16 MB.
func (r *Reader) Audit(ctx context.Context, name string, limit int) ([]config.AuditRecord, error) {
	if limit <= 0 {
		limit = DefaultAuditLimit
	}
	limit = min(limit, MaxAuditLimit)
	svc, err := r.readDocument(ctx, name)
	if err != nil {
		return nil, err
	}
	var found []config.AuditRecord
	size := 0
	records, previous := svc.Audit, svc.NewestChunk
	for {
		for i := len(records) - 1; i >= 0 && len(found) < limit && size <= maxAuditBytes; i-- {
			found = append(found, records[i])
			size += len(records[i].Before) + len(records[i].After)
		}
		if previous == 0 || len(found) == limit || size > maxAuditBytes {
			return found, nil
		}
		chunk, err := r.readChunk(ctx, name, previous)
		if err != nil {
			return nil, err
		}
		records, previous = chunk.Records, chunk.Previous
	}
}

// readChunk returns the archived audit chunk whose oldest record has the revision
// oldest. A missing chunk is a *config.DocumentError.
func (r *Reader) readChunk(ctx context.Context, name string, oldest int64) (*config.AuditChunk, error) {
	key := config.AuditKey(name, oldest)
	entry, err := r.store.Get(ctx, key)
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil, &config.DocumentError{Key: key, Err: err}
	}
	if err != nil {
		return nil, err
	}
	return config.DecodeChunk(entry)
}
