package query

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/ticket"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	complete = briarstandv1.Outcome_OUTCOME_COMPLETE
	partial  = briarstandv1.Outcome_OUTCOME_PARTIAL
	notRun   = briarstandv1.Outcome_OUTCOME_NOT_RUN
	unknown  = briarstandv1.Outcome_OUTCOME_UNKNOWN
	exceeded = briarstandv1.Outcome_OUTCOME_DEADLINE_EXCEEDED
)

// script defines how the fake handles one sub-request.
type script struct {
	delay  time.Duration // from the start of the sub-request to the reply
	status backend.Status
	// queued is the time before the sub-request starts. A sub-request that is
	// cancelled meanwhile does not run.
	queued     time.Duration
	version    string // index version in the reply; empty means the requested one
	wrongShard bool
	duplicate  bool
	silent     bool // no reply until cancelled
}

// record is what the fake knows about one sub-request.
type record struct {
	req       *backend.Request
	backend   string
	tag       int
	sink      backend.Sink
	script    script
	sentAt    time.Time
	ran       bool
	ok        bool // replied OK for the requested version and shard
	cancelled bool
	replied   bool
	fake      *fakeTransport
}

// fakeTransport runs sub-requests by script and records what happened to them.
type fakeTransport struct {
	backend.Transport // Load is not called
	mu                sync.Mutex
	behave            func(backendID string, req *backend.Request) script
	records           []*record
	draining          map[string]bool
}

func (f *fakeTransport) Draining(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining[id]
}

func (f *fakeTransport) Send(b *config.Backend, req *backend.Request, tag int, sink backend.Sink) backend.Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &record{req: req, backend: b.ID, tag: tag, sink: sink, sentAt: time.Now(), fake: f}
	r.script = f.behave(b.ID, req)
	f.records = append(f.records, r)
	if r.script.queued > 0 {
		time.AfterFunc(r.script.queued, r.start)
	} else {
		r.ran = !r.script.status.NotRun()
	}
	if !r.script.silent {
		time.AfterFunc(r.script.queued+r.script.delay, r.reply)
	}
	return r
}

func (r *record) start() {
	r.fake.mu.Lock()
	defer r.fake.mu.Unlock()
	r.ran = !r.cancelled && !r.script.status.NotRun()
}

func (r *record) reply() {
	r.fake.mu.Lock()
	s := r.script
	if r.replied {
		r.fake.mu.Unlock()
		return
	}
	r.replied = true
	reply := backend.Reply{Status: s.status}
	if s.status == backend.OK {
		reply.IndexVersion, reply.Shard = r.req.IndexVersion, r.req.Shard
		if s.version != "" {
			reply.IndexVersion = s.version
		}
		if s.wrongShard {
			reply.Shard++
		}
		r.ok = s.version == "" && !s.wrongShard
		reply.Hits = r.hits(reply.IndexVersion)
	}
	r.fake.mu.Unlock()
	r.sink.Deliver(r.tag, reply)
	if s.duplicate {
		r.sink.Deliver(r.tag, reply)
	}
}

// hits returns two hits whose ids identify their request.
func (r *record) hits(version string) []*briarstandv1.Hit {
	var hits []*briarstandv1.Hit
	for i := range 2 {
		hits = append(hits, &briarstandv1.Hit{
			Id:    fmt.Sprintf("%s/%s/%d/%d", r.req.RequestID, version, r.req.Shard, i),
			Score: float64(i), Shard: int32(r.req.Shard),
		})
	}
	return hits
}

// Cancel keeps a sub-request that has not started from running, and ends a silent
// one that has.
func (r *record) Cancel() {
	r.fake.mu.Lock()
	defer r.fake.mu.Unlock()
	if r.cancelled || r.replied {
		return
	}
	r.cancelled = true
	started := r.script.queued == 0 || time.Since(r.sentAt) >= r.script.queued
	if !started {
		r.script = script{status: backend.Cancelled}
		time.AfterFunc(0, r.reply)
	} else if r.script.silent {
		r.script.status = backend.StreamBroken
		time.AfterFunc(0, r.reply)
	}
}

// recordsOf returns the records of one request, in the order of sending.
func (f *fakeTransport) recordsOf(id string) []*record {
	f.mu.Lock()
	defer f.mu.Unlock()
	other := func(r *record) bool { return r.req.RequestID != id }
	return slices.DeleteFunc(slices.Clone(f.records), other)
}

// fakePicker picks the first untried candidate and counts the sub-requests in
// flight.
type fakePicker struct{ inFlight atomic.Int64 }

func (p *fakePicker) Pick(_ config.ReplicaChoice, candidates []*config.Backend, tried []string) (*config.Backend, bool) {
	for _, b := range candidates {
		if !slices.Contains(tried, b.ID) {
			return b, true
		}
	}
	return nil, false
}

func (p *fakePicker) Started(string) { p.inFlight.Add(1) }

func (p *fakePicker) Finished(string, time.Duration, backend.Status) { p.inFlight.Add(-1) }

// fakeGate counts down with each call of Admit. The call at which countdown reaches 0
// simulates a pause of the VM if pause is set, and otherwise refuses admission.
type fakeGate struct {
	mu        sync.Mutex
	closed    bool
	countdown int
	pause     time.Duration
}

func (g *fakeGate) Admit() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.countdown--
	if g.countdown == 0 && g.pause > 0 {
		time.Sleep(g.pause)
	} else if g.closed || g.countdown == 0 {
		return &NotAdmittedError{Reason: "configuration is not fresh", RetryAfter: time.Second}
	}
	return nil
}

type relayFunc func(vmID string, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error)

func (f relayFunc) RelayQuery(_ context.Context, vmID string, _ int64, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
	return f(vmID, req)
}

var errUnreachable = errors.New("VM is unreachable")

// harness is an engine with fake dependencies.
type harness struct {
	*Engine
	c         *qt.C
	svc       config.Service
	registry  *config.Registry
	transport *fakeTransport
	picker    *fakePicker
	gate      *fakeGate
	issuer    *ticket.Issuer
}

// testService has shards with replicas "b<shard>-<replica>", in index versions
// v1, v2 and so on.
func testService(shards, replicas, versions int) config.Service {
	svc := config.Service{Name: "desk", Revision: 1, Policy: config.DefaultPolicy()}
	var shardMap [][]string
	for s := range shards {
		var ids []string
		for r := range replicas {
			id := fmt.Sprintf("b%d-%d", s, r)
			ids = append(ids, id)
			svc.Backends = append(svc.Backends, config.Backend{ID: id, Slots: 2, MaxConnections: 55})
		}
		shardMap = append(shardMap, ids)
	}
	for v := 1; v <= versions; v++ {
		svc.Versions = append(svc.Versions, config.IndexVersion{
			Name: fmt.Sprintf("v%d", v), Sequence: int64(v), Shards: shardMap,
		})
	}
	return svc
}

func newHarness(c *qt.C, svc config.Service) *harness {
	h := &harness{
		c: c, svc: svc, registry: config.NewRegistry(), picker: &fakePicker{}, gate: &fakeGate{},
		issuer:    ticket.NewIssuer("vm-1", 1, ticket.Config{}),
		transport: &fakeTransport{draining: map[string]bool{}},
	}
	h.transport.behave = always(script{status: backend.OK, delay: 2 * time.Millisecond})
	h.apply(func(*config.Service) {})
	h.Engine = NewEngine(Config{
		VMID: "vm-1", Registry: h.registry, Transport: h.transport, Picker: h.picker,
		Issuer: h.issuer, Gate: h.gate,
		Relay: relayFunc(func(string, *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
			return nil, errUnreachable
		}),
	})
	return h
}

func always(s script) func(string, *backend.Request) script {
	return func(string, *backend.Request) script { return s }
}

// only gives one backend server, or one index version, its own script. All others
// reply OK.
func only(name string, s script) func(string, *backend.Request) script {
	return func(id string, req *backend.Request) script {
		if id == name || req.IndexVersion == name {
			return s
		}
		return script{status: backend.OK, delay: 2 * time.Millisecond}
	}
}

// apply changes the service in the registry.
func (h *harness) apply(change func(*config.Service)) {
	h.svc.Backends = slices.Clone(h.svc.Backends) // published values never change
	change(&h.svc)
	svc := h.svc
	svc.Revision++
	h.svc.Revision++
	h.registry.Apply(&svc)
}

func (h *harness) run(id string) *briarstandv1.QueryResponse {
	h.c.Helper()
	return h.runReq(&briarstandv1.QueryRequest{Service: "desk", RequestId: id})
}

func (h *harness) runReq(req *briarstandv1.QueryRequest) *briarstandv1.QueryResponse {
	h.c.Helper()
	resp, err := h.Run(context.Background(), req)
	h.c.Assert(err, qt.IsNil)
	return resp
}

func ticketed(id string) *briarstandv1.QueryRequest {
	return &briarstandv1.QueryRequest{Service: "desk", NonIdempotent: true, Ticket: id}
}

// runTicket runs a non-idempotent query and returns its ticket, under which
// the fake records it.
func (h *harness) runTicket() (*briarstandv1.QueryResponse, string) {
	h.c.Helper()
	id, _, err := h.BeginRequest("desk")
	h.c.Assert(err, qt.IsNil)
	return h.runReq(ticketed(id)), id
}

// warm fills the latency statistics, so that the hedge delay is about the given
// latency.
func (h *harness) warm(latency time.Duration) {
	for range 100 {
		h.Engine.latency.Observe("desk", latency)
	}
}

// waitIdle waits for late replies and checks that each sub-request ended once.
func (h *harness) waitIdle() {
	h.c.Helper()
	time.Sleep(time.Minute)
	h.c.Assert(h.picker.inFlight.Load(), qt.Equals, int64(0))
	h.c.Assert(h.InFlight(), qt.Equals, 0)
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
