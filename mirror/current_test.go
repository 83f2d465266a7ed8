package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// lateStore is a store whose replies with changes are held up on their way.
type lateStore struct {
	fakeStore
	delay atomic.Int64
}

func (s *lateStore) Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	c, err := s.fakeStore.Watch(ctx, after, wait)
	if len(c.Changes) > 0 {
		sleep(ctx, time.Duration(s.delay.Load()))
	}
	return c, err
}

// Guards against records that count as current when a reply arrives, though the reply was
// held up on its way to the source of a zone: a change that the store acknowledged
// meanwhile then seems to be newer than it is (incident of 2026-12-05, report 2).
func TestLateReplyIsNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := &lateStore{fakeStore: fakeStore{content: New()}}
		store.put("a", 1)
		first := start(t, FollowerConfig{Mirror: New(), Store: store})
		var before atomic.Pointer[time.Time]
		m := New()
		start(t, FollowerConfig{Mirror: m, Store: &fakeStore{content: store.content}, Source: &fakeSource{follower: first}, Changed: func(currentAt time.Time) {
			before.Store(&currentAt)
		}})
		time.Sleep(5 * time.Second)
		store.delay.Store(int64(900 * time.Millisecond))
		store.put("b", 2)
		time.Sleep(100 * time.Millisecond)
		store.put("c", 3)
		acknowledged := time.Now()
		time.Sleep(5 * time.Second)
		c.Assert(m.Revision(), qt.Equals, int64(3))
		c.Assert(before.Load().After(acknowledged), qt.IsFalse, qt.Commentf("current %v after the change", before.Load().Sub(acknowledged)))
	})
}

// Guards against records that count as current although they differ from the source's: the
// source no longer knows of a deletion, and this VM keeps the record.
func TestDifferentRecordsAreNotCurrent(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	source, m := New(), New()
	_, _ = source.Apply(Changes{Changes: []Change{{Record: Record{Key: "a", Revision: 1}}}, Revision: 3})
	_, _ = m.Apply(Changes{Changes: []Change{{Record: Record{Key: "a", Revision: 1}}, {Record: Record{Key: "gone", Revision: 2}}}, Revision: 2, CurrentAt: now})
	u := source.UpdateSince(Position{Revision: 2})
	u.Changes.CurrentAt = now.Add(time.Second)
	_, differs, err := m.Merge(u)
	c.Assert(err, qt.IsNil)
	c.Assert(differs, qt.IsTrue)
	c.Assert(m.CurrentAt(), qt.Equals, now)
	l := source.Listing()
	l.CurrentAt = now.Add(2 * time.Second)
	_, _, err = m.Merge(Update{Listing: &l})
	c.Assert(err, qt.IsNil)
	c.Assert(m.CurrentAt(), qt.Equals, now.Add(2*time.Second))
}
