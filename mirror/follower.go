package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/briarstand/briarstand/internal/contain"
	"github.com/briarstand/briarstand/internal/defaults"
)

// Defaults of FollowerConfig.
const (
	// DefaultWatchWait is how long a watch waits for changes, and
	// DefaultWatchGrace how much later it is given up: a store may stop serving a
	// watch without ending it.
	DefaultWatchWait  = 2500 * time.Millisecond
	DefaultWatchGrace = time.Second
	// DefaultGather is the pause after a change, in which further changes
	// collect; it delays a change by a tenth of the shortest drain bound.
	DefaultGather = 250 * time.Millisecond
	// SettleTime is how long after an outage of the store its records may still
	// be incomplete. Changes gather only for SettleGather then, since users of
	// the mirror wait longer before they believe that a record is gone.
	SettleTime   = 4 * time.Second
	SettleGather = 100 * time.Millisecond
	// DefaultRetryMin and DefaultRetryMax bound the pause after a failed call.
	DefaultRetryMin = 100 * time.Millisecond
	DefaultRetryMax = time.Second
	// DefaultPeerEvery is the pause between reads from other VMs while the
	// store does not answer.
	DefaultPeerEvery = 400 * time.Millisecond
)

// Store is the platform's store as a Follower reads it.
type Store interface {
	// List returns all records.
	List(ctx context.Context) (Listing, error)
	// Watch returns the changes after a revision as soon as there is one, or
	// none when wait has passed. It fails with ErrCompacted when the store has
	// dropped them.
	Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error)
}

// Peers reads the mirror of another VM.
type Peers interface {
	// Fetch returns the listing of some other VM that is newer than after. ok
	// is false if that VM has nothing newer.
	Fetch(ctx context.Context, after int64) (l Listing, ok bool, err error)
}

// FollowerConfig configures a Follower. Mirror, Store and Changed are required.
type FollowerConfig struct {
	Mirror *Mirror
	Store  Store
	// Peers and Source may be nil.
	Peers  Peers
	Source Source
	Logger *log.Logger
	// Panics contains panics and goes on; nil lets them pass.
	Panics *contain.Panics
	// Changed is called after each change of the mirror, by one goroutine at a
	// time.
	Changed func()
	// Zero durations take the defaults above.
	WatchWait, WatchGrace, Gather, RetryMin, RetryMax, PeerEvery time.Duration
}

// Follower keeps a mirror up to date.
type Follower struct {
	cfg      FollowerConfig
	notify   sync.Mutex // serializes Changed
	lost     atomic.Bool
	wasLost  atomic.Bool // a call has failed since the start
	backAt   atomic.Int64
	heardAt  atomic.Int64
	cancelMu sync.Mutex
	cancel   context.CancelFunc // ends the waiting watch
	// direct says that the last answer came from the store itself.
	direct atomic.Bool
	// directUntil is until when the source is not asked. Only followStore uses it.
	directUntil time.Time
}

// NewFollower returns a Follower; Run does the work.
func NewFollower(cfg FollowerConfig) *Follower {
	defaults.Set(&cfg.WatchWait, DefaultWatchWait)
	defaults.Set(&cfg.WatchGrace, DefaultWatchGrace)
	defaults.Set(&cfg.Gather, DefaultGather)
	defaults.Set(&cfg.RetryMin, DefaultRetryMin)
	defaults.Set(&cfg.RetryMax, DefaultRetryMax)
	defaults.Set(&cfg.PeerEvery, DefaultPeerEvery)
	f := &Follower{cfg: cfg}
	f.lost.Store(true) // until the first answer
	return f
}

// StoreLost reports whether the last call to the store failed.
func (f *Follower) StoreLost() bool { return f.lost.Load() }

// Age returns how long ago the store last confirmed the mirror's revision. ok
// is false if it never did.
func (f *Follower) Age(now time.Time) (age time.Duration, ok bool) {
	heard := f.heardAt.Load()
	return now.Sub(time.Unix(0, heard)), heard != 0
}

// Settling reports whether the store answers again only since a short time.
func (f *Follower) Settling(now time.Time) bool {
	return now.Sub(time.Unix(0, f.backAt.Load())) < SettleTime
}

// gather returns how long changes gather.
func (f *Follower) gather() time.Duration {
	if f.Settling(time.Now()) {
		return min(SettleGather, f.cfg.Gather)
	}
	return f.cfg.Gather
}

// CheckStore ends a waiting watch, so that the store is asked again on a new
// call. Others call it when their own calls to the store fail.
func (f *Follower) CheckStore() {
	f.cancelMu.Lock()
	defer f.cancelMu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	if f.cfg.Peers != nil {
		wg.Go(func() { f.cfg.Panics.Loop(ctx, "reads from other VMs", f.followPeers) })
	}
	wg.Go(func() { f.cfg.Panics.Loop(ctx, "store follower", f.followStore) })
	wg.Wait()
}

func (f *Follower) followStore(ctx context.Context) {
	list := true
	pause := f.cfg.RetryMin
	for ctx.Err() == nil {
		if list && f.cfg.Mirror.Revision() > 0 && f.lost.Load() {
			list = false // another VM gave its records meanwhile
		}
		if f.followSource(ctx) {
			f.direct.Store(false)
			continue
		}
		changed, err := f.step(ctx, list)
		if ctx.Err() != nil {
			return
		}
		compacted := errors.Is(err, ErrCompacted)
		var stale *StaleListingError
		switch {
		case err == nil:
			f.regained()
			list = false
			pause = f.cfg.RetryMin
			if changed {
				f.changed()
				sleep(ctx, f.gather())
			}
		case compacted:
			f.regained()
			list = true
			f.cfg.Logger.Info("history of the store was compacted, reading everything", "revision", f.cfg.Mirror.Revision())
		case errors.As(err, &stale):
			// Another VM knew more; the next watch starts from there.
			f.regained()
			list = false
		default:
			f.markLost(err)
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, f.cfg.RetryMax)
		}
	}
}

func (f *Follower) step(ctx context.Context, list bool) (changed bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.cancelMu.Lock()
	f.cancel = cancel
	f.cancelMu.Unlock()
	if list {
		l, err := f.list(ctx)
		if err != nil {
			return false, err
		}
		return f.cfg.Mirror.Replace(l)
	}
	wait := f.cfg.WatchWait
	if f.lost.Load() {
		// A short first watch shows soon whether the store is back.
		wait = f.cfg.Gather
	}
	ctx, stop := context.WithTimeout(ctx, wait+f.cfg.WatchGrace)
	defer stop()
	c, err := f.cfg.Store.Watch(ctx, f.cfg.Mirror.Revision(), wait)
	if err != nil {
		return false, err
	}
	return f.cfg.Mirror.Apply(c), nil
}

// list reads all records. While none are known it asks again before an earlier
// call has ended: a VM that starts while the store is silent cannot serve before
// the first answer, and a call from before the store's return gets none.
func (f *Follower) list(ctx context.Context) (Listing, error) {
	if f.cfg.Mirror.Revision() > 0 {
		return f.cfg.Store.List(ctx)
	}
	type result struct {
		listing Listing
		err     error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, firstLists)
	again := time.NewTimer(0)
	defer again.Stop()
	started, ended := 0, 0
	for {
		select {
		case <-again.C:
			started++
			go func() {
				defer f.cfg.Panics.Recover("listing", func(err error) { results <- result{err: err} })
				l, err := f.cfg.Store.List(ctx)
				results <- result{l, err}
			}()
			if started < firstLists {
				again.Reset(firstListEvery)
			}
		case r := <-results:
			if ended++; r.err == nil || ended == started {
				return r.listing, r.err
			}
		}
	}
}

const (
	// firstLists is how many first listings are under way at most, and
	// firstListEvery the pause between them: a slow store takes as long.
	firstLists     = 4
	firstListEvery = 400 * time.Millisecond
)

func (f *Follower) followPeers(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		sleep(ctx, f.cfg.PeerEvery/2+rand.N(f.cfg.PeerEvery))
		if !f.lost.Load() || ctx.Err() != nil {
			continue
		}
		l, ok, err := f.cfg.Peers.Fetch(ctx, f.cfg.Mirror.Revision())
		if err != nil {
			if !failing {
				f.cfg.Logger.Warn("another VM did not give its records", "error", err.Error())
			}
			failing = true
			continue
		}
		failing = false
		if !ok {
			continue
		}
		changed, err := f.cfg.Mirror.Replace(l)
		if err != nil {
			continue // the mirror became newer in the meantime
		}
		f.cfg.Logger.Info("records taken from another VM", "revision", l.Revision, "records", len(l.Records), "changed", changed)
		if changed {
			f.changed()
		}
	}
}

func (f *Follower) changed() {
	f.notify.Lock()
	defer f.notify.Unlock()
	f.cfg.Changed()
}

func (f *Follower) regained() {
	f.direct.Store(true)
	f.heardAt.Store(time.Now().UnixNano())
	if f.lost.CompareAndSwap(true, false) {
		if f.wasLost.Load() {
			f.backAt.Store(time.Now().UnixNano())
		}
		f.cfg.Logger.Info("store answers", "revision", f.cfg.Mirror.Revision())
	}
}

func (f *Follower) markLost(err error) {
	first := !f.wasLost.Swap(true)
	if f.lost.CompareAndSwap(false, true) || first {
		f.cfg.Logger.Warn("store does not answer", "revision", f.cfg.Mirror.Revision(), "error", err.Error())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
