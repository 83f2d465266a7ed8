package backend

import (
	"encoding/binary"
	"errors"
	"io"
	"math"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"google.golang.org/protobuf/proto"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

type discardConn struct {
	net.Conn
	written int
}

func (c *discardConn) Write(p []byte) (int, error) { c.written += len(p); return len(p), nil }
func (c *discardConn) Close() error                { return nil }

// Guards against a process that is paused and on resuming writes sub-requests
// whose deadline passed meanwhile, for each point at which the pause can begin.
func TestFrozenProcessWritesNothingLate(t *testing.T) {
	c := qt.New(t)
	const slack = int64(10)
	var now int64
	var ended error
	guard := &writeGuard{now: func() int64 { return now }, slack: slack, onLate: func(err error) { ended = err }}
	raw := &discardConn{}
	conn := newGuardedConn(raw, guard)
	pipeReader, pipeWriter := io.Pipe()
	defer pipeReader.Close()
	body := &guardedBody{ReadCloser: pipeReader, guard: guard}
	message := func(deadline int64) {
		guard.messageDeadline.Store(deadline)
		prefix := binary.BigEndian.AppendUint32([]byte{0}, 4)
		go func() {
			for _, part := range [][]byte{prefix, []byte("da"), []byte("ta")} {
				if _, err := pipeWriter.Write(part); err != nil {
					return
				}
			}
		}()
	}
	buf := make([]byte, 64)

	message(100)
	n, err := body.Read(buf)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, grpcPrefixBytes+4) // joined into one frame
	now = 100 + slack
	_, err = conn.Write(buf[:n])
	c.Assert(err, qt.IsNil)

	now++ // one past the slack, as if paused between reading the body and writing to the socket
	_, err = conn.Write(buf[:n])
	var stale *StaleWriteError
	c.Assert(errors.As(err, &stale), qt.IsTrue)
	c.Assert(errors.As(ended, &stale), qt.IsTrue)
	c.Assert(raw.written, qt.Equals, n)

	message(50) // its deadline has passed, as if paused before reading the body
	_, err = body.Read(buf)
	c.Assert(errors.As(err, &stale), qt.IsTrue)

	_, err = conn.Write([]byte("ping")) // without a message there is no deadline
	c.Assert(err, qt.IsNil)
}

type countSink map[int][]Status

func (s countSink) Deliver(tag int, r Reply) { s[tag] = append(s[tag], r.Status) }

func newTestStream(t *testing.T, cfg PoolConfig) *stream {
	p := NewPool(cfg)
	t.Cleanup(p.Close)
	return newStream(p, streamKey{"s1", "a"})
}

// Guards against writing a sub-request whose deadline passed in the queue during
// a pause of the process, before the next sweep.
func TestFillBatchChecksDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestStream(t, PoolConfig{})
		for tag := range 2 * MaxBatch {
			deadline := time.Now().Add(time.Duration(tag%2+1) * time.Second)
			_, result := s.enqueue(&call{req: &Request{}, tag: tag, deadline: int64(deadline.Sub(s.pool.epoch))})
			c.Assert(result, qt.Equals, enqueueAccepted)
		}
		var b batch
		s.fillBatch(&b, int64(1500*time.Millisecond))
		c.Assert(len(b.message.Requests), qt.Equals, MaxBatch)
		c.Assert(len(b.expired), qt.Equals, MaxBatch)
		for _, r := range b.message.Requests {
			c.Assert(r.TimeoutUs, qt.Equals, int64(500_000))
		}
		for _, e := range b.expired {
			c.Assert(e.reply.Status, qt.Equals, Expired)
		}
		c.Assert(b.deadline, qt.Equals, int64(2*time.Second))
		s.fillBatch(&b, 0)
		c.Assert(b.empty(), qt.IsTrue)
		c.Assert(b.deadline, qt.Equals, int64(math.MaxInt64))
	})
}

// Guards against backoff that shrinks, overflows or has no jitter.
func TestBackoffGrowsToItsMaximum(t *testing.T) {
	c := qt.New(t)
	random := 0.0
	b := backoff{base: 50 * time.Millisecond, max: 5 * time.Second, random: func() float64 { return random }}
	previous := time.Duration(0)
	for range 100 {
		wait := b.next()
		c.Assert(wait >= previous && wait <= 5*time.Second, qt.IsTrue)
		previous = wait
	}
	c.Assert(previous, qt.Equals, 2500*time.Millisecond)
	random = 0.999
	c.Assert(b.next() > 4*time.Second, qt.IsTrue)
	b.reset()
	c.Assert(b.next() < 50*time.Millisecond, qt.IsTrue)
}

// Malformed messages must not crash the reader, end a call twice or end a call that
// was never written.
func FuzzExchangeResponse(f *testing.F) {
	for _, m := range []*briarstandv1.ExchangeResponse{
		{},
		{Draining: true, Load: math.NaN()},
		{Load: -1, Responses: []*briarstandv1.SubResponse{
			{Id: 1, Status: briarstandv1.SubStatus_SUB_STATUS_OK, IndexVersion: "v", Hits: []*briarstandv1.Hit{{Id: "a"}}},
			{Id: 1, Status: briarstandv1.SubStatus_SUB_STATUS_SHED},
			{Id: 2, Status: 99}, {Id: 3, Status: briarstandv1.SubStatus_SUB_STATUS_OK, Shard: -1},
		}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m briarstandv1.ExchangeResponse
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		s := newTestStream(t, PoolConfig{MaxInFlight: 4})
		sink := countSink{}
		for tag := range 6 {
			s.enqueue(&call{req: &Request{IndexVersion: "v"}, tag: tag, sink: sink, deadline: math.MaxInt64 / 2})
		}
		var b batch
		s.fillBatch(&b, 1)
		s.pool.deliverAll(s.receive(&m, nil))
		if load, _, ok := s.pool.Load("s1"); ok && !(load >= 0 && load <= 1) {
			t.Fatalf("load %v", load)
		}
		s.retire(ErrClosed)
		for tag := range 6 {
			if len(sink[tag]) != 1 {
				t.Fatalf("tag %d: deliveries %v", tag, sink[tag])
			}
			if st := sink[tag][0]; tag >= 4 && st != Unsent && st != Draining {
				t.Fatalf("tag %d was never written and ended as %v", tag, st)
			}
		}
	})
}
