package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/kvstore"
)

const (
	// maxEmbedded is the maximum number of audit records in a document. It bounds
	// the data that every change writes and every reader of the document transfers.
	maxEmbedded = 64
	// minSearchedRecords is the minimum number of newest records that are searched
	// for a change id, if there are that many.
	minSearchedRecords = 64
	// maxSearchedChunks is the maximum number of archived chunks read to find one
	// change id. They hold about 2,000 records, more than all services together
	// get in a day.
	maxSearchedChunks = 64
)

// earlierResult returns the result of the change if it already took effect, or
// nil. It returns a *ChangeIDReusedError if the change id belongs to a different
// change.
func (w *Writer) earlierResult(ctx context.Context, e edit, current *config.Service) (*config.Service, error) {
	newer, record, err := w.findRecord(ctx, current, e)
	if record == nil || err != nil {
		return nil, err
	}
	earlier, err := stateAt(current, newer, *record)
	if err != nil {
		return nil, &config.DocumentError{Key: config.ServiceKey(e.service), Index: current.Revision, Err: err}
	}
	if record.Action != e.action || !e.matches(earlier) {
		return nil, &ChangeIDReusedError{Service: e.service, ChangeID: e.change.ID, Action: record.Action, Revision: record.Revision}
	}
	return earlier, nil
}

// findRecord searches the audit trail for the change id, newest record first,
// until no older record can contain it. It returns the newer records, newest
// first, and the record itself, which is nil if there is none. It returns a
// *ConflictError if the search would need more than maxSearchedChunks chunks.
func (w *Writer) findRecord(ctx context.Context, current *config.Service, e edit) ([]config.AuditRecord, *config.AuditRecord, error) {
	var newer []config.AuditRecord
	records, previous := current.Audit, current.NewestChunk
	for chunks := 0; ; chunks++ {
		for i := len(records) - 1; i >= 0; i-- {
			if records[i].ChangeID == e.change.ID {
				return newer, &records[i], nil
			}
			newer = append(newer, records[i])
		}
		if previous == 0 || searchComplete(newer, e.change) {
			return nil, nil, nil
		}
		if chunks == maxSearchedChunks {
			return nil, nil, &ConflictError{
				Service: e.service, Expected: e.change.ExpectedRevision, Actual: current.Revision,
				SearchedTo: newer[len(newer)-1].Revision,
			}
		}
		chunk, err := w.readChunk(ctx, current.Name, previous)
		if err != nil {
			return nil, nil, err
		}
		records, previous = chunk.Records, chunk.Previous
	}
}

// searchComplete reports whether the search for the change may end. At least the
// newest minSearchedRecords must have been searched. If the change has an expected
// revision, all records above that revision must have been searched too. The record
// of the change cannot be older, since a change gets a revision above the one that
// it is based on.
func searchComplete(seen []config.AuditRecord, change Change) bool {
	if len(seen) < minSearchedRecords {
		return false
	}
	return change.ExpectedRevision == 0 || seen[len(seen)-1].Revision <= change.ExpectedRevision
}

// stateAt returns the state of a service after an earlier change, by undoing the
// newer changes, newest first.
func stateAt(current *config.Service, newer []config.AuditRecord, record config.AuditRecord) (*config.Service, error) {
	state := current
	for _, r := range newer {
		older, err := config.Rewind(state, r)
		if err != nil {
			return nil, err
		}
		state = older
	}
	earlier := *state
	earlier.Revision, earlier.ChangeID = record.Revision, record.ChangeID
	earlier.Audit, earlier.NewestChunk = nil, 0
	for i, r := range current.Audit {
		if r.Revision <= record.Revision {
			earlier.Audit, earlier.NewestChunk = current.Audit[:i+1], current.NewestChunk
		}
	}
	return &earlier, nil
}

func (w *Writer) readChunk(ctx context.Context, service string, oldest int64) (*config.AuditChunk, error) {
	entry, err := w.store.Get(ctx, config.AuditKey(service, oldest))
	if err != nil {
		if errors.Is(err, kvstore.ErrNotFound) {
			return nil, &config.DocumentError{Key: config.AuditKey(service, oldest), Err: err}
		}
		return nil, err
	}
	return config.DecodeChunk(entry)
}

// encodeAndArchive adds the audit trail to the next document and returns its
// encoding. As long as the trail has too many earlier records, or the document is
// too large, it archives the older half of the earlier records, if necessary until
// none are left.
func (w *Writer) encodeAndArchive(ctx context.Context, next, current *config.Service, record config.AuditRecord) ([]byte, error) {
	var trail []config.AuditRecord
	if current != nil {
		trail, next.NewestChunk = current.Audit, current.NewestChunk
	}
	for {
		value, err := encodeWithRecord(next, trail, record)
		var tooLarge *config.FieldError
		full := errors.As(err, &tooLarge) && len(trail) > 0
		if !full && (err != nil || len(trail) < w.maxEmbedded) {
			return value, err
		}
		archived, err := w.archive(ctx, next, trail)
		if err != nil {
			return nil, err
		}
		next.NewestChunk = trail[0].Revision
		trail = trail[archived:]
	}
}

// encodeWithRecord sets the audit trail of next to trail followed by record, and
// returns the encoding.
func encodeWithRecord(next *config.Service, trail []config.AuditRecord, record config.AuditRecord) ([]byte, error) {
	next.Audit = append(append(make([]config.AuditRecord, 0, len(trail)+1), trail...), record)
	return config.Encode(next)
}

// archive creates a chunk with the older half of the trail and returns the number
// of records in the chunk. It never overwrites a chunk: if an earlier attempt wrote
// it, the stored chunk is used, even if it holds fewer records.
func (w *Writer) archive(ctx context.Context, doc *config.Service, trail []config.AuditRecord) (int, error) {
	chunk := &config.AuditChunk{
		Service: doc.Name, Previous: doc.NewestChunk, Records: trail[:(len(trail)+1)/2],
	}
	value, err := config.EncodeChunk(chunk)
	if err != nil {
		return 0, err
	}
	key := config.AuditKey(doc.Name, trail[0].Revision)
	_, err = w.store.CompareAndSwap(ctx, key, 0, value)
	if err == nil {
		return len(chunk.Records), nil
	}
	if !maybeWritten(err) {
		return 0, err
	}
	stored, readErr := w.readChunk(ctx, doc.Name, trail[0].Revision)
	if readErr != nil {
		// The document was not written yet, so the change had no effect.
		return 0, &kvstore.UnavailableError{Op: "archive " + key, Err: readErr}
	}
	return checkArchived(key, stored, chunk, trail)
}

// maybeWritten reports whether the key may exist after a failed create.
func maybeWritten(err error) bool {
	var conflict *kvstore.ConflictError
	var unknown *kvstore.UnknownResultError
	return errors.As(err, &conflict) || errors.As(err, &unknown)
}

// checkArchived verifies that a stored chunk holds the oldest records of the
// trail, which may then be removed from the document. It returns their number.
func checkArchived(key string, stored, expected *config.AuditChunk, trail []config.AuditRecord) (int, error) {
	mismatch := func(reason string) (int, error) {
		return 0, &config.DocumentError{Key: key, Err: fmt.Errorf("archived audit records: %s", reason)}
	}
	if stored.Previous != expected.Previous || len(stored.Records) > len(trail) {
		return mismatch("the chunk belongs to another trail")
	}
	for i, r := range stored.Records {
		if r.ChangeID != trail[i].ChangeID || r.Revision != trail[i].Revision {
			return mismatch(fmt.Sprintf("record %d is change %s, the document has %s", i, r.ChangeID, trail[i].ChangeID))
		}
	}
	return len(stored.Records), nil
}
