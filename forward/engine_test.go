package forward

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/balance"
	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/discovery"
	"github.com/briarstand/briarstand/limit"
	"github.com/briarstand/briarstand/relay"
	"github.com/briarstand/briarstand/route"
	"github.com/briarstand/briarstand/upstream"
)

// behavior says how a fake backend server answers an attempt.
type behavior struct {
	after   time.Duration // delay of the reply; negative if there is none
	verdict upstream.Verdict
	unsent  bool
	// unreachable is set, with unsent, if no connection could be opened.
	unreachable bool
	// withdrawn is how many attempts end with upstream.ErrWithdrawn first.
	withdrawn int
}

// fakeTransport simulates backend servers on the fake clock of synctest.
type fakeTransport struct {
	mu        sync.Mutex
	behaviors map[string]behavior
	// withheld has the rests of the pauses of withheld servers; 0 for those that
	// stay withheld.
	withheld  map[string]time.Duration
	sent      []string
	abandoned int
	wg        sync.WaitGroup
}

type fakeCall struct {
	once sync.Once
	done chan struct{}
}

func (c *fakeCall) Abandon(time.Duration) { c.once.Do(func() { close(c.done) }) }

func (f *fakeTransport) HasCapacity(*config.Backend) bool { return true }

func (f *fakeTransport) Availability(b *config.Backend, _ time.Time) (upstream.Availability, time.Duration) {
	if pause, ok := f.withheld[b.ID]; ok {
		return upstream.Withheld, pause
	}
	return upstream.Available, 0
}

func (f *fakeTransport) Observe(*config.Backend, string, upstream.Notice) {}

func (f *fakeTransport) Send(b *config.Backend, _ *upstream.Request, deadline time.Time, tag int, results chan<- upstream.Result) upstream.Attempt {
	f.mu.Lock()
	do, ok := f.behaviors[b.ID]
	f.sent = append(f.sent, b.ID)
	f.mu.Unlock()
	withdrawn := do.withdrawn > 0
	if withdrawn {
		f.mu.Lock()
		next := do
		next.withdrawn--
		f.behaviors[b.ID] = next
		f.mu.Unlock()
	}
	if !ok {
		do = behavior{after: 8 * time.Millisecond, verdict: upstream.Served}
	}
	call := &fakeCall{done: make(chan struct{})}
	if withdrawn {
		f.wg.Go(func() {
			time.Sleep(do.after)
			results <- upstream.Result{Tag: tag, Err: &upstream.UnsentError{Backend: b.ID, Err: upstream.ErrWithdrawn}}
		})
		return call
	}
	f.wg.Go(func() { results <- f.end(b, do, deadline, tag, call) })
	return call
}

func (f *fakeTransport) end(b *config.Backend, do behavior, deadline time.Time, tag int, call *fakeCall) upstream.Result {
	after := do.after
	if after < 0 || after > time.Until(deadline) {
		after = time.Until(deadline)
		do.verdict = 0
	}
	// The race detector of Go 1.26 can crash on a timer that is due when a select
	// begins, in a synctest bubble (runtime.(*timer).maybeRunChan).
	if after > 0 {
		select {
		case <-time.After(after):
		case <-call.done:
			f.mu.Lock()
			f.abandoned++
			f.mu.Unlock()
			do.verdict = 0
		}
	}
	if do.unsent {
		return upstream.Result{Tag: tag, Err: &upstream.UnsentError{Backend: b.ID, Err: io.EOF, Unreachable: do.unreachable}}
	}
	if do.verdict == 0 {
		return upstream.Result{Tag: tag, Err: &upstream.IncompleteReplyError{Backend: b.ID, Err: io.EOF}}
	}
	return upstream.Result{Tag: tag, Reply: &upstream.Reply{
		Status: 200, Verdict: do.verdict, Signature: b.ID, Body: []byte(strings.Repeat(b.ID[len(b.ID)-1:], topkRecord)),
	}}
}

const topkRecord = 16

// shards returns a registry with two replicas of each of n shards.
func shards(n int) (*discovery.Registry, []string) {
	r := discovery.NewRegistry(discovery.Config{})
	listed := map[string]discovery.Server{}
	var services []string
	for i := range n {
		service := fmt.Sprintf("s%02d", i)
		services = append(services, service)
		for _, replica := range []string{"a", "b"} {
			id := service + replica
			listed[id] = discovery.Server{Backend: config.Backend{ID: id, Zone: replica}, Service: service}
		}
	}
	r.Update(listed, time.Now(), withinSecond())
	return r, services
}

func newTestEngine(f *fakeTransport, r Replicas, share limit.BudgetShare, relays Relay) *Engine {
	e := NewEngine(Config{
		Transport: f, Replicas: r, Picker: balance.NewPicker(balance.Config{}), Latencies: balance.NewLatencies(balance.LatencyConfig{}),
		Policy: DefaultPolicy(), BudgetPermille: 160, Relay: relays,
	})
	e.SetShare(share)
	return e
}

func query(services []string, minCoverage float64) Job {
	return Job{
		Route: &route.Route{
			Name: "find", Idempotent: true, Shards: services, Goal: 100 * time.Millisecond, Timeout: time.Second,
			MaxAttempts: 2, Limit: 100, MinCoverage: minCoverage,
		},
		Request: &upstream.Request{ID: "1"}, Wait: time.Second, Arrived: time.Now(),
	}
}

// Checks that hedges keep the answers of queries complete and in time while one
// replica of some shards is paused, with at most one hedge for each paused
// replica.
func TestHedgesAgainstPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		registry, services := shards(20)
		f := &fakeTransport{behaviors: map[string]behavior{}}
		for _, s := range services[:5] {
			f.behaviors[s+"a"] = behavior{after: 120 * time.Millisecond, verdict: upstream.Served}
		}
		e := newTestEngine(f, registry, limit.BudgetShare{Burst: 10, PerSecond: 10}, nil)
		for range 50 {
			start := time.Now()
			a := e.Run(context.Background(), query(services, 0.89))
			c.Assert(a.Outcome, qt.Equals, Answered)
			c.Assert(a.Missing, qt.Equals, 0)
			c.Assert(time.Since(start) < 75*time.Millisecond, qt.IsTrue)
			c.Assert(a.Hedges <= 5, qt.IsTrue)
			time.Sleep(200 * time.Millisecond)
		}
		f.wg.Wait()
	})
}

// Checks queries while all replicas of some shards are lost: a query with
// enough parts is answered at its goal, one with too few gets no answer, and
// one that cannot reach enough shards is refused at once.
func TestLostShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		registry, services := shards(20)
		f := &fakeTransport{behaviors: map[string]behavior{}}
		silent := func(n int) {
			for _, s := range services[:n] {
				f.behaviors[s+"a"], f.behaviors[s+"b"] = behavior{after: -1}, behavior{after: -1}
			}
		}
		e := newTestEngine(f, registry, limit.BudgetShare{Burst: 100}, nil)
		silent(2)
		start := time.Now()
		a := e.Run(context.Background(), query(services, 0.89))
		c.Assert(a.Outcome, qt.Equals, Answered)
		c.Assert(a.Missing, qt.Equals, 2)
		c.Assert(a.Signatures, qt.HasLen, 18)
		c.Assert(len(a.Body), qt.Equals, 18*topkRecord)
		c.Assert(time.Since(start), qt.Equals, 75*time.Millisecond)
		silent(3)
		a = e.Run(context.Background(), query(services, 0.89))
		c.Assert(a.Outcome, qt.Equals, Unanswered)
		f.wg.Wait()

		registry, _ = shards(17)
		start = time.Now()
		a = newTestEngine(f, registry, limit.BudgetShare{Burst: 100}, nil).Run(context.Background(), query(services, 0.89))
		c.Assert(a.Outcome, qt.Equals, Refused)
		c.Assert(time.Since(start), qt.Equals, time.Duration(0))
	})
}

// Guards against a Retry-After that ends before enough shards have a backend server
// again, so that callers return in vain.
func TestRetryAfterPauses(t *testing.T) {
	registry, services := shards(3)
	for _, test := range []struct {
		withheld    map[string]time.Duration
		minCoverage float64
		want        time.Duration
	}{
		{map[string]time.Duration{"s00a": 5 * time.Second, "s00b": time.Second, "s01a": 2 * time.Second, "s01b": 3 * time.Second}, 1, 2 * time.Second},
		{map[string]time.Duration{"s00a": 5 * time.Second, "s00b": time.Second, "s01a": 2 * time.Second, "s01b": 3 * time.Second}, 0.6, time.Second},
		{map[string]time.Duration{"s00a": 0, "s00b": time.Second, "s01a": 0, "s01b": 0}, 0.6, time.Second},
		{map[string]time.Duration{"s00a": 0, "s00b": time.Second, "s01a": 0, "s01b": 0}, 1, DefaultPolicy().RetryAfter},
		{map[string]time.Duration{"s00a": time.Millisecond, "s00b": time.Millisecond}, 1, DefaultPolicy().RetryAfter},
	} {
		f := &fakeTransport{withheld: test.withheld}
		a := newTestEngine(f, registry, limit.BudgetShare{Burst: 100}, nil).Run(context.Background(), query(services, test.minCoverage))
		comment := qt.Commentf("%v, coverage %v", test.withheld, test.minCoverage)
		qt.Check(t, a.Outcome, qt.Equals, Refused, comment)
		qt.Check(t, a.RetryAfter, qt.Equals, test.want, comment)
		qt.Check(t, f.sent, qt.HasLen, 0, comment)
	}
}

// Checks that failures and late replies cause no further attempts while the
// budget is empty.
func TestEmptyBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		registry, services := shards(20)
		f := &fakeTransport{behaviors: map[string]behavior{}}
		for _, s := range services {
			f.behaviors[s+"a"] = behavior{after: time.Millisecond, verdict: upstream.Failed}
			f.behaviors[s+"b"] = behavior{after: 50 * time.Millisecond, verdict: upstream.Served}
		}
		e := newTestEngine(f, registry, limit.BudgetShare{Burst: 0.5}, nil)
		a := e.Run(context.Background(), query(services, 0.05))
		c.Assert(a.Attempts, qt.Equals, 20)
		f.wg.Wait()
	})
}

// Checks that queries which are slow at every shard are not hedged, since that
// only adds load, and that the sub-request to a single shard is hedged if it is
// late compared with the others.
func TestHeavyQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		registry, services := shards(20)
		f := &fakeTransport{behaviors: map[string]behavior{}}
		e := newTestEngine(f, registry, limit.BudgetShare{Burst: 100, PerSecond: 100}, nil)
		for range 60 { // typical queries set the hedge delay
			e.Run(context.Background(), query(services, 0.89))
		}
		for _, s := range services {
			for i, replica := range []string{"a", "b"} {
				f.behaviors[s+replica] = behavior{after: time.Duration(30+4*i) * time.Millisecond, verdict: upstream.Served}
			}
		}
		a := e.Run(context.Background(), query(services, 0.89))
		c.Assert(a.Missing, qt.Equals, 0)
		c.Assert(a.Hedges, qt.Equals, 0)
		f.behaviors[services[0]+"a"], f.behaviors[services[0]+"b"] = behavior{after: -1}, behavior{after: -1}
		a = e.Run(context.Background(), query(services, 0.89))
		c.Assert(a.Missing, qt.Equals, 1)
		c.Assert(a.Hedges, qt.Equals, 1)
		f.wg.Wait()
	})
}

// Checks that a retry takes no token if no earlier attempt of the sub-request
// has reached a backend server, since it adds no load. If it took one, answers
// would lack the parts of such sub-requests while the budget is empty.
func TestNotSentNeedsNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		registry, services := shards(10)
		f := &fakeTransport{behaviors: map[string]behavior{}}
		for _, s := range services {
			f.behaviors[s+"a"] = behavior{unsent: true}
		}
		a := newTestEngine(f, registry, limit.BudgetShare{Burst: 0.5}, nil).Run(context.Background(), query(services, 1))
		c.Assert(a.Outcome, qt.Equals, Answered)
		f.wg.Wait()
	})
}

// Checks that first attempts go to running replicas, even if these refuse for
// lack of capacity, instead of replicas that crashed but are still listed, and
// that a restarted replica gets first attempts again soon.
func TestCrashedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		registry, services := shards(10)
		f := &fakeTransport{behaviors: map[string]behavior{}}
		e := newTestEngine(f, registry, limit.BudgetShare{Burst: 100}, nil)
		for _, s := range services {
			f.behaviors[s+"a"] = behavior{unsent: true, unreachable: true}
			f.behaviors[s+"b"] = behavior{after: time.Millisecond, verdict: upstream.NotRun}
		}
		first := func(queries int) (dead int) {
			for range queries {
				f.sent = nil
				e.Run(context.Background(), query(services, 0.1))
				for _, id := range f.sent[:len(services)] {
					if strings.HasSuffix(id, "a") {
						dead++
					}
				}
				time.Sleep(40 * time.Millisecond)
			}
			return dead
		}
		// These queries take 0.8 s, less than downFor, so each replica that is
		// down gets at most one of the first attempts.
		dead := first(20)
		c.Assert(dead <= len(services), qt.IsTrue, qt.Commentf("%d", dead))
		for _, s := range services {
			delete(f.behaviors, s+"a")
		}
		time.Sleep(downFor)
		c.Assert(first(20) > 10*len(services), qt.IsTrue)
		f.wg.Wait()
	})
}

// Guards against attempts that keep running after the caller has disconnected.
func TestCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		registry, services := shards(4)
		f := &fakeTransport{behaviors: map[string]behavior{}}
		for _, s := range services {
			f.behaviors[s+"a"], f.behaviors[s+"b"] = behavior{after: -1}, behavior{after: -1}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		a := newTestEngine(f, registry, limit.BudgetShare{Burst: 100}, nil).Run(ctx, query(services, 1))
		c.Assert(a.Outcome, qt.Equals, CallerDisconnected)
		f.wg.Wait()
		c.Assert(f.abandoned, qt.Equals, len(f.sent))
	})
}

// Guards against attempts that are sent after the caller has disconnected, before the
// server notices: first ones and hedges.
func TestCallerLeftUnnoticed(t *testing.T) {
	for name, leavesAfter := range map[string]time.Duration{"before": 0, "before the hedges": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				registry, services := shards(4)
				f := &fakeTransport{behaviors: map[string]behavior{}}
				for _, s := range services {
					f.behaviors[s+"a"], f.behaviors[s+"b"] = behavior{after: -1}, behavior{after: -1}
				}
				job := query(services, 1)
				job.Disconnected = func() bool { return time.Since(job.Arrived) >= leavesAfter }
				a := newTestEngine(f, registry, limit.BudgetShare{Burst: 100}, nil).Run(context.Background(), job)
				c.Assert(a.Outcome, qt.Equals, CallerDisconnected)
				c.Assert(a.Hedges, qt.Equals, 0)
				f.wg.Wait()
				c.Assert(f.sent, qt.HasLen, a.Attempts)
				if leavesAfter == 0 {
					c.Assert(a.Attempts, qt.Equals, 0)
				}
			})
		})
	}
}

// fakeRelay simulates a relay to the backend servers of zone "b". If silent is
// set, it never answers.
type fakeRelay struct {
	transport *fakeTransport
	silent    bool
	groups    int
}

func (r *fakeRelay) RelayTarget(b *config.Backend) relay.Target {
	if b.Zone == "b" {
		return "far"
	}
	return ""
}

func (r *fakeRelay) Overhead(relay.Target) time.Duration { return 16 * time.Millisecond }

func (r *fakeRelay) Send(_ relay.Target, g *relay.Group, results chan<- upstream.Result) upstream.Attempt {
	r.groups++
	call := &fakeCall{done: make(chan struct{})}
	r.transport.wg.Go(func() {
		if r.silent {
			<-call.done
			for _, tag := range g.Tags {
				results <- upstream.Result{Tag: tag, Err: &upstream.IncompleteReplyError{Err: io.EOF}}
			}
			return
		}
		// The last part comes in a second batch.
		var merged []upstream.Result
		var body []byte
		for i, tag := range g.Tags[:len(g.Tags)-1] {
			merged = append(merged, upstream.Result{Tag: tag, Reply: &upstream.Reply{Verdict: upstream.Served, Signature: g.Backends[i].ID}})
			body = append(body, strings.Repeat("r", topkRecord)...)
		}
		merged[0].Reply.Body = body
		merged[0].Batch = merged[1:]
		time.Sleep(25 * time.Millisecond)
		results <- merged[0]
		time.Sleep(15 * time.Millisecond)
		last := len(g.Tags) - 1
		results <- upstream.Result{Tag: g.Tags[last], Reply: &upstream.Reply{
			Verdict: upstream.Served, Signature: g.Backends[last].ID, Body: []byte(strings.Repeat("r", topkRecord)),
		}}
	})
	return call
}

// Guards against relayed parts that are counted twice, and against an answer
// whose records are not those of the parts that it names, also if a hedge
// answered a part before the relay did.
func TestRelayedParts(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			registry, services := shards(20)
			f := &fakeTransport{behaviors: map[string]behavior{}}
			relays := &fakeRelay{transport: f, silent: silent}
			e := newTestEngine(f, registry, limit.BudgetShare{Burst: 100, PerSecond: 100}, relays)
			for range 20 {
				job := query(services, 0.89)
				a := e.Run(context.Background(), job)
				c.Assert(a.Outcome, qt.Equals, Answered)
				c.Assert(a.Missing, qt.Equals, 0)
				c.Assert(time.Since(job.Arrived) < 75*time.Millisecond, qt.IsTrue)
				named := map[string]bool{}
				for _, s := range a.Signatures {
					named[s[:3]] = true
				}
				c.Assert(named, qt.HasLen, 20)
				c.Assert(len(a.Body), qt.Equals, 20*topkRecord)
				// The records must come from the replicas that the signatures
				// name. A relayed part has records of the letter "r", any other
				// part those of the last letter of its signature.
				direct := slices.DeleteFunc(slices.Clone(a.Signatures), func(s string) bool { return strings.HasSuffix(s, "b") })
				c.Assert(strings.Count(string(a.Body), strings.Repeat("a", topkRecord)), qt.Equals, len(direct))
				time.Sleep(100 * time.Millisecond)
			}
			c.Assert(relays.groups > 0, qt.IsTrue)
			f.wg.Wait()
		})
	}
}

// Guards against budgets of services that the configuration no longer names,
// which would accumulate over repartitions.
func TestRetainServices(t *testing.T) {
	c := qt.New(t)
	registry, services := shards(4)
	e := newTestEngine(&fakeTransport{}, registry, limit.BudgetShare{Burst: 2}, nil)
	for _, s := range services {
		e.budget(s).Sent(1)
	}
	e.RetainServices(map[string]bool{services[0]: true})
	c.Assert(e.Budgets(), qt.HasLen, 1)
}

// Guards against a request that is given up, or counted as attempted, because its server
// was withdrawn while it waited: it is placed again, at the same server if its service
// has no other, but not without end.
func TestWithdrawnAttemptIsPlacedAgain(t *testing.T) {
	for _, test := range []struct {
		withdrawn, sent int
		outcome         Outcome
	}{{1, 2, Answered}, {maxWithdrawn, maxWithdrawn + 1, Answered}, {1000, maxWithdrawn + 1, Refused}} {
		synctest.Test(t, func(t *testing.T) {
			registry := discovery.NewRegistry(discovery.Config{})
			registry.Update(map[string]discovery.Server{"a": {Backend: config.Backend{ID: "a"}, Service: "s"}}, time.Now(), withinSecond())
			f := &fakeTransport{behaviors: map[string]behavior{"a": {after: time.Millisecond, verdict: upstream.Served, withdrawn: test.withdrawn}}}
			e := newTestEngine(f, registry, limit.BudgetShare{}, nil)
			job := query(nil, 1)
			job.Route.Targets, job.Route.MaxAttempts = []route.Target{{Service: "s", Weight: 1}}, 1
			a := e.Run(context.Background(), job)
			f.wg.Wait()
			qt.Check(t, a.Outcome, qt.Equals, test.outcome)
			qt.Check(t, f.sent, qt.HasLen, test.sent)
		})
	}
}

// withinSecond lets servers that are not ready any more get requests for a second.
func withinSecond() discovery.Until {
	end := time.Now().Add(time.Second)
	return discovery.Until{Leaving: end, Expired: end}
}

// Guards against a hedge or a retry at a leaving server after its last resort has ended.
func TestNoLaterAttemptAtLeavingServer(t *testing.T) {
	const lastResort = 200 * time.Millisecond
	for name, first := range map[string]behavior{
		"hedge": {after: -1},
		"retry": {after: 2 * lastResort},
	} {
		synctest.Test(t, func(t *testing.T) {
			registry := discovery.NewRegistry(discovery.Config{})
			listed := map[string]discovery.Server{}
			for _, id := range []string{"a", "b"} {
				listed[id] = discovery.Server{Backend: config.Backend{ID: id}, Service: "s"}
			}
			registry.Update(listed, time.Now(), discovery.Until{})
			end := time.Now().Add(lastResort)
			registry.Update(nil, time.Now(), discovery.Until{Leaving: end, Expired: end})
			f := &fakeTransport{behaviors: map[string]behavior{"a": first, "b": first}}
			e := newTestEngine(f, registry, limit.BudgetShare{Burst: 10}, nil)
			e.cfg.Policy.HedgeFallbackDelay, e.cfg.Policy.HedgeLatestFraction = 2*lastResort, 1
			job := query(nil, 1)
			job.Route.Targets, job.Route.Goal = []route.Target{{Service: "s", Weight: 1}}, 0
			e.Run(context.Background(), job)
			f.wg.Wait()
			qt.Check(t, f.sent, qt.HasLen, 1, qt.Commentf(name))
		})
	}
}
