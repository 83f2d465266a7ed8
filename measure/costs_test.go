package measure

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
	"github.com/briarstand/briarstand/load"
)

const (
	// costSearchers is the number of backend servers in the cost measurements.
	// They hold all shards, so that each message to one carries several
	// sub-requests.
	costSearchers = 4
	costRate      = 400 // queries a second
	probes        = 2000
)

// costs measures the daemons with backend servers whose service time is 0.
func costs(t *testing.T, length lengths) []Figure {
	p := load.Kykloskopos()
	s := p.Services[0]
	s.Shards, s.Backends, s.Replicas, s.Slots = shardsPerQuery, costSearchers, 2, 1024
	f := newFleet(t, p, s, daemons)
	for i := range f.searchers {
		f.must(f.control(i, "settings", map[string]any{
			"service_base": "0s", "service_jitter": "0s", "tail_probability": 0, "network_latency": "0s", "queue_limit": 4096,
		}))
	}
	doc := f.document("costs", Adaptive)
	f.create(doc)
	batched, err := load.Run(context.Background(), load.Config{
		Addresses: f.addresses(), Warmup: length.warmup, Duration: length.measured, Seed: 1, Daemons: f.counters(), Records: f.records(),
		Streams: []load.Stream{{Service: doc.Name, Rate: costRate}},
	})
	f.must(err)
	figures := []Figure{
		{FigureCPU, batched.Daemons.CPUPerSubRequest, microseconds},
		{"sub-requests in a message in that run", batched.Daemons.PerMessage, ""},
		{"sub-requests a second in that run", float64(batched.Daemons.Sent) / length.measured.Seconds(), "1/s"},
		{"p99 of queries in that run", batched.Services[0].Latency.P99, milliseconds},
	}
	figures = append(figures, f.addedTime(doc)...)
	return append(figures, Figure{"load average after the cost measurements", loadAverage(), ""})
}

// addedTime measures the time that a daemon adds to a sub-request. It alternates
// between queries of one shard through a daemon and sub-requests that are sent
// directly, by the same transport.
func (f *fleet) addedTime(doc *config.Service) []Figure {
	pool := backend.NewPool(backend.PoolConfig{})
	defer pool.Close()
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols}
	defer transport.CloseIdleConnections()
	caller := briarstandv1connect.NewCallerServiceClient(&http.Client{Transport: transport}, "http://"+f.vms[0].caller(), connect.WithGRPC())
	direct, through := hdrhistogram.New(1, 10e6, 3), hdrhistogram.New(1, 10e6, 3)
	for i := range probes {
		if d := f.probeDirect(pool, &doc.Backends[0], doc); i >= probes/10 {
			f.must(direct.RecordValue(d.Microseconds()))
		}
		began := time.Now()
		resp, err := caller.Query(context.Background(), connect.NewRequest(&briarstandv1.QueryRequest{
			Service: doc.Name, Shards: []int32{0}, Body: []byte("probe"),
		}))
		f.must(err)
		qt.Assert(f.t, resp.Msg.Outcome, qt.Equals, briarstandv1.Outcome_OUTCOME_COMPLETE)
		if i >= probes/10 {
			f.must(through.RecordValue(time.Since(began).Microseconds()))
		}
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return []Figure{
		{FigureAddedTime, ms(through, 99) - ms(direct, 99), milliseconds},
		{fmt.Sprintf("one shard through a daemon, p50 (p99 %.2f ms)", ms(through, 99)), ms(through, 50), milliseconds},
		{fmt.Sprintf("one shard without a daemon, p50 (p99 %.2f ms)", ms(direct, 99)), ms(direct, 50), milliseconds},
	}
}

// sink forwards the reply of a single sub-request.
type sink chan backend.Reply

func (s sink) Deliver(_ int, r backend.Reply) { s <- r }

func (f *fleet) probeDirect(pool *backend.Pool, b *config.Backend, doc *config.Service) time.Duration {
	replies := make(sink, 1)
	began := time.Now()
	pool.Send(b, &backend.Request{
		Service: doc.Name, IndexVersion: load.ProfileVersion, Shard: 0, Deadline: began.Add(time.Second), Body: []byte("probe"), Limit: 10, RequestID: "probe",
	}, 0, replies)
	reply := <-replies
	qt.Assert(f.t, reply.Status, qt.Equals, backend.OK)
	return time.Since(began)
}
