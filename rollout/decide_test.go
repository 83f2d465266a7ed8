package rollout

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/membership"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "write the golden files")

func known(id string, incarnation int64, required bool) KnownVM {
	return KnownVM{ID: id, Incarnation: incarnation, Address: id + ":1", Required: required, Listed: true}
}

// The required set must contain every VM that may admit queries, and no VM may
// stay required forever.
func TestResponsibleSet(t *testing.T) {
	rows := []kvstore.VM{{ID: "listed", PeerAddress: "listed:1"}, {ID: "leaving", PeerAddress: "leaving:1", State: kvstore.VMLeaving}}
	all := map[string]KnownVM{}
	mergeKnown(all, known("listed", 3, false), known("alive", 1, true), known("gone", 1, false))
	ids := func(list listSnapshot) (out []string) {
		for _, k := range requiredVMs(list, all) {
			out = append(out, fmt.Sprintf("%s/%d", k.ID, k.Incarnation))
		}
		return out
	}
	qt.Assert(t, ids(listSnapshot{rows: rows, current: true}), qt.DeepEquals, []string{"alive/1", "leaving/0", "listed/3"})
	qt.Assert(t, ids(listSnapshot{rows: rows}), qt.DeepEquals, []string{"alive/1", "gone/1", "leaving/0", "listed/3"})
	mergeKnown(all, known("gone", 1, true))
	qt.Assert(t, ids(listSnapshot{current: true}), qt.DeepEquals, []string{"alive/1", "gone/1"})
	mergeKnown(all, known("gone", 2, false))
	qt.Assert(t, ids(listSnapshot{current: true}), qt.DeepEquals, []string{"alive/1"})
	unlisted := KnownVM{ID: "unlisted", Incarnation: 1, Address: "unlisted:1"}
	mergeKnown(all, unlisted, unlisted)
	qt.Assert(t, ids(listSnapshot{current: true}), qt.DeepEquals, []string{"alive/1", "unlisted/1"})
	mergeKnown(all, known("unlisted", 1, false)) // one VM has seen it on the list
	qt.Assert(t, ids(listSnapshot{current: true}), qt.DeepEquals, []string{"alive/1"})
}

// A dead VM must stay required while it may still be fresh, and as long as it has
// never been seen on the platform's list, which may not have it yet.
func TestKnownVMsKeepsRecentlyHeard(t *testing.T) {
	now := time.Now()
	contact := func(s membership.State, heard time.Duration, listed bool) membership.Contact {
		return membership.Contact{Member: membership.Member{ID: "x", State: s}, LastHeard: now.Add(-heard), Listed: listed}
	}
	for _, c := range []struct {
		contact membership.Contact
		want    bool
	}{
		{contact(membership.Suspect, time.Hour, true), true},
		{contact(membership.Leaving, time.Hour, true), true},
		{contact(membership.Dead, 4*time.Second, true), true},
		{contact(membership.Dead, 6*time.Second, true), false},
		{contact(membership.Dead, 6*time.Second, false), true},
	} {
		got := knownVMs(membership.Member{ID: "self"}, []membership.Contact{c.contact}, now, 5*time.Second)
		all := map[string]KnownVM{}
		mergeKnown(all, got[1:]...)
		required := len(requiredVMs(listSnapshot{current: true}, all)) == 1
		qt.Assert(t, required, qt.Equals, c.want, qt.Commentf("%+v", c.contact))
	}
}

// A revision must not be accepted while the required set changes. A new member, a
// restarted one and a missing confirmation each restart the settle time. The
// accepted revision never decreases, even if a VM confirms a lower one.
func TestAcceptanceSettles(t *testing.T) {
	const settle = 2 * time.Second
	var a acceptance
	at := time.Now()
	step := func(after time.Duration, set []KnownVM, revisions ...int64) int64 {
		at = at.Add(after)
		c := confirmations{}
		for i, r := range revisions {
			c.add(Confirmation{set[i].ID, set[i].Incarnation, r})
		}
		return a.observe(at, at, settle, set, c)
	}
	two := []KnownVM{known("a", 1, true), known("b", 1, true)}
	three := append(two[:2:2], known("c", 1, true))
	restarted := append(two[:2:2], known("c", 2, true))
	qt.Assert(t, step(0, two, 5, 5), qt.Equals, int64(0))
	qt.Assert(t, step(time.Second, two, 5, 5), qt.Equals, int64(0))
	qt.Assert(t, step(time.Second, three, 5, 5, 5), qt.Equals, int64(0)) // new member
	qt.Assert(t, step(settle, restarted, 5, 5, 5), qt.Equals, int64(0))  // new incarnation
	qt.Assert(t, step(settle, restarted, 5, 5), qt.Equals, int64(0))     // one does not answer
	qt.Assert(t, step(time.Second, restarted, 5, 7, 6), qt.Equals, int64(0))
	qt.Assert(t, step(settle, restarted, 8, 7, 6), qt.Equals, int64(5)) // the newest that all confirmed for the settle time
	qt.Assert(t, step(time.Second, restarted, 1, 7, 6), qt.Equals, int64(5))
	old := confirmations{}
	old.add(Confirmation{"c", 1, 9})
	qt.Assert(t, old.revision(restarted[2]), qt.Equals, int64(0)) // confirmed by an earlier incarnation
}

// Splitting targets into slices of the tree must neither lose nor duplicate one.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, fanout := rapid.IntRange(0, 500).Draw(t, "n"), rapid.IntRange(1, 16).Draw(t, "fanout")
		var targets []Target
		for i := range n {
			targets = append(targets, Target{ID: fmt.Sprint(i)})
		}
		parts, i := split(targets, fanout), 0
		if len(parts) > fanout {
			t.Fatalf("%d children", len(parts))
		}
		for _, p := range parts {
			if len(p) < n/fanout || len(p) > n/fanout+1 {
				t.Fatalf("slice of %d of %d targets for %d children", len(p), n, fanout)
			}
			for _, target := range p {
				if target.ID != fmt.Sprint(i) {
					t.Fatalf("target %s at position %d", target.ID, i)
				}
				i++
			}
		}
		if i != n {
			t.Fatalf("%d of %d targets", i, n)
		}
	})
}

// The watchers must not all be in one zone, whose outage would stop them all.
func TestWatchersSpreadOverZones(t *testing.T) {
	for i := range 50 {
		var members []membership.Member
		for j := range 12 {
			members = append(members, membership.Member{
				ID: fmt.Sprintf("vm%d-%d", i, j), Zone: fmt.Sprint(j % 3), State: membership.Alive,
			})
		}
		zones := map[string]bool{}
		for _, w := range selectWatchers(members, 3) {
			zones[w.Zone] = true
		}
		qt.Assert(t, zones, qt.HasLen, 3)
	}
}

// The VMs must take over a rollout one after the other, by rank: neither all at
// the same time nor none.
func TestTakeoverOrder(t *testing.T) {
	learned := time.Now()
	due := func(rank, watcherRank int, lastPush time.Duration) time.Duration {
		o := takeover{learned: learned, rank: rank, watcherRank: watcherRank}
		if lastPush > 0 {
			o.lastPush = learned.Add(lastPush)
		}
		return o.due(5*time.Second, time.Second).Sub(learned)
	}
	qt.Assert(t, due(0, -1, 0), qt.Equals, time.Duration(0))
	qt.Assert(t, due(3, -1, 0), qt.Equals, 15*time.Second)
	qt.Assert(t, due(3, 1, 0), qt.Equals, 1250*time.Millisecond)
	qt.Assert(t, due(0, 0, time.Second), qt.Equals, 6*time.Second)
	qt.Assert(t, due(2, 0, time.Second), qt.Equals, 16*time.Second)
}

// Guards against unintended changes in the result of a fixed sequence of changes:
// the documents in force at each VM and the accepted marks in the store.
func TestAcceptedDocumentsGolden(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.stop()
		f.write("site", "create site")
		vms := f.grow(4, "attica", "kriti")
		time.Sleep(30 * time.Second) // the first document is accepted in this time
		for i, name := range []string{"stock", "site", "stock", "quoting", "stock"} {
			v := vms[i%len(vms)]
			svc := f.write(name, fmt.Sprintf("change %d", i))
			v.control.StartRollout(svc)
			qt.Assert(t, accepted(t, v, name, svc.Revision, 15*time.Second).Accepted, qt.IsTrue)
			time.Sleep(2 * time.Second) // the mark is written in this time
		}
		var out bytes.Buffer
		marks, _ := f.store.listing(config.AcceptedPrefix)
		for _, mark := range marks.Entries {
			fmt.Fprintf(&out, "%s %s\n", mark.Key, mark.Value)
			for _, v := range vms {
				doc, _ := json.Marshal(v.registry.Snapshot().Document(mark.Key[len(config.AcceptedPrefix):]))
				fmt.Fprintf(&out, "  %s %s\n", v.id, doc)
			}
		}
		const golden = "testdata/accepted.golden"
		if *update {
			qt.Assert(t, os.WriteFile(golden, out.Bytes(), 0o644), qt.IsNil)
		}
		want, err := os.ReadFile(golden)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, out.String(), qt.Equals, string(want))
	})
}

// A malformed document from a peer must not crash a VM or exhaust its memory, and
// one without a name or revision must be refused.
func FuzzDecodeDocument(f *testing.F) {
	good, err := encodeDocument(&config.Service{Name: "stock", Revision: 3, Policy: config.DefaultPolicy()})
	if err != nil {
		f.Fatal(err)
	}
	empty, _ := encodeDocument(&config.Service{})
	f.Add(good)
	f.Add(empty)
	f.Add(good[:len(good)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		svc, err := decodeDocument(b)
		if err == nil && (svc.Name == "" || svc.Revision <= 0) {
			t.Fatalf("decoded a document without name or revision: %+v", svc)
		}
	})
}
