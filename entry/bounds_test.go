package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/mirror"
	"github.com/briarstand/briarstand/resolve"
	"github.com/briarstand/briarstand/telemetry"
)

// Guards the drain bound: the time for which changes gather, the time for which
// a server that left may still get work, and that until a VM notices that the one
// which it follows has lost the store, with the way of the news.
func TestLastResortStaysInDrainBound(t *testing.T) {
	const propagation = 400 * time.Millisecond // a store that is slow, and a late timer
	for _, bound := range []time.Duration{3 * time.Second, 4 * time.Second} {
		qt.Check(t, bound/batchWindowDivisor+lastResort(bound)+propagation <= bound, qt.IsTrue, qt.Commentf("%v", bound))
		lostSource := bound/batchWindowDivisor + bound/watchWaitDivisor + watchGrace + 2*100*time.Millisecond // pauses between tries
		qt.Check(t, lostSource+propagation <= bound, qt.IsTrue, qt.Commentf("%v", bound))
		qt.Check(t, mirror.SettleGather+max(expiredServerGrace, lastResort(bound))+propagation <= bound, qt.IsTrue, qt.Commentf("%v", bound))
	}
}

// Guards against callers that are sent to a VM that died, each of which waits a
// second for its connection, and against VMs that are forgotten because their
// records lapsed while the store was away.
func TestVMsThatAreNotListed(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	both := map[string]membership.Member{"a": {ID: "a", State: membership.Alive}, "b": {ID: "b", State: membership.Alive}}
	one := map[string]membership.Member{"a": both["a"]}
	table := newVMTable("a")
	c.Assert(table.update(both, start, 0).members, qt.HasLen, 2)
	f := table.update(one, start.Add(time.Second), 0)
	c.Assert(f.members, qt.HasLen, 1)
	c.Assert(f.known, qt.HasLen, 2, qt.Commentf("its share of the budget may be spent"))
	c.Assert(table.update(nil, start.Add(expiredVMRetention+2*time.Second), 0).known, qt.HasLen, 1)

	table = newVMTable("a")
	table.update(both, start, expiredVMGrace)
	c.Assert(table.update(one, start.Add(time.Second), expiredVMGrace).members, qt.HasLen, 2)
	c.Assert(table.update(one, start.Add(2*time.Second), 0).members, qt.HasLen, 2)
	c.Assert(table.update(nil, start.Add(expiredVMGrace+2*time.Second), 0).members, qt.HasLen, 1)
}

// Guards against more than the whole being handed out of what all VMs draw on
// together, and against the VMs that carry the requests getting little of it.
func TestParts(t *testing.T) {
	c := qt.New(t)
	f := &fleet{}
	c.Assert(f.fraction("a", 1), qt.Equals, 1.0, qt.Commentf("no VM is known yet"))
	for i := range 138 {
		cores := 0.134
		if i < 12 {
			cores = 0.8
		}
		f.known = append(f.known, membership.Member{ID: fmt.Sprint(i), Cores: cores})
	}
	sum := 0.0
	for i := range f.known {
		sum += f.fraction(fmt.Sprint(i), 1)
	}
	c.Assert(sum <= 1.0001, qt.IsTrue, qt.Commentf("%v", sum))
	c.Assert(f.fraction("0", 1), qt.Equals, 0.9/12)
	c.Assert(f.fraction("0", 24), qt.Equals, 0.9/24)
	c.Assert(f.fraction("137", 1), qt.Equals, 0.1/126)
	c.Assert(f.fraction("not listed yet", 1), qt.Equals, 0.1/126)
	f.known = f.known[12:]
	f.members = f.known
	serving := map[string]bool{}
	for _, m := range resolve.Serving(f.members) {
		serving[m.ID] = true
	}
	c.Assert(serving, qt.HasLen, 24)
	sum = 0
	for _, m := range f.known {
		fraction := f.fraction(m.ID, 1)
		sum += fraction
		c.Assert(fraction > 0.03, qt.Equals, serving[m.ID], qt.Commentf("%s has %v", m.ID, fraction))
	}
	c.Assert(sum <= 1.0001 && sum > 0.9999, qt.IsTrue, qt.Commentf("%v", sum))
}

// Guards the budget of all VMs together, and that of those that take over, when
// all VMs that serve callers are lost at once: their tokens may be spent, and
// their records are gone. Buckets start half full.
func TestPartsWhenServingVMsAreLost(t *testing.T) {
	c := qt.New(t)
	listed := map[string]membership.Member{}
	for i := range 195 {
		id := fmt.Sprintf("%03d", i)
		listed[id] = membership.Member{ID: id, Zone: fmt.Sprint(i % 6), Cores: 0.25, Incarnation: int64(i), State: membership.Alive}
	}
	start := time.Unix(1000, 0)
	table := newVMTable("000")
	f := table.update(listed, start, 0)
	spent := map[string]float64{}
	for round := range 3 { // each set is lost as soon as it serves
		now := start.Add(time.Duration(round+1) * time.Second)
		for _, m := range resolve.Serving(f.members) {
			fraction := f.fraction(m.ID, 1)
			c.Assert(fraction >= 0.9/78, qt.IsTrue, qt.Commentf("round %d: %s has %v", round, m.ID, fraction))
			spent[m.ID] = fraction * allocatedBudgetFraction * (burstFraction/2 + (1-burstFraction)*0.1)
			if round == 0 {
				spent[m.ID] = fraction * allocatedBudgetFraction * burstFraction
			}
			delete(listed, m.ID)
		}
		f = table.update(listed, now, 0)
	}
	sum := 0.0
	for _, s := range spent {
		sum += s
	}
	c.Assert(spent, qt.HasLen, 78) // 30 of 195 VMs, and twice 24 of fewer
	c.Assert(sum <= 1, qt.IsTrue, qt.Commentf("%v of the allowance may be spent", sum))
}

// Guards the budget of all VMs together when many start at once under load and
// do not know each other yet: the first retries of each come before that.
func TestBudgetAtStart(t *testing.T) {
	const vms, slack = 195, 430 // the fleet of the largest deployment known, and its allowance
	set := Settings{VMID: "vm1", Bounds: Bounds{BudgetPermille: 200, BudgetSlack: slack, BudgetWindow: 10 * time.Second}}
	d := New(set, nil, telemetry.NewLogger(io.Discard, log.ErrorLevel, telemetry.FieldVM, "vm1"))
	d.updateShares()
	first := d.engine.Share()
	// A bucket starts half full, and gains until the others are known.
	qt.Assert(t, vms*(first.Burst/2+first.PerSecond) <= slack, qt.IsTrue, qt.Commentf("%+v", first))
}
