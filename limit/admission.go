// Package limit bounds what a service may use at one VM: the queries that run
// and wait at once, and the extra sub-requests that hedges and retries send.
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
	// serviceTimeDivisor is the share of the newest sample in the moving
	// average of service time, as one part in this number.
	serviceTimeDivisor = 8
	// minRetryAfter and maxRetryAfter bound the advice in an OverloadError.
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxQueueTime is the longest time in the queue. A request that is refused after
	// it can still be tried at another VM within the usual deadlines.
	maxQueueTime = 30 * time.Millisecond

	lowestPriority  = int(config.PriorityLow)
	highestPriority = int(config.PriorityHigh)
)

// Limits are the bounds of one service at one VM.
type Limits struct {
	// MaxConcurrent is how many requests run at once; below 1 counts as 1.
	MaxConcurrent int
	// MaxQueued is how many requests wait; 0 refuses whatever cannot start.
	MaxQueued int
}

// OverloadError reports a request that was refused before it started.
type OverloadError struct {
	// Reason says which bound refused the request.
	Reason string
	// RetryAfter is the time after which another try is worthwhile.
	RetryAfter time.Duration
}

func (e *OverloadError) Error() string {
	return fmt.Sprintf("overloaded: %s; retry after %v", e.Reason, e.RetryAfter)
}

// Admission bounds the requests of one service that run and wait at a VM.
type Admission struct {
	mu          sync.Mutex
	limits      Limits
	running     int
	queued      int
	queues      [highestPriority + 1]list.List // of *waiter, first in first out, by priority
	serviceTime time.Duration                  // moving average, 0 before the first sample
	adaptive    adaptiveLimit
}

// waiter is a queued request. The one who removes it from its queue sends to
// ready exactly once, unless the waiter removes itself.
type waiter struct {
	priority    int
	latestStart time.Time // latest useful start
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

// SetLimits changes the limits. Running requests keep running and count
// against the new limit; waiting requests beyond the new queue bound are
// refused, those of the lowest priority first.
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

// Observe tells whether a running request met congested backend servers. While
// most requests do, fewer than MaxConcurrent run at once; the rest wait or are
// refused here, where a refusal is quick and costs the backend servers nothing.
func (a *Admission) Observe(congested bool) {
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

// Limit returns how many requests may run at once now.
func (a *Admission) Limit() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.concurrencyLimit()
}

// bound is Limit with the lock held.
func (a *Admission) concurrencyLimit() int { return a.adaptive.effective(a.limits.MaxConcurrent) }

// Running returns how many requests run.
func (a *Admission) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running
}

// Queued returns how many requests wait.
func (a *Admission) Queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queued
}

// Acquire waits until the request may run and returns the function that ends
// it, which is idempotent. It fails with an *OverloadError when the queue is
// full, when the request cannot finish before the deadline of ctx or would
// wait longer than 30 ms, judged by recent service time, or when ctx ends.
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

// enter starts the request (no waiter), queues it, or refuses it.
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

// latestStart returns when a request must start to end before its deadline,
// judged by recent service time, and to wait no longer than allowed.
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

// leave takes the waiter out of its queue. If it was granted meanwhile, the
// grant is given back, because the request can no longer meet its deadline.
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

// grant starts waiting requests while the limit allows it. Requests that can
// no longer meet their deadline are refused instead of started.
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

// first returns the waiter that starts next.
func (a *Admission) nextWaiter() *waiter {
	for level := highestPriority; level >= lowestPriority; level-- {
		if e := a.queues[level].Front(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// last returns the waiter that starts last, of the given priority or above.
func (a *Admission) lastWaiter(from int) *waiter {
	for level := from; level <= highestPriority; level++ {
		if e := a.queues[level].Back(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

func (a *Admission) queuedAhead(level int) int {
	ahead := 0
	for l := level; l <= highestPriority; l++ {
		ahead += a.queues[l].Len()
	}
	return ahead
}

// estimatedWait estimates how long a request waits behind others in the queue.
func (a *Admission) estimatedWait(ahead int) time.Duration {
	return a.serviceTime * time.Duration(ahead+1) / time.Duration(a.concurrencyLimit())
}

func (a *Admission) newOverloadError(reason string, ahead int) *OverloadError {
	retry := min(max(a.estimatedWait(ahead), minRetryAfter), maxRetryAfter)
	return &OverloadError{Reason: reason, RetryAfter: retry}
}
