// Package kvstore defines the interfaces of the platform that the daemons
// depend on: a small key-value service (the store) and a list of VMs.
//
// Both are external systems with outages and lag. Every implementation reports
// outages, conflicts and lost replies with the error types of this package. It may
// have further types for errors that a retry does not help with.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueBytes is the maximum size of a value in the store, in bytes.
const MaxValueBytes = 1 << 20

// Entry is a key of the store with its value.
type Entry struct {
	Key   string
	Value []byte
	// Index is the modification index of the last write of this key. Indexes
	// are global to the store and increase monotonically.
	Index int64
}

// Listing is the state of all keys below a prefix at one index.
type Listing struct {
	Entries []Entry
	// Index is the store's index that the listing reflects. Store.Watch with
	// this index waits for the next change.
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
	// GrantLease creates a lease that expires unless it is renewed within ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease, or fails with ErrLeaseExpired.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease revokes a lease and deletes the keys that it holds.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// LeaseID identifies a lease of the store.
type LeaseID string

// VMState is the state of a VM in the platform's list.
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

// VMLister reads the platform's list of VMs, which may be stale.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// ErrNotFound reports a key that does not exist.
var ErrNotFound = errors.New("key not found")

// ErrLeaseExpired reports a lease that expired or was revoked.
var ErrLeaseExpired = errors.New("lease expired")

// ConflictError reports a compare-and-swap whose expected index is not the
// key's current one.
type ConflictError struct {
	Key      string
	Expected int64
	Actual   int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s: index is %d, expected %d", e.Key, e.Actual, e.Expected)
}

// ErrThrottled is wrapped by the UnavailableError of a call that the platform refused
// because of the rate of calls.
var ErrThrottled = errors.New("too many calls")

// UnavailableError reports a failed read, or a write that certainly had no
// effect, because the platform was unreachable, overloaded or faulty.
type UnavailableError struct {
	Op  string
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable: %s: %v", e.Op, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownResultError reports a write that may or may not have taken effect,
// such as one whose reply was lost.
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
