package forward

import (
	"sync"
	"time"
)

const (
	// waitWindow is the time over which the longest wait of a route's callers is
	// remembered, at least; it is forgotten after two windows.
	waitWindow = 20 * time.Second
	// minWaitSamples is how many waits of a route must be known to tell how long a
	// caller has been waiting. Right after a start, all callers have to connect.
	minWaitSamples = 8
)

// callerWaits estimates how long callers of a route have been waiting when their
// requests arrive. A caller says how much longer it waits. All begin with the
// same time, so the difference from the longest one seen was spent on resolving
// an address, connecting and earlier attempts.
type callerWaits struct {
	mu                sync.Mutex
	windowStart       time.Time
	longest, previous time.Duration // in the current window and the one before it
	samples           int
}

// observe records how much longer a caller waits and returns how long it has
// been waiting. known is false while too few waits are known.
func (w *callerWaits) observe(remaining time.Duration, now time.Time) (elapsed time.Duration, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch age := now.Sub(w.windowStart); {
	case age >= 2*waitWindow:
		w.windowStart, w.longest, w.previous, w.samples = now, 0, 0, 0
	case age >= waitWindow:
		w.windowStart, w.longest, w.previous = now, 0, w.longest
	}
	w.longest = max(w.longest, remaining)
	w.samples++
	return max(w.longest, w.previous) - remaining, w.samples >= minWaitSamples
}

// unused reports whether nothing was observed for so long that nothing is known.
func (w *callerWaits) unused(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.windowStart) >= 2*waitWindow
}

// callerElapsed returns how long the caller of a request had been waiting when
// the request arrived.
func (e *Engine) callerElapsed(job Job) time.Duration {
	if job.Wait <= 0 {
		return e.cfg.Policy.ConnectTime
	}
	w, ok := e.waits.Load(job.Route.Name)
	if !ok {
		w, _ = e.waits.LoadOrStore(job.Route.Name, &callerWaits{})
	}
	if elapsed, known := w.(*callerWaits).observe(job.Wait, job.Arrived); known {
		return elapsed
	}
	return e.cfg.Policy.ConnectTime
}

// forgetWaits drops the waits of routes that are no longer used.
func (e *Engine) forgetWaits(now time.Time) {
	e.waits.Range(func(route, w any) bool {
		if w.(*callerWaits).unused(now) {
			e.waits.Delete(route)
		}
		return true
	})
}
