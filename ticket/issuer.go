// Package ticket issues the one-time tickets of non-idempotent requests and
// records the used ones with their outcomes, so that each request runs at most
// once. An incarnation is one run of a VM's process; its tickets are void once it
// has ended.
package ticket

import (
	"container/heap"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

const (
	// DefaultTTL is the default lifetime of a ticket.
	DefaultTTL = 30 * time.Second
	// DefaultMaxEntries is the default limit of used tickets in the table.
	DefaultMaxEntries = 8192
	// DefaultMaxBytes is the default limit of the total size of stored outcomes.
	DefaultMaxBytes = 8 << 20

	keyBytes = 32
)

// Config holds the settings of an Issuer. Zero values mean the defaults.
type Config struct {
	// TTL is how long a ticket may be used after it was issued.
	TTL time.Duration
	// MaxEntries is the maximum number of used tickets in the table.
	MaxEntries int
	// MaxBytes is the total encoded size of stored outcomes at which further
	// tickets are refused.
	MaxBytes int
	// Key signs tickets. It is random by default and must not outlive the
	// incarnation.
	Key []byte
}

func (c Config) withDefaults() Config {
	if c.TTL <= 0 {
		c.TTL = DefaultTTL
	}
	if c.MaxEntries <= 0 {
		c.MaxEntries = DefaultMaxEntries
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	if len(c.Key) == 0 {
		c.Key = make([]byte, keyBytes)
		rand.Read(c.Key) // never fails; see its documentation
	}
	return c
}

// Issuer issues the tickets of one incarnation of a VM and holds the table of
// used ones.
type Issuer struct {
	vmID        string
	incarnation int64
	cfg         Config
	start       time.Time // has a monotonic clock reading

	mu      sync.Mutex
	counter uint64
	used    map[uint64]*Entry
	expiry  expiryHeap
	bytes   int
	// refusedBelow refuses unused tickets with a lower counter. When the table is
	// full, the request of a refused ticket is reported as not run, so it must
	// not run later. A full table cannot record that ticket, so refusedBelow is
	// raised above its counter, which also refuses all older unused tickets.
	refusedBelow uint64
}

// NewIssuer returns an Issuer for one incarnation of a VM. The VM id has at
// most 255 bytes; a longer one is truncated.
func NewIssuer(vmID string, incarnation int64, cfg Config) *Issuer {
	return &Issuer{
		vmID:        vmID[:min(len(vmID), maxVMIDBytes)],
		incarnation: incarnation,
		cfg:         cfg.withDefaults(),
		start:       time.Now(),
		used:        make(map[uint64]*Entry),
	}
}

// Issue returns a new ticket and its TTL.
func (i *Issuer) Issue() (string, time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter++
	c := claims{
		vmID:        i.vmID,
		incarnation: i.incarnation,
		counter:     i.counter,
		expiry:      time.Since(i.start) + i.cfg.TTL,
	}
	return c.encode(i.cfg.Key), i.cfg.TTL
}

// Incarnation returns the incarnation whose tickets the issuer accepts.
func (i *Issuer) Incarnation() int64 { return i.incarnation }

// Entries returns how many used tickets the table holds.
func (i *Issuer) Entries() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.used)
}

// Begin uses a ticket. If first is true, the caller must run the request and
// call Finish; otherwise the ticket was used before, and Wait returns the
// outcome. Errors are *ExpiredError, *InvalidError and *FullError.
func (i *Issuer) Begin(ticket string) (e *Entry, first bool, err error) {
	return i.BeginFor(ticket, 0)
}

// BeginFor is Begin with a fingerprint of the request, so that another request
// with a used ticket fails with a *ReusedError instead of returning the outcome
// of the first.
func (i *Issuer) BeginFor(ticket string, fingerprint uint64) (e *Entry, first bool, err error) {
	c, err := i.verify(ticket)
	if err != nil {
		return nil, false, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	// The clock is read under the lock. With an earlier reading, a call could find
	// the entry already removed as expired but the ticket not yet expired, and
	// would run the request again.
	now := time.Since(i.start)
	i.removeExpired(now)
	if e, ok := i.used[c.counter]; ok {
		if e.fingerprint != fingerprint {
			return nil, false, &ReusedError{}
		}
		return e, false, nil
	}
	if now >= c.expiry {
		return nil, false, &ExpiredError{Reason: "its time to live has passed"}
	}
	if full := i.full(); full || c.counter < i.refusedBelow {
		i.refusedBelow = max(i.refusedBelow, c.counter+1)
		return nil, false, &FullError{Entries: len(i.used), Bytes: i.bytes}
	}
	e = &Entry{
		issuer: i, counter: c.counter, expiry: c.expiry, fingerprint: fingerprint,
		done: make(chan struct{}),
	}
	i.used[c.counter] = e
	heap.Push(&i.expiry, e)
	return e, true, nil
}

func (i *Issuer) full() bool {
	return len(i.used) >= i.cfg.MaxEntries || i.bytes >= i.cfg.MaxBytes
}

func (i *Issuer) verify(ticket string) (claims, error) {
	c, payload, mac, err := decode(ticket)
	if err != nil {
		return c, err
	}
	if c.vmID != i.vmID {
		return c, &InvalidError{Reason: "issued by another VM"}
	}
	if c.incarnation != i.incarnation {
		return c, &ExpiredError{Reason: "the incarnation that issued it has ended"}
	}
	if !hmac.Equal(mac, computeMAC(i.cfg.Key, payload)) {
		return c, &InvalidError{Reason: "signature does not match"}
	}
	return c, nil
}

// removeExpired removes finished entries whose ticket has expired. An entry whose
// request still runs leaves the heap but stays in the table until Finish.
func (i *Issuer) removeExpired(now time.Duration) {
	for len(i.expiry) > 0 && i.expiry[0].expiry <= now {
		e := heap.Pop(&i.expiry).(*Entry)
		e.expired = true
		if e.resp != nil {
			i.remove(e)
		}
	}
}

func (i *Issuer) remove(e *Entry) {
	delete(i.used, e.counter)
	i.bytes -= e.size
}

// Entry is the table entry of a used ticket, whose request is running or has an
// outcome.
type Entry struct {
	issuer      *Issuer
	counter     uint64
	expiry      time.Duration
	fingerprint uint64
	done        chan struct{}

	// Guarded by the issuer's lock until done is closed.
	expired bool
	resp    *briarstandv1.QueryResponse
	size    int
}

// Finish stores the outcome and wakes all calls of Wait. Only the first call of
// Finish has an effect. The response must not be modified afterwards.
func (e *Entry) Finish(resp *briarstandv1.QueryResponse) {
	i := e.issuer
	i.mu.Lock()
	defer i.mu.Unlock()
	if e.resp != nil {
		return
	}
	e.resp = resp
	e.size = proto.Size(resp)
	i.bytes += e.size
	if e.expired {
		i.remove(e)
	}
	close(e.done)
}

// Wait waits for the outcome and returns a copy of it, or the error of ctx.
func (e *Entry) Wait(ctx context.Context) (*briarstandv1.QueryResponse, error) {
	select {
	case <-e.done:
		return proto.CloneOf(e.resp), nil
	default:
	}
	select {
	case <-e.done:
		return proto.CloneOf(e.resp), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// expiryHeap is a min-heap of used tickets by expiry.
type expiryHeap []*Entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry < h[j].expiry }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an *Entry. It implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*Entry)) }

// Pop removes the last element. It implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
