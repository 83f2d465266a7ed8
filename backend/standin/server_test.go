package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// directClient passes sub-requests to a server without a network, and collects
// the replies.
type directClient struct {
	server *Server
	stream *stream
}

func newDirectClient(settings Settings) *directClient {
	s := &directClient{server: New(1, settings), stream: &stream{wake: make(chan struct{}, 1), jobs: map[uint64]*job{}}}
	s.server.streams[s.stream] = struct{}{}
	return s
}

func (s *directClient) send(timeout time.Duration, ids ...uint64) {
	m := &briarstandv1.ExchangeRequest{}
	for _, id := range ids {
		m.Requests = append(m.Requests, &briarstandv1.SubRequest{
			Id: id, Service: "svc", IndexVersion: "v1", TimeoutUs: timeout.Microseconds(),
			NonIdempotent: true, RequestId: "r", Shard: int32(id),
		})
	}
	s.server.receive(s.stream, m)
}

// replies returns the ids and statuses of the replies since the last call.
func (s *directClient) replies() string {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	var parts []string
	for _, r := range s.stream.unsent {
		m := r.message(map[shardKey]*documents{})
		parts = append(parts, fmt.Sprintf("%d:%s", m.Id, strings.TrimPrefix(m.Status.String(), "SUB_STATUS_")))
	}
	s.stream.unsent = nil
	return strings.Join(parts, " ")
}

// Guards against a stand-in server that exceeds its slots, queues without bound
// or runs expired sub-requests, which would hide faults of the code that is
// tested with it.
func TestSlotsQueueAndDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newDirectClient(Settings{Slots: 1, QueueLimit: 2, ServiceBase: Duration(10 * time.Millisecond), NetworkLatency: Duration(time.Millisecond)})
		defer s.server.Close()
		s.send(time.Second, 1)
		s.send(5*time.Millisecond, 2)
		s.send(time.Second, 3, 4)
		time.Sleep(3 * time.Millisecond)
		c.Assert(s.replies(), qt.Equals, "4:SHED")
		time.Sleep(time.Second)
		c.Assert(s.replies(), qt.Equals, "1:OK 2:EXPIRED 3:OK")
		r := s.server.Record()
		c.Assert(r.Received, qt.Equals, int64(4))
		c.Assert(r.Started, qt.Equals, int64(2))
		c.Assert(r.Busy, qt.Equals, Duration(20*time.Millisecond))
		c.Assert(r.NonIdempotent, qt.DeepEquals, map[string]int{"r/1": 1, "r/3": 1})
		c.Assert(r.Runs[1].Started.Sub(r.Runs[0].Started), qt.Equals, 10*time.Millisecond)
	})
}

// Guards against a stand-in server that cancels or drains differently from a
// backend server.
func TestCancellationDrainAndHoldings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		settings := Settings{Slots: 1, QueueLimit: 9, ServiceBase: Duration(10 * time.Millisecond)}
		settings.Holdings = []Holding{{Version: "v1", Shards: []int{1, 2, 3, 4}}}
		s := newDirectClient(settings)
		defer s.server.Close()
		s.send(time.Second, 1, 2, 3, 9)
		c.Assert(s.replies(), qt.Equals, "9:VERSION_MISSING")
		cancel := func(ids ...uint64) { s.server.receive(s.stream, &briarstandv1.ExchangeRequest{CancelIds: ids}) }
		cancel(1, 3)
		c.Assert(s.replies(), qt.Equals, "1:FAILED 3:CANCELLED")
		s.server.SetFaults(Faults{IgnoreCancellation: true, StragglerFactor: 3})
		cancel(2)
		s.server.Drain()
		s.send(time.Second, 4)
		time.Sleep(time.Second)
		c.Assert(s.replies(), qt.Equals, "4:DRAINING 2:OK")
		c.Assert(s.server.Summary().Cancelled, qt.Equals, int64(1))
	})
}

// Guards against a cold period that has no effect or does not end.
func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newDirectClient(Settings{Slots: 1, ServiceBase: Duration(10 * time.Millisecond), ColdFor: Duration(time.Second), ColdFactor: 5})
		defer s.server.Close()
		times := []time.Duration{50, 30, 10}
		for i, want := range times {
			c.Assert(s.server.serviceTime(int64(time.Duration(i)*500*time.Millisecond)), qt.Equals, want*time.Millisecond)
		}
	})
}

// Guards against expected hits that differ from the merged hits of the shards.
func TestExpectedMergesDocuments(t *testing.T) {
	c := qt.New(t)
	hits := Expected("svc", "v1", []int{0, 1, 2}, []byte("q"), 5)
	c.Assert(len(hits), qt.Equals, 5)
	for i, h := range hits {
		c.Assert(i == 0 || h.Score <= hits[i-1].Score, qt.IsTrue)
		own := Documents("svc", "v1", int(h.Shard), []byte("q"), DocumentsPerShard)
		rank := 0
		for own[rank].Id != h.Id {
			rank++
		}
		c.Assert(own[rank].Score, qt.Equals, h.Score)
	}
	other := Expected("svc", "v1", []int{0, 1, 2}, []byte("other"), 5)
	c.Assert(other[0].Score, qt.Not(qt.Equals), hits[0].Score)
}

// A control request must leave the fields that it does not name unchanged, and be
// refused if it names a field that does not exist.
func TestControl(t *testing.T) {
	c := qt.New(t)
	s := New(1, DefaultSettings())
	defer s.Close()
	h := s.Handler()
	post := func(path, body string) (int, string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		return w.Code, w.Body.String()
	}
	code, _ := post("/standin/faults", `{"straggler_factor":10}`)
	c.Assert(code, qt.Equals, http.StatusOK)
	code, _ = post("/standin/faults", `{"reply_delay":"5ms","report_load":0}`)
	c.Assert(code, qt.Equals, http.StatusOK)
	c.Assert(s.Faults().StragglerFactor, qt.Equals, 10.0)
	c.Assert(s.Faults().ReplyDelay, qt.Equals, Duration(5*time.Millisecond))
	c.Assert(*s.Faults().ReportLoad, qt.Equals, 0.0)
	for _, bad := range []string{`{"stragler":1}`, `{"reply_delay":5}`, `{`} {
		code, _ = post("/standin/faults", bad)
		c.Assert(code, qt.Equals, http.StatusBadRequest)
	}
	code, body := post("/standin/drain", "")
	c.Assert(code, qt.Equals, http.StatusOK)
	var r Record
	c.Assert(json.Unmarshal([]byte(body), &r), qt.IsNil)
	c.Assert(r.Draining, qt.IsTrue)
	status, err := s.Status(context.Background(), connect.NewRequest(&briarstandv1.StatusRequest{}))
	c.Assert(err, qt.IsNil)
	c.Assert(status.Msg.GetDraining(), qt.IsTrue)
}

// Guards against a connection that loses bytes and then resumes, which TCP never
// does and which would break the framing of HTTP/2.
func TestSilencedConnectionStaysSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New(1, DefaultSettings())
		defer s.Close()
		client, server := net.Pipe()
		wrapped := &conn{Conn: server, server: s}
		s.track(wrapped)
		received := 0
		go func() {
			buf := make([]byte, 64)
			for {
				n, err := wrapped.Read(buf)
				if err != nil {
					return
				}
				received += n
			}
		}()
		for _, step := range []struct {
			silent bool
			want   int
		}{{false, 3}, {true, 3}, {false, 3}} {
			s.SetFaults(Faults{Silent: step.silent})
			_, err := client.Write([]byte("abc"))
			c.Assert(err, qt.IsNil)
			synctest.Wait()
			c.Assert(received, qt.Equals, step.want)
		}
		wrapped.Close()
	})
}
