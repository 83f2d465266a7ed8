package httpkv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/briarstand/briarstand/kvstore"
)

// kvRow is the protocol's form of a key and its value.
type kvRow struct {
	Key         string
	Value       []byte // base64 in JSON; null for an empty value
	ModifyIndex int64
}

func (r kvRow) entry() kvstore.Entry {
	return kvstore.Entry{Key: r.Key, Value: r.Value, Index: r.ModifyIndex}
}

func kvPath(key string) string { return "/v1/kv/" + escapePath(key) }

func escapePath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}

// Get returns the entry of a key, or kvstore.ErrNotFound. The read is
// consistent: it reflects every write that took effect before it.
func (c *Client) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	op := "get " + key
	r, err := c.read(ctx, call{
		op: op, method: http.MethodGet, path: kvPath(key),
		query: url.Values{"consistent": {""}}, limit: maxEntryBytes,
	})
	if err != nil {
		return kvstore.Entry{}, err
	}
	if r.index <= 0 {
		// A 404 from a proxy or from a wrong address must not be taken for a
		// missing key.
		return kvstore.Entry{}, &ProtocolError{Op: op, Reason: "the reply has no index"}
	}
	if r.status == http.StatusNotFound {
		return kvstore.Entry{}, fmt.Errorf("%s: %w", op, kvstore.ErrNotFound)
	}
	var rows []kvRow
	if err := decode(op, r, &rows); err != nil {
		return kvstore.Entry{}, err
	}
	if len(rows) != 1 || rows[0].Key != key || rows[0].ModifyIndex <= 0 {
		return kvstore.Entry{}, &ProtocolError{Op: op, Reason: "the reply is not one row of the key"}
	}
	return rows[0].entry(), nil
}

// List returns all entries below a prefix.
func (c *Client) List(ctx context.Context, prefix string) (kvstore.Listing, error) {
	return c.list(ctx, call{op: "list " + prefix, path: kvPath(prefix), query: url.Values{"recurse": {""}}})
}

// Watch returns the listing of a prefix once its index is greater than after,
// or when wait has passed. With after 0 it returns immediately.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kvstore.Listing, error) {
	// The store extends the waiting time by a random part of up to a sixteenth, so
	// the timeout allows for it.
	return c.list(ctx, call{
		op: "watch " + prefix, path: kvPath(prefix), wait: wait + wait/16,
		query: url.Values{
			"recurse": {""},
			"index":   {strconv.FormatInt(after, 10)},
			"wait":    {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
		},
	})
}

func (c *Client) list(ctx context.Context, cl call) (kvstore.Listing, error) {
	cl.method, cl.limit = http.MethodGet, c.maxListBytes
	r, err := c.read(ctx, cl)
	if err != nil {
		return kvstore.Listing{}, err
	}
	if r.index <= 0 {
		return kvstore.Listing{}, &ProtocolError{Op: cl.op, Reason: "the reply has no index"}
	}
	listing := kvstore.Listing{Index: r.index}
	if r.status == http.StatusNotFound {
		return listing, nil
	}
	var rows []kvRow
	if err := decode(cl.op, r, &rows); err != nil {
		return kvstore.Listing{}, err
	}
	for _, row := range rows {
		listing.Entries = append(listing.Entries, row.entry())
	}
	return listing, nil
}

// CompareAndSwap writes the value if the key's index equals expected; 0 means
// that the key must not exist.
//
// The protocol's reply to a write does not contain the new index, so the key is
// read afterwards. If that read fails or another write came in between, the
// write took effect but its index is unknown, which is also reported as an
// *UnknownResultError.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (kvstore.Entry, error) {
	written, err := c.conditionalPut(ctx, key, value, url.Values{"cas": {strconv.FormatInt(expected, 10)}})
	if err != nil {
		return kvstore.Entry{}, err
	}
	entry, err := c.Get(ctx, key)
	if !written {
		return kvstore.Entry{}, conflictError(key, expected, entry, err)
	}
	if err != nil {
		return kvstore.Entry{}, &kvstore.UnknownResultError{Key: key, Err: fmt.Errorf("written, index not read: %w", err)}
	}
	if !bytes.Equal(entry.Value, value) {
		return kvstore.Entry{}, &kvstore.UnknownResultError{Key: key, Err: errors.New("written, and overwritten by a later change")}
	}
	return entry, nil
}

// conflictError returns a *ConflictError with the current index of the key, or
// with 0 if that could not be read.
func conflictError(key string, expected int64, current kvstore.Entry, err error) error {
	if err != nil {
		current.Index = 0
	}
	return &kvstore.ConflictError{Key: key, Expected: expected, Actual: current.Index}
}

// conditionalPut performs a conditional write and reports whether the condition
// held.
func (c *Client) conditionalPut(ctx context.Context, key string, value []byte, query url.Values) (bool, error) {
	if len(value) > kvstore.MaxValueBytes {
		return false, &kvstore.TooLargeError{Key: key, Size: len(value)}
	}
	r, err := c.write(ctx, key, call{
		op: "put " + key, method: http.MethodPut, path: kvPath(key), query: query, body: value, limit: maxReplyBytes,
	})
	if err != nil {
		return false, err
	}
	var written bool
	if err := decode("put "+key, r, &written); err != nil {
		return false, &kvstore.UnknownResultError{Key: key, Err: err}
	}
	return written, nil
}

// GrantLease creates a lease that expires unless it is renewed within ttl. The
// keys that it holds are deleted when it expires or is revoked.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	body, err := json.Marshal(map[string]string{
		"TTL":      strconv.FormatInt(ttl.Milliseconds(), 10) + "ms",
		"Behavior": "delete", "LockDelay": "0s",
	})
	if err != nil {
		return "", fmt.Errorf("grant lease: %w", err)
	}
	r, err := c.write(ctx, "session", call{
		op: "grant lease", method: http.MethodPut, path: "/v1/session/create", body: body, limit: maxReplyBytes,
	})
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	if err := decode("grant lease", r, &created); err != nil {
		return "", err
	}
	if created.ID == "" {
		return "", &ProtocolError{Op: "grant lease", Reason: "the reply has no id"}
	}
	return kvstore.LeaseID(created.ID), nil
}

// RenewLease extends a lease, or fails with kvstore.ErrLeaseExpired.
func (c *Client) RenewLease(ctx context.Context, id kvstore.LeaseID) error {
	r, err := c.write(ctx, "session", c.sessionCall("renew", id))
	if err != nil && r.status == http.StatusNotFound {
		return fmt.Errorf("renew lease %s: %w", id, kvstore.ErrLeaseExpired)
	}
	return err
}

// RevokeLease revokes a lease and deletes the keys that it holds.
func (c *Client) RevokeLease(ctx context.Context, id kvstore.LeaseID) error {
	_, err := c.write(ctx, "session", c.sessionCall("destroy", id))
	return err
}

func (c *Client) sessionCall(verb string, id kvstore.LeaseID) call {
	return call{
		op: verb + " lease", method: http.MethodPut,
		path: "/v1/session/" + verb + "/" + url.PathEscape(string(id)), limit: maxReplyBytes,
	}
}

// Acquire writes the value and locks the key with the lease. It returns false
// if another lease holds the key.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, id kvstore.LeaseID) (bool, error) {
	return c.conditionalPut(ctx, key, value, url.Values{"acquire": {string(id)}})
}
