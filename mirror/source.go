package mirror

import (
	"context"
	"time"
)

// Update is the source's reply to Follow.
type Update struct {
	// Listing is set instead of Changes if the source no longer has all changes
	// after the requested position.
	Listing *Listing `json:"listing,omitempty"`
	Changes Changes  `json:"changes"`
	// Digest is the digest of the source's records at Changes.Revision; 0 if unknown.
	Digest uint64 `json:"digest,omitempty"`
	// Age is the time since the store last confirmed the source's revision, and Held
	// how long the source held the call, both when it replied.
	Age  time.Duration `json:"age"`
	Held time.Duration `json:"held,omitempty"`
	// SinceOutage is the time since the last store outage ended, or 0 if that was
	// more than SettleTime ago. Until then records may be missing.
	SinceOutage time.Duration `json:"back,omitempty"`
}

// Source is the VM that forwards the store's changes to the other VMs of its zone,
// so that not every VM calls the store.
type Source interface {
	// Available reports whether this VM has a source. The source of a zone has
	// none itself.
	Available() bool
	// Follow returns the source's changes after a position, as soon as there are
	// any or when wait has passed. ok is false if there is no source, or if the
	// source does not get its records from the store at present; this VM must then
	// call the store itself.
	Follow(ctx context.Context, after Position, wait time.Duration) (u Update, ok bool, err error)
}

const (
	// sourceWait is how long a call to the source waits for changes. It is short
	// so that a source that hangs or is partitioned is detected soon.
	sourceWait = 400 * time.Millisecond
	// sourceGrace is how long after sourceWait the call times out. It covers a
	// round trip in the zone and a busy source.
	sourceGrace = 300 * time.Millisecond
	// sourceReplyTime is the time that a call to the source takes beside its wait. A
	// call that could not end before FollowerConfig.MaxAge is not made.
	sourceReplyTime = 50 * time.Millisecond
	// sourceAttempts is the maximum number of calls to a source that replies that
	// it has lost the store, and sourceRetryDelay the pause between them. A source
	// usually restores a broken watch at once.
	sourceAttempts   = 3
	sourceRetryDelay = 100 * time.Millisecond
	// sourceBackoff is how long a VM follows the store itself after a call to its
	// source has failed.
	sourceBackoff = 3 * time.Second
)

// followSource gets one update from the source and applies it. It returns false
// if it got none, or if the records reach FollowerConfig.MaxAge without a word of the
// store through the source; the caller must then call the store.
func (f *Follower) followSource(ctx context.Context) bool {
	if f.cfg.Source == nil || !f.cfg.Source.Available() || f.cfg.Mirror.Revision() == 0 || time.Now().Before(f.sourceBackoffUntil) {
		return false
	}
	var u Update
	var ok bool
	var err error
	var start time.Time
	for attempt := 0; !ok && err == nil && attempt < sourceAttempts && ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			sleep(ctx, sourceRetryDelay)
		}
		left := f.untilMaxAge() - sourceReplyTime
		if f.storeLost.Load() {
			left = sourceWait + sourceGrace // only the source can answer
		}
		if left <= 0 {
			f.sourceLost = f.sourceLost || !f.fromStore.Load()
			return false
		}
		start = time.Now()
		call, cancel := context.WithTimeout(ctx, min(left+sourceReplyTime, sourceWait+sourceGrace))
		after := f.cfg.Mirror.Position()
		if f.sourceDiffers {
			after = Position{} // all records
		}
		u, ok, err = f.cfg.Source.Follow(call, after, min(left, sourceWait))
		cancel()
	}
	if err != nil {
		f.sourceBackoffUntil = time.Now().Add(sourceBackoff)
		if ctx.Err() == nil {
			f.cfg.Logger.Info("following the store itself", "revision", f.cfg.Mirror.Revision(), "error", err.Error())
		}
	}
	if err != nil {
		return false
	}
	if !ok {
		f.sourceLost = f.sourceLost || !f.fromStore.Load()
		return false
	}
	f.sourceLost = false
	if u.SinceOutage > 0 {
		f.advanceTo(&f.outageEndedAt, time.Now().Add(-u.SinceOutage))
	}
	// The source replied no earlier than Held after the start of the call.
	u.Changes.CurrentAt = start.Add(u.Held - u.Age)
	if u.Listing != nil {
		u.Listing.CurrentAt = u.Changes.CurrentAt
	}
	_, err = f.change(func() (changed bool, err error) {
		changed, f.sourceDiffers, err = f.cfg.Mirror.Merge(u)
		return changed, err
	})
	if err != nil {
		return false // the source lags behind this VM
	}
	if f.sourceDiffers {
		f.cfg.Logger.Warn("records differ from the source's, reading all of them", "revision", f.cfg.Mirror.Revision())
	}
	if f.storeLost.CompareAndSwap(true, false) {
		f.cfg.Logger.Info("store answers another VM, which is followed", "revision", f.cfg.Mirror.Revision())
	}
	return true
}

// servesStore reports whether this VM gets its records from the store at present.
func (f *Follower) servesStore() bool { return f.fromStore.Load() && !f.storeLost.Load() }

// Serve is the source's side of Source.Follow: it returns the changes after a
// position, as soon as there are any or when wait has passed. ok is false if
// this VM gets its records from a source itself, or if it has lost the store.
func (f *Follower) Serve(ctx context.Context, after Position, wait time.Duration) (u Update, ok bool) {
	start := time.Now()
	if !f.servesStore() {
		return u, false
	}
	f.cfg.Mirror.Wait(ctx, after, wait)
	u = f.cfg.Mirror.UpdateSince(after)
	currentAt := u.Changes.CurrentAt
	if u.Listing != nil {
		currentAt = u.Listing.CurrentAt
	}
	if currentAt.IsZero() || !f.servesStore() {
		return u, false
	}
	now := time.Now()
	u.Age, u.Held = now.Sub(currentAt), now.Sub(start)
	if f.Settling(now) {
		ended, _ := f.since(&f.outageEndedAt)
		u.SinceOutage = max(1, now.Sub(ended))
	}
	return u, true
}
