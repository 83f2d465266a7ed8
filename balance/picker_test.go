package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newBackends(n int) []*config.Backend {
	all := make([]*config.Backend, n)
	for i := range all {
		all[i] = &config.Backend{ID: fmt.Sprintf("s%d", i), Region: "r0", MaxConnections: 54}
	}
	return all
}

func newSeededPicker(cfg Config) *Picker {
	cfg.Random = rand.New(rand.NewPCG(1, 2)).Uint64
	return NewPicker(cfg)
}

// drive sends sub-requests one after another and returns each replica's share.
// reply returns latency and status by backend id.
func drive(p *Picker, choice config.ReplicaChoice, all []*config.Backend, n int,
	reply func(id string) (time.Duration, backend.Status),
) map[string]float64 {
	share := map[string]float64{}
	for range n {
		b, _ := p.Pick(choice, all, nil)
		p.Started(b.ID)
		latency, status := reply(b.ID)
		time.Sleep(latency)
		p.Finished(b.ID, latency, status)
		share[b.ID] += 1 / float64(n)
	}
	return share
}

func latencies(slow map[string]time.Duration) func(string) (time.Duration, backend.Status) {
	return func(id string) (time.Duration, backend.Status) {
		if d, ok := slow[id]; ok {
			return d, backend.OK
		}
		return 2 * time.Millisecond, backend.OK
	}
}

// A straggler must lose its share of work, and get it back after it recovered.
func TestStragglerLosesItsShareAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, all := newSeededPicker(Config{}), newBackends(3)
		share := drive(p, config.ChoiceAdaptive, all, 20_000, latencies(map[string]time.Duration{"s0": 20 * time.Millisecond}))
		c.Assert(share["s0"] < 0.01, qt.IsTrue, qt.Commentf("%v", share))
		drive(p, config.ChoiceAdaptive, all, 10_000, latencies(nil))
		share = drive(p, config.ChoiceAdaptive, all, 10_000, latencies(nil))
		c.Assert(share["s0"] > 0.25, qt.IsTrue, qt.Commentf("%v", share))
		share = drive(p, config.ChoiceRandom, all, 10_000, latencies(map[string]time.Duration{"s0": 20 * time.Millisecond}))
		c.Assert(share["s0"] > 0.3, qt.IsTrue, qt.Commentf("the baseline must not adapt: %v", share))
	})
}

// A replica that fails fast must not attract work, and must get its share again after
// it recovered.
func TestRefusalsAndFailuresAreAvoided(t *testing.T) {
	for _, status := range []backend.Status{backend.Shed, backend.Failed, backend.StreamBroken, backend.Unsent} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			p, all := newSeededPicker(Config{}), newBackends(2)
			share := drive(p, config.ChoiceAdaptive, all, 5_000, func(id string) (time.Duration, backend.Status) {
				if id == "s0" {
					return 100 * time.Microsecond, status
				}
				return 2 * time.Millisecond, backend.OK
			})
			c.Assert(share["s0"] < 0.05, qt.IsTrue, qt.Commentf("%v: %v", status, share))
			drive(p, config.ChoiceAdaptive, all, 10_000, latencies(nil))
			share = drive(p, config.ChoiceAdaptive, all, 5_000, latencies(nil))
			c.Assert(share["s0"] > 0.3, qt.IsTrue, qt.Commentf("%v: %v", status, share))
		})
	}
}

type hints map[string]float64

func (h hints) Load(id string) (float64, time.Duration, bool) {
	load, ok := h[id]
	return load, 0, ok
}

// Reported loads must not override the VM's own observations, but must decide between
// replicas with equal scores.
func TestLoadHintsOnlyBreakTies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, all := newSeededPicker(Config{Hints: hints{"s0": 0, "s1": 1}}), newBackends(2)
		share := drive(p, config.ChoiceAdaptive, all, 5_000, latencies(nil))
		c.Assert(share["s0"] > 0.9, qt.IsTrue, qt.Commentf("tie: %v", share))
		share = drive(p, config.ChoiceAdaptive, all, 5_000, latencies(map[string]time.Duration{"s0": 4 * time.Millisecond}))
		c.Assert(share["s0"] < 0.05, qt.IsTrue, qt.Commentf("s0 is slower: %v", share))
	})
}

// Guards against a full share of work for a replica that has just connected.
func TestSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, all := newSeededPicker(Config{}), newBackends(2)
		p.Connected("s0")
		share := drive(p, config.ChoiceAdaptive, all, 500, latencies(nil)) // takes 1 s of the slow start
		c.Assert(share["s0"] > 0.02 && share["s0"] < 0.15, qt.IsTrue, qt.Commentf("%v", share))
		time.Sleep(DefaultSlowStart)
		share = drive(p, config.ChoiceAdaptive, all, 500, latencies(nil))
		c.Assert(share["s0"] > 0.4, qt.IsTrue, qt.Commentf("%v", share))
	})
}

// Sub-requests that hang have no latency yet, but must count as load.
func TestInFlightCounts(t *testing.T) {
	c := qt.New(t)
	p, all := newSeededPicker(Config{}), newBackends(2)
	for range 3 {
		p.Started("s0")
	}
	for range 100 {
		b, ok := p.Pick(config.ChoiceAdaptive, all, nil)
		c.Assert(ok && b.ID == "s1", qt.IsTrue)
	}
}

// Guards against picking a replica that was already tried.
func TestPickSkipsTried(t *testing.T) {
	c := qt.New(t)
	p, all := newSeededPicker(Config{}), newBackends(4)
	for _, choice := range []config.ReplicaChoice{config.ChoiceAdaptive, config.ChoiceRandom} {
		var tried []string
		for range all {
			b, ok := p.Pick(choice, all, tried)
			c.Assert(ok, qt.IsTrue)
			tried = append(tried, b.ID)
		}
		c.Assert(len(tried), qt.Equals, 4)
		_, ok := p.Pick(choice, all, tried)
		c.Assert(ok, qt.IsFalse)
	}
}

// Guards against data races and lost in-flight counts.
func TestPickerIsSafeForConcurrentUse(t *testing.T) {
	c := qt.New(t)
	p, all := NewPicker(Config{}), newBackends(8)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 500 {
				b, _ := p.Pick(config.ChoiceAdaptive, all, nil)
				p.Started(b.ID)
				p.Finished(b.ID, time.Millisecond, backend.Status(i%int(backend.StreamBroken)+1))
			}
		})
	}
	wg.Wait()
	for _, b := range all {
		c.Assert(p.state(b.ID).inFlight.Load(), qt.Equals, int64(0))
	}
	p.Update(config.NewRegistry().Snapshot())
	c.Assert(len(*p.states.Load()), qt.Equals, 0)
}

// Guards against quantiles that are off by more than a bucket, that never expire,
// or that are computed from too few samples.
func TestLatencyQuantile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := NewLatencies(LatencyConfig{})
		_, ok := l.LatencyQuantile("svc", 500)
		c.Assert(ok, qt.IsFalse)
		for i := range 10_000 {
			l.Observe("svc", time.Duration(i+1)*10*time.Microsecond)
		}
		time.Sleep(DefaultRefresh)
		for _, permille := range []int{10, 500, 950, 990, 1000} {
			got, ok := l.LatencyQuantile("svc", permille)
			want := time.Duration(permille) * 100 * time.Microsecond
			c.Assert(ok && got > want*85/100 && got < want*115/100, qt.IsTrue, qt.Commentf("%d: %v, want about %v", permille, got, want))
		}
		_, ok = l.LatencyQuantile("other", 500)
		c.Assert(ok, qt.IsFalse)
		time.Sleep(DefaultWindow)
		_, ok = l.LatencyQuantile("svc", 500)
		c.Assert(ok, qt.IsFalse)
	})
}

// Backend servers must be assigned evenly to VMs. Replacing a VM must change the
// owners only of backend servers that the old VM owned or the new one owns.
func TestOwnersBalanceAndMovement(t *testing.T) {
	c := qt.New(t)
	const vms, servers = 100, 500
	members := make([]Member, vms)
	for i := range members {
		members[i] = Member{ID: fmt.Sprintf("vm%d", i), Region: fmt.Sprintf("r%d", i%2)}
	}
	all := newBackends(servers)
	count, before := map[string]int{}, map[string][]string{}
	for i, b := range all {
		b.Region = fmt.Sprintf("r%d", i%2)
		before[b.ID] = Owners(b, members)
		c.Assert(len(before[b.ID]), qt.Equals, 27)
		for _, id := range before[b.ID] {
			count[id]++
		}
	}
	const mean = servers * 27 / vms // 135 backend servers per VM
	for _, m := range members {
		c.Assert(count[m.ID] > mean*60/100 && count[m.ID] < mean*140/100, qt.IsTrue, qt.Commentf("%s owns %d", m.ID, count[m.ID]))
	}
	members[7] = Member{ID: "replacement", Region: "r1"}
	for _, b := range all {
		after := Owners(b, members)
		added := slices.DeleteFunc(slices.Clone(after), func(id string) bool { return slices.Contains(before[b.ID], id) })
		c.Assert(len(added) <= 1, qt.IsTrue, qt.Commentf("%s: owners %v added", b.ID, added))
		owned := slices.Contains(before[b.ID], "vm7") || slices.Contains(after, "replacement")
		c.Assert(len(added) == 1, qt.Equals, owned, qt.Commentf("%s: owners %v added", b.ID, added))
	}
}

// Guards against leaving a backend server without owners when its region has
// few VMs, and against more owners than its connection limit allows.
func TestOwnersAcrossRegions(t *testing.T) {
	c := qt.New(t)
	members := []Member{{"a", "r0"}, {"b", "r1"}, {"d", "r0"}, {"e", "r1"}}
	owners := Owners(&config.Backend{ID: "s", Region: "r1", MaxConnections: 6}, members)
	c.Assert(len(owners), qt.Equals, 3)
	c.Assert(owners[0] == "b" || owners[0] == "e", qt.IsTrue)
	c.Assert(owners[1] == "b" || owners[1] == "e", qt.IsTrue)
	c.Assert(len(Owners(&config.Backend{ID: "s", MaxConnections: 1}, members)), qt.Equals, 1)
	c.Assert(len(Owners(&config.Backend{ID: "s", MaxConnections: 55}, members)), qt.Equals, 4)
	c.Assert(len(Owners(&config.Backend{ID: "s", MaxConnections: 55}, nil)), qt.Equals, 0)
}

func BenchmarkPick(b *testing.B) {
	p, all := NewPicker(Config{}), newBackends(3)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			x, _ := p.Pick(config.ChoiceAdaptive, all, nil)
			p.Started(x.ID)
			p.Finished(x.ID, time.Millisecond, backend.OK)
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	l := NewLatencies(LatencyConfig{})
	b.ReportAllocs()
	for b.Loop() {
		l.Observe("svc", time.Millisecond)
		l.LatencyQuantile("svc", 950)
	}
}

// A replica may be paused while a request to it is open. Once that request is older
// than the other replica's latency, the paused one must get no new requests, however
// fast it was before, until it answers.
func TestStalledReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newSeededPicker(Config{})
		all := newBackends(2)
		slow := map[string]time.Duration{"s1": 20 * time.Millisecond}
		drive(p, config.ChoiceAdaptive, all, 200, latencies(slow))
		p.Started("s0") // stays in flight, as s0 is paused from now on
		countPicks := func() (paused int) {
			for range 20 {
				b, _ := p.Pick(config.ChoiceAdaptive, all, nil)
				if b.ID == "s0" {
					paused++
				}
			}
			return paused
		}
		c.Assert(countPicks(), qt.Equals, 20)
		time.Sleep(30 * time.Millisecond)
		c.Assert(countPicks(), qt.Equals, 0)
		p.Finished("s0", 2*time.Millisecond, backend.OK)
		c.Assert(countPicks(), qt.Equals, 20)
	})
}

// Replicas of the own region must be preferred, unless they are slow or loaded.
func TestPickNear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		all := newBackends(4)
		near, far := all[:2], all[2:]
		share := func(p *Picker) (n float64) {
			for range 200 {
				b, ok := p.PickNear(config.ChoiceAdaptive, near, far, nil)
				c.Assert(ok, qt.IsTrue)
				if slices.Contains(near, b) {
					n++
				}
			}
			return n / 200
		}
		observed := func(slow map[string]time.Duration) *Picker {
			p := newSeededPicker(Config{})
			for _, b := range all {
				for range 20 {
					p.Started(b.ID)
					latency, status := latencies(slow)(b.ID)
					p.Finished(b.ID, latency, status)
				}
			}
			return p
		}
		c.Assert(share(newSeededPicker(Config{})), qt.Equals, 1.0)
		p := observed(nil)
		c.Assert(share(p), qt.Equals, 1.0)
		for _, b := range near {
			p.Started(b.ID)
		}
		c.Assert(share(p), qt.Equals, 1.0, qt.Commentf("one request in flight"))
		for _, b := range near {
			p.Started(b.ID)
		}
		c.Assert(share(p), qt.Equals, 0.0, qt.Commentf("two requests in flight"))
		slow := map[string]time.Duration{"s0": 9 * time.Millisecond, "s1": 9 * time.Millisecond}
		c.Assert(share(observed(slow)), qt.Equals, 0.0)
		b, ok := p.PickNear(config.ChoiceAdaptive, nil, far, []string{"s2"})
		c.Assert(ok && b.ID == "s3", qt.IsTrue)
		_, ok = p.PickNear(config.ChoiceAdaptive, near, nil, []string{"s0", "s1"})
		c.Assert(ok, qt.IsFalse)
	})
}
