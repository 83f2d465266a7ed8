package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/standin"
)

// drainBound is the drain bound of the fixture's VMs.
const drainBound = 3 * time.Second

// Guards against requests to a backend server that has said in an answer that it
// leaves, while its record does not say so because the store is away. Without
// another server it is used as a last resort, but not beyond the drain bound.
func TestServerLeavesByAnswer(t *testing.T) {
	f := newFixture(t)
	leaving, other := f.backend("q1", "quotes", "bytes"), f.backend("q2", "quotes", "bytes")
	alone := f.backend("s1", "stock", "bytes")
	f.store.Configure(1, single("quote", "quotes", "idempotent"), single("stock", "stock", "idempotent"))
	v := f.start("vm1", true)
	f.store.SetFault(standin.Silent)
	leaving.SetBehavior(standin.Behavior{Leaving: true})
	alone.SetBehavior(standin.Behavior{Leaving: true})
	other.SetBehavior(standin.Behavior{Refuse: true}) // so that the leaving server answers
	f.Check(f.ask(v, "GET", "/quote/x", "probe", "", time.Second).status, qt.Equals, http.StatusOK)
	f.Check(leaving.Runs(), qt.HasLen, 1)
	other.SetBehavior(standin.Behavior{})
	told := time.Now()
	f.Check(f.ask(v, "GET", "/stock/x", "told", "", time.Second).status, qt.Equals, http.StatusOK)
	f.Check(f.ask(v, "GET", "/stock/x", "last resort", "", time.Second).status, qt.Equals, http.StatusOK)
	runs := len(leaving.Runs())
	for i := range 20 {
		f.Check(f.ask(v, "GET", "/quote/x", fmt.Sprint("later-", i), "", time.Second).status, qt.Equals, http.StatusOK)
	}
	f.Check(leaving.Runs(), qt.HasLen, runs)
	f.Check(len(other.Runs()) >= 20, qt.IsTrue)
	time.Sleep(time.Until(told.Add(drainBound)))
	runs = len(alone.Runs())
	f.Check(f.ask(v, "GET", "/stock/x", "too late", "", time.Second).status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(alone.Runs(), qt.HasLen, runs)

	// A server that starts again under its id has not said anything yet.
	f.store.SetFault(standin.Healthy)
	alone.SetBehavior(standin.Behavior{})
	f.eventually(5*time.Second, "store answers", func() bool { return strings.Contains(f.logs.String(), "store answers") })
	alone.Register(f.store, "ready")
	f.eventually(5*time.Second, "used again", func() bool {
		return f.ask(v, "GET", "/stock/x", "again", "", time.Second).status == http.StatusOK
	})
}

// Guards against requests to a backend server that has asked for a pause. Another
// server takes them; if there is none, they are refused at once until the pause
// ends.
func TestServerPauses(t *testing.T) {
	const pause = 4 * time.Second
	f := newFixture(t)
	first := f.backend("q1", "quotes", "bytes")
	f.store.Configure(1, single("quote", "quotes", "non_idempotent"))
	v := f.start("vm1", true)
	first.SetBehavior(standin.Behavior{Refuse: true, Pause: pause})
	f.Check(f.ask(v, "GET", "/quote/x", "told", "", time.Second).status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(first.Refusals(), qt.HasLen, 1)
	told := time.Now()
	second := f.backend("q2", "quotes", "bytes")
	f.eventually(pause/2, "the other server is used", func() bool {
		return f.ask(v, "GET", "/quote/x", "probe", "", time.Second).status == http.StatusOK
	})
	for i := range 20 {
		f.Check(f.ask(v, "GET", "/quote/x", fmt.Sprint("one-", i), "", time.Second).status, qt.Equals, http.StatusOK)
	}
	f.Check(first.Refusals(), qt.HasLen, 1)

	second.SetBehavior(standin.Behavior{Refuse: true, Pause: pause})
	f.Check(f.ask(v, "GET", "/quote/x", "both", "", time.Second).status, qt.Equals, http.StatusServiceUnavailable)
	for i := range 5 {
		start := time.Now()
		a := f.ask(v, "GET", "/quote/x", fmt.Sprint("none-", i), "", time.Second)
		f.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
		f.Check(time.Since(start) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		f.Check(err, qt.IsNil)
		f.Check(after > 0 && after <= pause.Seconds(), qt.IsTrue, qt.Commentf("Retry-After: %v", after))
	}
	f.Check(first.Refusals(), qt.HasLen, 1)
	f.Check(second.Refusals(), qt.HasLen, 1)
	first.SetBehavior(standin.Behavior{})
	time.Sleep(time.Until(told.Add(pause)))
	f.Check(f.ask(v, "GET", "/quote/x", "over", "", time.Second).status, qt.Equals, http.StatusOK)
}

// Guards against a pause that goes unheard since the server asks for it as the time of a request ends (review/9).
func TestPauseAtDeadline(t *testing.T) {
	const pause, wait = 4 * time.Second, 300 * time.Millisecond
	f := newFixture(t)
	f.backend("q1", "quotes", "bytes")
	f.backend("a1", "shard-a", record('a'))
	f.backend("b1", "shard-b", record('a'))
	f.store.Configure(1, single("quote", "quotes", "idempotent"), scattered("find", 1, "shard-a", "shard-b"))
	origin := f.startIn("attica-b", "vm1", true, 600*time.Millisecond)
	f.start("vm2", true)
	f.eventually(10*time.Second, "relayed", func() bool {
		f.ask(origin, "GET", "/find/x", "probe", "", time.Second)
		return strings.Contains(f.logs.String(), `"relayed":2`)
	})
	for _, b := range f.backends {
		b.SetBehavior(standin.Behavior{Refuse: true, RefuseLate: 30 * time.Millisecond, Pause: pause})
	}
	for i, path := range []string{"/quote/x", "/find/x"} {
		start := time.Now()
		a := f.ask(origin, "GET", path, fmt.Sprint("told-", i), "", wait)
		f.Check(a.status, qt.Equals, http.StatusGatewayTimeout)
		f.Check(time.Since(start) < wait+100*time.Millisecond, qt.IsTrue, qt.Commentf("answered after %v", time.Since(start)))
	}
	noticed := func() int { return strings.Count(f.logs.String(), `"msg":"notice of a backend server","vm":"vm1"`) }
	f.eventually(time.Second, "the origin knows", func() bool { return noticed() == len(f.backends) })
	refused := map[string]int{}
	for id, b := range f.backends {
		refused[id] = len(b.Refusals())
	}
	for i := range 10 {
		for _, path := range []string{"/quote/x", "/find/x"} {
			f.Check(f.ask(origin, "GET", path, fmt.Sprint("later", path, i), "", wait).status, qt.Equals, http.StatusServiceUnavailable)
		}
	}
	for id, b := range f.backends {
		f.Check(b.Refusals(), qt.HasLen, refused[id])
	}
}

// Guards against notices that only the relay knows: it and the origin then leave out
// the server.
func TestNoticesThroughRelay(t *testing.T) {
	f := newFixture(t)
	f.backend("a1", "shard-a", record('a'))
	f.backend("b1", "shard-b", record('a'))
	f.store.Configure(1, scattered("find", 1, "shard-a", "shard-b"))
	origin := f.startIn("attica-b", "vm1", true, 600*time.Millisecond)
	f.start("vm2", true)
	f.eventually(10*time.Second, "relayed", func() bool {
		f.ask(origin, "GET", "/find/x", "probe", "", time.Second)
		return strings.Contains(f.logs.String(), `"relayed":2`)
	})
	f.backends["a1"].SetBehavior(standin.Behavior{Leaving: true})
	f.backends["b1"].SetBehavior(standin.Behavior{Refuse: true, Pause: 20 * time.Second})
	known := func(vm string) bool {
		n := 0
		for line := range strings.SplitSeq(f.logs.String(), "\n") {
			if strings.Contains(line, "notice of a backend server") && strings.Contains(line, vm) {
				n++
			}
		}
		return n >= 2
	}
	f.eventually(5*time.Second, "both VMs know", func() bool {
		f.ask(origin, "GET", "/find/x", "probe", "", time.Second)
		return known("vm1") && known("vm2")
	})
	f.backend("a2", "shard-a", record('a'))
	f.backend("b2", "shard-b", record('a'))
	f.eventually(5*time.Second, "the other replicas are used", func() bool {
		return f.ask(origin, "GET", "/find/x", "probe", "", time.Second).status == http.StatusOK && len(f.backends["a2"].Runs()) > 0
	})
	f.store.SetFault(standin.Silent)
	runs, refused := len(f.backends["a1"].Runs()), len(f.backends["b1"].Refusals())
	for i := range 20 {
		a := f.ask(origin, "GET", "/find/x", fmt.Sprint("later-", i), "", time.Second)
		f.Check(a.status, qt.Equals, http.StatusOK)
	}
	f.Check(f.backends["a1"].Runs(), qt.HasLen, runs)
	f.Check(f.backends["b1"].Refusals(), qt.HasLen, refused)
}

// Guards against queries that wait for, or are refused for, a shard whose servers all
// pause: the others answer. With too few of them the query is refused at once.
func TestPausedShardIsLeftOut(t *testing.T) {
	f := newFixture(t)
	paused := f.backend("a1", "shard-a", record('a'))
	other := f.backend("b1", "shard-b", record('b'))
	f.store.Configure(1, scattered("find", 0.5, "shard-a", "shard-b"))
	v := f.start("vm1", true)
	paused.SetBehavior(standin.Behavior{Refuse: true, Pause: 20 * time.Second})
	f.Check(f.ask(v, "GET", "/find/x", "told", "", time.Second).status, qt.Equals, http.StatusOK)
	for i := range 5 {
		a := f.ask(v, "GET", "/find/x", fmt.Sprint("part-", i), "", time.Second)
		f.Check(a.status, qt.Equals, http.StatusOK)
		f.Check(a.header.Get("X-Missing-Parts"), qt.Equals, "1")
	}
	f.Check(paused.Refusals(), qt.HasLen, 1)

	other.SetBehavior(standin.Behavior{Refuse: true, Pause: 20 * time.Second})
	f.Check(f.ask(v, "GET", "/find/x", "told too", "", time.Second).status, qt.Equals, http.StatusServiceUnavailable)
	start := time.Now()
	f.Check(f.ask(v, "GET", "/find/x", "none", "", time.Second).status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(time.Since(start) < 100*time.Millisecond, qt.IsTrue)
	f.Check(other.Refusals(), qt.HasLen, 1)
}

// Guards against requests to servers that pause while the others are under full load:
// of six servers, two at a time pause by turns. It logs what callers get.
func TestPausesByTurns(t *testing.T) {
	const (
		pause       = 2 * time.Second
		inForce     = 500 * time.Millisecond // after the answer that asks for the pause
		capacity    = 4
		serviceTime = 20 * time.Millisecond
		maxArrivals = 2 // in a pause, of each VM
		turns       = 3
	)
	f := newFixture(t)
	f.store.Configure(1, single("quote", "quotes", "idempotent"))
	var servers []*standin.Backend
	normal := standin.Behavior{ServiceTime: serviceTime, Queue: capacity}
	for i := range 6 {
		servers = append(servers, f.backend(fmt.Sprint("q", i), "quotes", "bytes"))
		servers[i].Slots = capacity
		servers[i].SetBehavior(normal)
		servers[i].Register(f.store, "ready")
	}
	v := f.start("vm1", true)
	// Until a VM knows the others, it opens few connections.
	f.eventually(6*time.Second, "knows the other VMs", v.daemon.KnowsFleet)
	// Nine tenths of what the four servers that do not pause can run.
	interval := serviceTime * 10 / (9 * 4 * capacity)
	var callers sync.WaitGroup
	var asked, served atomic.Int64
	ask := func() {
		req, err := http.NewRequest(http.MethodGet, "http://"+v.settings.CallerAddress+"/quote/x", nil)
		f.Check(err, qt.IsNil)
		req.Host = host
		req.Header.Set("X-Request-Id", fmt.Sprint("r", asked.Add(1)))
		req.Header.Set("X-Deadline-Ms", "1000")
		resp, err := oneShot.Do(req)
		if err != nil {
			return
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			served.Add(1)
		}
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	inPause := 0
	for turn := range turns {
		pausing := servers[2*turn : 2*turn+2]
		for _, b := range pausing {
			b.SetBehavior(standin.Behavior{Refuse: true, Pause: pause})
		}
		for end := time.Now().Add(pause); time.Now().Before(end); <-ticker.C {
			callers.Go(ask)
		}
		for _, b := range pausing {
			b.SetBehavior(normal)
			refusals := b.Refusals()
			first := slices.IndexFunc(refusals, func(r standin.Refusal) bool { return r.Pause > 0 })
			if first < 0 {
				continue
			}
			n := 0
			for _, r := range refusals[first:] {
				if r.At.Sub(refusals[first].At) > inForce {
					n++
				}
			}
			f.Check(n <= maxArrivals, qt.IsTrue, qt.Commentf("%d requests to %s in its pause", n, b.ID))
			inPause += n
		}
	}
	callers.Wait()
	arrivals := 0
	for _, b := range servers {
		arrivals += len(b.Runs()) + len(b.Refusals())
	}
	f.Logf("asked %d, served %.4f of them; arrivals beyond the first %d, in pauses %d", asked.Load(),
		float64(served.Load())/float64(asked.Load()), arrivals-int(asked.Load()), inPause)
}
