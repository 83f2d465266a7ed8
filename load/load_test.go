package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/briarstand/briarstand/backend/standin"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeCallerAPI is a caller API that answers queries over four shards. The
// function answer may change the response to the nth query or fail it.
type fakeCallerAPI struct {
	briarstandv1connect.UnimplementedCallerServiceHandler
	queries atomic.Int64
	answer  func(n int64, resp *briarstandv1.QueryResponse) error
}

func (c *fakeCallerAPI) Query(_ context.Context, req *connect.Request[briarstandv1.QueryRequest]) (*connect.Response[briarstandv1.QueryResponse], error) {
	m := req.Msg
	resp := &briarstandv1.QueryResponse{
		RequestId: m.GetRequestId(), Outcome: briarstandv1.Outcome_OUTCOME_COMPLETE, IndexVersion: "v1",
		Coverage: &briarstandv1.Coverage{ShardsAnswered: 4, ShardsTotal: 4},
		Hits:     standin.Expected(m.GetService(), "v1", []int{0, 1, 2, 3}, m.GetBody(), int(m.GetLimit())),
	}
	if err := c.answer(c.queries.Add(1), resp); err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func (c *fakeCallerAPI) Resolve(context.Context, *connect.Request[briarstandv1.ResolveRequest]) (*connect.Response[briarstandv1.ResolveResponse], error) {
	return connect.NewResponse(&briarstandv1.ResolveResponse{
		TtlMs: 5000, Endpoints: []*briarstandv1.Endpoint{{Address: "vm2:1"}, {Address: "vm1:1"}},
	}), nil
}

// serve starts the fake caller API and runs f with a configuration that connects
// to it.
func serve(t *testing.T, api *fakeCallerAPI, f func(c *qt.C, cfg Config)) {
	synctest.Test(t, func(t *testing.T) {
		listener := standin.NewPipeListener()
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		_, handler := briarstandv1connect.NewCallerServiceHandler(api)
		server := &http.Server{Handler: handler, Protocols: &protocols}
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		f(qt.New(t), Config{
			Addresses: []string{"vm1:1"}, Duration: 3 * time.Second, Dial: listener.Dial, Verify: true,
			Streams: []Stream{{Service: "svc", Rate: 100}},
		})
		server.Close()
		<-served
	})
}

// Checks that no query is lost, and that outcomes, coverage and wrong answers are
// counted correctly.
func TestOutcomesAndCoverage(t *testing.T) {
	api := &fakeCallerAPI{answer: func(n int64, resp *briarstandv1.QueryResponse) error {
		time.Sleep(10 * time.Millisecond)
		switch n % 5 {
		case 1:
			resp.Outcome = briarstandv1.Outcome_OUTCOME_NOT_RUN
			resp.Hits, resp.Coverage = nil, nil
		case 2:
			resp.Outcome = briarstandv1.Outcome_OUTCOME_PARTIAL
			resp.Hits = nil
			resp.Coverage = &briarstandv1.Coverage{ShardsAnswered: 1, ShardsTotal: 4, MissingShards: []int32{1, 2, 3}}
		case 3:
			resp.Hits[0].Id = "invented"
		case 4:
			return connect.NewError(connect.CodeInvalidArgument, errors.New("refused"))
		}
		return nil
	}}
	serve(t, api, func(c *qt.C, cfg Config) {
		result, err := Run(context.Background(), cfg)
		c.Assert(err, qt.IsNil)
		r := result.Services[0]
		c.Assert(r.Queries > 240 && r.Queries < 360 && r.Queries == api.queries.Load(), qt.IsTrue, qt.Commentf("%d", r.Queries))
		n := r.Outcomes["not_run"]
		c.Assert(r.Outcomes["complete"] >= 2*n-2 && r.Outcomes["complete"] <= 2*n, qt.IsTrue, qt.Commentf("%v", r.Outcomes))
		c.Assert(r.Errors["invalid_argument"] > 40, qt.IsTrue)
		c.Assert(r.Wrong > 40 && r.Wrong <= n, qt.IsTrue, qt.Commentf("%d %v", r.Wrong, r.WrongExamples))
		c.Assert(r.CoverageWorst, qt.Equals, 0.25)
		c.Assert(r.CoverageMean > 0.7 && r.CoverageMean < 0.8, qt.IsTrue, qt.Commentf("%v", r.CoverageMean))
		c.Assert(r.Latency.P50 >= 9.9 && r.Latency.P99 < 11, qt.IsTrue, qt.Commentf("%v", r.Latency))
	})
}

// Guards against coordinated omission, which hides the delay of the queries that
// are due while a server stalls.
func TestLatencyCountsFromTheIntendedStart(t *testing.T) {
	api := &fakeCallerAPI{answer: func(n int64, _ *briarstandv1.QueryResponse) error {
		if n == 100 {
			time.Sleep(time.Second)
		}
		return nil
	}}
	serve(t, api, func(c *qt.C, cfg Config) {
		cfg.MaxOutstanding = 1
		result, err := Run(context.Background(), cfg)
		c.Assert(err, qt.IsNil)
		// About 100 of 300 queries are due during the stall of one second.
		l := result.Services[0].Latency
		c.Assert(l.P50 < 1 && l.P99 > 800, qt.IsTrue, qt.Commentf("%v", l))
	})
}

// Checks that the extra load excludes the warm-up and appears in the output.
func TestExtraLoadAndOutput(t *testing.T) {
	var record standin.Record
	api := &fakeCallerAPI{answer: func(n int64, _ *briarstandv1.QueryResponse) error {
		record.Received += 5
		record.Started += 4
		return nil
	}}
	serve(t, api, func(c *qt.C, cfg Config) {
		cfg.Warmup, cfg.MaxOutstanding = time.Second, 1
		cfg.Records = []RecordSource{func(context.Context) (standin.Record, error) { return record, nil }}
		result, err := Run(context.Background(), cfg)
		c.Assert(err, qt.IsNil)
		c.Assert(result.Extra.Needed, qt.Equals, 4*result.Services[0].Queries)
		c.Assert(result.Extra.ReceivedFraction, qt.Equals, 0.25)
		c.Assert(result.Extra.StartedFraction, qt.Equals, 0.0)
		var table, doc bytes.Buffer
		c.Assert(result.WriteTable(&table), qt.IsNil)
		c.Assert(table.String(), qt.Contains, "extra load: +25.00% received, +0.00% started")
		c.Assert(result.WriteJSON(&doc), qt.IsNil)
		var back Result
		c.Assert(json.Unmarshal(doc.Bytes(), &back), qt.IsNil)
		c.Assert(back, qt.DeepEquals, *result)
	})
}

// Checks that a run tries the next address after an unavailable one, stops when its
// context ends, and refuses an invalid configuration.
func TestAddressesAndSettings(t *testing.T) {
	api := &fakeCallerAPI{answer: func(n int64, _ *briarstandv1.QueryResponse) error {
		if n == 1 {
			return connect.NewError(connect.CodeUnavailable, errors.New("leaving"))
		}
		return nil
	}}
	serve(t, api, func(c *qt.C, cfg Config) {
		addresses, ttl, err := Resolve(context.Background(), cfg, "me", "")
		c.Assert(err, qt.IsNil)
		c.Assert(addresses, qt.DeepEquals, []string{"vm2:1", "vm1:1"})
		c.Assert(ttl, qt.Equals, 5*time.Second)
		cfg.Addresses = addresses
		result, err := Run(context.Background(), cfg)
		c.Assert(err, qt.IsNil)
		c.Assert(result.Services[0].Errors, qt.HasLen, 0)

		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err = Run(ctx, cfg)
		c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
		cfg.Streams = nil
		var bad *ConfigError
		_, err = Run(context.Background(), cfg)
		c.Assert(errors.As(err, &bad), qt.IsTrue)
	})
}

// Checks that each shard of a profile has replicas in at least two zones, and that
// the stand-ins hold the shards that the document assigns to them.
func TestProfilesAreConsistent(t *testing.T) {
	c := qt.New(t)
	for _, name := range ProfileNames() {
		p, err := ProfileByName(name)
		c.Assert(err, qt.IsNil)
		for _, s := range p.Services {
			doc := p.Document(s, func(id string) string { return id + ":1" })
			c.Assert(doc.Backends, qt.HasLen, s.Backends)
			held := 0
			for i, b := range doc.Backends {
				for _, shard := range p.Settings(s, i, p.Zones[0]).Holdings[0].Shards {
					held++
					c.Assert(doc.Versions[0].Shards[shard], qt.Contains, b.ID)
				}
			}
			c.Assert(held, qt.Equals, s.Shards*s.Replicas)
			for shard, ids := range doc.Versions[0].Shards {
				zones := map[string]bool{}
				for _, id := range ids {
					b, ok := doc.Backend(id)
					c.Assert(ok, qt.IsTrue)
					zones[b.Zone] = true
				}
				c.Assert(len(zones) >= 2, qt.IsTrue, qt.Commentf("%s shard %d: %v", s.Name, shard, ids))
			}
		}
	}
	_, err := ProfileByName("other")
	c.Assert(err, qt.ErrorMatches, ".*unknown.*")
}
