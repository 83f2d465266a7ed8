package query

import (
	"sync"
	"time"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
)

// noAttempt takes the place of an attempt's tag (its index in collector.attempts)
// if there is no attempt.
const noAttempt = -1

// attempt is one sub-request that was handed to the transport.
type attempt struct {
	position int32 // of the shard among the query's shards
	previous int32 // earlier attempt for the same shard, or noAttempt
	round    int32 // value of run.round when the attempt was sent
	// replied and cancelled are guarded by the collector's lock.
	replied   bool
	cancelled bool // by the query; a reply may still arrive
	backend   *config.Backend
	start     time.Time
	call      backend.Call // only used by the query's goroutine
}

// delivery is a reply that is queued for the query's goroutine.
type delivery struct {
	tag     int
	latency time.Duration
	reply   backend.Reply
}

// collector receives the replies of one query; it is the backend.Sink of its attempts.
// Deliver may be called at any time, also long after the query was answered, and
// only the first reply of an attempt counts.
type collector struct {
	picker Picker

	mu       sync.Mutex
	attempts []attempt
	inbox    []delivery
	closed   bool
	signal   chan struct{} // holds a value while the inbox is not empty
}

func newCollector(picker Picker, n int) *collector {
	return &collector{
		picker:   picker,
		attempts: make([]attempt, 0, n+n/8+1),
		inbox:    make([]delivery, 0, n),
		signal:   make(chan struct{}, 1),
	}
}

// Deliver accepts the reply of an attempt. Replies of unknown attempts and
// duplicate replies are dropped.
func (c *collector) Deliver(tag int, r backend.Reply) {
	now := time.Now()
	c.mu.Lock()
	if tag < 0 || tag >= len(c.attempts) || c.attempts[tag].replied {
		c.mu.Unlock()
		return
	}
	a := &c.attempts[tag]
	a.replied = true
	id, latency, status := a.backend.ID, now.Sub(a.start), r.Status
	if a.cancelled && status == backend.Failed {
		// A backend server may report Failed for a running sub-request that was
		// cancelled. This is no fault of the server, so the picker must not avoid
		// it. The query still sees that the sub-request ran.
		status = backend.Cancelled
	}
	wake := false
	if !c.closed {
		wake = len(c.inbox) == 0
		c.inbox = append(c.inbox, delivery{tag: tag, latency: latency, reply: r})
	}
	c.mu.Unlock()
	c.picker.Finished(id, latency, status)
	if wake {
		select {
		case c.signal <- struct{}{}:
		default:
		}
	}
}

// add registers an attempt before it is sent and returns its tag.
func (c *collector) add(a attempt) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	return len(c.attempts) - 1
}

// swapInbox returns the queued replies and uses spare as the next inbox.
func (c *collector) swapInbox(spare []delivery) []delivery {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := c.inbox
	c.inbox = spare[:0]
	return batch
}

// close closes the inbox and returns its replies. Later replies are reported only
// to the picker.
func (c *collector) close() []delivery {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.inbox
}

// markCancelled marks an attempt as cancelled by the query. It returns false if
// the reply has already arrived.
func (c *collector) markCancelled(tag int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &c.attempts[tag]
	if a.replied {
		return false
	}
	a.cancelled = true
	return true
}
