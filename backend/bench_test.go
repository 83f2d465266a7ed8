package backend_test

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/backend/standin"
	"github.com/briarstand/briarstand/config"
)

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

type waitSink struct{ wg sync.WaitGroup }

func (s *waitSink) Deliver(int, backend.Reply) { s.wg.Done() }

// serveBench starts stand-in servers that reply at once on loopback TCP.
func serveBench(b *testing.B, n int) []*config.Backend {
	backends := make([]*config.Backend, n)
	for i := range backends {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := standin.New(uint64(i), standin.Settings{Slots: 1, QueueLimit: 1 << 12})
		b.Cleanup(server.Close)
		go func() {
			if err := server.Serve(listener); err != nil {
				b.Error(err)
			}
		}()
		backends[i] = &config.Backend{ID: fmt.Sprint(i), Address: listener.Addr().String()}
	}
	return backends
}

// BenchmarkSubRequest reports CPU time per sub-request of the pool and the
// stand-in servers together, which share the process; b.N counts sub-requests.
// Each of the given callers runs queries of the given size one after the other.
func BenchmarkSubRequest(b *testing.B) {
	for _, shape := range []struct{ perQuery, backends, callers int }{
		{1, 1, 1}, {16, 1, 1}, {40, 1, 1}, {64, 1, 1}, {40, 40, 1}, {40, 40, 64}, {40, 40, 256},
	} {
		b.Run(fmt.Sprintf("shards=%d/backends=%d/callers=%d", shape.perQuery, shape.backends, shape.callers), func(b *testing.B) {
			backends := serveBench(b, shape.backends)
			set := metrics.NewSet()
			pool := backend.NewPool(backend.PoolConfig{Metrics: set})
			defer pool.Close()
			query := func() {
				var s waitSink
				req := &backend.Request{Service: "svc", IndexVersion: "v1", Limit: 3, RequestID: "r", Body: []byte("query"), Deadline: time.Now().Add(time.Minute)}
				s.wg.Add(shape.perQuery)
				for i := range shape.perQuery {
					r := *req
					r.Shard = i
					pool.Send(backends[i%len(backends)], &r, i, &s)
				}
				s.wg.Wait()
			}
			query()
			b.ResetTimer()
			before := cpuTime(b)
			var callers sync.WaitGroup
			queries := max(1, b.N/shape.perQuery/shape.callers)
			for range shape.callers {
				callers.Go(func() {
					for range queries {
						query()
					}
				})
			}
			callers.Wait()
			used := cpuTime(b) - before
			b.ReportMetric(float64(used.Nanoseconds())/1e3/float64(queries*shape.callers*shape.perQuery), "cpu-us/subreq")
			written := set.GetOrCreateCounter("briarstand_backend_subrequests_written_total").Get()
			messages := set.GetOrCreateCounter("briarstand_backend_messages_written_total").Get()
			b.ReportMetric(float64(written)/float64(messages), "subreq/message")
		})
	}
}
