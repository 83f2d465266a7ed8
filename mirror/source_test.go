package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// fakeSource forwards calls to the follower of another VM.
type fakeSource struct {
	follower *Follower
	silent   atomic.Bool // calls get no reply
}

func (s *fakeSource) Available() bool { return true }

func (s *fakeSource) Follow(ctx context.Context, after Position, wait time.Duration) (Update, bool, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return Update{}, false, ctx.Err()
	}
	u, ok := s.follower.Serve(ctx, after, wait)
	return u, ok, nil
}

// Checks that a VM that has a source makes no billed calls to the store, and
// that it gets changes in time from the store itself while its source hangs or
// has lost the store. The source of a VM is the VM of the same zone that calls
// the store for the others.
func TestFollowAnotherVM(t *testing.T) {
	const wait, grace = 750 * time.Millisecond, 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		content := New()
		sourceStore, ownStore := &fakeStore{content: content}, &fakeStore{content: content}
		sourceStore.put("a", 1)
		first := start(t, FollowerConfig{Mirror: New(), Store: sourceStore, WatchWait: wait, WatchGrace: grace})
		source := &fakeSource{follower: first}
		m := New()
		second := start(t, FollowerConfig{Mirror: m, Store: ownStore, Source: source, WatchWait: wait, WatchGrace: grace})
		time.Sleep(5 * time.Second)
		calls := func() int64 { return ownStore.watches.Load() + ownStore.lists.Load() }
		before := calls()
		sourceStore.put("b", 2)
		time.Sleep(DefaultBatchDelay + 50*time.Millisecond)
		c.Assert(m.Revision(), qt.Equals, int64(2))
		time.Sleep(10 * time.Second)
		c.Assert(calls(), qt.Equals, before)
		age, ok := second.Age(time.Now())
		c.Assert(ok && age < wait+sourceWait, qt.IsTrue, qt.Commentf("%v", age))

		source.silent.Store(true)
		sourceStore.put("c", 3)
		time.Sleep(sourceWait + sourceGrace + 50*time.Millisecond)
		c.Assert(m.Revision(), qt.Equals, int64(3))
		source.silent.Store(false)
		time.Sleep(sourceBackoff + wait + grace)

		// The store stops serving the source without an error.
		sourceStore.set(flags{unserved: true})
		time.Sleep(100 * time.Millisecond)
		sourceStore.put("d", 4)
		time.Sleep(wait + grace + sourceAttempts*(sourceRetryDelay+sourceWait))
		c.Assert(m.Revision(), qt.Equals, int64(4))
		sourceStore.set(flags{})
		time.Sleep(sourceBackoff + wait + grace)

		// If only a watch of the source breaks, the VM that follows it makes no calls
		// to the store.
		before = calls()
		sourceStore.set(flags{compacted: true})
		time.Sleep(5 * time.Second)
		c.Assert(calls(), qt.Equals, before)

		// After an outage records may be missing, and the source reports that to the
		// VMs that follow it.
		sourceStore.set(flags{down: true})
		ownStore.set(flags{down: true})
		time.Sleep(5 * time.Second)
		c.Assert(second.StoreLost(), qt.IsTrue)
		sourceStore.set(flags{})
		ownStore.set(flags{})
		// The longest backoff with its jitter, the tries at the source, and a first watch.
		time.Sleep(DefaultRetryMax*3/2 + sourceAttempts*sourceRetryDelay + DefaultBatchDelay)
		c.Assert(first.Settling(time.Now()), qt.IsTrue)
		c.Assert(second.Settling(time.Now()), qt.IsTrue)
		u, ok := first.Serve(context.Background(), Position{}, 0)
		c.Assert(ok && u.SinceOutage > 0 && u.SinceOutage < SettleTime, qt.IsTrue)
		time.Sleep(SettleTime)
		c.Assert(second.Settling(time.Now()), qt.IsFalse)
	})
}

// Checks that a VM that follows its source learns of a short store outage from
// it. Otherwise the VM would treat records that expired during the outage as
// deleted.
func TestSourceReportsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		content := New()
		sourceStore, ownStore := &fakeStore{content: content}, &fakeStore{content: content}
		sourceStore.put("a", 1)
		first := start(t, FollowerConfig{Mirror: New(), Store: sourceStore, WatchWait: 750 * time.Millisecond})
		second := start(t, FollowerConfig{Mirror: New(), Store: ownStore, Source: &fakeSource{follower: first}})
		time.Sleep(5 * time.Second)
		sourceStore.set(flags{down: true}) // too short for the second VM to call the store itself
		time.Sleep(300 * time.Millisecond)
		sourceStore.set(flags{})
		time.Sleep(1500 * time.Millisecond)
		c.Assert(first.Settling(time.Now()), qt.IsTrue)
		c.Assert(second.Settling(time.Now()), qt.IsTrue)
		time.Sleep(SettleTime)
		c.Assert(second.Settling(time.Now()), qt.IsFalse)
	})
}

// Guards against records that are treated as deleted because their leases expired in a
// store outage that this VM did not notice: its source did, and the store answered
// again when this VM called it.
func TestSourceLosesStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		content := New()
		sourceStore, ownStore := &fakeStore{content: content}, &fakeStore{content: content}
		sourceStore.put("a", 1)
		first := start(t, FollowerConfig{Mirror: New(), Store: sourceStore})
		second := start(t, FollowerConfig{Mirror: New(), Store: ownStore, Source: &fakeSource{follower: first}})
		time.Sleep(5 * time.Second)
		c.Assert(second.Settling(time.Now()), qt.IsFalse)
		before := ownStore.watches.Load()
		sourceStore.set(flags{down: true})
		const fallback = sourceWait + sourceAttempts*(sourceWait+sourceRetryDelay) + DefaultWatchWait
		time.Sleep(fallback)
		c.Assert(ownStore.watches.Load() > before, qt.IsTrue)
		c.Assert(second.Settling(time.Now()), qt.IsTrue)
		// The store keeps answering this VM, so records are not missing any longer.
		time.Sleep(SettleTime)
		c.Assert(second.Settling(time.Now()), qt.IsFalse)
	})
}

// Checks that a VM whose calls the store rejects follows its source again, whose
// calls the store still serves. The VM then has current records and makes no
// more billed calls.
func TestSourceWhileStoreRefuses(t *testing.T) {
	for _, maxAge := range []time.Duration{0, 2250 * time.Millisecond} {
		testSourceWhileStoreRefuses(t, maxAge)
	}
}

func testSourceWhileStoreRefuses(t *testing.T, maxAge time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		content := New()
		sourceStore, ownStore := &fakeStore{content: content}, &fakeStore{content: content}
		sourceStore.put("a", 1)
		first := start(t, FollowerConfig{Mirror: New(), Store: sourceStore, WatchWait: 750 * time.Millisecond})
		source := &fakeSource{follower: first}
		m := New()
		second := start(t, FollowerConfig{Mirror: m, Store: ownStore, Source: source, WatchWait: 750 * time.Millisecond, MaxAge: maxAge})
		time.Sleep(5 * time.Second)
		ownStore.set(flags{down: true})
		source.silent.Store(true)
		time.Sleep(time.Second + 2*maxAge)
		c.Assert(second.StoreLost(), qt.IsTrue)
		source.silent.Store(false)
		time.Sleep(sourceBackoff + 2*DefaultRetryMax) // includes the longest backoff of calls to the store
		c.Assert(second.StoreLost(), qt.IsFalse)
		calls := ownStore.watches.Load() + ownStore.lists.Load()
		sourceStore.put("b", 2)
		time.Sleep(10 * time.Second)
		c.Assert(m.Revision(), qt.Equals, int64(2))
		c.Assert(ownStore.watches.Load()+ownStore.lists.Load(), qt.Equals, calls)
	})
}

// Guards against a grace period for missing records when only the source has lost the
// store: the store has answered this VM all the while, so no leases expired.
func TestSourceLosesLinkOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		content := New()
		sourceStore, ownStore := &fakeStore{content: content}, &fakeStore{content: content}
		sourceStore.put("a", 1)
		first := start(t, FollowerConfig{Mirror: New(), Store: sourceStore})
		second := start(t, FollowerConfig{Mirror: New(), Store: ownStore, Source: &fakeSource{follower: first}})
		time.Sleep(5 * time.Second)
		before := ownStore.watches.Load()
		sourceStore.set(flags{down: true})
		for range 10 {
			second.StoreAnswered()
			time.Sleep(time.Second)
			c.Assert(second.Settling(time.Now()), qt.IsFalse)
		}
		c.Assert(ownStore.watches.Load() > before, qt.IsTrue)
	})
}

// Guards against a VM that trusts its source although the source has not heard from the
// store for long, and does not know it.
func TestStaleSourceIsNotFollowed(t *testing.T) {
	const maxAge, wait = 3 * time.Second, 750 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		content := New()
		sourceStore, ownStore := &fakeStore{content: content}, &fakeStore{content: content}
		sourceStore.put("a", 1)
		first := start(t, FollowerConfig{Mirror: New(), Store: sourceStore, WatchWait: wait, WatchGrace: time.Minute})
		second := start(t, FollowerConfig{Mirror: New(), Store: ownStore, Source: &fakeSource{follower: first}, MaxAge: maxAge})
		time.Sleep(5 * time.Second)
		sourceStore.set(flags{unserved: true}) // the source does not notice
		time.Sleep(wait)                       // the watch from before is served to its end
		before := ownStore.watches.Load()
		unserved := time.Now()
		for ownStore.watches.Load() == before {
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(time.Since(unserved) <= maxAge, qt.IsTrue, qt.Commentf("%v", time.Since(unserved)))
		c.Assert(first.StoreLost(), qt.IsFalse)
		time.Sleep(DefaultWatchWait)
		age, ok := second.Age(time.Now())
		c.Assert(ok && age <= maxAge, qt.IsTrue, qt.Commentf("%v", age))
	})
}
