package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/briarstand/briarstand/kvstore"
)

// MaxDocumentBytes is the maximum size of an encoded document, in bytes.
const MaxDocumentBytes = kvstore.MaxValueBytes

// ServiceKey returns the key of a service's document.
func ServiceKey(name string) string { return ServicesPrefix + name }

// AcceptedKey returns the key of a service's accepted mark.
func AcceptedKey(name string) string { return AcceptedPrefix + name }

// AuditKey returns the key of the archived audit chunk whose oldest record has
// the given revision.
func AuditKey(name string, oldest int64) string {
	return AuditPrefix + name + "/" + strconv.FormatInt(oldest, 10)
}

// AuditChunk holds consecutive audit records that were moved out of a document
// into a key of their own. The chunks of a service form a linked list, newest
// first.
type AuditChunk struct {
	Service string `json:"service"`
	// Previous is the revision in the key of the chunk archived before this
	// one; 0 in the first chunk.
	Previous int64         `json:"previous,omitempty"`
	Records  []AuditRecord `json:"records"`
}

// storedRecord is the JSON form of an AuditRecord. Before and After are
// embedded as JSON rather than as strings, to avoid escaping every quote.
type storedRecord struct {
	ChangeID string          `json:"change_id"`
	Revision int64           `json:"revision,omitempty"`
	Base     int64           `json:"base"`
	Time     time.Time       `json:"time"`
	Operator string          `json:"operator"`
	Action   string          `json:"action"`
	Reason   string          `json:"reason,omitempty"`
	Before   json.RawMessage `json:"before,omitempty"`
	After    json.RawMessage `json:"after,omitempty"`
}

// MarshalJSON embeds Before and After as JSON objects.
func (r AuditRecord) MarshalJSON() ([]byte, error) {
	before, err := rawFromText(r.Before)
	if err != nil {
		return nil, err
	}
	after, err := rawFromText(r.After)
	if err != nil {
		return nil, err
	}
	return json.Marshal(storedRecord{
		ChangeID: r.ChangeID, Revision: r.Revision, Base: r.Base, Time: r.Time,
		Operator: r.Operator, Action: r.Action, Reason: r.Reason, Before: before, After: after,
	})
}

// UnmarshalJSON is the inverse of MarshalJSON. It rejects unknown fields itself,
// because DisallowUnknownFields of an outer decoder does not apply to a type
// with its own UnmarshalJSON.
func (r *AuditRecord) UnmarshalJSON(data []byte) error {
	var stored storedRecord
	if err := decodeStrict(data, &stored); err != nil {
		return err
	}
	before, err := textFromRaw(stored.Before)
	if err != nil {
		return err
	}
	after, err := textFromRaw(stored.After)
	if err != nil {
		return err
	}
	*r = AuditRecord{
		ChangeID: stored.ChangeID, Revision: stored.Revision, Base: stored.Base, Time: stored.Time,
		Operator: stored.Operator, Action: stored.Action, Reason: stored.Reason, Before: before, After: after,
	}
	return nil
}

// rawFromText returns a JSON object unchanged and any other text as a JSON string.
func rawFromText(text string) (json.RawMessage, error) {
	if text == "" {
		return nil, nil
	}
	if text[0] == '{' && json.Valid([]byte(text)) {
		return json.RawMessage(text), nil
	}
	return json.Marshal(text)
}

// textFromRaw is the inverse of rawFromText.
func textFromRaw(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || raw[0] != '"' {
		return string(raw), nil
	}
	var text string
	err := json.Unmarshal(raw, &text)
	return text, err
}

// decodeStrict decodes a single JSON value and rejects unknown fields and
// trailing data.
func decodeStrict(data []byte, target any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the document")
	}
	return nil
}

// Encode returns the stored form of a document. It omits the revisions of the
// document and of its newest audit record, which the store assigns at the write.
// For a document larger than MaxDocumentBytes, it returns a *FieldError.
func Encode(s *Service) ([]byte, error) {
	stored := *s
	stored.Revision = 0
	if n := len(s.Audit); n > 0 {
		stored.Audit = append([]AuditRecord(nil), s.Audit...)
		stored.Audit[n-1].Revision = 0
	}
	data, err := json.Marshal(&stored)
	if err != nil {
		return nil, fmt.Errorf("encode service %s: %w", s.Name, err)
	}
	if err := checkSize(len(data)); err != nil {
		return nil, err
	}
	return data, nil
}

func checkSize(size int) error {
	if size <= MaxDocumentBytes {
		return nil
	}
	return &FieldError{
		Field:   "document",
		Value:   fmt.Sprintf("a size of %d bytes", size),
		Allowed: fmt.Sprintf("at most %d bytes with the audit record of the change; declare less or split the change into several", MaxDocumentBytes),
	}
}

// Decode decodes and validates the document of an entry below ServicesPrefix and
// sets its revision from the entry. It returns a *DocumentError if the entry is
// not a valid document.
func Decode(e kvstore.Entry) (*Service, error) {
	svc, err := decodeService(e)
	if err != nil {
		return nil, &DocumentError{Key: e.Key, Index: e.Index, Err: err}
	}
	return svc, nil
}

func decodeService(e kvstore.Entry) (*Service, error) {
	if err := checkSize(len(e.Value)); err != nil {
		return nil, err
	}
	svc := &Service{}
	if err := decodeStrict(e.Value, svc); err != nil {
		return nil, err
	}
	name, found := strings.CutPrefix(e.Key, ServicesPrefix)
	if !found || name != svc.Name {
		return nil, fmt.Errorf("name %q does not match the key", svc.Name)
	}
	if svc.Revision != 0 {
		return nil, fmt.Errorf("stored revision %d; the store's index is the revision", svc.Revision)
	}
	if e.Index <= 0 {
		return nil, fmt.Errorf("index %d is not positive", e.Index)
	}
	svc.Revision = e.Index
	if err := completeTrail(svc); err != nil {
		return nil, err
	}
	if svc.Deleted {
		return svc, checkTombstone(svc)
	}
	return svc, Validate(svc)
}

func checkTombstone(svc *Service) error {
	var v validation
	v.checkName("name", svc.Name, maxServiceNameBytes)
	if len(svc.Backends) > 0 || len(svc.Versions) > 0 {
		v.reject("deleted", "true", "only without backends and index versions")
	}
	return v.err(svc.Name)
}

// completeTrail sets the revision of the newest audit record and checks that
// the audit trail belongs to the document and is in order.
func completeTrail(svc *Service) error {
	n := len(svc.Audit)
	if n == 0 {
		return nil
	}
	newest := &svc.Audit[n-1]
	if newest.Revision != 0 {
		return fmt.Errorf("newest audit record has revision %d; the store's index is its revision", newest.Revision)
	}
	if newest.ChangeID != svc.ChangeID {
		return fmt.Errorf("newest audit record has change id %q, the document %q", newest.ChangeID, svc.ChangeID)
	}
	newest.Revision = svc.Revision
	return checkRecordOrder(svc.Audit)
}

// checkRecordOrder checks that every record has a change id and that revisions
// increase.
func checkRecordOrder(records []AuditRecord) error {
	last := int64(0)
	for i, r := range records {
		if r.ChangeID == "" {
			return fmt.Errorf("audit record %d has no change id", i)
		}
		if r.Revision <= last {
			return fmt.Errorf("audit record %d has revision %d after %d", i, r.Revision, last)
		}
		last = r.Revision
	}
	return nil
}

// DecodeListing returns the valid documents of a listing below ServicesPrefix,
// and an error for each corrupt one, so that a corrupt document does not hide
// the others.
func DecodeListing(l kvstore.Listing) ([]*Service, []*DocumentError) {
	services := make([]*Service, 0, len(l.Entries))
	var corrupt []*DocumentError
	for _, e := range l.Entries {
		svc, err := Decode(e)
		var docErr *DocumentError
		if errors.As(err, &docErr) {
			corrupt = append(corrupt, docErr)
			continue
		}
		services = append(services, svc)
	}
	return services, corrupt
}

// EncodeChunk returns the stored form of an archived audit chunk. For a chunk
// larger than MaxDocumentBytes, it returns a *FieldError.
func EncodeChunk(c *AuditChunk) ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode audit chunk of service %s: %w", c.Service, err)
	}
	if err := checkSize(len(data)); err != nil {
		return nil, err
	}
	return data, nil
}

// DecodeChunk decodes and validates the audit chunk of an entry below
// AuditPrefix. It returns a *DocumentError if the entry is not a valid chunk.
func DecodeChunk(e kvstore.Entry) (*AuditChunk, error) {
	chunk := &AuditChunk{}
	if err := decodeChunk(e, chunk); err != nil {
		return nil, &DocumentError{Key: e.Key, Index: e.Index, Err: err}
	}
	return chunk, nil
}

func decodeChunk(e kvstore.Entry, chunk *AuditChunk) error {
	if err := checkSize(len(e.Value)); err != nil {
		return err
	}
	if err := decodeStrict(e.Value, chunk); err != nil {
		return err
	}
	if len(chunk.Records) == 0 {
		return errors.New("no records")
	}
	if e.Key != AuditKey(chunk.Service, chunk.Records[0].Revision) {
		return fmt.Errorf("chunk of service %q from revision %d does not match the key", chunk.Service, chunk.Records[0].Revision)
	}
	if chunk.Previous < 0 || chunk.Previous >= chunk.Records[0].Revision {
		return fmt.Errorf("previous chunk %d is not older", chunk.Previous)
	}
	return checkRecordOrder(chunk.Records)
}

// WithoutAudit returns a copy of the document without its audit trail, which
// only operators need.
func (s *Service) WithoutAudit() *Service {
	c := *s
	c.Audit = nil
	return &c
}
