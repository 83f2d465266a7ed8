package mirror

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
)

var errDown = errors.New("store is down")

// flags are the faults of a fakeStore.
type flags struct {
	// down makes every call fail, unserved makes watches hang, and compacted
	// fails the next watch.
	down, unserved, compacted bool
	// silent makes the listings that start while it is set hang until they time
	// out.
	silent bool
}

// fakeStore is a Store that answers from the mirror content.
type fakeStore struct {
	content        *Mirror
	mu             sync.Mutex
	flags          flags
	watches, lists atomic.Int64
}

func (s *fakeStore) set(f flags) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flags = f
}

func (s *fakeStore) get() flags {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flags
}

func (s *fakeStore) List(ctx context.Context) (Listing, error) {
	s.lists.Add(1)
	f := s.get()
	if f.silent {
		sleep(ctx, 1500*time.Millisecond)
	}
	if f.silent || f.down {
		return Listing{}, errDown
	}
	return s.content.Listing(), nil
}

func (s *fakeStore) Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	s.watches.Add(1)
	f := s.get()
	if f.compacted {
		f.compacted = false
		s.set(f)
		return Changes{}, ErrCompacted
	}
	end := time.Now().Add(wait)
	for !s.get().down {
		var c Changes
		l := s.content.Listing()
		c.Revision = l.Revision
		for _, r := range l.Records {
			if r.Revision > after {
				c.Changes = append(c.Changes, Change{Record: r})
			}
		}
		if !f.unserved && (len(c.Changes) > 0 || !time.Now().Before(end)) {
			return c, nil
		}
		sleep(ctx, 10*time.Millisecond)
		if ctx.Err() != nil {
			return Changes{}, ctx.Err()
		}
	}
	return Changes{}, errDown
}

func (s *fakeStore) put(key string, revision int64) {
	_, _ = s.content.Apply(Changes{Changes: []Change{{Record: Record{Key: key, Revision: revision}}}, Revision: revision})
}

type fakePeer struct{ content *Mirror }

func (p *fakePeer) Fetch(_ context.Context, after Position) (Listing, bool, error) {
	l := p.content.Listing()
	return l, after.Before(l.Position()), nil
}

// follow runs a follower of the store until the test ends.
func follow(t *testing.T, s *fakeStore, p Peers) *Mirror {
	m := New()
	start(t, FollowerConfig{Mirror: m, Store: s, Peers: p})
	return m
}

// start runs a follower until the test ends.
func start(t *testing.T, cfg FollowerConfig) *Follower {
	cfg.Logger = log.New(io.Discard)
	if cfg.Changed == nil {
		cfg.Changed = func(time.Time) {}
	}
	f := NewFollower(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

// Guards against a watch that the store stops serving without closing it. Every
// VM then kept an old configuration for the whole wait of the watch.
func TestUnservedWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeStore{content: New()}
		s.put("a", 1)
		m := follow(t, s, nil)
		time.Sleep(time.Second)
		s.set(flags{unserved: true})
		time.Sleep(DefaultWatchWait) // the watch from before has ended, and the next one is not served
		s.put("b", 2)
		time.Sleep(100 * time.Millisecond)
		s.set(flags{})              // new watches are served, but the one that waits is not
		time.Sleep(4 * time.Second) // the maximum time to catch up after a fault
		c.Assert(m.Revision(), qt.Equals, int64(2))
	})
}

// Guards against a mirror that stays stale after the store compacted its history,
// and against listing all records repeatedly.
func TestCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeStore{content: New()}
		s.put("a", 1)
		m := follow(t, s, nil)
		time.Sleep(time.Second)
		s.set(flags{compacted: true})
		s.put("b", 2)
		time.Sleep(time.Second)
		s.put("c", 3)
		time.Sleep(time.Second)
		c.Assert(m.Revision(), qt.Equals, int64(3))
		c.Assert(s.lists.Load(), qt.Equals, int64(2))
	})
}

// Checks that a VM that cannot read the store reads newer records from other
// VMs, and that it does not go back to older ones when the store recovers.
func TestPeersWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeStore{content: New(), flags: flags{down: true}}
		p := &fakePeer{content: New()}
		_, _ = p.content.Apply(Changes{Changes: []Change{{Record: Record{Key: "a", Revision: 5}}}, Revision: 5})
		m := follow(t, s, p)
		time.Sleep(2 * time.Second)
		c.Assert(m.Revision(), qt.Equals, int64(5))
		c.Assert(s.lists.Load() <= 6, qt.IsTrue, qt.Commentf("%d lists", s.lists.Load()))
		s.put("a", 3)
		s.set(flags{})
		time.Sleep(2 * time.Second)
		c.Assert(m.Listing().Records, qt.HasLen, 1)
		c.Assert(m.Listing().Records[0].Revision, qt.Equals, int64(5))
	})
}

// Guards against a retry storm while the store is down: each call is billed.
func TestRetriesAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeStore{content: New()}
		s.put("a", 1)
		follow(t, s, nil)
		time.Sleep(time.Second)
		s.set(flags{down: true})
		s.watches.Store(0)
		time.Sleep(10 * time.Second)
		c.Assert(s.watches.Load() <= 25, qt.IsTrue, qt.Commentf("%d watches", s.watches.Load()))
	})
}

// Guards against a long batch delay right after an outage. At that time users of
// the mirror wait longest before they treat a missing record as deleted. This
// wait and a long batch delay together exceeded the drain bound, so a backend
// server that had left got requests for too long.
func TestShortBatchDelayAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeStore{content: New()}
		s.put("a", 1)
		m := follow(t, s, nil)
		time.Sleep(SettleTime + time.Second)
		s.set(flags{down: true})
		time.Sleep(3 * time.Second)
		s.set(flags{})
		time.Sleep(2 * time.Second) // the store answers again
		for rev := int64(2); rev < 10; rev++ {
			s.put("a", rev)
			time.Sleep(2 * SettleBatchDelay)
			c.Assert(m.Revision(), qt.Equals, rev)
		}
	})
}

// Guards against a VM that starts during a store outage and, after the store
// has recovered, still waits for its first call, which gets no reply.
func TestStartWhileStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeStore{content: New(), flags: flags{silent: true}}
		s.put("a", 1)
		m := follow(t, s, nil)
		time.Sleep(700 * time.Millisecond)
		s.set(flags{})
		time.Sleep(initialListInterval + 10*time.Millisecond)
		c.Assert(m.Revision(), qt.Equals, int64(1))
	})
}
