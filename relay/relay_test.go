package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/internal/disconnect"
	"github.com/briarstand/briarstand/internal/heaptest"
	"github.com/briarstand/briarstand/internal/nettest"
	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/topk"
	"github.com/briarstand/briarstand/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeTransport answers according to the id of the backend server: "late",
// "free", "queued", "refuse", "lost" and "hang" have their own behavior, others
// are served at once.
type fakeTransport struct {
	mu        sync.Mutex
	sent      []string
	abandoned int
}

type fakeCall struct {
	once sync.Once
	done chan struct{}
}

func (c *fakeCall) Abandon(time.Duration) { c.once.Do(func() { close(c.done) }) }

func record(id string) []byte { return []byte(strings.Repeat(id[:1], topk.RecordSize)) }

func (f *fakeTransport) Send(b *config.Backend, _ *upstream.Request, _ time.Time, tag int, results chan<- upstream.Result) upstream.Attempt {
	f.mu.Lock()
	f.sent = append(f.sent, b.ID)
	f.mu.Unlock()
	call := &fakeCall{done: make(chan struct{})}
	go func() {
		served := &upstream.Reply{Verdict: upstream.Served, Signature: "sig-" + b.ID, Body: record(b.ID)}
		switch b.ID {
		case "late":
			time.Sleep(100 * time.Millisecond)
		case "free":
			served.Load = upstream.Load{Running: 2, Slots: 2, Known: true}
		case "queued":
			served.Load = upstream.Load{Running: 2, Waiting: 5, Slots: 2, Known: true}
		case "refuse":
			results <- upstream.Result{Tag: tag, Reply: &upstream.Reply{Verdict: upstream.NotRun}}
			return
		case "lost":
			results <- upstream.Result{Tag: tag, Err: &upstream.IncompleteReplyError{Backend: b.ID, Err: io.EOF}}
			return
		case "hang":
			<-call.done
			f.mu.Lock()
			f.abandoned++
			f.mu.Unlock()
			results <- upstream.Result{Tag: tag, Err: &upstream.IncompleteReplyError{Backend: b.ID, Err: io.EOF}}
			return
		}
		results <- upstream.Result{Tag: tag, Reply: served}
	}()
	return call
}

type anyBackend struct{}

func (anyBackend) Usable(id string, _ time.Time) (*config.Backend, bool) {
	return &config.Backend{ID: id}, id != "gone"
}

// newRelayClient starts a server for the handler and returns a client that uses
// it as its only relay.
func newRelayClient(t *testing.T, handler http.Handler) *Client {
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			handler.ServeHTTP(w, r)
		}
	}))
	client := NewClient("self", "home", "near", map[string]string{"home": "near", "z": "far"})
	client.SetMembers(t.Context(), []membership.Member{{ID: "vm", Zone: "z", Region: "far", PeerAddress: web.Listener.Addr().String(), State: membership.Alive}})
	client.warming.Wait()
	t.Cleanup(func() {
		client.Close()
		web.CloseClientConnections()
		web.Close()
	})
	return client
}

func newHandler(f *fakeTransport) *Handler {
	return &Handler{Transport: f, Backends: anyBackend{}, Logger: log.New(io.Discard)}
}

func newGroup(ids ...string) *Group {
	g := &Group{Request: &upstream.Request{ID: "1"}, Limit: 10, Deadline: time.Now().Add(2 * time.Second), FlushAfter: 20 * time.Millisecond}
	for i, id := range ids {
		g.Backends = append(g.Backends, &config.Backend{ID: id, Zone: "z"})
		g.Tags = append(g.Tags, 100+i)
	}
	return g
}

// Guards against work for origins that disconnected before a slow relay read their
// requests.
func TestOriginLeftBeforeItsRequestWasRead(t *testing.T) {
	c := qt.New(t)
	f := &fakeTransport{}
	var running sync.WaitGroup
	handler := newHandler(f)
	running.Add(20)
	web := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer running.Done()
		handler.ServeHTTP(w, r)
	}))
	gate := nettest.NewGatedListener(web.Listener)
	web.Listener, web.Config.ConnContext = gate, disconnect.ConnContext
	web.Start()
	defer web.Close()
	body, err := json.Marshal(request{ID: "1", Method: "GET", Backends: []string{"a", "hang"}, Limit: 10, RemainingMS: 2000, FlushMS: 20})
	c.Assert(err, qt.IsNil)
	for range 20 {
		conn, err := net.Dial("tcp", gate.Addr().String())
		c.Assert(err, qt.IsNil)
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", Path, len(body), body)
		conn.Close()
	}
	time.Sleep(50 * time.Millisecond)
	close(gate.Open)
	running.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Assert(f.sent, qt.HasLen, 0)
}

// Checks that a late part follows in a batch of its own and does not delay the
// parts that have arrived, and that refusals and failures are reported to the
// origin as what they are.
func TestExchange(t *testing.T) {
	c := qt.New(t)
	f := &fakeTransport{}
	client := newRelayClient(t, newHandler(f))
	c.Assert(client.RelayTarget(&config.Backend{Zone: "z"}), qt.Equals, zoneTarget("z"))
	results := make(chan upstream.Result, 10)
	start := time.Now()
	client.Send(zoneTarget("z"), newGroup("a", "late", "b", "refuse", "lost", "gone"), results)
	byTag := map[int]upstream.Result{}
	body := map[byte]int{}
	var took time.Duration
	for len(byTag) < 6 {
		first := <-results
		for _, r := range append(first.Batch, first) {
			byTag[r.Tag] = r
			if r.Reply != nil {
				for _, record := range r.Reply.Body {
					body[record]++
				}
			}
		}
		if len(byTag) == 5 {
			took = time.Since(start)
			c.Assert(byTag[101].Reply, qt.IsNil)
		}
	}
	c.Assert(took > 0 && took < 80*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
	c.Assert(body, qt.DeepEquals, map[byte]int{'a': topk.RecordSize, 'b': topk.RecordSize, 'l': topk.RecordSize})
	c.Assert(byTag[100].Reply.Signature, qt.Equals, "sig-a")
	c.Assert(byTag[103].Reply.Verdict, qt.Equals, upstream.NotRun)
	c.Assert(upstream.NotSent(byTag[104].Err), qt.IsFalse)
	c.Assert(upstream.NotSent(byTag[105].Err), qt.IsTrue)
	c.Assert(f.sent, qt.ContentEquals, []string{"a", "late", "b", "refuse", "lost"})
}

// Checks that the relay reports the load of backend servers with waiting
// requests to the origin, and omits that of servers without.
func TestReportedLoad(t *testing.T) {
	c := qt.New(t)
	client := newRelayClient(t, newHandler(&fakeTransport{}))
	results := make(chan upstream.Result, 2)
	client.Send(zoneTarget("z"), newGroup("free", "queued"), results)
	loads := map[int]upstream.Load{}
	for len(loads) < 2 {
		first := <-results
		for _, r := range append(first.Batch, first) {
			c.Assert(r.Err, qt.IsNil)
			loads[r.Tag] = r.Reply.Load
		}
	}
	c.Assert(loads, qt.DeepEquals, map[int]upstream.Load{
		100: {}, 101: {Running: 2, Waiting: 5, Slots: 2, Known: true},
	})
}

// Guards against attempts that keep running at the relay after the origin has
// disconnected.
func TestAbandoned(t *testing.T) {
	c := qt.New(t)
	f := &fakeTransport{}
	client := newRelayClient(t, newHandler(f))
	results := make(chan upstream.Result, 10)
	attempt := client.Send(zoneTarget("z"), newGroup("hang", "hang"), results)
	time.Sleep(50 * time.Millisecond)
	attempt.Abandon(20 * time.Millisecond)
	for range 2 {
		c.Assert((<-results).Err, qt.IsNotNil)
	}
	end := time.Now().Add(time.Second)
	for time.Now().Before(end) {
		f.mu.Lock()
		n := f.abandoned
		f.mu.Unlock()
		if n == 2 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("attempts still run at the relay")
}

// Checks that every attempt gets a result when a relay fails, that attempts
// which may have run are not reported as not sent, and that the relay is not
// used again at once.
func TestFailingRelay(t *testing.T) {
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		unsent  bool
	}{
		{"refuses", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, true},
		{"breaks off", func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(batch{Parts: []part{{Index: 1, Verdict: upstream.Served, Signature: "s"}}})
		}, false},
		{"no answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			client := newRelayClient(t, test.handler)
			results := make(chan upstream.Result, 10)
			client.Send(zoneTarget("z"), newGroup("a", "b"), results)
			failed := 0
			for range 2 {
				if res := <-results; res.Err != nil {
					failed++
					c.Assert(upstream.NotSent(res.Err), qt.Equals, test.unsent, qt.Commentf("%v", res.Err))
				}
			}
			c.Assert(failed > 0, qt.IsTrue)
			time.Sleep(10 * time.Millisecond)
			c.Assert(client.RelayTarget(&config.Backend{Zone: "z"}), qt.Equals, Target(""))
			client.Send(zoneTarget("z"), newGroup("a"), results)
			c.Assert(errors.Is((<-results).Err, ErrNoRelay), qt.IsTrue)
		})
	}
}

// Checks that a failed part is sent at once and not held back until the flush,
// since the origin can retry elsewhere meanwhile.
func TestFailedPartIsSentAtOnce(t *testing.T) {
	c := qt.New(t)
	client := newRelayClient(t, newHandler(&fakeTransport{}))
	results := make(chan upstream.Result, 10)
	g := newGroup("late", "refuse", "gone")
	g.FlushAfter = 90 * time.Millisecond
	start := time.Now()
	client.Send(zoneTarget("z"), g, results)
	for n := 0; n < 2; n++ {
		res := <-results
		n += len(res.Batch)
		c.Assert(res.Tag == 101 || res.Tag == 102, qt.IsTrue)
	}
	c.Assert(time.Since(start) < 80*time.Millisecond, qt.IsTrue)
	c.Assert((<-results).Tag, qt.Equals, 100)
}

// Guards against using a VM as a relay if it is leaving, if it is dead but
// still in the list of members, or if it is in this VM's availability zone.
func TestRelays(t *testing.T) {
	c := qt.New(t)
	client := NewClient("self", "home", "near", map[string]string{"z": "far", "home": "near"})
	defer client.Close()
	client.SetMembers(t.Context(), []membership.Member{
		{ID: "leaving", Zone: "z", Region: "far", PeerAddress: "a:1", State: membership.Leaving},
		{ID: "here", Zone: "home", Region: "near", PeerAddress: "b:1", State: membership.Alive},
		{ID: "dead", Zone: "z", Region: "far", PeerAddress: "127.0.0.1:1", State: membership.Alive},
	})
	client.warming.Wait()
	c.Assert(client.RelayTarget(&config.Backend{Zone: "z"}), qt.Equals, Target(""))
	c.Assert(client.RelayTarget(&config.Backend{Zone: "home"}), qt.Equals, Target(""))
}

// Guards against replies that cross availability zones one by one. On a fleet with
// two zones in each region, a relay in the other zone of the servers' region gets
// them across a zone boundary, and so does a VM that sends to the other zone of its
// own region directly. A relay outside the servers' zone is used only if that zone
// has none, and not in this VM's region, where it would save nothing.
func TestRelaysByZone(t *testing.T) {
	c := qt.New(t)
	web := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer web.Close()
	client := NewClient("self", "home", "near", map[string]string{"home": "near", "home2": "near", "a1": "a", "a2": "a", "b1": "b", "b2": "b"})
	defer client.Close()
	var members []membership.Member
	for _, m := range []struct{ zone, region string }{{"home", "near"}, {"home2", "near"}, {"a1", "a"}, {"a2", "a"}, {"b2", "b"}} {
		members = append(members, membership.Member{
			ID: m.zone, Zone: m.zone, Region: m.region, PeerAddress: web.Listener.Addr().String(), State: membership.Alive,
		})
	}
	client.SetMembers(t.Context(), members)
	client.warming.Wait()
	for zone, want := range map[string]Target{
		"home": "", "home2": zoneTarget("home2"), "a1": zoneTarget("a1"), "a2": zoneTarget("a2"), "b1": regionTarget("b"), "unknown": "",
	} {
		c.Check(client.RelayTarget(&config.Backend{Zone: zone}), qt.Equals, want, qt.Commentf("zone %s", zone))
	}
	client.markFailed("home2")
	client.markFailed("a1")
	c.Check(client.RelayTarget(&config.Backend{Zone: "home2"}), qt.Equals, Target(""))
	c.Check(client.RelayTarget(&config.Backend{Zone: "a1"}), qt.Equals, regionTarget("a"))
}

// Guards against a first request that has to wait for its connection, since all
// its parts would be hedged meanwhile.
func TestWarm(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	conns := 0
	web := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			newHandler(&fakeTransport{}).ServeHTTP(w, r)
		}
	}))
	web.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			mu.Lock()
			conns++
			mu.Unlock()
		}
	}
	web.Start()
	defer web.Close()
	client := NewClient("self", "home", "near", map[string]string{"home": "near", "z": "far"})
	defer client.Close()
	members := []membership.Member{{ID: "vm", Zone: "z", Region: "far", PeerAddress: web.Listener.Addr().String(), State: membership.Alive}}
	for range 3 {
		client.SetMembers(context.Background(), members)
	}
	client.warming.Wait()
	results := make(chan upstream.Result, 1)
	client.Send(zoneTarget("z"), newGroup("a"), results)
	c.Assert((<-results).Err, qt.IsNil)
	mu.Lock()
	defer mu.Unlock()
	c.Assert(conns, qt.Equals, 1)
}

// Checks that reading the response of a faulty relay ends although its headers,
// lines, parts or trailing bytes are endless.
func TestEndlessAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string]struct{ first, repeated string }{
		"head":  {head, "X-A: b\r\n"},
		"line":  {head + "\r\n" + `{"parts":[{"i":0,"v":1,"s":"`, "x"},
		"parts": {head + "\r\n", `{"parts":[{"i":9,"v":1}],"elapsed_us":1}` + "\n"},
		"rest":  {head + "\r\n" + `{"parts":[{"i":0,"v":1},{"i":1,"v":1}],"elapsed_us":1}`, "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := newRelayClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if !c.Check(err, qt.IsNil) {
					return
				}
				defer conn.Close()
				_, err = io.WriteString(conn, answer.first)
				block := []byte(strings.Repeat(answer.repeated, 64<<10/len(answer.repeated)))
				for err == nil {
					_, err = conn.Write(block)
				}
			}))
			g := newGroup("a", "b")
			results := make(chan upstream.Result, 2)
			start := time.Now()
			grown := heaptest.Peak(func() {
				client.Send(zoneTarget("z"), g, results)
				for n := 0; n < 2; {
					res := <-results
					n += 1 + len(res.Batch)
				}
				client.Close()
			})
			c.Assert(time.Since(start) < time.Second, qt.IsTrue, qt.Commentf("read until the deadline"))
			c.Assert(grown < 8<<20, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", grown))
		})
	}
}

// Guards against an outcome unknown to this version that counts as a reply of the server.
func TestUnknownVerdict(t *testing.T) {
	for _, verdict := range []upstream.Verdict{-1, 0, upstream.Untrusted + 1} {
		pending := newPendingParts(&Group{Tags: []int{7}})
		results := make(chan upstream.Result, 1)
		pending.deliver(&batch{Parts: []part{{Verdict: verdict, Signature: "s"}}, Records: record("a")}, 0, results)
		res := <-results
		var incomplete *upstream.IncompleteReplyError
		qt.Check(t, errors.As(res.Err, &incomplete), qt.IsTrue, qt.Commentf("verdict %d: %+v", verdict, res))
		qt.Check(t, upstream.NotSent(res.Err), qt.IsFalse)
	}
}

// Guards against an odd status of a relay that counts as a proof that it made no attempt.
func TestOnlyRejectionsProveThatNothingWasSent(t *testing.T) {
	vm := &config.Backend{ID: "vm"}
	for status, unsent := range map[int]bool{0: false, 99: false, 204: false, 302: false, 400: true, 404: true, 500: false, 503: true, 999: false} {
		qt.Check(t, upstream.NotSent(rejection(vm, status)), qt.Equals, unsent, qt.Commentf("status %d", status))
	}
}
