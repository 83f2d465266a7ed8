package mirror

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/briarstand/briarstand/internal/contain"
	"github.com/briarstand/briarstand/internal/defaults"
	"github.com/briarstand/briarstand/kvstore"
)

// Defaults of FollowerConfig.
const (
	// DefaultWatchWait is how long a watch waits for changes, and
	// DefaultWatchGrace how long after that it times out. The timeout is needed
	// because a store may stop serving a watch without closing it.
	DefaultWatchWait  = 2500 * time.Millisecond
	DefaultWatchGrace = time.Second
	// DefaultBatchDelay is the pause after a change during which further changes
	// are batched. It delays a change by less than a tenth of the shortest drain
	// bound.
	DefaultBatchDelay = 250 * time.Millisecond
	// SettleTime is how long after a store outage records may still be missing:
	// leases expired, and their owners register again. Changes are then batched only
	// for SettleBatchDelay.
	SettleTime       = 4 * time.Second
	SettleBatchDelay = 100 * time.Millisecond
	// maxAnswerGap is the time without an answer of the store, to calls that are made
	// about every second, after which it may have been away.
	maxAnswerGap = 1500 * time.Millisecond
	// DefaultRetryMin and DefaultRetryMax bound the backoff after a failed call.
	DefaultRetryMin = 100 * time.Millisecond
	DefaultRetryMax = time.Second
	// DefaultPeerInterval is the mean pause between reads from other VMs while the
	// store is unavailable.
	DefaultPeerInterval = 400 * time.Millisecond
)

// Store is the platform's store as a Follower reads it.
type Store interface {
	// List returns all records.
	List(ctx context.Context) (Listing, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// none when wait has passed, and the store's era. It fails with ErrCompacted when the
	// store does not have them.
	Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error)
}

// Peers reads the mirror of another VM.
type Peers interface {
	// Fetch returns the listing of some other VM that is newer than after. ok
	// is false if that VM has nothing newer.
	Fetch(ctx context.Context, after Position) (l Listing, ok bool, err error)
}

// FollowerConfig configures a Follower. Mirror, Store and Changed are required.
type FollowerConfig struct {
	Mirror *Mirror
	Store  Store
	// Peers and Source may be nil.
	Peers  Peers
	Source Source
	Logger *log.Logger
	// Panics recovers from panics and restarts the work; nil lets them propagate.
	Panics *contain.Panics
	// Changed is called after each change of the mirror, by one goroutine at a
	// time. currentAt is the last moment at which the store is known to have held the
	// records before the change, so it acknowledged the change later; the zero time if
	// there is none.
	Changed func(currentAt time.Time)
	// MaxAge is the age of the records at which the VM calls the store itself,
	// whatever its source says; 0 means that only the source's word counts.
	MaxAge time.Duration
	// Zero durations take the defaults above.
	WatchWait, WatchGrace, BatchDelay, RetryMin, RetryMax, PeerInterval time.Duration
}

// Follower keeps a mirror up to date.
type Follower struct {
	cfg       FollowerConfig
	epoch     time.Time  // the times below count from it, so that steps of the clock do not change them
	changeMu  sync.Mutex // serializes changes of the mirror, each with its call of Changed
	storeLost atomic.Bool
	hasFailed atomic.Bool // a call has failed since the start
	// outageEndedAt is the end of the last outage, answeredAt when the store last answered
	// a call of this VM that is not the Follower's, and failedAt the start of the last call
	// of this VM that it did not answer. They are in nanoseconds since epoch; 0 if there
	// was none.
	outageEndedAt, answeredAt, failedAt atomic.Int64
	cancelMu                            sync.Mutex
	cancelWatch                         context.CancelFunc // cancels the waiting watch
	// fromStore is set if the last answer came from the store itself, and not from
	// the source.
	fromStore atomic.Bool
	// sourceBackoffUntil is the end of the backoff after a failed call to the
	// source. Only the goroutine that runs followStore uses it.
	sourceBackoffUntil time.Time
	// sourceLost is set if the source that this VM followed has lost the store, until
	// the store or the source answers. Only the goroutine that runs followStore uses it.
	sourceLost bool
	// sourceDiffers is set if the records differ from the source's at the same revision.
	// Only the goroutine that runs followStore uses it.
	sourceDiffers bool
}

// NewFollower returns a Follower, which starts to follow the store in Run.
func NewFollower(cfg FollowerConfig) *Follower {
	defaults.Set(&cfg.WatchWait, DefaultWatchWait)
	defaults.Set(&cfg.WatchGrace, DefaultWatchGrace)
	defaults.Set(&cfg.BatchDelay, DefaultBatchDelay)
	defaults.Set(&cfg.RetryMin, DefaultRetryMin)
	defaults.Set(&cfg.RetryMax, DefaultRetryMax)
	defaults.Set(&cfg.PeerInterval, DefaultPeerInterval)
	f := &Follower{cfg: cfg, epoch: time.Now()}
	f.storeLost.Store(true) // until the first answer
	return f
}

// StoreLost reports whether this VM is cut off from the store: it is true from
// the start, and after a failed call to the store, until the store or the source
// answers.
func (f *Follower) StoreLost() bool { return f.storeLost.Load() }

// Age returns how long ago the store last confirmed the mirror's revision, to
// this VM or to its source. ok is false if it never did.
func (f *Follower) Age(now time.Time) (age time.Duration, ok bool) {
	at := f.cfg.Mirror.CurrentAt()
	return now.Sub(at), !at.IsZero()
}

// Settling reports whether the last store outage ended less than SettleTime
// ago, so that records may still be missing.
func (f *Follower) Settling(now time.Time) bool {
	ended, ok := f.since(&f.outageEndedAt)
	return ok && now.Sub(ended) < SettleTime
}

// since returns a moment that is kept in nanoseconds since epoch.
func (f *Follower) since(at *atomic.Int64) (moment time.Time, ok bool) {
	ns := at.Load()
	if ns == 0 {
		return time.Time{}, false
	}
	return f.epoch.Add(time.Duration(ns)), true
}

// advanceTo stores a moment unless a later one is stored.
func (f *Follower) advanceTo(at *atomic.Int64, moment time.Time) {
	ns := max(1, int64(moment.Sub(f.epoch)))
	for old := at.Load(); old < ns && !at.CompareAndSwap(old, ns); old = at.Load() {
	}
}

// untilMaxAge returns how long it is until the records reach MaxAge; 0 if they have.
func (f *Follower) untilMaxAge() time.Duration {
	if f.cfg.MaxAge == 0 {
		return math.MaxInt64
	}
	age, ok := f.Age(time.Now())
	if !ok {
		return 0
	}
	return max(0, f.cfg.MaxAge-age)
}

// batchDelay returns how long changes are batched.
func (f *Follower) batchDelay() time.Duration {
	if f.Settling(time.Now()) {
		return min(SettleBatchDelay, f.cfg.BatchDelay)
	}
	return f.cfg.BatchDelay
}

// StoreAnswered records that the store has answered another call of this VM. It tells an
// outage of the store from one of the source's link to it.
func (f *Follower) StoreAnswered() { f.advanceTo(&f.answeredAt, time.Now()) }

// StoreFailed records that another call of this VM to the store has failed. It cancels a
// waiting watch, so that a new call checks whether the store answers.
func (f *Follower) StoreFailed(start time.Time, err error) {
	f.recordFailure(start, err)
	f.cancelMu.Lock()
	defer f.cancelMu.Unlock()
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// recordFailure records the start of a call that the store has not answered. It has if it
// refuses the call for its rate, or because a lease has ended.
func (f *Follower) recordFailure(start time.Time, err error) {
	if !errors.Is(err, context.Canceled) && !errors.Is(err, kvstore.ErrThrottled) && !errors.Is(err, kvstore.ErrLeaseExpired) {
		f.advanceTo(&f.failedAt, start)
	}
}

// LastFailure returns when the last call of this VM began that the store did not answer. ok
// is false if there was none. The store, or this VM's link to it, was impaired after it.
func (f *Follower) LastFailure() (at time.Time, ok bool) { return f.since(&f.failedAt) }

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	if f.cfg.Peers != nil {
		wg.Go(func() { f.cfg.Panics.Loop(ctx, "peer follower", f.followPeers) })
	}
	wg.Go(func() { f.cfg.Panics.Loop(ctx, "store follower", f.followStore) })
	wg.Wait()
}

func (f *Follower) followStore(ctx context.Context) {
	list := true
	pause := f.cfg.RetryMin
	for ctx.Err() == nil {
		if list && f.cfg.Mirror.Revision() > 0 && f.storeLost.Load() {
			list = false // another VM has provided the records
		}
		if f.followSource(ctx) {
			f.fromStore.Store(false)
			continue
		}
		start := time.Now()
		apply, err := f.readStore(ctx, list || f.sourceDiffers)
		if ctx.Err() != nil {
			return
		}
		var changed bool
		if err == nil {
			f.markAvailable()
			changed, err = f.change(apply)
		}
		compacted := errors.Is(err, ErrCompacted)
		var stale *StaleListingError
		var era *EraError
		switch {
		case err == nil:
			list, f.sourceDiffers = false, false
			pause = f.cfg.RetryMin
			if changed {
				sleep(ctx, f.batchDelay())
			}
		case compacted:
			f.markAvailable()
			list = true
			f.cfg.Logger.Info("store history is compacted, listing all records", "revision", f.cfg.Mirror.Revision())
		case errors.As(err, &era):
			f.markAvailable()
			list = true
			f.cfg.Logger.Info("store has come back from an older copy, listing all records", "era", era.Store, "revision", f.cfg.Mirror.Revision())
		case errors.As(err, &stale):
			// Another VM's records were newer; the next watch starts at their revision.
			list = false
		default:
			f.recordFailure(start, err)
			f.markLost(err)
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, f.cfg.RetryMax)
		}
	}
}

// change changes the mirror and calls Changed if a record did.
func (f *Follower) change(apply func() (changed bool, err error)) (changed bool, err error) {
	f.changeMu.Lock()
	defer f.changeMu.Unlock()
	before, position := f.cfg.Mirror.CurrentAt(), f.cfg.Mirror.Position()
	if changed, err = apply(); changed && err == nil {
		if position.Revision > 0 && position.Era != f.cfg.Mirror.Position().Era {
			f.advanceTo(&f.outageEndedAt, time.Now()) // the store was away
		}
		f.cfg.Changed(before)
	}
	return changed, err
}

// readStore lists all records or watches for changes, and returns a function that applies
// them to the mirror.
func (f *Follower) readStore(ctx context.Context, list bool) (apply func() (changed bool, err error), err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.cancelMu.Lock()
	f.cancelWatch = cancel
	f.cancelMu.Unlock()
	// Nothing tells how long a reply was on its way, so the records are only known to be
	// current at the start of the call.
	start := time.Now()
	if list {
		l, err := f.list(ctx)
		l.CurrentAt = start
		return func() (bool, error) { return f.cfg.Mirror.Replace(l) }, err
	}
	wait := f.cfg.WatchWait
	if f.storeLost.Load() || f.sourceLost {
		// A short first watch detects the end of the outage sooner.
		wait = f.cfg.BatchDelay
	}
	ctx, stop := context.WithTimeout(ctx, wait+f.cfg.WatchGrace)
	defer stop()
	after := f.cfg.Mirror.Position()
	c, err := f.cfg.Store.Watch(ctx, after.Revision, wait)
	if err == nil && c.Era != after.Era {
		// The changes follow on a revision of another era. The mirror may be in the store's
		// era by now, through the records of another VM, and would miss those before it.
		err = &EraError{Store: c.Era, Held: after.Era}
	}
	c.CurrentAt = start
	if waited := start.Add(wait); len(c.Changes) == 0 && !waited.After(time.Now()) {
		c.CurrentAt = waited // the store had no change until then
	}
	return func() (bool, error) { return f.cfg.Mirror.Apply(c) }, err
}

// list reads all records from the store. While the mirror is empty, it makes up
// to maxInitialLists concurrent calls and returns the first success. During a
// store outage a call may hang even after the store has recovered, and a VM
// that has just started cannot serve before it has a listing.
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
	results := make(chan result, maxInitialLists)
	started, ended := 0, 0
	startCall := func() {
		started++
		go func() {
			defer f.cfg.Panics.Recover("listing", func(err error) { results <- result{err: err} })
			l, err := f.cfg.Store.List(ctx)
			results <- result{l, err}
		}()
	}
	startCall()
	again := time.NewTicker(initialListInterval)
	defer again.Stop()
	for {
		select {
		case <-again.C:
			if started < maxInitialLists {
				startCall()
			}
		case r := <-results:
			if ended++; r.err == nil || ended == started {
				return r.listing, r.err
			}
		}
	}
}

const (
	// maxInitialLists is the maximum number of concurrent listings while the
	// mirror is empty. Each starts initialListInterval after the one before, which
	// is about the latency of a slow store.
	maxInitialLists     = 4
	initialListInterval = 400 * time.Millisecond
)

func (f *Follower) followPeers(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		sleep(ctx, f.cfg.PeerInterval/2+rand.N(f.cfg.PeerInterval))
		if !f.storeLost.Load() || ctx.Err() != nil {
			continue
		}
		l, ok, err := f.cfg.Peers.Fetch(ctx, f.cfg.Mirror.Position())
		if err != nil {
			if !failing {
				f.cfg.Logger.Warn("reading records from another VM failed", "error", err.Error())
			}
			failing = true
			continue
		}
		failing = false
		if !ok {
			continue
		}
		changed, err := f.change(func() (bool, error) { return f.cfg.Mirror.Replace(l) })
		if err != nil {
			continue // the mirror has become newer in the meantime
		}
		f.cfg.Logger.Info("records read from another VM", "revision", l.Revision, "records", len(l.Records), "changed", changed)
	}
}

func (f *Follower) markAvailable() {
	now := time.Now()
	f.fromStore.Store(true)
	if f.sourceLost {
		// The store may have been away for this VM too, between two of its calls.
		answered, ok := f.since(&f.answeredAt)
		away := !ok || now.Sub(answered) > maxAnswerGap
		if away {
			f.advanceTo(&f.outageEndedAt, now)
		}
		f.cfg.Logger.Info("store answers, which the source has lost", "revision", f.cfg.Mirror.Revision(), "outage", away)
		f.sourceLost = false
	}
	if f.storeLost.CompareAndSwap(true, false) {
		if f.hasFailed.Load() {
			f.advanceTo(&f.outageEndedAt, now)
		}
		f.cfg.Logger.Info("store answers", "revision", f.cfg.Mirror.Revision())
	}
}

func (f *Follower) markLost(err error) {
	first := !f.hasFailed.Swap(true)
	if f.storeLost.CompareAndSwap(false, true) || first {
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
