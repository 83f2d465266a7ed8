package resolve

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/balance"
	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/membership"
)

// equalFleet returns VMs of equal size in zones, started one after the other.
func equalFleet(n, zones int) []membership.Member {
	members := make([]membership.Member, n)
	for i := range members {
		members[i] = membership.Member{ID: fmt.Sprintf("%03d", i), Zone: fmt.Sprint(i % zones), Cores: 0.25, Incarnation: int64(i)}
	}
	return members
}

func perZone(members []membership.Member) map[string]int {
	n := map[string]int{}
	for _, m := range members {
		n[m.Zone]++
	}
	return n
}

// Guards against spreading callers over all VMs of a big fleet, which then open
// more connections than backend servers accept. With 195 equal VMs, 87 shards
// and a low load, the score of a simulated day fell from 0.73 to 0.55.
func TestServing(t *testing.T) {
	for _, test := range []struct{ vms, zones, want int }{
		{0, 1, 0}, {5, 3, 5}, {6, 1, 6}, {15, 3, 6}, {18, 3, 6}, {24, 6, 12}, {30, 1, 6}, {60, 3, 9}, {195, 6, 30}, {430, 5, 55}, {430, 1, 54},
	} {
		c := qt.New(t)
		members := equalFleet(test.vms, test.zones)
		serving := Serving(members)
		c.Check(serving, qt.HasLen, test.want, qt.Commentf("%+v", test))
		zones := perZone(serving)
		for zone := range perZone(members) {
			c.Check(zones[zone] >= min(test.vms, test.want)/test.zones, qt.IsTrue, qt.Commentf("%+v: %v", test, zones))
		}
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		byID := func(a, b membership.Member) int { return int(a.Incarnation - b.Incarnation) }
		again := Serving(members)
		slices.SortFunc(again, byID)
		slices.SortFunc(serving, byID)
		c.Check(again, qt.DeepEquals, serving, qt.Commentf("VMs with the same records must agree"))
	}
	// Only the large VMs of a mixed fleet serve, however many are small.
	unequal := equalFleet(195, 6)
	for i := range unequal {
		unequal[i].Cores = 0.192
		if i >= 177 {
			unequal[i].Cores = 0.8
		}
	}
	qt.Check(t, Serving(unequal), qt.HasLen, 18)
	// All large VMs serve, however many there are.
	for i := range unequal {
		if i >= 150 {
			unequal[i].Cores = 0.8
		}
	}
	qt.Check(t, Serving(unequal), qt.HasLen, 45)
	for i := range unequal[:177] {
		unequal[i].Cores = 0.192
	}
	// If the large VMs cannot carry the load, all of them serve, along with small
	// ones.
	serving := Serving(unequal[:189])
	qt.Check(t, serving, qt.HasLen, 6*minServingPerZone)
	qt.Check(t, moved(unequal[177:189], serving), qt.Equals, 0)
}

// Guards against needless changes of the set of serving VMs, since each has
// connections to every backend server. The set must stay the same, or nearly
// so, when VMs start, in a rolling restart, and when a zone is partitioned and
// returns. If all serving VMs are lost, the next set must have VMs in all
// zones.
func TestServingIsStable(t *testing.T) {
	c := qt.New(t)
	members := equalFleet(195, 6)
	before := Serving(members)
	added := append(slices.Clone(members), membership.Member{ID: "!first", Zone: "0", Cores: 0.25, Incarnation: 1000})
	c.Assert(Serving(added), qt.DeepEquals, before)

	// While a serving VM is gone, another VM replaces it. After its restart it is
	// the newest VM of its zone, so the replacement keeps serving.
	gone := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return m.ID == before[0].ID })
	during := Serving(gone)
	c.Assert(moved(before, during), qt.Equals, 1)
	restarted := before[0]
	restarted.Incarnation = 2000
	c.Assert(moved(during, Serving(append(gone, restarted))), qt.Equals, 0)

	// While a zone is partitioned, VMs of the other zones replace its VMs, which
	// serve again afterwards.
	connected := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return m.Zone == "3" })
	c.Assert(len(Serving(connected)) >= minServing, qt.IsTrue)
	c.Assert(moved(before, Serving(connected)) <= len(before)/3, qt.IsTrue)
	c.Assert(Serving(members), qt.DeepEquals, before)

	lost := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return moved([]membership.Member{m}, before) == 0 })
	c.Assert(Serving(lost), qt.HasLen, 24)
	zones := perZone(Serving(lost))
	c.Assert(zones, qt.HasLen, 6)
	for zone, n := range zones {
		c.Assert(n, qt.Equals, 4, qt.Commentf("zone %s", zone))
	}
}

// Replays the load of a service with 23 requests/s of 120 ms each at four backend
// servers, of which one becomes eight times slower. Guards against spreading so
// few requests over so many VMs that each VM learns of the slow server by a
// request of its own: in the seconds after the change, the slow server must get
// no more than its part of the servers' joint speed, 1 of 25.
func TestServingVMsAvoidSlowServer(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) { replaySlowServer(t, seed) })
	}
}

func replaySlowServer(t *testing.T, seed uint64) {
	const (
		interval = time.Second / 23
		work     = 120 * time.Millisecond
		slowdown = 8
		settled  = time.Second // after the first replies of the slow server
		end      = 8 * time.Second
	)
	servers := []*config.Backend{{ID: "slow"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	rng := rand.New(rand.NewPCG(seed, 0))
	var pickers []*balance.Picker
	for range Serving(equalFleet(20, 3)) {
		pickers = append(pickers, balance.NewPicker(balance.Config{Random: rng.Uint64}))
	}
	var wg sync.WaitGroup
	send := func(slowdown int) string {
		p := pickers[rng.IntN(len(pickers))]
		b, _ := p.Pick(config.ChoiceAdaptive, servers, nil)
		took := work
		if b.ID == "slow" {
			took *= time.Duration(slowdown)
		}
		p.Started(b.ID)
		wg.Go(func() {
			time.Sleep(took)
			p.Finished(b.ID, took, backend.OK)
		})
		return b.ID
	}
	for range int(10 * time.Second / interval) {
		send(1)
		time.Sleep(interval)
	}
	requests, slow := 0, 0
	for start := time.Now(); time.Since(start) < end; time.Sleep(interval) {
		if id := send(slowdown); time.Since(start) > settled {
			requests++
			if id == "slow" {
				slow++
			}
		}
	}
	wg.Wait()
	jointSpeed := (len(servers)-1)*slowdown + 1 // in units of the slow server's speed
	qt.Check(t, slow*jointSpeed <= requests, qt.IsTrue, qt.Commentf("seed %d: %d of %d requests at the slow server", seed, slow, requests))
}

// moved counts the VMs of the first set that are not in the second.
func moved(from, to []membership.Member) (n int) {
	for _, m := range from {
		if !slices.ContainsFunc(to, func(o membership.Member) bool { return o.ID == m.ID }) {
			n++
		}
	}
	return n
}
