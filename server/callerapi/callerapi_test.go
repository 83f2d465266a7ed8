package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/query"
	"github.com/briarstand/briarstand/ticket"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeDependencies implements the transport, the picker and the gate of the
// engine: it answers every sub-request at once, picks the first replica, and
// admits queries unless closed is set.
type fakeDependencies struct {
	closed  bool
	sent    int
	metrics *metrics.Set
}

func (f *fakeDependencies) Admit() error {
	if f.closed {
		return &query.NotAdmittedError{Reason: "no configuration yet", RetryAfter: time.Second}
	}
	return nil
}

func (f *fakeDependencies) Send(_ *config.Backend, req *backend.Request, tag int, sink backend.Sink) backend.Call {
	f.sent++
	go sink.Deliver(tag, backend.Reply{
		Status: backend.OK, IndexVersion: req.IndexVersion, Shard: req.Shard,
		Hits: []*briarstandv1.Hit{{Id: "doc", Score: 1}},
	})
	return f
}

func (f *fakeDependencies) Cancel()                                        {}
func (f *fakeDependencies) Draining(string) bool                           { return false }
func (f *fakeDependencies) Load(string) (float64, time.Duration, bool)     { return 0, 0, false }
func (f *fakeDependencies) Started(string)                                 {}
func (f *fakeDependencies) Finished(string, time.Duration, backend.Status) {}
func (f *fakeDependencies) Pick(_ config.ReplicaChoice, c []*config.Backend, tried []string) (*config.Backend, bool) {
	return c[0], len(tried) == 0
}

func newServer(f *fakeDependencies) (*query.Engine, http.Handler) {
	registry := config.NewRegistry()
	registry.Apply(&config.Service{
		Name: "desk", Revision: 7, Policy: config.DefaultPolicy(),
		Backends: []config.Backend{{ID: "b0"}},
		Versions: []config.IndexVersion{{Name: "v1", Sequence: 1, Shards: [][]string{{"b0"}, {"b0"}}}},
	})
	engine := query.NewEngine(query.Config{
		VMID: "vm-1", Registry: registry, Transport: f, Picker: f, Gate: f,
		Issuer: ticket.NewIssuer("vm-1", 1, ticket.Config{}),
	})
	_, handler := New(Config{
		Engine: engine, Address: "192.0.2.1:7000", MaxMessageBytes: 4096, Metrics: f.metrics,
		Resolve: func(req *briarstandv1.ResolveRequest) *briarstandv1.ResolveResponse {
			return &briarstandv1.ResolveResponse{Endpoints: []*briarstandv1.Endpoint{{Zone: req.Zone}}, TtlMs: 30000}
		},
	})
	return engine, handler
}

// post calls a procedure with HTTP and JSON and returns the status and the
// decoded answer.
func post(c *qt.C, h http.Handler, method, body string, header ...string) (int, map[string]any) {
	c.Helper()
	req := httptest.NewRequest(http.MethodPost, "/briarstand.v1.CallerService/"+method, strings.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	if len(header) == 2 {
		req.Header.Set(header[0], header[1])
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, req)
	var out map[string]any
	c.Assert(json.Unmarshal(rec.Body.Bytes(), &out), qt.IsNil, qt.Commentf("%s", rec.Body))
	return rec.Code, out
}

// Checks that each kind of invalid request gets the right error code and causes no
// sub-requests.
func TestErrors(t *testing.T) {
	for _, tt := range []struct{ name, method, body, header, code string }{
		{"negative limit", "Query", `{"service":"desk","limit":-1}`, "", "invalid_argument"},
		{"bad shards", "Query", `{"service":"desk","shards":[0,0]}`, "", "invalid_argument"},
		{"shard out of range", "Query", `{"service":"desk","shards":[2]}`, "", "invalid_argument"},
		{"no ticket", "Query", `{"service":"desk","nonIdempotent":true}`, "", "invalid_argument"},
		{"not JSON", "Query", `{"service"`, "", "invalid_argument"},
		{"unknown service", "Query", `{"service":"none"}`, "", "not_found"},
		{"unknown service", "BeginRequest", `{"service":"none"}`, "", "not_found"},
		{"oversized", "Query", `{"service":"desk","body":"` + strings.Repeat("A", 5000) + `"}`, "", "resource_exhausted"},
		{"timeout passed", "Query", `{"service":"desk"}`, "0", "deadline_exceeded"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			f := &fakeDependencies{}
			_, h := newServer(f)
			var header []string
			if tt.header != "" {
				header = []string{"Connect-Timeout-Ms", tt.header}
			}
			status, out := post(c, h, tt.method, tt.body, header...)
			c.Assert(status >= 400, qt.IsTrue)
			c.Assert(out["code"], qt.Equals, tt.code, qt.Commentf("%v", out))
			c.Assert(f.sent, qt.Equals, 0)
		})
	}
}

// Checks that a refused query is an answer with the outcome NOT_RUN and not an error,
// also if the VM does not know the service because it has no configuration yet.
func TestRefusals(t *testing.T) {
	c := qt.New(t)
	f := &fakeDependencies{closed: true}
	engine, h := newServer(f)
	for _, service := range []string{"desk", "none"} {
		status, out := post(c, h, "Query", `{"service":"`+service+`","requestId":"q"}`)
		c.Assert(status, qt.Equals, http.StatusOK)
		c.Assert(out["outcome"], qt.Equals, "OUTCOME_NOT_RUN")
		c.Assert(out["requestId"], qt.Equals, "q")
		c.Assert(out["retryAfterMs"], qt.Equals, "1000")
	}
	_, out := post(c, h, "BeginRequest", `{"service":"desk"}`)
	c.Assert(out["code"], qt.Equals, "unavailable")
	f.closed = false
	engine.Drain()
	_, out = post(c, h, "BeginRequest", `{"service":"desk"}`)
	c.Assert(out["code"], qt.Equals, "unavailable")
}

// Checks that callers can send a ticket back exactly as they received it, and that
// answers have all fields.
func TestSession(t *testing.T) {
	c := qt.New(t)
	f := &fakeDependencies{metrics: metrics.NewSet()}
	engine, h := newServer(f)
	_, out := post(c, h, "Resolve", `{"zone":"kisumu-pier"}`)
	c.Assert(out["endpoints"], qt.DeepEquals, []any{map[string]any{"zone": "kisumu-pier"}})
	_, out = post(c, h, "BeginRequest", `{"service":"desk"}`)
	c.Assert(out["address"], qt.Equals, "192.0.2.1:7000")
	c.Assert(out["ttlMs"], qt.Equals, "30000")
	body, err := json.Marshal(map[string]any{"service": "desk", "nonIdempotent": true, "ticket": out["ticket"]})
	c.Assert(err, qt.IsNil)
	for range 2 {
		_, out = post(c, h, "Query", string(body))
		c.Assert(out["outcome"], qt.Equals, "OUTCOME_COMPLETE")
		c.Assert(out["revision"], qt.Equals, "7")
		c.Assert(out["hits"], qt.HasLen, 2)
		c.Assert(f.sent, qt.Equals, 2)
	}
	calls := f.metrics.GetOrCreateCounter(`briarstand_caller_calls_total{method="Query",code="ok"}`)
	c.Assert(calls.Get(), qt.Equals, uint64(2))
	c.Assert(engine.Wait(context.Background()), qt.IsNil)
}
