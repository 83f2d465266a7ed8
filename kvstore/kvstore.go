// Package kvstore defines what the daemons need from the platform they run
// on: a small key-value service and a list of VMs.
//
// Both are outside systems with outages and lag. Every implementation reports
// failures with the error types of this package.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the key-value service holds.
const MaxValueBytes = 1 << 20

// Entry is one key of the key-value service.
type Entry struct {
	Key   string
	Value []byte
	// Index is the modification index of the last write of this key. Indexes
	// are global to the store and only grow.
	Index int64
}

// Listing is the state of all keys below a prefix at one index.
type Listing struct {
	Entries []Entry
	// Index is the store's index that the listing reflects. Passing it to
	// Store.Watch waits for something newer.
	Index int64
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries below a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch returns the listing of a prefix as soon as its index is greater
	// than after, or the unchanged listing when wait has passed.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Listing, error)
	// CompareAndSwap writes the value if the key's index equals expected; 0
	// means that the key must not exist. It returns the entry as written. It
	// fails with a *ConflictError when the index differs, and with an
	// *UnknownResultError when the write may or may not have taken effect.
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (Entry, error)
	// GrantLease creates a lease that lapses unless it is renewed within ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease, or fails with ErrLeaseLapsed.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes the keys that it holds.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// LeaseID names a lease of the key-value service.
type LeaseID string

// VMState is the state of a VM as the platform's list reports it.
type VMState string

// States of the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is a row of the platform's list.
type VM struct {
	ID     string
	Zone   string
	Region string
	// PeerAddress is the host:port of the VM's peer API.
	PeerAddress string
	State       VMState
}

// VMLister reads the platform's list of VMs, which lags.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// ErrNotFound reports a key that does not exist.
var ErrNotFound = errors.New("key not found")

// ErrLeaseLapsed reports a lease that the store no longer knows.
var ErrLeaseLapsed = errors.New("lease lapsed")

// ConflictError reports a compare-and-swap that lost to another write.
type ConflictError struct {
	Key      string
	Expected int64
	Actual   int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s: index is %d, expected %d", e.Key, e.Actual, e.Expected)
}

// UnavailableError reports a call that the platform did not answer and that
// had no effect, or that only reads.
type UnavailableError struct {
	Op  string
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable: %s: %v", e.Op, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownResultError reports a write whose reply was lost: it may or may not
// have taken effect.
type UnknownResultError struct {
	Key string
	Err error
}

func (e *UnknownResultError) Error() string {
	return fmt.Sprintf("key %s: result of the write is unknown: %v", e.Key, e.Err)
}

func (e *UnknownResultError) Unwrap() error { return e.Err }

// TooLargeError reports a value above MaxValueBytes.
type TooLargeError struct {
	Key  string
	Size int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("key %s: value of %d bytes exceeds the limit of %d bytes", e.Key, e.Size, MaxValueBytes)
}
