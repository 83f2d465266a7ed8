package backend_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/backend/standin"
	"github.com/briarstand/briarstand/config"
)

// machine drives a pool and two stand-in servers with faults. The records of the
// servers show which sub-requests ran.
type machine struct {
	servers [2]*standin.Server
	pool    *backend.Pool
	sink    *sink
	calls   []backend.Call
	routes  []int // by tag: index of the server that the sub-request was sent to
}

func newMachine() (*machine, func()) {
	m := &machine{sink: newSink()}
	listeners := map[string]*standin.PipeListener{}
	served := make(chan error, len(m.servers))
	for i, address := range []string{"a", "b"} {
		listener := standin.NewPipeListener()
		listeners[address] = listener
		m.servers[i] = standin.New(uint64(i), standin.Settings{
			Slots: 2, QueueLimit: 4, ServiceJitter: standin.Duration(30 * time.Millisecond),
		})
		go func() { served <- m.servers[i].Serve(listener) }()
	}
	m.pool = backend.NewPool(backend.PoolConfig{
		Dial:      dialByAddress(listeners),
		Random:    func() float64 { return 0.5 },
		MaxQueued: 8, MaxInFlight: 4, SilenceTimeout: 200 * time.Millisecond,
	})
	return m, func() {
		m.pool.Close()
		for _, s := range m.servers {
			s.Close()
			<-served
		}
	}
}

func (m *machine) send(t *rapid.T) {
	tag, server := len(m.calls), rapid.IntRange(0, 1).Draw(t, "server")
	timeout := time.Duration(rapid.IntRange(-1, 200).Draw(t, "timeout_ms")) * time.Millisecond
	b := &config.Backend{ID: []string{"s1", "s2"}[server], Address: []string{"a", "b"}[server]}
	m.routes = append(m.routes, server)
	m.calls = append(m.calls, m.pool.Send(b, &backend.Request{
		Service: "svc", IndexVersion: "v1", Shard: tag, Limit: 1, NonIdempotent: true,
		RequestID: "r", Deadline: time.Now().Add(timeout),
	}, tag, m.sink))
}

func (m *machine) actions() map[string]func(*rapid.T) {
	server := func(t *rapid.T) *standin.Server {
		return m.servers[rapid.IntRange(0, 1).Draw(t, "server")]
	}
	return map[string]func(*rapid.T){
		"send": m.send,
		"burst": func(t *rapid.T) {
			for range rapid.IntRange(2, 12).Draw(t, "n") {
				m.send(t)
			}
		},
		"cancel": func(t *rapid.T) {
			if len(m.calls) > 0 {
				m.calls[rapid.IntRange(0, len(m.calls)-1).Draw(t, "call")].Cancel()
			}
		},
		"wait": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
		},
		"break":   func(t *rapid.T) { server(t).Break() },
		"drain":   func(t *rapid.T) { server(t).Drain() },
		"restart": func(t *rapid.T) { server(t).Restart() },
		"faults": func(t *rapid.T) {
			p := func(name string) float64 { return float64(rapid.IntRange(0, 2).Draw(t, name)) / 4 }
			server(t).SetFaults(standin.Faults{
				FailProbability: p("fail"), ShedProbability: p("shed"), DropProbability: p("drop"),
				DuplicateProbability: p("duplicate"), InventProbability: p("invent"),
				WrongVersionProbability: p("version"), DelayProbability: p("delay"),
				ReplyDelay:         standin.Duration(100 * time.Millisecond),
				IgnoreCancellation: rapid.Bool().Draw(t, "ignore"), Silent: rapid.IntRange(0, 5).Draw(t, "silent") == 0,
			})
		},
		"": func(t *rapid.T) { m.check(t, 1) },
	}
}

// check verifies that no sub-request has more deliveries than allowed.
func (m *machine) check(t *rapid.T, maxDeliveries int) {
	for tag := range m.calls {
		if _, n := m.sink.reply(tag); n > maxDeliveries {
			t.Fatalf("tag %d: %d deliveries", tag, n)
		}
	}
}

// checkResults compares the replies with the records of the servers.
func (m *machine) checkResults(t *rapid.T) {
	var records [2]standin.Record
	for i, s := range m.servers {
		records[i] = s.Record()
		if peak := records[i].Connections.Peak; peak > 1 {
			t.Fatalf("server %d: %d connections at once", i, peak)
		}
	}
	for tag, server := range m.routes {
		reply, n := m.sink.reply(tag)
		if n != 1 {
			t.Fatalf("tag %d: %d deliveries", tag, n)
		}
		runs := records[server].NonIdempotent[runKey(tag)]
		if runs > 1 || reply.Status == backend.OK && runs != 1 {
			t.Fatalf("tag %d: %v after %d runs", tag, reply.Status, runs)
		}
		if reply.Status.NotRun() && runs > 0 {
			t.Fatalf("tag %d: %v, but it ran: %v", tag, reply.Status, reply.Err)
		}
	}
}

// Under any order of faults, each sub-request must be delivered exactly once, must not
// run twice, and must not run if it is reported as not run. The pool must have at
// most one connection to a server at a time.
func TestExactlyOnceDelivery(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any // rapid reports failures by panics, which must not escape the bubble
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			m, stop := newMachine()
			defer stop()
			rt.Repeat(m.actions())
			m.pool.Close()
			synctest.Wait()
			m.checkResults(rt)
		})
		if failure != nil {
			panic(failure)
		}
	})
}

func runKey(tag int) string { return fmt.Sprintf("r/%d", tag) }

func dialByAddress(listeners map[string]*standin.PipeListener) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return listeners[address].Dial(ctx, network, address)
	}
}
