// Package limit bounds the resources used at one VM: the running and queued
// queries of a service, the extra sub-requests that hedges and retries send, and
// the memory that is held.
package limit

import (
	"container/list"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarstand/briarstand/config"
)

const (
	// serviceTimeDivisor is the inverse of the EWMA weight of the newest service
	// time.
	serviceTimeDivisor = 8
	// minRetryAfter and maxRetryAfter bound OverloadError.RetryAfter.
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxQueueTime is the longest time that a request waits in the queue. A
	// request refused after it can still be sent to another VM within typical
	// deadlines.
	maxQueueTime = 30 * time.Millisecond

	lowestPriority  = int(config.PriorityLow)
	highestPriority = int(config.PriorityHigh)
)

// Limits are the admission limits of one service at one VM.
type Limits struct {
	// MaxConcurrent is the number of requests that may run at the same time; a
	// value below 1 counts as 1.
	MaxConcurrent int
	// MaxQueued is the number of requests that may wait; with 0 a request that
	// cannot start immediately is refused.
	MaxQueued int
}

// OverloadError reports a request that was refused before it started.
type OverloadError struct {
	// Reason says why the request was refused.
	Reason string
	// RetryAfter is how long to wait before a retry.
	RetryAfter time.Duration
}

func (e *OverloadError) Error() string {
	return fmt.Sprintf("overloaded: %s; retry after %v", e.Reason, e.RetryAfter)
}

// Admission is the admission control of one service at a VM. It bounds the
// requests that run and wait.
type Admission struct {
	mu          sync.Mutex
	limits      Limits
	running     int
	queued      int
	queues      [highestPriority + 1]list.List // FIFO queues of *waiter, by priority
	serviceTime time.Duration                  // EWMA, 0 before the first sample
	adaptive    adaptiveLimit
}

// waiter is a queued request. Whichever goroutine removes it from its queue sends the
// decision to ready exactly once: nil to start, or the refusal. The waiting goroutine
// itself sends nothing when it cancels.
type waiter struct {
	priority    int
	latestStart time.Time // the request is refused after this time
	element     *list.Element
	ready       chan error
}

// NewAdmission returns an Admission with the given limits.
func NewAdmission(limits Limits) *Admission {
	a := &Admission{}
	a.limits = limits.normalized()
	return a
}

func (l Limits) normalized() Limits {
	return Limits{MaxConcurrent: max(l.MaxConcurrent, 1), MaxQueued: max(l.MaxQueued, 0)}
}

// SetLimits changes the limits. Running requests continue and count against the
// new limit; queued requests beyond the new MaxQueued are refused, those of the
// lowest priority first.
func (a *Admission) SetLimits(limits Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limits == limits.normalized() {
		return
	}
	a.limits = limits.normalized()
	a.grant()
	for a.queued > a.limits.MaxQueued {
		a.refuse(a.lastWaiter(lowestPriority), "queue limit was lowered")
	}
}

// ObserveCongestion records whether a running request met congested backend servers.
// If most requests do, the concurrency limit drops below MaxConcurrent. Requests
// above it wait or are refused here, which is fast and puts no load on the backend
// servers.
func (a *Admission) ObserveCongestion(congested bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	overThreshold := a.adaptive.observe(congested)
	switch now := time.Now(); {
	case overThreshold && congested:
		a.adaptive.decrease(now, a.running, a.limits.MaxConcurrent, a.serviceTime)
	case !overThreshold && a.running >= a.concurrencyLimit():
		a.adaptive.increase(now, a.limits.MaxConcurrent)
		a.grant()
	}
}

// Limit returns the number of requests that may currently run.
func (a *Admission) Limit() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.concurrencyLimit()
}

// concurrencyLimit is Limit with the lock held.
func (a *Admission) concurrencyLimit() int { return a.adaptive.effective(a.limits.MaxConcurrent) }

// Running returns the number of running requests.
func (a *Admission) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running
}

// Queued returns the number of queued requests.
func (a *Admission) Queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queued
}

// Acquire waits until the request may run and returns the function that releases
// its slot, which is idempotent. It fails with an *OverloadError if
//   - the queue is full,
//   - by recent service times, the request cannot finish before the deadline of ctx,
//     or would wait longer than 30 ms,
//   - a request of higher priority takes its place, or a lower queue limit removes it,
//   - or ctx ends.
func (a *Admission) Acquire(ctx context.Context, priority config.Priority) (release func(), err error) {
	w, err := a.admitOrQueue(ctx, priority)
	if err != nil {
		return nil, err
	}
	if w != nil {
		if err := a.wait(ctx, w); err != nil {
			return nil, err
		}
	}
	return a.releaseFunc(time.Now()), nil
}

// admitOrQueue starts the request and returns nil, queues it and returns its waiter,
// or refuses it with an error.
func (a *Admission) admitOrQueue(ctx context.Context, priority config.Priority) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	level := min(max(int(priority), lowestPriority), highestPriority)
	if ctx.Err() != nil {
		return nil, a.newOverloadError("the deadline passed before admission", 0)
	}
	if a.running < a.concurrencyLimit() && a.queued == 0 {
		a.running++
		return nil, nil
	}
	now := time.Now()
	w := &waiter{priority: level, ready: make(chan error, 1), latestStart: a.latestStart(ctx, now)}
	ahead := a.queuedAhead(level)
	if now.Add(a.estimatedWait(ahead)).After(w.latestStart) {
		return nil, a.newOverloadError("the request would wait too long", ahead)
	}
	if a.queued >= a.limits.MaxQueued {
		victim := a.lastWaiter(lowestPriority)
		if victim == nil || victim.priority >= level {
			return nil, a.newOverloadError("the queue is full", ahead)
		}
		a.refuse(victim, "a request of higher priority took the place in the queue")
	}
	w.element = a.queues[level].PushBack(w)
	a.queued++
	return w, nil
}

// latestStart returns the latest time at which a request may start: after waiting
// maxQueueTime, or earlier if, by recent service times, it could otherwise not finish
// before its deadline.
func (a *Admission) latestStart(ctx context.Context, now time.Time) time.Time {
	latest := now.Add(maxQueueTime)
	if deadline, ok := ctx.Deadline(); ok && deadline.Add(-a.serviceTime).Before(latest) {
		return deadline.Add(-a.serviceTime)
	}
	return latest
}

func (a *Admission) wait(ctx context.Context, w *waiter) error {
	timer := time.NewTimer(time.Until(w.latestStart))
	defer timer.Stop()
	select {
	case err := <-w.ready:
		return err
	case <-timer.C:
		return a.cancelWait(w, "the request waited too long")
	case <-ctx.Done():
		return a.cancelWait(w, "the caller stopped waiting")
	}
}

// cancelWait removes the waiter from its queue. If it was granted a slot in the
// meantime, the slot is released, because the request can no longer meet its
// deadline.
func (a *Admission) cancelWait(w *waiter, reason string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.element != nil {
		a.remove(w)
		return a.newOverloadError(reason, a.queued)
	}
	if err := <-w.ready; err != nil {
		return err
	}
	a.running--
	a.grant()
	return a.newOverloadError(reason, a.queued)
}

// releaseFunc returns the function that releases the slot of a request and adds
// its service time to the average.
func (a *Admission) releaseFunc(start time.Time) func() {
	var done atomic.Bool
	return func() {
		if !done.CompareAndSwap(false, true) {
			return
		}
		elapsed := time.Since(start)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.running--
		if a.serviceTime == 0 {
			a.serviceTime = elapsed
		} else {
			a.serviceTime += (elapsed - a.serviceTime) / serviceTimeDivisor
		}
		a.grant()
	}
}

// grant starts queued requests while the concurrency limit allows it. Requests
// that can no longer meet their deadline are refused instead.
func (a *Admission) grant() {
	now := time.Now()
	for a.running < a.concurrencyLimit() {
		w := a.nextWaiter()
		if w == nil {
			return
		}
		if now.After(w.latestStart) {
			a.refuse(w, "the request waited too long")
			continue
		}
		a.remove(w)
		a.running++
		w.ready <- nil
	}
}

func (a *Admission) refuse(w *waiter, reason string) {
	a.remove(w)
	w.ready <- a.newOverloadError(reason, a.queued)
}

func (a *Admission) remove(w *waiter) {
	a.queues[w.priority].Remove(w.element)
	w.element = nil
	a.queued--
}

// nextWaiter returns the waiter that starts next, or nil.
func (a *Admission) nextWaiter() *waiter {
	for level := highestPriority; level >= lowestPriority; level-- {
		if e := a.queues[level].Front(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// lastWaiter returns the waiter of the given priority or above that starts last,
// or nil.
func (a *Admission) lastWaiter(from int) *waiter {
	for level := from; level <= highestPriority; level++ {
		if e := a.queues[level].Back(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// queuedAhead returns the number of queued requests that start before a new one of
// the given priority.
func (a *Admission) queuedAhead(level int) int {
	ahead := 0
	for l := level; l <= highestPriority; l++ {
		ahead += a.queues[l].Len()
	}
	return ahead
}

// estimatedWait estimates how long a request waits behind the given number of queued
// ones.
func (a *Admission) estimatedWait(ahead int) time.Duration {
	return a.serviceTime * time.Duration(ahead+1) / time.Duration(a.concurrencyLimit())
}

func (a *Admission) newOverloadError(reason string, ahead int) *OverloadError {
	retry := min(max(a.estimatedWait(ahead), minRetryAfter), maxRetryAfter)
	return &OverloadError{Reason: reason, RetryAfter: retry}
}
