package rollout

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarstand/briarstand/membership"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed and number of runs unless the command line sets
// them, so that the checks are repeatable and fast.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "8"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	goleak.VerifyTestMain(m)
}

// invariant checks the guarantees of acceptance at all running VMs.
type invariant struct {
	f         *fleet
	services  []string
	accepted  map[string]int64
	revisions map[*vm]map[string]int64
	err       error
}

func newInvariant(f *fleet, services ...string) *invariant {
	return &invariant{f: f, services: services, accepted: map[string]int64{}, revisions: map[*vm]map[string]int64{}}
}

// check reads the accepted revisions first: a revision that is accepted at that
// time must be in force at every VM that admits queries afterwards.
func (c *invariant) check() {
	vms := c.f.all()
	for _, v := range vms {
		for _, name := range c.services {
			c.accepted[name] = max(c.accepted[name], v.control.acceptedRevision(name))
		}
	}
	for _, name := range c.services {
		if m := c.f.mark(name); m > c.accepted[name] {
			c.fail("mark of %s is %d, accepted is %d", name, m, c.accepted[name])
		}
	}
	for _, v := range vms {
		c.checkVM(v)
	}
}

func (c *invariant) checkVM(v *vm) {
	if c.revisions[v] == nil {
		c.revisions[v] = map[string]int64{}
	}
	admits := v.control.Admit() == nil
	snap := v.registry.Snapshot()
	for _, name := range c.services {
		r := snap.Revision(name)
		if r < c.revisions[v][name] {
			c.fail("%s: revision decreased from %d to %d for service %s", v.id, c.revisions[v][name], r, name)
		}
		c.revisions[v][name] = r
		if admits && r < c.accepted[name] {
			c.fail("%s admits queries at revision %d of %s, accepted is %d", v.id, r, name, c.accepted[name])
		}
	}
}

func (c *invariant) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
		fmt.Fprintln(os.Stderr, "violated:", c.err)
	}
}

// run advances the fake clock by d and checks every 20 ms.
func (c *invariant) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c.check()
	}
}

// step is one action of the state machine.
type step struct {
	kind string
	a, b int
	wait time.Duration
}

func (s step) String() string { return fmt.Sprintf("%s(%d,%d)+%v", s.kind, s.a, s.b, s.wait) }

var stepKinds = []string{
	"change", "change", "change", "cut", "cut-one-way", "cut-platform", "heal", "pause", "resume",
	"store-down", "store-up", "list-down", "list-up", "kill", "remove", "start", "start-unlisted", "replace", "partition",
	"slow", "fast",
}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind: rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			a:    rapid.IntRange(0, 11).Draw(t, "a"),
			b:    rapid.IntRange(0, 11).Draw(t, "b"),
			wait: time.Duration(rapid.IntRange(0, 90).Draw(t, "wait")) * 100 * time.Millisecond,
		}
	}), 5, 40).Draw(t, "steps")
}

// apply performs a step on the fleet.
func (f *fleet) apply(s step) {
	vms := f.all()
	if len(vms) == 0 {
		return
	}
	a, b := vms[s.a%len(vms)], vms[s.b%len(vms)]
	switch s.kind {
	case "change":
		f.change(a, s.b)
	case "cut", "cut-one-way":
		f.cutLink(a.address, b.address, s.kind == "cut")
	case "cut-platform":
		f.cutLink(a.address, "platform", true)
	case "partition":
		cutRegions(f, "a", "k")
	case "heal":
		f.heal()
	case "slow", "fast":
		f.setDelay(map[string]time.Duration{"slow": 230 * time.Millisecond, "fast": time.Millisecond}[s.kind])
	case "pause":
		f.pause(a)
	case "resume":
		f.resume(a)
	case "store-down", "store-up":
		f.store.mu.Lock()
		f.store.down = s.kind == "store-down"
		f.store.mu.Unlock()
	case "list-down", "list-up":
		f.mu.Lock()
		f.listDown = s.kind == "list-down"
		f.mu.Unlock()
	default:
		f.applyLifecycle(s.kind, a, len(vms))
	}
}

// change writes a new revision unless the store is down. If n is not divisible by 3,
// it also starts the rollout at the VM, as if an operator had made the change there.
func (f *fleet) change(v *vm, n int) {
	f.store.mu.Lock()
	down := f.store.down
	f.store.mu.Unlock()
	if down {
		return
	}
	svc := f.write([]string{"stock", "site"}[n%2], fmt.Sprint(n))
	if n%3 > 0 {
		v.control.StartRollout(svc)
	}
}

func (f *fleet) applyLifecycle(kind string, v *vm, count int) {
	switch {
	case kind == "kill" && count > 3:
		f.resume(v)
		f.kill(v)
	case kind == "remove" && count > 3:
		f.resume(v)
		f.kill(v)
		f.unlist(v.id)
	case kind == "start" && count < 9:
		f.add(fmt.Sprintf("new%d", f.next), v.zone, v.region, true)
	case kind == "start-unlisted" && count < 9:
		f.add(fmt.Sprintf("new%d", f.next), v.zone, v.region, false)
	case kind == "replace":
		f.resume(v)
		f.kill(v)
		f.add(v.id, v.zone, v.region, false)
	}
}

// Under random sequences of changes and failures (stepKinds), no VM may admit
// queries with a revision below the accepted one, and no revision may decrease.
// After all failures have ended, the newest revisions must be accepted.
func TestAcceptedNeverReverts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r)
		var err error
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 11)
			defer f.stop()
			f.write("stock", "a")
			f.write("site", "a")
			f.grow(6, "attica", "kriti")
			c := newInvariant(f, "stock", "site")
			c.run(3 * time.Second)
			for _, s := range steps {
				f.apply(s)
				c.run(s.wait)
				if c.err != nil {
					break
				}
			}
			c.recoverAll()
			err = c.err
		})
		if err != nil {
			r.Fatalf("%v after %v", err, steps)
		}
	})
}

// recoverAll ends all failures and requires that every VM admits queries again
// and that the newest revisions are accepted.
func (c *invariant) recoverAll() {
	f := c.f
	f.heal()
	f.setDelay(time.Millisecond)
	f.apply(step{kind: "store-up"})
	f.apply(step{kind: "list-up"})
	running := map[string]bool{}
	for _, v := range f.all() {
		f.resume(v)
		running[v.id] = true
	}
	f.mu.Lock()
	rows := f.list
	f.mu.Unlock()
	for _, row := range rows {
		if !running[row.ID] {
			f.unlist(row.ID)
		}
	}
	c.run(100 * time.Second)
	for _, v := range f.all() {
		if err := v.control.Admit(); err != nil {
			c.fail("%s does not recover: %v", v.id, err)
		}
		if s := v.members.Self().State; s != membership.Alive {
			c.fail("%s is %s at the end", v.id, s)
		}
	}
	for _, name := range c.services {
		f.store.mu.Lock()
		newest := f.store.entries["briarstand/services/"+name].Index
		f.store.mu.Unlock()
		if c.accepted[name] != newest {
			c.fail("%s: newest is %d, accepted is %d", name, newest, c.accepted[name])
		}
	}
}
