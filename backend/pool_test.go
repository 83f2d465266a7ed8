package backend_test

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/backend/standin"
	"github.com/briarstand/briarstand/config"
)

// TestMain sets the seed of rapid to 1 unless the command line sets another.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m) // parses the command line, which takes precedence
}

// sink counts the deliveries of each tag and keeps the last reply.
type sink struct {
	mu      sync.Mutex
	counts  map[int]int
	replies map[int]backend.Reply
}

func newSink() *sink { return &sink{counts: map[int]int{}, replies: map[int]backend.Reply{}} }

func (s *sink) Deliver(tag int, r backend.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[tag]++
	s.replies[tag] = r
}

func (s *sink) reply(tag int) (backend.Reply, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replies[tag], s.counts[tag]
}

// rig is a pool and one stand-in server that run on a fake clock.
type rig struct {
	server  *standin.Server
	pool    *backend.Pool
	sink    *sink
	target  *config.Backend
	metrics *metrics.Set
	// connected is the tag that connect used last. It counts down from 0, so that
	// it differs from the tags of the tests.
	connected int
}

// run calls f with a rig in a synctest bubble. The test fails if a goroutine
// outlives f.
func run(t *testing.T, settings standin.Settings, change func(*backend.PoolConfig), f func(c *qt.C, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		listener := standin.NewPipeListener()
		r := &rig{
			server:  standin.New(1, settings),
			sink:    newSink(),
			target:  &config.Backend{ID: "s1", Address: "10.0.0.1:80"},
			metrics: metrics.NewSet(),
		}
		served := make(chan error, 1)
		go func() { served <- r.server.Serve(listener) }()
		cfg := backend.PoolConfig{Dial: listener.Dial, Random: func() float64 { return 0.5 }, Metrics: r.metrics}
		if change != nil {
			change(&cfg)
		}
		r.pool = backend.NewPool(cfg)
		defer func() {
			r.pool.Close()
			r.server.Close()
			<-served
		}()
		f(qt.New(t), r)
	})
}

func (r *rig) send(tag int, timeout time.Duration) backend.Call {
	return r.pool.Send(r.target, r.request(tag, timeout), tag, r.sink)
}

func (r *rig) request(tag int, timeout time.Duration) *backend.Request {
	return &backend.Request{
		Service: "svc", IndexVersion: "v1", Shard: tag, Limit: 3,
		Body: []byte(fmt.Sprint(tag)), RequestID: fmt.Sprint(tag), Deadline: time.Now().Add(timeout),
	}
}

// connect sends a sub-request, which opens a stream if there is none, and checks that
// it succeeds.
func (r *rig) connect(c *qt.C) {
	c.Helper()
	r.connected--
	r.send(r.connected, time.Second)
	time.Sleep(200 * time.Millisecond)
	r.expect(c, r.connected, backend.OK)
}

func (r *rig) expect(c *qt.C, tag int, status backend.Status) backend.Reply {
	c.Helper()
	reply, n := r.sink.reply(tag)
	c.Assert(n, qt.Equals, 1, qt.Commentf("deliveries of tag %d", tag))
	c.Assert(reply.Status, qt.Equals, status, qt.Commentf("tag %d: %v", tag, reply.Err))
	return reply
}

func slow(d time.Duration) standin.Settings {
	return standin.Settings{Slots: 1, QueueLimit: 100, ServiceBase: standin.Duration(d)}
}

// Guards against replies that are delivered to another request or have wrong hits.
func TestRepliesBelongToTheirRequests(t *testing.T) {
	settings := standin.Settings{Slots: 50, QueueLimit: 1000, ServiceJitter: standin.Duration(20 * time.Millisecond)}
	run(t, settings, nil, func(c *qt.C, r *rig) {
		for tag := range 300 {
			r.send(tag, time.Second)
		}
		time.Sleep(900 * time.Millisecond)
		for tag := range 300 {
			reply := r.expect(c, tag, backend.OK)
			want := standin.Documents("svc", "v1", tag, []byte(fmt.Sprint(tag)), 3)
			c.Assert(len(reply.Hits), qt.Equals, 3)
			for i := range want {
				c.Assert(reply.Hits[i].GetId(), qt.Equals, want[i].GetId())
				c.Assert(reply.Hits[i].GetScore(), qt.Equals, want[i].GetScore())
			}
		}
		c.Assert(r.server.Summary().Connections.Peak, qt.Equals, 1)
	})
}

// When the stream breaks, written sub-requests must count as possibly run and queued
// ones as not run. The pool must reconnect.
func TestBrokenStream(t *testing.T) {
	run(t, slow(100*time.Millisecond), func(cfg *backend.PoolConfig) { cfg.MaxInFlight = 2 }, func(c *qt.C, r *rig) {
		r.connect(c)
		for tag := range 4 {
			r.send(tag, time.Second)
		}
		synctest.Wait()
		r.server.Break()
		synctest.Wait()
		for tag := range 4 {
			want := backend.StreamBroken
			if tag >= 2 {
				want = backend.Unsent
			}
			r.expect(c, tag, want)
		}
		r.send(5, time.Second)
		synctest.Wait()
		var unavailable *backend.UnavailableError
		c.Assert(errors.As(r.expect(c, 5, backend.Unsent).Err, &unavailable), qt.IsTrue)
		time.Sleep(200 * time.Millisecond)
		r.connect(c)
	})
}

// Guards against waiting forever for a backend server that disappeared without
// closing its connection, with and without sub-requests in flight.
func TestHalfOpenStream(t *testing.T) {
	run(t, slow(time.Millisecond), nil, func(c *qt.C, r *rig) {
		r.connect(c)
		r.server.SetFaults(standin.Faults{Silent: true})
		for tag := range 8 {
			r.send(tag, 200*time.Millisecond)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(time.Second)
		var timeout *backend.ReplyTimeoutError
		c.Assert(errors.As(r.expect(c, 0, backend.Failed).Err, &timeout), qt.IsTrue)
		r.expect(c, 7, backend.Unsent)
		r.server.SetFaults(standin.Faults{})
		time.Sleep(10 * time.Second)
		r.connect(c)

		r.server.SetFaults(standin.Faults{Silent: true}) // detected by pings
		time.Sleep(backend.DefaultPingInterval + backend.DefaultPingTimeout + time.Second)
		r.send(9, time.Second)
		time.Sleep(3 * time.Second)
		r.expect(c, 9, backend.Unsent)
	})
}

// Guards against delivering duplicate, invented or late replies.
func TestDuplicateAndLateReplies(t *testing.T) {
	run(t, slow(time.Millisecond), nil, func(c *qt.C, r *rig) {
		r.server.SetFaults(standin.Faults{DuplicateProbability: 1, InventProbability: 1})
		for tag := range 20 {
			r.send(tag, time.Second)
		}
		time.Sleep(time.Second)
		r.server.SetFaults(standin.Faults{DelayProbability: 1, ReplyDelay: standin.Duration(time.Second)})
		r.send(100, 200*time.Millisecond)
		time.Sleep(2 * time.Second)
		for tag := range 20 {
			r.expect(c, tag, backend.OK)
		}
		r.expect(c, 100, backend.Failed)
		unmatched := r.metrics.GetOrCreateCounter("briarstand_backend_unmatched_replies_total").Get()
		c.Assert(unmatched, qt.Equals, uint64(41))
	})
}

// Guards against merging a reply for another index version or shard.
func TestWrongVersionAndShard(t *testing.T) {
	run(t, slow(0), nil, func(c *qt.C, r *rig) {
		var mismatch *backend.MismatchError
		r.server.SetFaults(standin.Faults{WrongVersionProbability: 1})
		r.send(1, time.Second)
		time.Sleep(10 * time.Millisecond)
		c.Assert(errors.As(r.expect(c, 1, backend.Failed).Err, &mismatch), qt.IsTrue)
		r.server.SetFaults(standin.Faults{WrongShardProbability: 1})
		r.send(2, time.Second)
		time.Sleep(10 * time.Millisecond)
		c.Assert(errors.As(r.expect(c, 2, backend.Failed).Err, &mismatch), qt.IsTrue)
		c.Assert(backend.Failed.NotRun(), qt.IsFalse)
	})
}

// Guards against a status that the protocol does not define, taken as a success or as "not run".
func TestInvalidStatus(t *testing.T) {
	run(t, slow(0), nil, func(c *qt.C, r *rig) {
		r.server.SetFaults(standin.Faults{InvalidStatusProbability: 1})
		r.send(1, time.Second)
		time.Sleep(10 * time.Millisecond)
		var protocol *backend.ProtocolError
		c.Assert(errors.As(r.expect(c, 1, backend.Failed).Err, &protocol), qt.IsTrue)
		c.Assert(backend.Failed.NotRun(), qt.IsFalse)
	})
}

// A backend server that announced a drain must get no further sub-requests, and the
// replies to those it accepted before must still be delivered.
func TestDrainStopsNewWork(t *testing.T) {
	run(t, slow(100*time.Millisecond), func(cfg *backend.PoolConfig) { cfg.MaxInFlight = 1 }, func(c *qt.C, r *rig) {
		r.connect(c)
		r.send(1, time.Second)
		r.send(2, time.Second)
		synctest.Wait()
		r.server.Drain()
		synctest.Wait()
		r.expect(c, 2, backend.Draining)
		c.Assert(r.pool.Draining("s1"), qt.IsTrue)
		r.send(3, time.Second)
		time.Sleep(200 * time.Millisecond)
		r.expect(c, 1, backend.OK)
		r.expect(c, 3, backend.Draining)
		c.Assert(r.server.Summary().Received, qt.Equals, int64(2))

		r.server.Restart()
		time.Sleep(time.Second)
		c.Assert(r.pool.Draining("s1"), qt.IsFalse)
		r.connect(c)
	})
}

// The queue must be bounded, and sub-requests that overflow it must be reported as
// not run.
func TestQueueOverflow(t *testing.T) {
	change := func(cfg *backend.PoolConfig) { cfg.MaxQueued, cfg.MaxInFlight = 3, 1 }
	run(t, slow(50*time.Millisecond), change, func(c *qt.C, r *rig) {
		r.connect(c)
		r.send(0, time.Second)
		synctest.Wait()
		for tag := 1; tag <= 4; tag++ {
			r.send(tag, time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		for tag := range 4 {
			r.expect(c, tag, backend.OK)
		}
		var full *backend.QueueFullError
		c.Assert(errors.As(r.expect(c, 4, backend.Unsent).Err, &full), qt.IsTrue)
	})
}

// A sub-request that expired or was cancelled in the queue must not be written. The
// cancellation of a written one must reach the backend server.
func TestCancelAndExpiry(t *testing.T) {
	run(t, slow(100*time.Millisecond), func(cfg *backend.PoolConfig) { cfg.MaxInFlight = 1 }, func(c *qt.C, r *rig) {
		r.connect(c)
		running := r.send(0, time.Second)
		queued := r.send(1, time.Second)
		r.send(2, 20*time.Millisecond)
		synctest.Wait()
		queued.Cancel()
		queued.Cancel()
		synctest.Wait()
		r.expect(c, 1, backend.Cancelled)
		time.Sleep(40 * time.Millisecond)
		r.expect(c, 2, backend.Expired)
		running.Cancel()
		synctest.Wait()
		r.expect(c, 0, backend.Failed)
		running.Cancel()
		record := r.server.Summary()
		c.Assert(record.Received, qt.Equals, int64(2))
		c.Assert(record.Cancelled, qt.Equals, int64(1))
	})
}

// A connection to a backend server that the configuration no longer declares must
// be closed, but only after UndeclaredGrace.
func TestUpdateAndClose(t *testing.T) {
	run(t, slow(time.Millisecond), nil, func(c *qt.C, r *rig) {
		registry := config.NewRegistry()
		svc := &config.Service{Name: "svc", Revision: 1, Backends: []config.Backend{*r.target}}
		registry.Apply(svc)
		r.pool.Update(registry.Snapshot())
		synctest.Wait()
		c.Assert(r.server.Summary().Connections.Open, qt.Equals, 1)
		registry.Apply(&config.Service{Name: "svc", Revision: 2})
		r.pool.Update(registry.Snapshot())
		r.send(1, time.Second)
		time.Sleep(2 * time.Second)
		r.expect(c, 1, backend.OK) // sent within UndeclaredGrace to a server no longer declared
		c.Assert(r.server.Summary().Connections.Open, qt.Equals, 0)
		c.Assert(r.server.Summary().Connections.Peak, qt.Equals, 1)
		r.pool.Close()
		r.send(2, time.Second)
		synctest.Wait()
		c.Assert(errors.Is(r.expect(c, 2, backend.Unsent).Err, backend.ErrClosed), qt.IsTrue)
	})
}

// If the backend server refuses the connection because its connection limit is
// reached, sub-requests must be reported as not run.
func TestConnectionCapLeavesUnrun(t *testing.T) {
	settings := slow(time.Millisecond)
	settings.MaxConnections = 1
	run(t, settings, nil, func(c *qt.C, r *rig) {
		r.connect(c)
		other := *r.target
		other.Address = "10.0.0.2:80" // a second stream to the same server
		r.pool.Send(&other, r.request(1, time.Second), 1, r.sink)
		time.Sleep(10 * time.Millisecond)
		r.expect(c, 1, backend.Unsent)
		c.Assert(r.server.Summary().Connections.Peak, qt.Equals, 1)
	})
}

// The pool must work over TCP as over the pipes of the other tests, and each
// sub-request must get a reply although the backend server restarts.
func TestOverTCP(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	r := &rig{server: standin.New(1, standin.Settings{Slots: 4, QueueLimit: 100}), sink: newSink()}
	r.target = &config.Backend{ID: "s1", Address: listener.Addr().String()}
	served := make(chan error, 1)
	go func() { served <- r.server.Serve(listener) }()
	connected := make(chan string, 2)
	r.pool = backend.NewPool(backend.PoolConfig{OnConnect: func(id string) { connected <- id }})
	for round := range 2 {
		for tag := range 100 {
			r.send(100*round+tag, time.Minute)
		}
		c.Assert(<-connected, qt.Equals, "s1")
		for !r.delivered(100 * (round + 1)) {
			time.Sleep(time.Millisecond)
		}
		r.server.Restart()
	}
	r.pool.Close()
	r.server.Close()
	c.Assert(<-served, qt.IsNil)
	for tag := range 100 {
		r.expect(c, tag, backend.OK)
	}
	c.Assert(r.server.Summary().Connections.Peak, qt.Equals, 1)
}

func (r *rig) delivered(n int) bool {
	r.sink.mu.Lock()
	defer r.sink.mu.Unlock()
	return len(r.sink.counts) == n
}
