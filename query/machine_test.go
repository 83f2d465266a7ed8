package query

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// randomScript draws late, duplicate, wrong, refused, broken and lost replies.
func randomScript(rng *rand.Rand) script {
	s := script{status: backend.OK, delay: time.Duration(rng.IntN(8)) * time.Millisecond}
	switch rng.IntN(16) {
	case 0:
		s.delay = time.Duration(rng.IntN(600)) * time.Millisecond
	case 1:
		s.version = "v9"
	case 2:
		s.wrongShard = true
	case 3:
		s.silent = true
	case 4:
		s.queued = time.Duration(1+rng.IntN(300)) * time.Millisecond
	case 5, 6, 7:
		refusals := []backend.Status{
			backend.Shed, backend.Draining, backend.VersionMissing, backend.Expired, backend.Unsent,
		}
		s.status = refusals[rng.IntN(len(refusals))]
	case 8:
		s.status = []backend.Status{backend.Failed, backend.StreamBroken, 0}[rng.IntN(3)]
	}
	s.duplicate = rng.IntN(4) == 0
	return s
}

// checkAnswer compares an answer with the fake's records of the request.
func checkAnswer(resp *briarstandv1.QueryResponse, records []*record, nonIdempotent bool) error {
	ran, validReply := map[int]int{}, map[int]bool{}
	versions := map[string]bool{}
	for _, r := range records {
		versions[r.req.IndexVersion] = true
		if r.ran {
			ran[r.req.Shard]++
		}
		if r.ok && r.req.IndexVersion == resp.IndexVersion {
			validReply[r.req.Shard] = true
		}
	}
	if len(versions) > 2 || nonIdempotent && len(versions) > 1 {
		return fmt.Errorf("restarted too often: %v", versions)
	}
	cov := resp.Coverage
	missing := map[int]bool{}
	for _, shard := range cov.MissingShards {
		missing[int(shard)] = true
	}
	if resp.Outcome == notRun && len(ran) > 0 {
		return fmt.Errorf("not run, but %d shards ran", len(ran))
	}
	if resp.IndexVersion == "" {
		return nil
	}
	if int(cov.ShardsAnswered)+len(missing) != int(cov.ShardsTotal) {
		return fmt.Errorf("coverage does not add up: %v", cov)
	}
	if (resp.Outcome == complete) != (len(missing) == 0) {
		return fmt.Errorf("outcome %v with %d shards missing", resp.Outcome, len(missing))
	}
	hits := map[int]int{}
	for _, h := range resp.Hits {
		want := fmt.Sprintf("%s/%s/%d/", records[0].req.RequestID, resp.IndexVersion, h.Shard)
		if !strings.HasPrefix(h.Id, want) {
			return fmt.Errorf("hit %q does not belong to %q", h.Id, want)
		}
		hits[int(h.Shard)]++
	}
	for shard := range int(cov.ShardsTotal) {
		if !missing[shard] && !validReply[shard] {
			return fmt.Errorf("shard %d counts as answered without a valid reply", shard)
		}
		if want := 2; !missing[shard] && len(hits) > 0 && hits[shard] != want || missing[shard] && hits[shard] > 0 {
			return fmt.Errorf("%d hits of shard %d", hits[shard], shard)
		}
		if nonIdempotent && ran[shard] > 1 {
			return fmt.Errorf("shard %d ran %d times", shard, ran[shard])
		}
		if nonIdempotent && resp.Outcome == partial && missing[shard] && ran[shard] > 0 {
			return fmt.Errorf("shard %d ran, but the outcome is not unknown", shard)
		}
	}
	return nil
}

// runRandomRequest runs one request with random settings and checks its answer.
func (h *harness) runRandomRequest(rng *rand.Rand, id string) error {
	req := &briarstandv1.QueryRequest{Service: "desk", RequestId: id, Limit: 1000, TimeoutMs: int64(rng.IntN(300))}
	if rng.IntN(3) == 0 {
		req.NonIdempotent = true
		req.Ticket, _ = h.issuer.Issue()
		id = req.Ticket
	}
	var joined *briarstandv1.QueryResponse
	var wg sync.WaitGroup
	if req.NonIdempotent {
		wg.Go(func() { joined, _ = h.Run(context.Background(), req) })
	}
	start := time.Now()
	resp, err := h.Run(context.Background(), req)
	if err != nil {
		return err
	}
	if elapsed := time.Since(start); req.TimeoutMs > 0 && elapsed > time.Duration(req.TimeoutMs)*time.Millisecond {
		return fmt.Errorf("answered after %v of %d ms", elapsed, req.TimeoutMs)
	}
	if wg.Wait(); req.NonIdempotent {
		again, err := h.Run(context.Background(), req)
		if err != nil {
			return err
		}
		// Of two concurrent requests with one ticket, one waits for the outcome of the
		// other. If it stops waiting too early, its answer is "unknown".
		for _, r := range []*briarstandv1.QueryResponse{resp, joined} {
			if !proto.Equal(r, again) && r.GetOutcome() != unknown {
				return fmt.Errorf("answers for one ticket differ: %v and %v", r, again)
			}
		}
		resp = again
	}
	// Attempts that were cancelled must not start after the answer.
	time.Sleep(time.Second)
	if err := checkAnswer(resp, h.transport.recordsOf(id), req.NonIdempotent); err != nil {
		return fmt.Errorf("%w in %v", err, resp)
	}
	return nil
}

// Under random replies, configuration changes and concurrent queries, no answer may
// mix versions, count a shard twice, overstate its coverage, falsely claim "not run"
// or come late, and no ticket may run twice.
func TestRandomReplies(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards, replicas := rapid.IntRange(1, 5).Draw(rt, "shards"), rapid.IntRange(1, 3).Draw(rt, "replicas")
		svc := testService(shards, replicas, rapid.IntRange(1, 3).Draw(rt, "versions"))
		svc.Policy.MaxConcurrent = 4
		svc.Policy.Preference = rapid.SampledFrom([]config.Preference{config.PreferCoverage, config.PreferLatency}).Draw(rt, "preference")
		seed := rapid.Uint64().Draw(rt, "seed")
		var failure error
		synctest.Test(t, func(t *testing.T) {
			failure = randomQueries(newHarness(qt.New(t), svc), seed)
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

func randomQueries(h *harness, seed uint64) error {
	rng := newRand(seed)
	scripts := newRand(seed + 1) // guarded by the fake's lock
	h.transport.behave = func(string, *backend.Request) script { return randomScript(scripts) }
	h.warm(5 * time.Millisecond)
	var wg sync.WaitGroup
	errs := make([]error, 12)
	for i := range errs {
		queryRand := newRand(rng.Uint64())
		wg.Go(func() { errs[i] = h.runRandomRequest(queryRand, fmt.Sprint("q", i)) })
		if rng.IntN(3) == 0 {
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		}
		if rng.IntN(6) == 0 {
			h.apply(func(svc *config.Service) { svc.Backends[0].Draining = !svc.Backends[0].Draining })
		}
	}
	wg.Wait()
	h.waitIdle()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Guards against panics, untyped errors and sub-requests for malformed requests.
func FuzzQueryRequest(f *testing.F) {
	for _, req := range []*briarstandv1.QueryRequest{
		{},
		{Service: "desk"},
		{Service: "desk", RequestId: "q", Limit: 1, TimeoutMs: 1, Priority: 3, Shards: []int32{0, 1}},
		{Service: "desk", Shards: []int32{-1, 1 << 30}, TimeoutMs: 1 << 62},
		{Service: "desk", NonIdempotent: true, Ticket: "AQR2bS0x"},
		{Service: "none", Limit: -1, Body: []byte("x")},
	} {
		data, err := proto.Marshal(req)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		req := &briarstandv1.QueryRequest{}
		if proto.Unmarshal(data, req) != nil {
			return
		}
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(qt.New(t), testService(2, 1, 1))
			resp, err := h.Run(context.Background(), req)
			if (resp == nil) == (err == nil) {
				t.Fatalf("got %v and %v", resp, err)
			}
			if err != nil && len(h.transport.records) > 0 {
				t.Fatalf("sent a sub-request despite the error %v", err)
			}
			h.waitIdle()
		})
	})
}

// benchTransport answers at once from one goroutine, as a stream reader does.
type benchTransport struct {
	backend.Transport // Load is not called
	queue             chan benchCall
}

type benchCall struct {
	req  *backend.Request
	tag  int
	sink backend.Sink
}

func (benchCall) Cancel() {}

func (t *benchTransport) Draining(string) bool { return false }

func (t *benchTransport) Send(_ *config.Backend, req *backend.Request, tag int, sink backend.Sink) backend.Call {
	c := benchCall{req, tag, sink}
	t.queue <- c
	return c
}

func (t *benchTransport) serve(hits []*briarstandv1.Hit) {
	for c := range t.queue {
		c.sink.Deliver(c.tag, backend.Reply{
			Status: backend.OK, IndexVersion: c.req.IndexVersion, Shard: c.req.Shard, Hits: hits[c.req.Shard*10:][:10],
		})
	}
}

// BenchmarkSubRequest measures the time per sub-request of the engine and the fake
// transport, at 40 shards a query and 10 hits a shard.
func BenchmarkSubRequest(b *testing.B) {
	const shards = 40
	tr := &benchTransport{queue: make(chan benchCall, 1024)}
	h := newHarness(qt.New(b), testService(shards, 2, 1))
	h.cfg.Transport = tr
	hits := make([]*briarstandv1.Hit, shards*10)
	for i := range hits {
		hits[i] = &briarstandv1.Hit{Id: fmt.Sprint(i), Score: float64(i * 7919 % 997), Shard: int32(i / 10)}
	}
	go tr.serve(hits)
	defer close(tr.queue)
	req := &briarstandv1.QueryRequest{Service: "desk", RequestId: "q"}
	b.ReportAllocs()
	for b.Loop() {
		if resp, err := h.Run(context.Background(), req); err != nil || resp.Outcome != complete {
			b.Fatal(resp, err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/sub-request")
}
