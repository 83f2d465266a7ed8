package discovery

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/briarstand/briarstand/config"
)

const grace = 2 * time.Second

var start = time.Unix(1000, 0)

func server(id string, draining bool, startedMS int64) Server {
	return Server{Backend: config.Backend{ID: id, Address: "10.0.0.1:1", Draining: draining}, Service: "s", StartedMS: startedMS}
}

func ids(backends []*config.Backend) []string {
	got := []string{}
	for _, b := range backends {
		got = append(got, b.ID)
	}
	return got
}

func at(d time.Duration) time.Time { return start.Add(d) }

// Checks that a draining or missing server gets no requests while its service
// has a ready one, and that it still gets requests for some time if it was the
// last one.
func TestLeavingAndExpired(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(Config{})
	r.Update(map[string]Server{"a": server("a", false, 1), "b": server("b", false, 1)}, start, within(start, grace))
	c.Assert(ids(r.Replicas("s").Usable(start)), qt.DeepEquals, []string{"a", "b"})
	r.Update(map[string]Server{"a": server("a", true, 1), "b": server("b", false, 1)}, at(time.Second), within(at(time.Second), grace))
	c.Assert(ids(r.Replicas("s").Usable(at(time.Second))), qt.DeepEquals, []string{"b"})
	r.Update(map[string]Server{"a": server("a", true, 1)}, at(1500*time.Millisecond), within(at(1500*time.Millisecond), grace))
	c.Assert(ids(r.Replicas("s").Usable(at(1600*time.Millisecond))), qt.DeepEquals, []string{"a", "b"})
	c.Assert(ids(r.Replicas("s").Usable(at(3100*time.Millisecond))), qt.DeepEquals, []string{"b"}, qt.Commentf("a has been draining since 1 s"))
	c.Assert(ids(r.Replicas("s").Usable(at(3600*time.Millisecond))), qt.HasLen, 0)
	_, usable := r.Usable("b", at(3600*time.Millisecond))
	c.Assert(usable, qt.IsFalse)
}

// Guards against a drain period that restarts each time a draining server
// writes its record. The server would then get requests for as long as it
// writes.
func TestDrainIsNotExtended(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(Config{})
	for d := time.Duration(0); d <= 3*time.Second; d += 100 * time.Millisecond {
		r.Update(map[string]Server{"a": server("a", true, 1)}, at(d), within(at(d), grace))
	}
	c.Assert(ids(r.Replicas("s").Usable(at(grace))), qt.HasLen, 0)
}

// Checks that a server that restarts under its old id gets new connections, and
// that one whose record only expired and reappears keeps its connections.
func TestRuns(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry(Config{})
	r.Update(map[string]Server{"a": server("a", false, 1)}, start, within(start, grace))
	first := r.Replicas("s").Ready[0]
	r.Update(map[string]Server{}, at(time.Second), within(at(time.Second), grace))
	r.Update(map[string]Server{"a": server("a", false, 1)}, at(2*time.Second), within(at(2*time.Second), grace))
	c.Assert(r.Replicas("s").Ready[0] == first, qt.IsTrue)
	r.Update(map[string]Server{"a": server("a", false, 2)}, at(3*time.Second), within(at(3*time.Second), grace))
	c.Assert(r.Replicas("s").Ready[0] == first, qt.IsFalse)
}

// Checks, for arbitrary sequences of records, that a server that is not ready
// is usable only while its service has no ready one, and only for a limited time
// after it was last listed as ready.
func TestRegistryRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry(Config{})
		now := start
		since := map[string]time.Time{} // when a server was last listed as ready
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			listed := map[string]Server{}
			ready := 0
			for _, id := range []string{"a", "b", "c"} {
				switch rapid.IntRange(0, 2).Draw(t, id) {
				case 0:
					listed[id] = server(id, false, 1)
					ready++
				case 1:
					listed[id] = server(id, true, 1)
				}
			}
			for id, s := range listed {
				if !s.Draining {
					since[id] = now
				}
			}
			r.Update(listed, now, within(now, grace))
			later := now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "later")) * time.Millisecond)
			usable := r.Replicas("s").Usable(later)
			if ready > 0 && len(usable) != ready {
				t.Fatalf("%d ready, %d usable", ready, len(usable))
			}
			for _, b := range usable {
				if s, ok := listed[b.ID]; (!ok || s.Draining) && later.Sub(since[b.ID]) > grace+1500*time.Millisecond {
					t.Fatalf("%s used %v after it was last ready", b.ID, later.Sub(since[b.ID]))
				}
			}
		}
	})
}

// Guards against a server that is taken for another incarnation after its record had
// been missing in an outage of the store: what it said about itself would be lost.
func TestIncarnationComesBack(t *testing.T) {
	r := NewRegistry(Config{Retention: time.Minute})
	now := time.Now()
	record := Server{Backend: config.Backend{ID: "b", Address: "127.0.0.1:1"}, Service: "s", StartedMS: 1}
	listed := func(startedMS int64) map[string]Server {
		s := record
		s.StartedMS = startedMS
		return map[string]Server{"b": s}
	}
	missingFor := func(d time.Duration) {
		r.Update(nil, now, within(now, 0))
		r.Update(nil, now.Add(time.Millisecond), within(now.Add(time.Millisecond), 0))
		now = now.Add(d)
	}
	r.Update(listed(1), now, within(now, 0))
	first := r.Replicas("s").Ready[0]
	missingFor(30 * time.Second)
	qt.Assert(t, r.Replicas("s"), qt.IsNil)
	r.Update(listed(1), now, within(now, 0))
	qt.Check(t, r.Replicas("s").Ready[0] == first, qt.IsTrue)
	missingFor(2 * time.Minute)
	r.Update(listed(1), now, within(now, 0))
	second := r.Replicas("s").Ready[0]
	qt.Check(t, second != first, qt.IsTrue)
	missingFor(30 * time.Second)
	r.Update(listed(2), now, within(now, 0))
	qt.Check(t, r.Replicas("s").Ready[0] != second, qt.IsTrue)
}

// within lets servers that are not ready any more get requests for some time.
func within(now time.Time, period time.Duration) Until {
	return Until{Leaving: now.Add(period), Expired: now.Add(period)}
}

// Guards against a server that is taken for another incarnation after another writer has
// replaced its record for a while: what it said about itself would be lost.
func TestReplacedRecordComesBack(t *testing.T) {
	r := NewRegistry(Config{Retention: time.Minute})
	own, other := server("a", false, 1), server("a", false, 1)
	other.Service = "not named"
	update := func(s Server, d time.Duration) { r.Update(map[string]Server{"a": s}, at(d), within(at(d), grace)) }
	update(own, 0)
	first := r.Replicas("s").Ready[0]
	update(other, time.Second)
	qt.Check(t, r.Replicas("s").Usable(at(time.Second)), qt.HasLen, 0)
	update(own, 2*time.Second)
	qt.Check(t, r.Replicas("s").Ready[0] == first, qt.IsTrue)
	update(server("a", false, 2), 3*time.Second)
	qt.Check(t, r.Replicas("s").Ready[0] == first, qt.IsFalse)
}

// Guards against the use of servers that had left, on the word of an older copy of the store.
func TestCopyIsNoNews(t *testing.T) {
	c := qt.New(t)
	const silence = 4 * time.Second
	r := NewRegistry(Config{Retention: time.Minute, SilencePeriod: silence})
	record := func(id string, draining bool, revision int64) Server {
		s := server(id, draining, 1)
		s.Revision = revision
		return s
	}
	list := func(servers ...Server) map[string]Server {
		listed := map[string]Server{}
		for _, s := range servers {
			listed[s.ID] = s
		}
		return listed
	}
	ready := func() (ids []string) {
		for _, b := range r.Replicas("s").Ready {
			ids = append(ids, b.ID)
		}
		return ids
	}
	until := Until{Leaving: start, Expired: start}
	r.Update(list(record("leaves", false, 1), record("gone", false, 2), record("stays", false, 3)), start, until)
	r.Update(list(record("leaves", true, 5), record("stays", false, 3)), start, until)
	copied := list(record("leaves", false, 1), record("gone", false, 2), record("stays", false, 3), record("unknown", false, 4))
	r.UpdateFromCopy(copied, start, until)
	c.Assert(ready(), qt.DeepEquals, []string{"stays"})
	r.Update(copied, start.Add(silence/2), until)
	c.Assert(ready(), qt.DeepEquals, []string{"stays"})
	c.Assert(r.Replicas("s").Usable(start.Add(silence/2)), qt.HasLen, 1)
	copied["unknown"] = record("unknown", false, 6) // written again
	r.Update(copied, start.Add(silence/2), until)
	c.Assert(ready(), qt.DeepEquals, []string{"stays", "unknown"})
	copied["leaves"] = record("leaves", true, 7)
	delete(copied, "gone")
	r.Update(copied, start.Add(2*silence), until)
	c.Assert(ready(), qt.DeepEquals, []string{"stays", "unknown"})
}
