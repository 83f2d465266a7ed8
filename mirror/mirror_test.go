package mirror

import (
	"errors"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func put(key string, revision int64) Change {
	return Change{Record: Record{Key: key, Revision: revision}}
}

// Checks, for changes and listings in any order, that no record and no revision
// of a mirror goes back, that no deleted record reappears, and that the copy at
// another VM stays equal.
func TestMirrorNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []Change{}
		alive := map[string]int64{}
		snapshots := []Listing{{}}
		for rev := int64(1); rev <= 30; rev++ {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			_, exists := alive[key]
			change := put(key, rev)
			if exists && rapid.Bool().Draw(t, "remove") {
				change.Deleted = true
				delete(alive, key)
			} else {
				alive[key] = rev
			}
			history = append(history, change)
			l := Listing{Revision: rev}
			for k, r := range alive {
				l.Records = append(l.Records, Record{Key: k, Revision: r})
			}
			snapshots = append(snapshots, l)
		}
		m, follower := New(), New()
		for range 40 {
			if rapid.Bool().Draw(t, "follow") {
				if c, ok := m.Since(follower.Position()); ok {
					_, _ = follower.Apply(c)
				} else if _, err := follower.Replace(m.Listing()); err != nil {
					t.Fatal(err)
				}
				if got, want := follower.Listing(), m.Listing(); !reflect.DeepEqual(got, want) {
					t.Fatalf("the follower has %v, want %v", got, want)
				}
			}
			before := m.Revision()
			if rapid.Bool().Draw(t, "listing") {
				l := snapshots[rapid.IntRange(0, 30).Draw(t, "snapshot")]
				_, err := m.Replace(l)
				var stale *StaleListingError
				if errors.As(err, &stale) != (l.Revision < before) {
					t.Fatalf("listing %d on %d: %v", l.Revision, before, err)
				}
			} else {
				to := rapid.IntRange(int(before), 30).Draw(t, "to")
				from := rapid.IntRange(0, int(before)).Draw(t, "from")
				_, _ = m.Apply(Changes{Changes: history[from:to], Revision: int64(to)})
			}
			if m.Revision() < before {
				t.Fatalf("revision went from %d to %d", before, m.Revision())
			}
			want := map[string]int64{}
			for _, r := range snapshots[m.Revision()].Records {
				want[r.Key] = r.Revision
			}
			got := m.Listing()
			if len(got.Records) != len(want) {
				t.Fatalf("at %d: %v, want %v", m.Revision(), got.Records, want)
			}
			for _, r := range got.Records {
				if want[r.Key] != r.Revision {
					t.Fatalf("at %d: %v, want %v", m.Revision(), got.Records, want)
				}
			}
		}
	})
}

// Guards against undoing newer records of a listing. A listing has the revision
// of its first page, so later pages may hold newer records, and a watch from
// that revision then returns older versions of them.
func TestListingNewerThanItsRevision(t *testing.T) {
	c := qt.New(t)
	m := New()
	_, err := m.Replace(Listing{Records: []Record{{Key: "a", Revision: 9}}, Revision: 7})
	c.Assert(err, qt.IsNil)
	changed, err := m.Apply(Changes{Changes: []Change{put("a", 8), put("a", 9), put("b", 10)}, Revision: 10})
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	c.Assert(m.Listing().Records, qt.DeepEquals, []Record{{Key: "a", Revision: 9}, {Key: "b", Revision: 10}})
}

// modelStore is a store with a history of revisions.
type modelStore struct {
	records  map[string]Record
	history  []Change
	era      int64
	revision int64
	compact  int64
}

// comeBack makes the store come back from the copy of an older moment, with the records
// that it had at a revision.
func (s *modelStore) comeBack(revision int64) {
	s.records = map[string]Record{}
	var history []Change
	for _, c := range s.history {
		if c.Revision > revision {
			break
		}
		history = append(history, c)
		if delete(s.records, c.Key); !c.Deleted {
			s.records[c.Key] = c.Record
		}
	}
	s.history, s.revision = history, revision
	s.era++
}

func (s *modelStore) change(key string, deleted bool) {
	if _, ok := s.records[key]; deleted && !ok {
		return
	}
	s.revision++
	c := Change{Record: Record{Key: key, Revision: s.revision}, Deleted: deleted}
	if deleted {
		delete(s.records, key)
	} else {
		s.records[key] = c.Record
	}
	s.history = append(s.history, c)
}

func (s *modelStore) since(after int64) (c Changes, ok bool) {
	c.Era, c.Revision = s.era, s.revision
	for _, change := range s.history {
		if change.Revision > after {
			c.Changes = append(c.Changes, change)
		}
	}
	return c, after >= s.compact && after <= s.revision
}

// modelVM is a VM that lists the store page by page, watches it, or follows another VM.
type modelVM struct {
	mirror  *Mirror
	listing *Listing // in progress
	after   string   // last key of the last page
	differs bool
}

// page reads the next page of a listing, of two keys.
func (v *modelVM) page(s *modelStore, keys []string) {
	if v.listing == nil || v.listing.Era != s.era {
		v.listing, v.after = &Listing{Era: s.era, Revision: s.revision}, ""
	}
	read := 0
	for _, key := range keys {
		r, ok := s.records[key]
		if !ok || key <= v.after {
			continue
		}
		v.listing.Records = append(v.listing.Records, r)
		if v.after = key; read == 1 {
			return
		}
		read++
	}
	_, _ = v.mirror.Replace(*v.listing) // a listing that is too old changes nothing
	v.listing = nil
}

func (v *modelVM) watch(s *modelStore) (ok bool) {
	if v.mirror.Revision() == 0 {
		return false
	}
	c, ok := s.since(v.mirror.Revision())
	if ok {
		_, err := v.mirror.Apply(c)
		ok = err == nil
	}
	return ok
}

func (v *modelVM) follow(source *modelVM) {
	if source.mirror.Revision() == 0 || v.mirror.Revision() == 0 {
		return
	}
	after := v.mirror.Position()
	if v.differs {
		after = Position{}
	}
	_, differs, err := v.mirror.Merge(source.mirror.UpdateSince(after))
	v.differs = differs && err == nil
}

// Guards against a VM that keeps a record which its source does not hold: deleted between
// two pages of a listing or between two listings, while it followed the store, another
// listing, or its source. The store may come back from an older copy, which gives revisions
// out again. After the changes have ended both VMs hold what the store holds.
func TestFollowerEndsWithRecordsOfStore(t *testing.T) {
	keys := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		s := &modelStore{records: map[string]Record{}}
		vms := []*modelVM{{mirror: New()}, {mirror: New()}}
		for _, key := range keys {
			s.change(key, false)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			v := vms[rapid.IntRange(0, 1).Draw(t, "vm")]
			switch rapid.IntRange(0, 10).Draw(t, "step") {
			case 0, 1:
				s.change(rapid.SampledFrom(keys).Draw(t, "put"), false)
			case 2, 3:
				s.change(rapid.SampledFrom(keys).Draw(t, "delete"), true)
			case 4, 5:
				v.page(s, keys)
			case 6:
				v.watch(s)
			case 7:
				vms[1].follow(vms[0])
			case 8:
				s.compact = s.revision
			case 9:
				*v = modelVM{mirror: New()}
			case 10:
				s.comeBack(rapid.Int64Range(max(1, min(s.compact, s.revision)), s.revision).Draw(t, "copy"))
			}
		}
		for range 8 {
			if !vms[0].watch(s) {
				vms[0].page(s, keys)
			}
		}
		for vms[1].mirror.Revision() == 0 {
			vms[1].page(s, keys)
		}
		for range 3 {
			vms[1].follow(vms[0])
		}
		for i, v := range vms {
			got := map[string]Record{}
			for _, r := range v.mirror.Listing().Records {
				got[r.Key] = r
			}
			if !reflect.DeepEqual(got, s.records) {
				t.Fatalf("VM %d holds %v, the store %v", i, got, s.records)
			}
		}
	})
}
