package membership

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarstand/briarstand/kvstore"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// waitUntil polls a condition every 100 ms and returns how long it took to become
// true. It fails the test after the limit.
func waitUntil(t *testing.T, limit time.Duration, what string, cond func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !cond() {
		if time.Since(began) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began)
}

// allHave reports whether the view of every VM shows the member with the given id
// in state s. For Dead, it reports whether no view contains the member.
func allHave(vms []*Membership, id string, s State) bool {
	for _, m := range vms {
		have, ok := m.View().Member(id)
		if s == Dead && ok || s != Dead && (!ok || have.State != s) {
			return false
		}
	}
	return true
}

// converged reports whether all VMs have n members in their view and equal
// digests.
func converged(vms []*Membership, n int) bool {
	digests := func(m *Membership) Digests {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.table.digests
	}
	for _, m := range vms {
		if len(m.View().Members) != n || digests(m) != digests(vms[0]) {
			return false
		}
	}
	return true
}

// The tables must converge even if all VMs have the same single seed.
func TestConvergence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		vms := n.fleet(t, 60)
		took := waitUntil(t, 30*time.Second, "all tables equal", func() bool { return converged(vms, 60) })
		t.Logf("60 VMs converged after %v", took)
	})
}

// A dead VM must leave the views, and thus the answers to callers, and its
// tombstone must be removed.
func TestDetectionTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		vms := n.fleet(t, 60)
		waitUntil(t, 30*time.Second, "converged", func() bool { return converged(vms, 60) })
		n.kill("m010:1")
		rest := append(vms[:10:10], vms[11:]...)
		suspected := waitUntil(t, 5*time.Second, "first suspicion", func() bool {
			return !allHave(rest, "vm010", Alive)
		})
		dead := waitUntil(t, 15*time.Second, "dead everywhere", func() bool { return allHave(rest, "vm010", Dead) })
		t.Logf("suspected after %v, dead everywhere %v later", suspected, dead)
		time.Sleep(90 * time.Second)
		qt.Assert(t, vms[0].Contacts(), qt.HasLen, 58)
		qt.Assert(t, converged(rest, 59), qt.IsTrue)
	})
}

// A VM must not be declared dead while other VMs reach it and only one of its links
// is cut, in one or both directions.
func TestCutLinkIsNotDeath(t *testing.T) {
	for _, both := range []bool{false, true} {
		t.Run(fmt.Sprintf("both=%v", both), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				defer n.stop()
				vms := n.fleet(t, 8)
				waitUntil(t, 20*time.Second, "converged", func() bool { return converged(vms, 8) })
				n.withLock(func() {
					n.cut[[2]string{"m001:1", "m002:1"}] = true
					n.cut[[2]string{"m002:1", "m001:1"}] = both
				})
				for range 60 {
					time.Sleep(time.Second)
					qt.Assert(t, allHave(vms, "vm001", Dead), qt.IsFalse)
					for _, m := range vms {
						for _, id := range []string{"vm001", "vm002"} {
							_, ok := m.View().Member(id)
							qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s lost at %s", id, m.Self().ID))
						}
					}
				}
			})
		})
	}
}

// A suspect that is alive must refute the suspicion before it expires: it raises
// its sequence, and no VM may remove it from its view.
func TestRefutation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		vms := n.fleet(t, 30)
		waitUntil(t, 20*time.Second, "converged", func() bool { return converged(vms, 30) })
		target, _ := vms[3].View().Member("vm007")
		n.withLock(func() {
			m := vms[3]
			m.mu.Lock()
			defer m.mu.Unlock()
			qt.Assert(t, m.table.suspect(target, time.Now()), qt.IsTrue)
			m.publish()
		})
		waitUntil(t, 10*time.Second, "refuted", func() bool {
			m, _ := vms[3].View().Member("vm007")
			return m.State == Alive && m.Sequence > target.Sequence
		})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			_, ok := vms[20].View().Member("vm007")
			qt.Assert(t, ok, qt.IsTrue)
		}
	})
}

// A VM must not declare the other VMs dead after a pause, and a VM that was
// declared dead must be able to rejoin.
func TestThawAfterLongFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		for i := range 12 {
			n.list = append(n.list, kvstore.VM{ID: fmt.Sprintf("vm%03d", i), PeerAddress: fmt.Sprintf("m%03d:1", i)})
		}
		vms := n.fleet(t, 12)
		waitUntil(t, 20*time.Second, "converged", func() bool { return converged(vms, 12) })
		n.pause("m005:1")
		waitUntil(t, 20*time.Second, "paused VM dead", func() bool {
			return allHave(append(vms[:5:5], vms[6:]...), "vm005", Dead)
		})
		time.Sleep(10 * time.Minute)
		n.resume("m005:1")
		took := waitUntil(t, 30*time.Second, "resumed VM rejoined", func() bool { return converged(vms, 12) })
		t.Logf("rejoined after %v", took)
	})
}

// A replacement VM must not be mistaken for the VM that had its address before,
// neither with a new id nor with the old id and a new incarnation.
func TestReplacedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		vms := n.fleet(t, 8)
		waitUntil(t, 20*time.Second, "converged", func() bool { return converged(vms, 8) })
		n.kill("m003:1")
		n.kill("m004:1")
		vms[3] = n.start(t, "vm900", "m003:1", 100, "m000:1")
		vms[4] = n.start(t, "vm004", "m004:1", 101, "m000:1")
		waitUntil(t, 20*time.Second, "old one dead, new ones known", func() bool {
			return allHave(vms, "vm003", Dead) && allHave(vms, "vm900", Alive) && converged(vms, 8)
		})
		m, _ := vms[0].View().Member("vm004")
		qt.Assert(t, m.Incarnation, qt.Equals, int64(101))
		_, err := vms[0].HandleProbe(&ProbeRequest{From: Member{ID: "vm004", PeerAddress: "m004:1", Incarnation: 5, State: Alive}})
		var superseded *SupersededError
		qt.Assert(t, errors.As(err, &superseded), qt.IsTrue)
	})
}

// An outdated platform's list must neither add a VM that is gone nor hide one that
// the list lacks. After a long partition the VMs must find each other again without
// configured seeds.
func TestStaleListAndPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		n.list = []kvstore.VM{{ID: "gone", PeerAddress: "gone:1"}}
		for i := range 6 {
			address := fmt.Sprintf("m%03d:1", i)
			n.list = append(n.list, kvstore.VM{ID: fmt.Sprintf("vm%03d", i), PeerAddress: address})
		}
		var vms []*Membership
		for i := range 7 { // the list lacks the last one
			vms = append(vms, n.start(t, fmt.Sprintf("vm%03d", i), fmt.Sprintf("m%03d:1", i), int64(i+1)))
		}
		waitUntil(t, 30*time.Second, "converged", func() bool { return converged(vms, 7) })
		side := func(i int) bool { return i < 3 }
		n.withLock(func() {
			for i := range vms {
				for j := range vms {
					if side(i) != side(j) {
						n.cut[[2]string{fmt.Sprintf("m%03d:1", i), fmt.Sprintf("m%03d:1", j)}] = true
					}
				}
			}
		})
		time.Sleep(10 * time.Minute)
		// Only tombstones of VMs on the list are kept.
		qt.Assert(t, vms[0].View().Members, qt.HasLen, 3)
		qt.Assert(t, vms[0].Contacts(), qt.HasLen, 5)
		qt.Assert(t, vms[6].View().Members, qt.HasLen, 4)
		n.withLock(func() { clear(n.cut) })
		took := waitUntil(t, 20*time.Second, "converged again", func() bool { return converged(vms, 7) })
		t.Logf("converged %v after the partition", took)
	})
}

// Two VMs that receive the same updates in different orders must end up with the
// same table.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		member := rapid.Custom(func(t *rapid.T) Member {
			return Member{
				ID: "vm", PeerAddress: "a:1",
				Incarnation: rapid.Int64Range(1, 3).Draw(t, "incarnation"),
				Sequence:    rapid.Int64Range(0, 3).Draw(t, "sequence"),
				State:       rapid.SampledFrom([]State{Joining, Alive, Suspect, Leaving, Dead}).Draw(t, "state"),
			}
		})
		updates := rapid.SliceOfN(member, 1, 8).Draw(t, "updates")
		order := rapid.Permutation(updates).Draw(t, "order")
		fold := func(s []Member) Member {
			known := s[0]
			for _, m := range s[1:] {
				next, _ := Merge(known, m)
				if Compare(next, known) < 0 {
					t.Fatalf("entry %+v was replaced by the older %+v", known, next)
				}
				known = next
			}
			return known
		}
		if a, b := fold(updates), fold(order); Compare(a, b) != 0 {
			t.Fatalf("results differ by order: %+v and %+v", a, b)
		}
	})
}

// Probes must not grow without bound with the fleet: both the number of updates in
// a probe and the number of transmissions of an update are limited.
func TestUpdatesAreBounded(t *testing.T) {
	now := time.Now()
	table := newTable(Member{ID: "self", PeerAddress: "s:1", Incarnation: 1, State: Alive})
	for i := range 430 {
		table.merge(Member{ID: fmt.Sprintf("vm%03d", i), PeerAddress: "a:1", Incarnation: 1, State: Alive}, now)
	}
	sent := 0
	for {
		u := table.updates(32, "vm000")
		if len(u) > 32 {
			t.Fatalf("%d updates in a message", len(u))
		}
		if len(u) == 0 {
			break
		}
		sent += len(u)
	}
	if limit := 431 * maxTransmissions(431); sent > limit {
		t.Fatalf("%d updates sent, more than %d", sent, limit)
	}
}
