package query

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/ticket"
)

// withHarness runs a test with a harness on a fake clock.
func withHarness(t *testing.T, svc config.Service, f func(*harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(qt.New(t), svc)
		f(h)
		h.waitIdle()
	})
}

// Guards against lost shards, wrong order of hits and an ignored limit. A query for
// a subset of the shards must be sent to these only, and be complete when they
// answered.
func TestComplete(t *testing.T) {
	withHarness(t, testService(3, 2, 1), func(h *harness) {
		resp := h.runReq(&briarstandv1.QueryRequest{Service: "desk", RequestId: "q", Limit: 4})
		h.c.Assert(resp.Outcome, qt.Equals, complete)
		h.c.Assert(resp.Coverage.ShardsAnswered, qt.Equals, int32(3))
		h.c.Assert(resp.Revision, qt.Equals, h.svc.Revision)
		h.c.Assert(resp.VmId, qt.Equals, "vm-1")
		var ids []string
		for _, hit := range resp.Hits {
			ids = append(ids, hit.Id)
		}
		h.c.Assert(ids, qt.DeepEquals, []string{"q/v1/0/1", "q/v1/1/1", "q/v1/2/1", "q/v1/0/0"})
		h.c.Assert(h.transport.recordsOf("q"), qt.HasLen, 3)
		resp = h.runReq(&briarstandv1.QueryRequest{Service: "desk", RequestId: "subset", Shards: []int32{2, 1}})
		h.c.Assert(resp.Outcome, qt.Equals, complete)
		h.c.Assert(resp.Coverage.ShardsTotal, qt.Equals, int32(2))
		h.c.Assert(h.transport.recordsOf("subset")[0].backend, qt.Equals, "b2-0")
	})
}

// A straggler must be hedged, and cancelled once the hedge has answered.
func TestHedge(t *testing.T) {
	withHarness(t, testService(4, 2, 1), func(h *harness) {
		h.warm(5 * time.Millisecond)
		h.transport.behave = only("b2-0", script{status: backend.OK, delay: 150 * time.Millisecond})
		start := time.Now()
		h.c.Assert(h.run("q").Outcome, qt.Equals, complete)
		h.c.Assert(time.Since(start) < 10*time.Millisecond, qt.IsTrue)
		records := h.transport.recordsOf("q")
		h.c.Assert(records, qt.HasLen, 5)
		h.c.Assert(records[2].cancelled, qt.IsTrue)
	})
}

// A hedge must be cancelled also if the first sub-request answers just as the query
// ends. The fake replies to the hedge only after its cancellation, so if it is
// not cancelled, waitIdle finds it in flight.
func TestAnswerAtDeadline(t *testing.T) {
	withHarness(t, testService(1, 2, 1), func(h *harness) {
		h.transport.behave = func(id string, _ *backend.Request) script {
			return script{status: backend.OK, delay: 90 * time.Millisecond, silent: id == "b0-1"}
		}
		for range 200 {
			h.runReq(&briarstandv1.QueryRequest{Service: "desk", TimeoutMs: 100})
			h.run("earn tokens")
		}
	})
}

// Guards against extra load above the budget when every replica is slow or
// refuses.
func TestExtraLoadBound(t *testing.T) {
	const queries, shards = 100, 10
	const bound = queries*shards*50/1000 + 10
	for _, tt := range []struct {
		s       script
		atLeast int
	}{
		// Hedges end once the latency statistics show that all replicas are equally slow.
		{script{status: backend.OK, delay: 100 * time.Millisecond}, 5},
		{script{status: backend.Shed}, bound - 10},
		{script{status: backend.StreamBroken, delay: time.Millisecond}, bound - 10},
	} {
		withHarness(t, testService(shards, 3, 1), func(h *harness) {
			h.apply(func(svc *config.Service) { svc.Policy.Preference = config.PreferCoverage })
			h.warm(5 * time.Millisecond)
			h.transport.behave = always(tt.s)
			for range queries {
				h.run("q")
			}
			extra := len(h.transport.recordsOf("q")) - queries*shards
			h.c.Assert(extra <= bound && extra >= tt.atLeast, qt.IsTrue, qt.Commentf("%d", extra))
		})
	}
}

// An answer must come before the caller's timeout, state its coverage correctly, and
// have no hits if it is below the minimum coverage.
func TestPartialAtDeadline(t *testing.T) {
	withHarness(t, testService(4, 1, 1), func(h *harness) {
		h.transport.behave = only("b1-0", script{silent: true, status: backend.OK})
		req := &briarstandv1.QueryRequest{Service: "desk", RequestId: "q", TimeoutMs: 100}
		start := time.Now()
		resp := h.runReq(req)
		h.c.Assert(time.Since(start), qt.Equals, 90*time.Millisecond)
		h.c.Assert(resp.Outcome, qt.Equals, partial)
		h.c.Assert(resp.Coverage.MissingShards, qt.DeepEquals, []int32{1})
		h.c.Assert(resp.Hits, qt.HasLen, 6)
		h.apply(func(svc *config.Service) { svc.Policy.MinCoveragePermille = 751 })
		resp = h.runReq(req)
		h.c.Assert(resp.Outcome, qt.Equals, partial)
		h.c.Assert(resp.Coverage.ShardsAnswered, qt.Equals, int32(3))
		h.c.Assert(resp.Hits, qt.HasLen, 0)
		h.transport.behave = always(script{silent: true, status: backend.OK})
		h.c.Assert(h.runReq(req).Outcome, qt.Equals, exceeded)
	})
}

// While the newest version is incomplete, queries must get complete answers from the
// older one. Only the first query may send sub-requests for the newest version until
// the record of the missing shard expires.
func TestVersionChange(t *testing.T) {
	withHarness(t, testService(4, 2, 2), func(h *harness) {
		h.transport.behave = func(id string, req *backend.Request) script {
			if req.IndexVersion == "v2" && req.Shard == 3 {
				return script{status: backend.VersionMissing}
			}
			return script{status: backend.OK, delay: time.Millisecond}
		}
		first := h.run("first")
		h.c.Assert(first.Outcome, qt.Equals, complete)
		h.c.Assert(first.IndexVersion, qt.Equals, "v1")
		h.c.Assert(h.run("second").IndexVersion, qt.Equals, "v1")
		h.c.Assert(h.transport.recordsOf("second"), qt.HasLen, 4)
		h.transport.behave = always(script{status: backend.OK})
		time.Sleep(DefaultMissingVersionTTL)
		h.c.Assert(h.run("third").IndexVersion, qt.Equals, "v2")
	})
}

// When the record of a missing version expires, only one query may try the version.
// Otherwise every query in flight would send its sub-requests twice: for this version,
// and after a restart for another. A complete new version must be used eventually.
func TestVersionProbation(t *testing.T) {
	withHarness(t, testService(4, 2, 1), func(h *harness) {
		missing := script{status: backend.VersionMissing, delay: 20 * time.Millisecond}
		h.transport.behave = only("v2", missing)
		h.run("before")
		h.apply(func(svc *config.Service) { svc.Versions = testService(4, 2, 2).Versions })
		const seconds, perSecond = 10, 200
		var wg sync.WaitGroup
		for range seconds * perSecond {
			wg.Go(func() { h.c.Check(h.run("q").Outcome, qt.Equals, complete) })
			time.Sleep(time.Second / perSecond)
		}
		wg.Wait()
		extra := len(h.transport.recordsOf("q")) - seconds*perSecond*4
		h.c.Assert(extra <= 8*(1+seconds/2), qt.IsTrue, qt.Commentf("%d", extra))
		h.transport.behave = only("", script{})
		time.Sleep(2 * DefaultMissingVersionTTL)
		_, id := h.runTicket()
		h.c.Assert(h.transport.recordsOf(id)[0].req.IndexVersion, qt.Equals, "v2")
		h.c.Assert(h.run("after").IndexVersion, qt.Equals, "v2")
		s, _, _ := h.lookup("desk")
		h.c.Assert(s.missing.empty(), qt.IsTrue)
	})
}

// Guards against a policy change that does not reach the limits and the budget.
func TestPolicyChange(t *testing.T) {
	svc := testService(2, 2, 1)
	svc.Policy.MaxConcurrent, svc.Policy.MaxQueued = 1, 0
	withHarness(t, svc, func(h *harness) {
		h.transport.behave = always(script{status: backend.OK, delay: 20 * time.Millisecond})
		var wg sync.WaitGroup
		wg.Go(func() { h.run("first") })
		synctest.Wait()
		h.c.Assert(h.run("refused").Outcome, qt.Equals, notRun)
		h.apply(func(svc *config.Service) {
			svc.Policy.MaxConcurrent, svc.Policy.ExtraLoadPermille = 2, 0
		})
		wg.Go(func() { h.run("second") })
		synctest.Wait()
		h.c.Assert(h.run("third").Outcome, qt.Equals, notRun)
		wg.Wait()
		h.transport.behave = always(script{status: backend.Shed})
		h.run("no retries")
		h.c.Assert(h.transport.recordsOf("no retries"), qt.HasLen, 2)
	})
}

// The state of a deleted service must be removed, but not while a query of the service
// runs.
func TestDeletedService(t *testing.T) {
	withHarness(t, testService(2, 2, 1), func(h *harness) {
		var wg sync.WaitGroup
		wg.Go(func() { h.c.Check(h.run("running").Outcome, qt.Equals, complete) })
		synctest.Wait()
		h.apply(func(svc *config.Service) { svc.Deleted = true })
		h.Update(h.registry.Snapshot())
		_, kept := h.services.Load("desk")
		h.c.Assert(kept, qt.IsTrue)
		wg.Wait()
		h.Update(h.registry.Snapshot())
		h.c.Assert(h.cfg.Metrics.ListMetricNames(), qt.HasLen, 0)
		h.apply(func(svc *config.Service) { svc.Deleted = false })
		h.c.Assert(h.run("again").Outcome, qt.Equals, complete)
	})
}

// If no version has full coverage, the preference decides: coverage must choose the
// version with more shards, latency the newest one.
func TestPreference(t *testing.T) {
	for preference, want := range map[config.Preference]string{
		config.PreferCoverage: "v1", config.PreferLatency: "v2",
	} {
		svc := testService(4, 1, 2)
		svc.Policy.Preference = preference
		svc.Versions[0].Shards = [][]string{{"b0-0"}, {"b1-0"}, {"b2-0"}, nil}
		svc.Versions[1].Shards = [][]string{{"b0-0"}, nil, nil, nil}
		withHarness(t, svc, func(h *harness) {
			resp := h.run("q")
			h.c.Assert(resp.IndexVersion, qt.Equals, want)
			h.c.Assert(resp.Outcome, qt.Equals, partial)
		})
	}
}

// No sub-request may be sent to a backend server that is draining, by configuration or
// by its own announcement.
func TestDrainingBackends(t *testing.T) {
	withHarness(t, testService(2, 3, 1), func(h *harness) {
		h.transport.draining["b0-0"] = true
		h.apply(func(svc *config.Service) { svc.Backends[1].Draining = true })
		h.c.Assert(h.run("q").Outcome, qt.Equals, complete)
		h.c.Assert(h.transport.recordsOf("q")[0].backend, qt.Equals, "b0-2")
	})
}

// A non-idempotent request must not run twice: it is never hedged, and retried only
// after a refusal that proves that it did not run. Its outcome must not be "not run"
// if a shard ran, and not "unknown" if the outcome of every shard is known.
func TestNonIdempotent(t *testing.T) {
	for _, tt := range []struct {
		name string
		at   string // backend server or index version that the script applies to
		s    script
		want briarstandv1.Outcome
		sent int
	}{
		{"straggler", "b1-0", script{status: backend.OK, delay: 100 * time.Millisecond}, complete, 3},
		{"no reply", "b1-0", script{status: backend.OK, silent: true}, unknown, 3},
		{"failed", "b1-0", script{status: backend.Failed}, unknown, 3},
		{"broken", "b1-0", script{status: backend.StreamBroken}, unknown, 3},
		{"wrong version", "b1-0", script{status: backend.OK, version: "v0"}, unknown, 3},
		{"shed", "b1-0", script{status: backend.Shed}, complete, 4},
		{"unsent", "b1-0", script{status: backend.Unsent}, complete, 4},
		{"refused by the only replica", "b2-0", script{status: backend.Draining}, partial, 3},
		{"refused by all", "v1", script{status: backend.Draining}, notRun, 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			svc := testService(3, 2, 1)
			svc.Versions[0].Shards[2] = []string{"b2-0"}
			withHarness(t, svc, func(h *harness) {
				h.warm(time.Millisecond)
				h.transport.behave = only(tt.at, tt.s)
				resp, id := h.runTicket()
				h.c.Assert(resp.Outcome, qt.Equals, tt.want)
				h.c.Assert(h.transport.recordsOf(id), qt.HasLen, tt.sent)
				h.c.Assert(h.runReq(ticketed(id)).Outcome, qt.Equals, tt.want)
				h.c.Assert(h.transport.recordsOf(id), qt.HasLen, tt.sent)
			})
		})
	}
}

// The outcome of a request with a ticket must be stored although its caller stopped
// waiting, and a second request with the ticket must wait for the first instead of
// running.
func TestTicketJoin(t *testing.T) {
	withHarness(t, testService(2, 1, 1), func(h *harness) {
		h.transport.behave = always(script{status: backend.OK, delay: 50 * time.Millisecond})
		id, _ := h.issuer.Issue()
		req := ticketed(id)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(10*time.Millisecond, cancel)
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = h.Run(ctx, req) })
		time.Sleep(20 * time.Millisecond)
		joined := h.runReq(req)
		h.c.Assert(joined.Outcome, qt.Equals, complete)
		h.c.Assert(h.transport.recordsOf(id), qt.HasLen, 2)
		wg.Wait()
		other := ticketed(id)
		other.Body = []byte("x")
		var invalid *InvalidRequestError
		_, err := h.Run(context.Background(), other)
		h.c.Assert(errors.As(err, &invalid), qt.IsTrue)
	})
}

// Once a request was answered "not run", a duplicate of it that was still in transit
// must not run.
func TestRefusalUsesTicketUp(t *testing.T) {
	withHarness(t, testService(2, 1, 1), func(h *harness) {
		id, _ := h.issuer.Issue()
		req := ticketed(id)
		h.gate.closed = true
		h.c.Assert(h.runReq(req).Outcome, qt.Equals, notRun)
		h.gate.closed = false
		h.c.Assert(h.runReq(req).Outcome, qt.Equals, notRun)
		h.c.Assert(h.transport.recordsOf(id), qt.HasLen, 0)
	})
}

// A request whose ticket another VM issued may have run there, so this VM must not
// answer "not run" itself. A relayed request must not be relayed again.
func TestRelay(t *testing.T) {
	withHarness(t, testService(2, 1, 1), func(h *harness) {
		id, _ := ticket.NewIssuer("vm-2", 1, ticket.Config{}).Issue()
		req := ticketed(id)
		req.RequestId = "mine"
		h.gate.closed = true
		h.c.Assert(h.runReq(req).Outcome, qt.Equals, unknown)
		h.cfg.Relay = relayFunc(func(vmID string, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
			h.c.Check(vmID, qt.Equals, "vm-2")
			return &briarstandv1.QueryResponse{RequestId: req.RequestId, Outcome: complete}, nil
		})
		resp := h.runReq(req)
		h.c.Assert(resp.Outcome, qt.Equals, complete)
		h.c.Assert(resp.RequestId, qt.Equals, "mine")
		resp, err := h.RunRelayed(context.Background(), req)
		h.c.Assert(err, qt.IsNil)
		h.c.Assert(resp.Outcome, qt.Equals, unknown)
		req.Ticket, _ = ticket.NewIssuer("vm-1", 0, ticket.Config{}).Issue()
		h.c.Assert(h.runReq(req).Outcome, qt.Equals, unknown)
	})
}

// If the VM pauses between admission and dispatch, and the gate closes or the
// deadline passes meanwhile, no sub-request may be sent. A VM that has no
// configuration yet must answer "not run" instead of "unknown service".
func TestGate(t *testing.T) {
	withHarness(t, testService(2, 1, 1), func(h *harness) {
		h.gate.countdown = 2
		resp := h.run("gate")
		h.c.Assert(resp.Outcome, qt.Equals, notRun)
		h.c.Assert(resp.RetryAfterMs, qt.Equals, int64(1000))
		h.c.Assert(h.transport.recordsOf("gate"), qt.HasLen, 0)
		h.gate.countdown, h.gate.pause = 2, time.Second
		h.c.Assert(h.run("deadline").Outcome, qt.Equals, notRun)
		h.c.Assert(h.transport.recordsOf("deadline"), qt.HasLen, 0)
		other := &briarstandv1.QueryRequest{Service: "other"}
		_, err := h.Run(context.Background(), other)
		var unknownService *UnknownServiceError
		h.c.Assert(errors.As(err, &unknownService), qt.IsTrue)
		h.gate.closed = true
		h.c.Assert(h.runReq(other).Outcome, qt.Equals, notRun)
	})
}

// Guards against malformed requests that run or do not return a typed error.
func TestMalformed(t *testing.T) {
	withHarness(t, testService(2, 1, 1), func(h *harness) {
		for _, req := range []*briarstandv1.QueryRequest{
			{Limit: -1},
			{Limit: MaxLimit + 1},
			{TimeoutMs: -1},
			{Priority: 9},
			{Shards: []int32{0, 0}},
			{Shards: []int32{-1}},
			{Shards: []int32{2}},
			{NonIdempotent: true},
			{NonIdempotent: true, Ticket: "forged"},
			{Ticket: "not needed"},
		} {
			req.Service = "desk"
			_, err := h.Run(context.Background(), req)
			var invalid *InvalidRequestError
			h.c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v: %v", req, err))
		}
		var invalid *InvalidRequestError
		_, err := h.Run(context.Background(), &briarstandv1.QueryRequest{})
		h.c.Assert(errors.As(err, &invalid), qt.IsTrue)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var late *DeadlinePassedError
		_, err = h.Run(ctx, &briarstandv1.QueryRequest{Service: "desk"})
		h.c.Assert(errors.As(err, &late), qt.IsTrue)
		h.c.Assert(h.transport.records, qt.HasLen, 0)
	})
}

// At twice the capacity, throughput must not collapse, refusals must be fast, and
// refused queries must not have run.
func TestOverload(t *testing.T) {
	svc := testService(2, 1, 1)
	svc.Policy.MaxConcurrent = 10
	withHarness(t, svc, func(h *harness) {
		h.transport.behave = always(script{status: backend.OK, delay: 20 * time.Millisecond})
		var mu sync.Mutex
		completed := 0
		var wg sync.WaitGroup
		const seconds, perSecond = 4, 1000 // capacity: 10 queries in 20 ms, or 500 a second
		for i := range seconds * perSecond {
			wg.Go(func() {
				id := fmt.Sprint("q", i)
				start := time.Now()
				resp := h.run(id)
				elapsed := time.Since(start)
				mu.Lock()
				defer mu.Unlock()
				if resp.Outcome == complete {
					completed++
					return
				}
				h.c.Check(resp.Outcome, qt.Equals, notRun)
				h.c.Check(h.transport.recordsOf(id), qt.HasLen, 0)
				h.c.Check(elapsed <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", elapsed))
				h.c.Check(resp.RetryAfterMs > 0, qt.IsTrue)
			})
			time.Sleep(time.Second / perSecond)
		}
		wg.Wait()
		h.c.Assert(completed >= seconds*perSecond/2*9/10, qt.IsTrue, qt.Commentf("%d", completed))
	})
}

// Guards against an unbounded number of queries in flight. A query above the limit
// gets NOT_RUN, but one with a ticket gets UNKNOWN, because an earlier request with
// the ticket may have run.
func TestMaxInFlight(t *testing.T) {
	withHarness(t, testService(1, 1, 1), func(h *harness) {
		h.cfg.MaxInFlight = 1
		var wg sync.WaitGroup
		wg.Go(func() { h.c.Check(h.run("running").Outcome, qt.Equals, complete) })
		synctest.Wait()
		h.c.Assert(h.run("new").Outcome, qt.Equals, notRun)
		id, _ := h.issuer.Issue()
		h.c.Assert(h.runReq(ticketed(id)).Outcome, qt.Equals, unknown)
		wg.Wait()
		h.c.Assert(h.runReq(ticketed(id)).Outcome, qt.Equals, complete)
	})
}

// Guards against a shutdown that interrupts queries or accepts new ones.
func TestDrain(t *testing.T) {
	withHarness(t, testService(2, 1, 1), func(h *harness) {
		h.transport.behave = always(script{status: backend.OK, delay: 50 * time.Millisecond})
		var wg sync.WaitGroup
		wg.Go(func() { h.c.Check(h.run("running").Outcome, qt.Equals, complete) })
		synctest.Wait()
		h.Drain()
		h.c.Assert(h.InFlight(), qt.Equals, 1)
		h.c.Assert(h.run("new").Outcome, qt.Equals, notRun)
		short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		h.c.Assert(errors.Is(h.Wait(short), context.DeadlineExceeded), qt.IsTrue)
		start := time.Now()
		h.c.Assert(h.Wait(context.Background()), qt.IsNil)
		h.c.Assert(time.Since(start), qt.Equals, 49*time.Millisecond)
		wg.Wait()
	})
}

// All replicas of a shard shed load for a while. If the service prefers coverage,
// the shard must be retried until one answers; if it prefers latency, the query must
// answer without the shard.
func TestDeferredRetry(t *testing.T) {
	for preference, want := range map[config.Preference]briarstandv1.Outcome{
		config.PreferCoverage: complete, config.PreferLatency: partial,
	} {
		svc := testService(2, 2, 1)
		svc.Policy.Preference = preference
		withHarness(t, svc, func(h *harness) {
			start := time.Now()
			h.transport.behave = func(id string, req *backend.Request) script {
				if req.Shard == 1 && time.Since(start) < 20*time.Millisecond {
					return script{status: backend.Shed}
				}
				return script{status: backend.OK}
			}
			h.c.Assert(h.run("q").Outcome, qt.Equals, want)
		})
	}
}
