package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/briarstand/briarstand/backend/standin"
)

// RecordSource reads the record of a stand-in backend server.
type RecordSource func(ctx context.Context) (standin.Record, error)

// RecordError reports a stand-in backend server whose record could not be read.
type RecordError struct {
	Address string
	Err     error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("load: read the record of the stand-in at %s: %v", e.Address, e.Err)
}

func (e *RecordError) Unwrap() error { return e.Err }

// LocalRecord returns a RecordSource for a stand-in in the same process.
func LocalRecord(s *standin.Server) RecordSource {
	return func(context.Context) (standin.Record, error) { return s.Summary(), nil }
}

// HTTPRecord returns a RecordSource for the stand-in at a host:port.
func HTTPRecord(client *http.Client, address string) RecordSource {
	return func(ctx context.Context) (standin.Record, error) {
		record, err := fetchRecord(ctx, client, address)
		if err != nil {
			return record, &RecordError{Address: address, Err: err}
		}
		return record, nil
	}
}

func fetchRecord(ctx context.Context, client *http.Client, address string) (record standin.Record, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/record?summary", nil)
	if err != nil {
		return record, fmt.Errorf("request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return record, fmt.Errorf("request: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return record, fmt.Errorf("status %s", resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(&record); err != nil {
		return record, fmt.Errorf("decode: %w", err)
	}
	return record, nil
}

// recordTotals holds the sums of the records of all stand-ins. valid is false if
// there are no stand-ins.
type recordTotals struct {
	valid             bool
	received, started int64
	busy              standin.Duration
}

func readRecords(ctx context.Context, sources []RecordSource) (recordTotals, error) {
	t := recordTotals{valid: len(sources) > 0}
	for _, read := range sources {
		r, err := read(ctx)
		if err != nil {
			return t, err
		}
		t.received += r.Received
		t.started += r.Started
		t.busy += r.Busy
	}
	return t, nil
}
