package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/standin"
)

// Guards against VMs that go on from their old revision after the store has come back from an older copy.
func TestStoreComesBackFromOlderCopy(t *testing.T) {
	f := newFixture(t)
	f.backend("q1", "quotes", "bytes")
	leaves, gone := f.backend("q2", "quotes", "bytes"), f.backend("q3", "quotes", "bytes")
	f.backend("s1", "stock", "stock bytes")
	f.store.Configure(1, single("quote", "quotes", "idempotent"))
	vms := []*vm{f.start("vm1", true), f.start("vm2", true)}
	older := f.store.Copy()

	// Written after the copy, and lost.
	leaves.Register(f.store, "draining")
	f.store.Delete("servers/" + gone.ID)
	late := f.backend("q4", "quotes", "bytes")
	for i := range 30 {
		f.store.Put(fmt.Sprint("other/", i), []byte("x")) // revisions that the new era gives out again
	}
	f.store.Configure(2, single("quote", "quotes", "idempotent"), single("stock", "stock", "idempotent"))
	vms = append(vms, f.start("vm3", true))
	ready := func(v *vm) []string { return v.daemon.Report().Services["quotes"].Ready }
	for _, v := range vms {
		f.eventually(5*time.Second, "knows the servers", func() bool { return slices.Equal(ready(v), []string{"q1", "q4"}) })
		f.eventually(5*time.Second, "configuration 2", func() bool { return v.daemon.Report().ConfigVersion == 2 })
	}

	f.store.SetFault(standin.Reset)
	time.Sleep(300 * time.Millisecond)
	f.store.ComeBack(older)
	f.store.SetFault(standin.Healthy)
	for _, v := range vms {
		f.eventually(5*time.Second, "knows the era", func() bool { return v.daemon.Report().Era == 2 })
		f.Check(slices.Contains(ready(v), "q2") || slices.Contains(ready(v), "q3"), qt.IsFalse, qt.Commentf("a server that had left is used: %v", ready(v)))
		f.Check(v.daemon.Report().ConfigVersion, qt.Equals, int64(2))
	}
	runs := len(leaves.Runs()) + len(gone.Runs())

	// The writers write theirs again, and the operator a new configuration.
	leaves.Register(f.store, "draining")
	f.store.Delete("servers/" + gone.ID)
	late.Register(f.store, "draining") // is the same incarnation
	late.Register(f.store, "ready")
	f.store.Configure(3, single("quote", "stock", "idempotent"), single("stock", "stock", "idempotent"))
	written := time.Now()
	for _, v := range vms {
		f.eventually(drainBound-time.Since(written), "configuration 3", func() bool { return v.daemon.Report().ConfigVersion == 3 })
		f.eventually(drainBound, "the server that registered again is used", func() bool { return slices.Equal(ready(v), []string{"q1", "q4"}) })
		f.Check(f.ask(v, "GET", "/quote/x", "id-"+v.settings.VMID, "", time.Second).body, qt.Equals, "stock bytes")
		f.Check(v.daemon.Report().EraChanges, qt.Equals, int64(1))
	}
	f.Check(len(leaves.Runs())+len(gone.Runs()), qt.Equals, runs)
	f.eventually(5*time.Second, "all VMs are registered", func() bool { return len(f.store.Items("briarstand/vms/")) == len(vms) })
	time.Sleep(4 * time.Second) // longer than a lease of the copy
	f.Check(f.store.Items("briarstand/vms/"), qt.HasLen, len(vms))
	for _, v := range vms {
		f.Check(len(v.daemon.Report().VMs), qt.Equals, len(vms))
		f.Check(f.status(v, v.settings.ReadyAddress, "/readiness"), qt.Equals, http.StatusOK)
	}
}
