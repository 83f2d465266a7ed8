package mirror

import (
	"context"
	"time"
)

// Update is what another VM has learned from the store.
type Update struct {
	// Listing is set, in place of changes, if the other VM no longer has the
	// changes after the revision that was asked for.
	Listing *Listing `json:"listing,omitempty"`
	Changes Changes  `json:"changes"`
	// Age is how long ago the store confirmed the revision.
	Age time.Duration `json:"age"`
	// Back is how long the store has answered again after an outage, if records
	// may still be missing for it.
	Back time.Duration `json:"back,omitempty"`
}

// Source is the VM from which others in its zone take what the store says, so
// that not each of them has to ask the store.
type Source interface {
	// Available reports whether there is such a VM. A VM that is the source of
	// its zone has none.
	Available() bool
	// Follow returns what the source has learned after a revision, as soon as
	// there is something or when wait has passed. ok is false if the source does
	// not follow the store now.
	Follow(ctx context.Context, after int64, wait time.Duration) (u Update, ok bool, err error)
}

const (
	// sourceWait is how long a source is asked to wait for changes. A source
	// that is frozen or cut off is noticed so soon after.
	sourceWait = 400 * time.Millisecond
	// sourceGrace is how much later the call is given up: a round trip in the
	// zone, and a source that is busy.
	sourceGrace = 300 * time.Millisecond
	// sourceTries is how often a source that has just lost the store is asked
	// again, and sourcePause the pause between: a watch that was cut is back at
	// once.
	sourceTries = 3
	sourcePause = 100 * time.Millisecond
	// sourceRetry is how long a VM follows the store itself after its source
	// has failed.
	sourceRetry = 3 * time.Second
)

// followSource takes one update from the source. It returns false if the store
// is to be asked instead.
func (f *Follower) followSource(ctx context.Context) bool {
	if f.cfg.Source == nil || !f.cfg.Source.Available() || f.cfg.Mirror.Revision() == 0 || time.Now().Before(f.directUntil) {
		return false
	}
	var u Update
	var ok bool
	var err error
	for try := 0; !ok && err == nil && try < sourceTries && ctx.Err() == nil; try++ {
		if try > 0 {
			sleep(ctx, sourcePause)
		}
		call, cancel := context.WithTimeout(ctx, sourceWait+sourceGrace)
		u, ok, err = f.cfg.Source.Follow(call, f.cfg.Mirror.Revision(), sourceWait)
		cancel()
	}
	if err != nil {
		f.directUntil = time.Now().Add(sourceRetry)
		if ctx.Err() == nil {
			f.cfg.Logger.Info("following the store itself", "revision", f.cfg.Mirror.Revision(), "error", err.Error())
		}
	}
	if err != nil || !ok {
		return false
	}
	if u.Back > 0 {
		f.backAt.Store(time.Now().Add(-u.Back).UnixNano())
	}
	changed := false
	if u.Listing != nil {
		if changed, err = f.cfg.Mirror.Replace(*u.Listing); err != nil {
			return false // the source is behind this VM
		}
	} else {
		changed = f.cfg.Mirror.Apply(u.Changes)
	}
	f.heardAt.Store(time.Now().Add(-u.Age).UnixNano())
	if f.lost.CompareAndSwap(true, false) {
		f.cfg.Logger.Info("store answers another VM, which is followed", "revision", f.cfg.Mirror.Revision())
	}
	if changed {
		f.changed()
	}
	return true
}

// Serve returns what the mirror has after a revision, for another VM, as soon as
// there is something or when wait has passed. ok is false if this VM does not
// follow the store itself, or has lost it.
func (f *Follower) Serve(ctx context.Context, after int64, wait time.Duration) (u Update, ok bool) {
	f.cfg.Mirror.Wait(ctx, after, wait)
	now := time.Now()
	age, heard := f.Age(now)
	if !heard || !f.direct.Load() || f.lost.Load() {
		return u, false
	}
	u.Age = age
	if f.Settling(now) {
		u.Back = max(1, now.Sub(time.Unix(0, f.backAt.Load())))
	}
	var complete bool
	if u.Changes, complete = f.cfg.Mirror.Since(after); !complete {
		l := f.cfg.Mirror.Listing()
		u.Listing, u.Changes = &l, Changes{}
	}
	return u, true
}
