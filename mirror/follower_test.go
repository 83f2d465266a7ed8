package mirror

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
)

var errDown = errors.New("store is down")

// fakeStore answers from a mirror of its own.
type fakeStore struct {
	content *Mirror
	// down makes every call fail, deaf makes watches wait for ever, and
	// compacted fails the next watch.
	down, deaf, compacted bool
	watches, lists        int
}

func (s *fakeStore) List(context.Context) (Listing, error) {
	s.lists++
	if s.down {
		return Listing{}, errDown
	}
	return s.content.Listing(), nil
}

func (s *fakeStore) Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	s.watches++
	if s.compacted {
		s.compacted = false
		return Changes{}, ErrCompacted
	}
	end := time.Now().Add(wait)
	deaf := s.deaf
	for !s.down {
		var c Changes
		l := s.content.Listing()
		c.Revision = l.Revision
		for _, r := range l.Records {
			if r.Revision > after {
				c.Changes = append(c.Changes, Change{Record: r})
			}
		}
		if len(c.Changes) > 0 && !deaf || !deaf && !time.Now().Before(end) {
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
	s.content.Apply(Changes{Changes: []Change{{Record: Record{Key: key, Revision: revision}}}, Revision: revision})
}

type fakePeer struct{ content *Mirror }

func (p *fakePeer) Fetch(_ context.Context, after int64) (Listing, bool, error) {
	l := p.content.Listing()
	return l, l.Revision > after, nil
}

// follow runs a follower of the store until the test ends.
func follow(t *testing.T, s *fakeStore, p Peers) *Mirror {
	m := New()
	f := NewFollower(FollowerConfig{Mirror: m, Store: s, Peers: p, Logger: log.New(io.Discard), Changed: func() {}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return m
}

// Guards against a watch that the store no longer serves and does not end:
// every VM then kept an old configuration for the whole wait of the watch.
func TestDeafWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeStore{content: New()}
		s.put("a", 1)
		m := follow(t, s, nil)
		time.Sleep(time.Second)
		s.deaf = true
		time.Sleep(DefaultWatchWait) // the last watch that hears ends
		s.put("b", 2)
		time.Sleep(100 * time.Millisecond)
		s.deaf = false              // only the waiting watch stays deaf
		time.Sleep(4 * time.Second) // the time to catch up after trouble
		c.Assert(m.Revision(), qt.Equals, int64(2))
	})
}

// Guards against a mirror that stays old after the store dropped its history,
// and against reading everything again and again.
func TestCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeStore{content: New()}
		s.put("a", 1)
		m := follow(t, s, nil)
		time.Sleep(time.Second)
		s.compacted = true
		s.put("b", 2)
		time.Sleep(time.Second)
		s.put("c", 3)
		time.Sleep(time.Second)
		c.Assert(m.Revision(), qt.Equals, int64(3))
		c.Assert(s.lists, qt.Equals, 2)
	})
}

// Guards against a VM that the store turns away and that learns nothing from
// others, and against falling back to older records when the store returns.
func TestPeersWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeStore{content: New(), down: true}
		p := &fakePeer{content: New()}
		p.content.Apply(Changes{Changes: []Change{{Record: Record{Key: "a", Revision: 5}}}, Revision: 5})
		m := follow(t, s, p)
		time.Sleep(2 * time.Second)
		c.Assert(m.Revision(), qt.Equals, int64(5))
		c.Assert(s.lists <= 6, qt.IsTrue, qt.Commentf("%d lists", s.lists))
		s.put("a", 3)
		s.down = false
		time.Sleep(2 * time.Second)
		c.Assert(m.Listing().Records, qt.HasLen, 1)
		c.Assert(m.Listing().Records[0].Revision, qt.Equals, int64(5))
	})
}

// Guards against a storm of calls on a store that is down: all are paid.
func TestRetriesAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeStore{content: New()}
		s.put("a", 1)
		follow(t, s, nil)
		time.Sleep(time.Second)
		s.down = true
		s.watches = 0
		time.Sleep(10 * time.Second)
		c.Assert(s.watches <= 25, qt.IsTrue, qt.Commentf("%d watches", s.watches))
	})
}

// Guards against a change that waits to be read right after an outage, when
// users of the mirror take longest to believe it: a server that left then got
// work for longer than its drain bound.
func TestNoGatheringAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeStore{content: New()}
		s.put("a", 1)
		m := follow(t, s, nil)
		time.Sleep(SettleTime + time.Second)
		s.down = true
		time.Sleep(3 * time.Second)
		s.down = false
		time.Sleep(2 * time.Second) // answers again
		for rev := int64(2); rev < 10; rev++ {
			s.put("a", rev)
			time.Sleep(2 * SettleGather)
			c.Assert(m.Revision(), qt.Equals, rev)
		}
	})
}
