package rollout

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A change must reach every VM and be accepted within seconds, and its mark
// must be written.
func TestChangeIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stop()
		f.write("stock", "a")
		vms := f.grow(18, "attica", "makedonia", "kriti")
		svc := f.write("stock", "b")
		began := time.Now()
		vms[0].control.StartRollout(svc)
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		s, err := vms[0].control.Wait(ctx, "stock", svc.Revision)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s.Accepted, qt.IsTrue)
		qt.Assert(t, s.Total, qt.Equals, 18)
		t.Logf("accepted after %v", time.Since(began))
		for _, v := range vms {
			qt.Assert(t, v.registry.Snapshot().Revision("stock"), qt.Equals, svc.Revision)
			qt.Assert(t, v.control.Admit(), qt.IsNil)
		}
		time.Sleep(time.Second)
		qt.Assert(t, f.mark("stock"), qt.Equals, svc.Revision)
	})
}

// accepted waits for a revision to be accepted, up to the given time, and returns
// the last status.
func accepted(t *testing.T, v *vm, name string, revision int64, within time.Duration) Status {
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	s, _ := v.control.Wait(ctx, name, revision)
	return s
}

// cutRegions cuts all links between two regions, and those between the far
// region and the platform.
func cutRegions(f *fleet, near, far string) {
	for _, a := range f.all() {
		for _, b := range f.all() {
			if a.region == near && b.region == far {
				f.cutLink(a.address, b.address, true)
			}
		}
		if a.region == far {
			f.cutLink(a.address, "platform", true)
		}
	}
}

// A change during a partition must not be reported as accepted while VMs in the
// far region admit queries with the old configuration, and both sides must keep
// admitting queries.
func TestChangeDuringRegionPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		f.write("stock", "a")
		vms := f.grow(12, "attica", "kriti")
		time.Sleep(30 * time.Second)
		cutRegions(f, "a", "k")
		time.Sleep(20 * time.Second)
		svc := f.write("stock", "b")
		vms[0].control.StartRollout(svc)
		s := accepted(t, vms[0], "stock", svc.Revision, 3*time.Minute)
		qt.Assert(t, s.Accepted, qt.IsFalse)
		qt.Assert(t, s.InForce, qt.Equals, 6)
		qt.Assert(t, s.WaitingFor, qt.HasLen, 6)
		for _, v := range f.all() {
			qt.Assert(t, v.control.Admit(), qt.IsNil, qt.Commentf("%s", v.id))
		}
		f.heal()
		s = accepted(t, vms[0], "stock", svc.Revision, 30*time.Second)
		qt.Assert(t, s.Accepted, qt.IsTrue, qt.Commentf("%v", s))
	})
}

// A VM that was paused must refuse queries as soon as it resumes, before any
// message arrives, and acceptance must not wait for a paused VM that was removed
// from the list.
func TestFrozenVMLapsesAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()
		f.write("stock", "a")
		vms := f.grow(6, "attica", "kriti")
		time.Sleep(20 * time.Second)
		paused := vms[5]
		f.pause(paused)
		f.unlist(paused.id)
		time.Sleep(30 * time.Second)
		svc := f.write("stock", "b")
		s := accepted(t, vms[1], "stock", svc.Revision, 15*time.Second)
		qt.Assert(t, s.Accepted, qt.IsTrue, qt.Commentf("%v", s))
		var refused *NotAdmittedError
		qt.Assert(t, paused.control.Admit(), qt.ErrorAs, &refused)
		f.resume(paused)
		time.Sleep(10 * time.Second)
		qt.Assert(t, paused.control.Admit(), qt.IsNil)
		qt.Assert(t, paused.registry.Snapshot().Revision("stock"), qt.Equals, svc.Revision)
	})
}

// setStoreDown starts or ends an outage of the store.
func (f *fleet) setStoreDown(down bool) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.down = down
}

// Acceptance must not depend on the store. When the store fails right after the
// compare-and-swap, all VMs must still receive the change, and the mark must be
// written after the outage. An outage of any length must not make a VM refuse
// queries.
func TestStoreOutageRightAfterSwap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stop()
		f.write("stock", "a")
		vms := f.grow(9, "attica", "kriti")
		time.Sleep(10 * time.Second)
		svc := f.write("stock", "b")
		f.setStoreDown(true)
		vms[4].control.StartRollout(svc)
		s := accepted(t, vms[4], "stock", svc.Revision, 15*time.Second)
		qt.Assert(t, s.Accepted, qt.IsTrue, qt.Commentf("%v", s))
		c := newInvariant(f, "stock")
		for range 60 {
			time.Sleep(5 * time.Second)
			c.check()
			for _, v := range vms {
				qt.Assert(t, v.control.Admit(), qt.IsNil, qt.Commentf("%s", v.id))
			}
		}
		qt.Assert(t, c.err, qt.IsNil)
		f.setStoreDown(false)
		time.Sleep(30 * time.Second)
		qt.Assert(t, f.mark("stock"), qt.Equals, svc.Revision)
	})
}

// A change must be rolled out even if the VM that made it dies right after the
// compare-and-swap: a watcher or the VM with the next rank drives the rollout.
func TestReporterDiesAfterSwap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.stop()
		f.write("stock", "a")
		vms := f.grow(9, "attica", "kriti", "makedonia")
		time.Sleep(10 * time.Second)
		svc := f.write("stock", "b") // no VM is notified
		began := time.Now()
		s := accepted(t, vms[8], "stock", svc.Revision, 15*time.Second)
		qt.Assert(t, s.Accepted, qt.IsTrue, qt.Commentf("%v", s))
		t.Logf("accepted after %v", time.Since(began))
	})
}

// A VM that starts during a store outage must read the configuration from a fresh
// peer, so that it neither refuses queries nor admits them with an old
// configuration. Without a fresh peer it must not admit queries.
func TestStartDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.stop()
		f.write("stock", "a")
		f.grow(5, "attica", "kriti")
		svc := f.write("stock", "b")
		time.Sleep(10 * time.Second)
		f.setStoreDown(true)
		v := f.add("late", "kriti", "k", false)
		began := time.Now()
		<-v.started
		t.Logf("started after %v", time.Since(began))
		qt.Assert(t, v.control.Admit(), qt.IsNil)
		qt.Assert(t, v.registry.Snapshot().Revision("stock"), qt.Equals, svc.Revision)

		lone := newFleet(t, 7)
		defer lone.stop()
		lone.setStoreDown(true)
		w := lone.add("lone", "kriti", "k", true)
		time.Sleep(time.Minute)
		qt.Assert(t, w.control.Admit(), qt.Not(qt.IsNil))
	})
}

// A VM that starts while a change is being accepted must read the change or be
// required to confirm it. The VM starts at different offsets around the
// acceptance, and is on the platform's list in every other run.
func TestStartConcurrentlyWithAcceptance(t *testing.T) {
	for offset := range 12 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, uint64(40+offset))
			f.delay = 30 * time.Millisecond
			defer f.stop()
			f.write("stock", "a")
			vms := f.grow(5, "attica", "kriti")
			c := newInvariant(f, "stock")
			c.run(5 * time.Second)
			svc := f.write("stock", "b")
			vms[0].control.StartRollout(svc)
			c.run(time.Duration(offset) * 40 * time.Millisecond)
			f.add("late", "kriti", "k", offset%2 == 0)
			c.run(15 * time.Second)
			qt.Assert(t, c.err, qt.IsNil)
			qt.Assert(t, c.accepted["stock"], qt.Equals, svc.Revision)
		})
	}
}

// A fleet must recover after the freshness of all its VMs expired in a store
// outage. Two expired VMs must not make each other fresh: as long as one listed
// VM cannot be reached, no VM may admit queries.
func TestWholeFleetLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		defer f.stop()
		f.write("stock", "a")
		vms := f.grow(6, "attica", "kriti")
		time.Sleep(10 * time.Second)
		f.setStoreDown(true)
		for _, a := range vms {
			for _, b := range vms {
				f.cutLink(a.address, b.address, true)
			}
		}
		time.Sleep(20 * time.Second)
		for _, v := range vms {
			qt.Assert(t, v.control.Admit(), qt.Not(qt.IsNil))
		}
		f.heal()
		for _, v := range vms[1:] {
			f.cutLink(vms[0].address, v.address, true)
		}
		time.Sleep(time.Minute)
		for _, v := range vms {
			qt.Assert(t, v.control.Admit(), qt.Not(qt.IsNil), qt.Commentf("%s", v.id))
		}
		f.heal()
		time.Sleep(40 * time.Second)
		for _, v := range vms {
			qt.Assert(t, v.control.Admit(), qt.IsNil, qt.Commentf("%s", v.id))
		}
	})
}

// A VM without peers must not refuse queries because the store is down, and a VM
// must not refuse queries because its only peer died.
func TestLastVMStaysFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.stop()
		f.write("stock", "a")
		v := f.grow(1, "attica")[0]
		f.setStoreDown(true)
		for range 100 {
			time.Sleep(time.Second)
			qt.Assert(t, v.control.Admit(), qt.IsNil)
		}
		f.setStoreDown(false)
		peer := f.grow(1, "attica")[0]
		time.Sleep(5 * time.Second)
		f.kill(peer)
		for range 100 {
			time.Sleep(time.Second)
			qt.Assert(t, v.control.Admit(), qt.IsNil)
		}
	})
}

// A coordinator whose link to a VM is cut must get the confirmation of that VM
// through other VMs that reach it.
func TestCutLinkToReporter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10)
		defer f.stop()
		f.write("stock", "a")
		vms := f.grow(5, "attica", "kriti")
		time.Sleep(5 * time.Second)
		f.cutLink(vms[0].address, vms[3].address, true)
		svc := f.write("stock", "b")
		vms[0].control.StartRollout(svc)
		began := time.Now()
		s := accepted(t, vms[0], "stock", svc.Revision, 15*time.Second)
		qt.Assert(t, s.Accepted, qt.IsTrue, qt.Commentf("%v", s))
		t.Logf("accepted after %v", time.Since(began))
	})
}

// Freshness must count from the time at which the request was sent, because the
// process may be paused before it reads the reply.
func TestGrantCountsFromRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFreshness(time.Now(), 5*time.Second)
		qt.Assert(t, f.admit(), qt.Equals, error(errNotLoaded))
		sent := time.Now()
		time.Sleep(4600 * time.Millisecond)
		f.grant(sent)
		qt.Assert(t, f.admit(), qt.Equals, error(errExpired))
		f.grant(time.Now())
		f.grant(sent) // an older reply that arrives later does not shorten freshness
		time.Sleep(4400 * time.Millisecond)
		qt.Assert(t, f.admit(), qt.IsNil)
		time.Sleep(200 * time.Millisecond)
		qt.Assert(t, f.admit(), qt.Equals, error(errExpired))
	})
}

// The VMs of a fleet must not all take over all rollouts concurrently when the
// fleet starts with many documents that have no accepted mark.
func TestTakeoversAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 13)
		defer f.stop()
		for i := range 20 {
			f.write(fmt.Sprintf("service%02d", i), "a")
		}
		vms := f.grow(6, "attica", "kriti")
		for range 900 {
			time.Sleep(100 * time.Millisecond)
			for _, v := range vms {
				v.control.mu.Lock()
				driving := 0
				for _, task := range v.control.tasks {
					if task.driving {
						driving++
					}
				}
				v.control.mu.Unlock()
				qt.Assert(t, driving <= maxTakeovers, qt.IsTrue)
			}
		}
		for i := range 20 {
			qt.Assert(t, f.mark(fmt.Sprintf("service%02d", i)) > 0, qt.IsTrue, qt.Commentf("service%02d", i))
		}
	})
}
