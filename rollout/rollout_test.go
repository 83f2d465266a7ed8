package rollout

import (
	"context"
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
		vms[0].control.Recorded(svc)
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

// accepted returns whether a revision is accepted within a time, and the last
// status.
func accepted(t *testing.T, v *vm, name string, revision int64, within time.Duration) Status {
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	s, _ := v.control.Wait(ctx, name, revision)
	return s
}

// cutRegions cuts all links between two regions, and those of the second to
// the platform.
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

// A change during a partition must not be reported as accepted while VMs on
// the far side serve the old configuration, and both sides must keep serving.
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
		vms[0].control.Recorded(svc)
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

// A VM that was frozen must refuse queries at once after it thaws, before any
// message arrives, and a VM that left the list must not be waited for.
func TestFrozenVMLapsesAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()
		f.write("stock", "a")
		vms := f.grow(6, "attica", "kriti")
		time.Sleep(20 * time.Second)
		frozen := vms[5]
		f.freeze(frozen)
		f.unlist(frozen.id)
		time.Sleep(30 * time.Second)
		svc := f.write("stock", "b")
		s := accepted(t, vms[1], "stock", svc.Revision, 15*time.Second)
		qt.Assert(t, s.Accepted, qt.IsTrue, qt.Commentf("%v", s))
		var refused *NotAdmittedError
		qt.Assert(t, frozen.control.Admit(), qt.ErrorAs, &refused)
		f.thaw(frozen)
		time.Sleep(10 * time.Second)
		qt.Assert(t, frozen.control.Admit(), qt.IsNil)
		qt.Assert(t, frozen.registry.Snapshot().Revision("stock"), qt.Equals, svc.Revision)
	})
}
