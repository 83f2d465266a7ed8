package mirror

import (
	"context"
	"time"
)

// Update holds what another VM has received from the store.
type Update struct {
	// Listing is set instead of Changes if the other VM no longer has all changes
	// after the requested revision.
	Listing *Listing `json:"listing,omitempty"`
	Changes Changes  `json:"changes"`
	// Age is the time since the store last confirmed the revision.
	Age time.Duration `json:"age"`
	// SinceOutage is the time since the end of a store outage because of which
	// records may still be missing; 0 if there is none.
	SinceOutage time.Duration `json:"back,omitempty"`
}

// Source is the VM that forwards the store's changes to the other VMs of its zone,
// so that not every VM calls the store.
type Source interface {
	// Available reports whether this VM has a source. The source of a zone has
	// none itself.
	Available() bool
	// Follow returns the source's changes after a revision, as soon as there are
	// any or when wait has passed. ok is false if the source itself does not
	// follow the store at present.
	Follow(ctx context.Context, after int64, wait time.Duration) (u Update, ok bool, err error)
}

const (
	// sourceWait is how long a call to the source waits for changes. It bounds
	// the time until a source that hangs or is partitioned is detected.
	sourceWait = 400 * time.Millisecond
	// sourceGrace is how long after sourceWait the call times out: it covers a
	// round trip in the zone and a busy source.
	sourceGrace = 300 * time.Millisecond
	// sourceAttempts is the maximum number of calls to a source that has just lost
	// the store, and sourceRetryDelay the pause between them: a broken watch is
	// usually restored at once.
	sourceAttempts   = 3
	sourceRetryDelay = 100 * time.Millisecond
	// sourceBackoff is how long a VM follows the store itself after a call to its
	// source has failed.
	sourceBackoff = 3 * time.Second
)

// followSource applies one update from the source. It returns false if the store
// has to be called instead.
func (f *Follower) followSource(ctx context.Context) bool {
	if f.cfg.Source == nil || !f.cfg.Source.Available() || f.cfg.Mirror.Revision() == 0 || time.Now().Before(f.sourceBackoffUntil) {
		return false
	}
	var u Update
	var ok bool
	var err error
	for attempt := 0; !ok && err == nil && attempt < sourceAttempts && ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			sleep(ctx, sourceRetryDelay)
		}
		call, cancel := context.WithTimeout(ctx, sourceWait+sourceGrace)
		u, ok, err = f.cfg.Source.Follow(call, f.cfg.Mirror.Revision(), sourceWait)
		cancel()
	}
	if err != nil {
		f.sourceBackoffUntil = time.Now().Add(sourceBackoff)
		if ctx.Err() == nil {
			f.cfg.Logger.Info("following the store itself", "revision", f.cfg.Mirror.Revision(), "error", err.Error())
		}
	}
	if err != nil || !ok {
		return false
	}
	if u.SinceOutage > 0 {
		f.outageEndedAt.Store(time.Now().Add(-u.SinceOutage).UnixNano())
	}
	changed := false
	if u.Listing != nil {
		if changed, err = f.cfg.Mirror.Replace(*u.Listing); err != nil {
			return false // the source lags behind this VM
		}
	} else {
		changed = f.cfg.Mirror.Apply(u.Changes)
	}
	f.confirmedAt.Store(time.Now().Add(-u.Age).UnixNano())
	if f.lost.CompareAndSwap(true, false) {
		f.cfg.Logger.Info("store answers another VM, which is followed", "revision", f.cfg.Mirror.Revision())
	}
	if changed {
		f.notifyChanged()
	}
	return true
}

// Serve returns the changes after a revision to another VM, as soon as there are
// any or when wait has passed. ok is false if this VM does not follow the store
// itself, or the store is unavailable.
func (f *Follower) Serve(ctx context.Context, after int64, wait time.Duration) (u Update, ok bool) {
	f.cfg.Mirror.Wait(ctx, after, wait)
	now := time.Now()
	age, confirmed := f.Age(now)
	if !confirmed || !f.direct.Load() || f.lost.Load() {
		return u, false
	}
	u.Age = age
	if f.Settling(now) {
		u.SinceOutage = max(1, now.Sub(time.Unix(0, f.outageEndedAt.Load())))
	}
	var complete bool
	if u.Changes, complete = f.cfg.Mirror.Since(after); !complete {
		l := f.cfg.Mirror.Listing()
		u.Listing, u.Changes = &l, Changes{}
	}
	return u, true
}
