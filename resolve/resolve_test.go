package resolve

import (
	"fmt"
	"testing"
	"time"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/membership"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func fleet(n int) *membership.View {
	v := &membership.View{}
	for i := range n {
		v.Members = append(v.Members, membership.Member{
			ID: fmt.Sprintf("vm%02d", i), Zone: fmt.Sprintf("zone-%d", i%3),
			CallerAddress: fmt.Sprintf("10.0.0.%d:7000", i), State: membership.Alive, Fresh: true,
		})
	}
	return v
}

// Guards against an answer that lists a VM that must not get new callers, lists
// a VM twice, or lists VMs of one zone only although another zone has some.
func TestSelectRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := fleet(rapid.IntRange(0, 24).Draw(t, "vms"))
		usable, far := 0, 0
		states := []membership.State{membership.Joining, membership.Alive, membership.Suspect, membership.Leaving}
		for i := range view.Members {
			m := &view.Members[i]
			m.State = rapid.SampledFrom(states).Draw(t, "state")
			m.Fresh = rapid.Bool().Draw(t, "fresh")
			if m.State == membership.Alive && m.Fresh {
				usable++
				if m.Zone != "zone-1" {
					far++
				}
			}
		}
		resp := Select(view, &briarstandv1.ResolveRequest{CallerId: "c", Zone: "zone-1"}, Config{})
		if want := min(usable, 6); len(resp.Endpoints) != want && usable-far < 6 {
			t.Fatalf("%d endpoints, want %d", len(resp.Endpoints), want)
		}
		seen, others := map[string]bool{}, 0
		for i, e := range resp.Endpoints {
			m, _ := view.Member(e.VmId)
			if seen[e.VmId] || m.State != membership.Alive || !m.Fresh || e.Address != m.CallerAddress {
				t.Fatalf("endpoint %v of %+v", e, m)
			}
			seen[e.VmId] = true
			if e.Zone != "zone-1" {
				others++
			} else if others > 0 {
				t.Fatalf("endpoint %d in the caller's zone comes after another zone", i)
			}
		}
		if far > 0 && others == 0 {
			t.Fatal("no endpoint in another zone")
		}
	})
}

// Guards against callers concentrated on a few VMs, and against answers that
// change for callers that did not use the VM that left.
func TestCallersSpreadEvenly(t *testing.T) {
	const callers = 3000
	view := fleet(18)
	without := &membership.View{Members: view.Members[1:]}
	first := map[string]int{}
	for i := range callers {
		req := &briarstandv1.ResolveRequest{CallerId: fmt.Sprintf("caller-%d", i)}
		resp := Select(view, req, Config{TTL: 20 * time.Second})
		qt.Assert(t, resp.TtlMs, qt.Equals, int64(20000))
		first[resp.Endpoints[0].VmId]++
		if resp.Endpoints[0].VmId != "vm00" {
			next := Select(without, req, Config{})
			qt.Assert(t, next.Endpoints[0].VmId, qt.Equals, resp.Endpoints[0].VmId)
		}
	}
	for id, n := range first {
		if n < callers/18/2 || n > callers/18*2 {
			t.Errorf("%s is first for %d of %d callers", id, n, callers)
		}
	}
	qt.Assert(t, first, qt.HasLen, 18)
}
