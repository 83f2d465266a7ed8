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

func (s *fakeSource) Follow(ctx context.Context, after int64, wait time.Duration) (Update, bool, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return Update{}, false, ctx.Err()
	}
	u, ok := s.follower.Serve(ctx, after, wait)
	return u, ok, nil
}

// Guards against a number of billed calls that grows with the number of VMs, and
// against late changes at a VM whose source hangs, has lost the store or has just
// recovered: the VM must then read them from the store itself.
func TestFollowAnotherVM(t *testing.T) {
	const wait, grace = 750 * time.Millisecond, 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		content := New()
		near, far := &fakeStore{content: content}, &fakeStore{content: content}
		near.put("a", 1)
		first := start(t, FollowerConfig{Mirror: New(), Store: near, WatchWait: wait, WatchGrace: grace})
		source := &fakeSource{follower: first}
		m := New()
		second := start(t, FollowerConfig{Mirror: m, Store: far, Source: source, WatchWait: wait, WatchGrace: grace})
		time.Sleep(5 * time.Second)
		calls := func() int64 { return far.watches.Load() + far.lists.Load() }
		before := calls()
		near.put("b", 2)
		time.Sleep(DefaultGather + 50*time.Millisecond)
		c.Assert(m.Revision(), qt.Equals, int64(2))
		time.Sleep(10 * time.Second)
		c.Assert(calls(), qt.Equals, before)
		age, ok := second.Age(time.Now())
		c.Assert(ok && age < wait+sourceWait, qt.IsTrue, qt.Commentf("%v", age))

		source.silent.Store(true)
		near.put("c", 3)
		time.Sleep(sourceWait + sourceGrace + 50*time.Millisecond)
		c.Assert(m.Revision(), qt.Equals, int64(3))
		source.silent.Store(false)
		time.Sleep(sourceRetry + wait + grace)

		// The store stops serving the source without an error.
		near.set(flags{unserved: true})
		time.Sleep(100 * time.Millisecond)
		near.put("d", 4)
		time.Sleep(wait + grace + sourceTries*(sourcePause+sourceWait))
		c.Assert(m.Revision(), qt.Equals, int64(4))
		near.set(flags{})
		time.Sleep(sourceRetry + wait + grace)

		// A broken watch of the source is not an outage for other VMs.
		before = calls()
		near.set(flags{compacted: true})
		time.Sleep(5 * time.Second)
		c.Assert(calls(), qt.Equals, before)

		// After an outage the records may be incomplete: other VMs learn of it.
		near.set(flags{down: true})
		far.set(flags{down: true})
		time.Sleep(5 * time.Second)
		c.Assert(second.StoreLost(), qt.IsTrue)
		near.set(flags{})
		far.set(flags{})
		time.Sleep(DefaultRetryMax + wait)
		c.Assert(first.Settling(time.Now()), qt.IsTrue)
		c.Assert(second.Settling(time.Now()), qt.IsTrue)
		u, ok := first.Serve(context.Background(), 0, 0)
		c.Assert(ok && u.Back > 0 && u.Back < SettleTime, qt.IsTrue)
		time.Sleep(SettleTime)
		c.Assert(second.Settling(time.Now()), qt.IsFalse)
	})
}

// Guards against a VM that follows its source and treats records that lapsed in
// an outage as deleted.
func TestSourceTellsOfOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		content := New()
		near, far := &fakeStore{content: content}, &fakeStore{content: content}
		near.put("a", 1)
		first := start(t, FollowerConfig{Mirror: New(), Store: near, WatchWait: 750 * time.Millisecond})
		second := start(t, FollowerConfig{Mirror: New(), Store: far, Source: &fakeSource{follower: first}})
		time.Sleep(5 * time.Second)
		near.set(flags{down: true}) // too short for the other VM to ask the store
		time.Sleep(300 * time.Millisecond)
		near.set(flags{})
		time.Sleep(1500 * time.Millisecond)
		c.Assert(first.Settling(time.Now()), qt.IsTrue)
		c.Assert(second.Settling(time.Now()), qt.IsTrue)
		time.Sleep(SettleTime)
		c.Assert(second.Settling(time.Now()), qt.IsFalse)
	})
}

// Guards against billed calls of a VM that the store refuses while it serves the
// VM's source, and against stale records at that VM.
func TestSourceWhileTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		content := New()
		near, far := &fakeStore{content: content}, &fakeStore{content: content}
		near.put("a", 1)
		first := start(t, FollowerConfig{Mirror: New(), Store: near})
		source := &fakeSource{follower: first}
		m := New()
		second := start(t, FollowerConfig{Mirror: m, Store: far, Source: source})
		time.Sleep(5 * time.Second)
		far.set(flags{down: true})
		source.silent.Store(true)
		time.Sleep(time.Second)
		c.Assert(second.StoreLost(), qt.IsTrue)
		source.silent.Store(false)
		time.Sleep(sourceRetry + 2*DefaultRetryMax) // includes the longest backoff of calls to the store
		c.Assert(second.StoreLost(), qt.IsFalse)
		calls := far.watches.Load() + far.lists.Load()
		near.put("b", 2)
		time.Sleep(10 * time.Second)
		c.Assert(m.Revision(), qt.Equals, int64(2))
		c.Assert(far.watches.Load()+far.lists.Load(), qt.Equals, calls)
	})
}
