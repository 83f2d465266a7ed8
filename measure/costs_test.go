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
	// costBackends is the number of backend servers in the cost measurements.
	// Each holds all shards, so that one message carries several sub-requests of a
	// query.
	costBackends = 4
	costRate     = 400 // queries a second
	// probeCount is the number of probes of each kind: through a daemon and direct.
	// The first tenth of each kind is warm-up.
	probeCount = 2000
)

// measureCosts measures the CPU time per sub-request and the added latency of the
// daemons. The service time of the backend servers is 0.
func measureCosts(t *testing.T, durations runDurations) []Figure {
	p := load.Kykloskopos()
	s := p.Services[0]
	s.Shards, s.Backends, s.Replicas, s.Slots = shardsPerQuery, costBackends, 2, 1024
	f := newFleet(t, p, s, daemonCount)
	for i := range f.backends {
		f.must(f.control(i, "settings", map[string]any{
			"service_base": "0s", "service_jitter": "0s", "tail_probability": 0, "network_latency": "0s", "queue_limit": 4096,
		}))
	}
	doc := f.document("costs", Adaptive)
	f.create(doc)
	batched, err := load.Run(context.Background(), load.Config{
		Addresses: f.addresses(), Warmup: durations.warmup, Duration: durations.measured, Seed: 1, Daemons: f.counters(), Records: f.records(),
		Streams: []load.Stream{{Service: doc.Name, Rate: costRate}},
	})
	f.must(err)
	figures := []Figure{
		{FigureCPU, batched.Daemons.CPUPerSubRequest, microseconds},
		{"sub-requests in a message in that run", batched.Daemons.PerMessage, ""},
		{"sub-requests a second in that run", float64(batched.Daemons.Sent) / durations.measured.Seconds(), "1/s"},
		{"p99 of queries in that run", batched.Services[0].Latency.P99, milliseconds},
	}
	figures = append(figures, f.measureAddedTime(doc)...)
	return append(figures, Figure{"load average after the cost measurements", loadAverage(), ""})
}

// measureAddedTime measures the time that a daemon adds to a sub-request. It
// alternates between queries of one shard through a daemon and sub-requests that
// are sent directly, by the same transport.
func (f *fleet) measureAddedTime(doc *config.Service) []Figure {
	pool := backend.NewPool(backend.PoolConfig{})
	defer pool.Close()
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols}
	defer transport.CloseIdleConnections()
	caller := briarstandv1connect.NewCallerServiceClient(&http.Client{Transport: transport}, "http://"+f.vms[0].caller(), connect.WithGRPC())
	direct, viaDaemon := hdrhistogram.New(1, 10e6, 3), hdrhistogram.New(1, 10e6, 3)
	for i := range probeCount {
		if d := f.probeDirect(pool, &doc.Backends[0], doc); i >= probeCount/10 {
			f.must(direct.RecordValue(d.Microseconds()))
		}
		start := time.Now()
		resp, err := caller.Query(context.Background(), connect.NewRequest(&briarstandv1.QueryRequest{
			Service: doc.Name, Shards: []int32{0}, Body: []byte("probe"),
		}))
		f.must(err)
		qt.Assert(f.t, resp.Msg.Outcome, qt.Equals, briarstandv1.Outcome_OUTCOME_COMPLETE)
		if i >= probeCount/10 {
			f.must(viaDaemon.RecordValue(time.Since(start).Microseconds()))
		}
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return []Figure{
		{FigureAddedTime, ms(viaDaemon, 99) - ms(direct, 99), milliseconds},
		{fmt.Sprintf("one shard through a daemon, p50 (p99 %.2f ms)", ms(viaDaemon, 99)), ms(viaDaemon, 50), milliseconds},
		{fmt.Sprintf("one shard without a daemon, p50 (p99 %.2f ms)", ms(direct, 99)), ms(direct, 50), milliseconds},
	}
}

// replyChannel forwards the reply of a single sub-request.
type replyChannel chan backend.Reply

func (c replyChannel) Deliver(_ int, r backend.Reply) { c <- r }

func (f *fleet) probeDirect(pool *backend.Pool, b *config.Backend, doc *config.Service) time.Duration {
	replies := make(replyChannel, 1)
	start := time.Now()
	pool.Send(b, &backend.Request{
		Service: doc.Name, IndexVersion: load.ProfileVersion, Shard: 0, Deadline: start.Add(time.Second), Body: []byte("probe"), Limit: 10, RequestID: "probe",
	}, 0, replies)
	reply := <-replies
	qt.Assert(f.t, reply.Status, qt.Equals, backend.OK)
	return time.Since(start)
}
