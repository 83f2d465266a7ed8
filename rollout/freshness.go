package rollout

import (
	"fmt"
	"sync/atomic"
	"time"
)

// NotAdmittedError reports that this VM may not admit new queries.
type NotAdmittedError struct{ Reason string }

func (e *NotAdmittedError) Error() string {
	return fmt.Sprintf("not admitting queries: %s", e.Reason)
}

var (
	errNotLoaded = &NotAdmittedError{"no configuration was read since the start"}
	errExpired   = &NotAdmittedError{"the configuration was not confirmed within the freshness window"}
)

// freshness is a lease on admitting queries. It uses the monotonic clock, so a
// VM that was paused past the end of the lease refuses queries at once.
type freshness struct {
	base   time.Time
	window time.Duration
	// until is when the lease expires, in nanoseconds after base; 0 before
	// the first grant.
	until atomic.Int64
	// contact is when the last answered request to a peer was sent, in
	// nanoseconds after base.
	contact atomic.Int64
}

// newFreshness returns a freshness that was never granted. The VM's own window
// is a tenth shorter than the one its peers use, so that its freshness expires
// before they stop requiring its confirmation, even with clock drift.
func newFreshness(now time.Time, window time.Duration) *freshness {
	return &freshness{base: now, window: window - window/10}
}

// grant extends the lease to one window after a request was sent. The time of
// the reply is not used, because the state in the reply may be as old as the
// request.
func (f *freshness) grant(sent time.Time) {
	storeMax(&f.until, int64(sent.Add(f.window).Sub(f.base)))
}

// recordContact records that a peer answered a request sent at the given time.
func (f *freshness) recordContact(sent time.Time) {
	storeMax(&f.contact, int64(sent.Sub(f.base)))
}

// lastContact returns when the last answered request to a peer was sent; false if
// there was none.
func (f *freshness) lastContact() (time.Time, bool) {
	n := f.contact.Load()
	return f.base.Add(time.Duration(n)), n > 0
}

// remaining returns the time until the lease expires; it is negative after that.
func (f *freshness) remaining() time.Duration {
	return time.Duration(f.until.Load()) - time.Since(f.base)
}

// fresh reports whether the VM may admit queries.
func (f *freshness) fresh() bool { return f.remaining() > 0 }

// loaded reports whether the VM was ever fresh, and thus has read the
// configuration.
func (f *freshness) loaded() bool { return f.until.Load() > 0 }

// expiresAt returns when the lease expires or expired.
func (f *freshness) expiresAt() time.Time {
	return f.base.Add(time.Duration(f.until.Load()))
}

// admit returns nil while the VM may admit queries.
func (f *freshness) admit() error {
	until := f.until.Load()
	switch {
	case int64(time.Since(f.base)) < until:
		return nil
	case until == 0:
		return errNotLoaded
	default:
		return errExpired
	}
}

// storeMax raises v to at least the given value.
func storeMax(v *atomic.Int64, to int64) {
	for {
		old := v.Load()
		if to <= old || v.CompareAndSwap(old, to) {
			return
		}
	}
}
