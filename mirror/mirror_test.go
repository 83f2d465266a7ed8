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
				if c, ok := m.Since(follower.Revision()); ok {
					follower.Apply(c)
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
				m.Apply(Changes{Changes: history[from:to], Revision: int64(to)})
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
	c.Assert(m.Apply(Changes{Changes: []Change{put("a", 8), put("a", 9), put("b", 10)}, Revision: 10}), qt.IsTrue)
	c.Assert(m.Listing().Records, qt.DeepEquals, []Record{{Key: "a", Revision: 9}, {Key: "b", Revision: 10}})
}
