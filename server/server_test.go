package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	backendstandin "github.com/briarstand/briarstand/backend/standin"
	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/internal/nettest"
	platformstandin "github.com/briarstand/briarstand/kvstore/standin"
	"github.com/briarstand/briarstand/settings"
)

// Guards against goroutines that outlive a daemon, which would accumulate in a
// program that embeds it.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newTestServer returns a daemon on loopback addresses and the platform
// stand-in that it uses.
func newTestServer(t *testing.T, overrides ...string) (*Server, *platformstandin.Server) {
	t.Helper()
	platform := platformstandin.New(platformstandin.Config{})
	web := httptest.NewServer(platform)
	t.Cleanup(func() { platform.Close(); web.Close() })
	values := map[string]string{
		"vm-id": "attica-1", "zone": "attica-a", "platform-url": web.URL,
		"caller-listen": "127.0.0.1:0", "operator-listen": "127.0.0.1:0", "peer-listen": "127.0.0.1:0", "admin-listen": "127.0.0.1:0",
		"probe-interval": "20ms", "address-ttl": "1s", "drain-serve": "1001ms", "drain-timeout": "5s",
	}
	for i := 0; i < len(overrides); i += 2 {
		values[overrides[i]] = overrides[i+1]
	}
	set, err := settings.Parse(values)
	qt.Assert(t, err, qt.IsNil)
	srv, err := New(Config{Settings: set})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(srv.Close)
	return srv, platform
}

// runServer runs a daemon and returns a function that stops it and a channel
// that receives its result.
func runServer(t *testing.T, srv *Server) (stop func(), result <-chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Run(ctx) }()
	t.Cleanup(cancel)
	return cancel, done
}

func get(c *qt.C, url string) (int, string) {
	resp, err := http.Get(url)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp.StatusCode, string(body)
}

func waitFor(c *qt.C, what string, ok func() bool) {
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.Fatalf("not within 10 s: %s", what)
		}
	}
}

// Checks the steps of the drain: readiness ends at once, queries are accepted for
// longer than the address TTL, and the VM is removed from the platform's VM list.
func TestLifeCycle(t *testing.T) {
	c := qt.New(t)
	srv, platform := newTestServer(t)
	stop, result := runServer(t, srv)
	waitFor(c, "ready", func() bool { return srv.Ready() == nil })
	code, body := get(c, "http://"+srv.Addresses().Admin+"/readyz")
	c.Assert([]any{code, body}, qt.DeepEquals, []any{200, "ready\n"})
	stop()
	stoppedAt := time.Now()
	waitFor(c, "leaving", func() bool { return srv.Phase() == PhaseLeaving })
	code, body = get(c, "http://"+srv.Addresses().Admin+"/readyz")
	c.Assert([]any{code, body}, qt.DeepEquals, []any{503, "the VM is leaving\n"})
	waitFor(c, "refusing", func() bool { return srv.Phase() == PhaseRefusing })
	c.Assert(time.Since(stoppedAt) > srv.cfg.Settings.AddressTTL, qt.IsTrue)
	c.Assert(<-result, qt.IsNil)
	c.Assert(srv.Phase(), qt.Equals, PhaseStopped)
	w := httptest.NewRecorder()
	platform.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/catalog/service/briarstand", nil))
	c.Assert(strings.TrimSpace(w.Body.String()), qt.Equals, "[]")
}

// Checks that a daemon started in a store outage keeps running, is not ready until
// the outage ends, and then registers with the platform's VM list.
func TestStartInStoreOutage(t *testing.T) {
	c := qt.New(t)
	srv, platform := newTestServer(t, "platform-timeout", "100ms")
	platform.SetDown(true)
	_, result := runServer(t, srv)
	waitFor(c, "an attempt to read the store", func() bool { return platform.Calls()[platformstandin.KindList] > 0 })
	c.Assert(srv.Ready(), qt.ErrorMatches, "the VM is starting")
	platform.SetDown(false)
	waitFor(c, "ready", func() bool { return srv.Ready() == nil })
	waitFor(c, "registered", func() bool {
		w := httptest.NewRecorder()
		platform.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/catalog/service/briarstand", nil))
		return strings.Contains(w.Body.String(), "attica-1")
	})
	select {
	case err := <-result:
		c.Fatalf("the daemon ended: %v", err)
	default:
	}
}

// Checks that a daemon that has not read a configuration yet can be stopped, and
// that it then stops without waiting for callers, as it never had any.
func TestStopWhileStarting(t *testing.T) {
	c := qt.New(t)
	srv, platform := newTestServer(t, "platform-timeout", "50ms")
	platform.SetDown(true)
	stop, result := runServer(t, srv)
	waitFor(c, "an attempt to read the store", func() bool { return platform.Calls()[platformstandin.KindList] > 0 })
	stop()
	select {
	case err := <-result:
		c.Assert(err, qt.IsNil)
	case <-time.After(srv.cfg.Settings.DrainServe):
		c.Fatal("still running")
	}
}

// startBackend starts a backend server with one slot and returns its address.
func startBackend(t *testing.T, serviceTime time.Duration) (b *backendstandin.Server, address string) {
	t.Helper()
	b = backendstandin.New(1, backendstandin.Settings{Slots: 1, ServiceBase: backendstandin.Duration(serviceTime)})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = b.Serve(l) }()
	t.Cleanup(b.Close)
	return b, l.Addr().String()
}

// applyService gives a daemon the service "s" with one backend server, whose queries
// may take a minute.
func applyService(srv *Server, address string) {
	policy := config.DefaultPolicy()
	policy.DeadlineMS, policy.HedgePermille = 60_000, 0
	srv.registry.Apply(&config.Service{
		Name: "s", Revision: 1, Policy: policy,
		Backends: []config.Backend{{ID: "b", Address: address, Zone: "z", Slots: 1, MaxConnections: 2}},
		Versions: []config.IndexVersion{{Name: "v1", Sequence: 1, Shards: [][]string{{"b"}}}},
	})
}

// Checks that a drain ends at its time limit, and that it reports an error if it
// aborted a query.
func TestDrainTimeout(t *testing.T) {
	c := qt.New(t)
	backendServer, address := startBackend(t, time.Minute)
	srv, _ := newTestServer(t, "drain-timeout", "2500ms")
	stop, result := runServer(t, srv)
	waitFor(c, "ready", func() bool { return srv.Ready() == nil })
	applyService(srv, address)
	queryErr := make(chan error, 1)
	go func() {
		resp, err := http.Post("http://"+srv.Addresses().Caller+"/briarstand.v1.CallerService/Query", "application/json", strings.NewReader(`{"service":"s"}`))
		if err == nil {
			_ = resp.Body.Close()
		}
		queryErr <- err
	}()
	waitFor(c, "the sub-request runs", func() bool { return backendServer.Summary().Started == 1 })
	stop()
	var drain *DrainError
	c.Assert(errors.As(<-result, &drain), qt.IsTrue)
	c.Assert(drain.InFlight, qt.Equals, 1)
	<-queryErr
}

// Guards against queries that are cut off because their callers were not told that the
// VM leaves: on the connection of an answer that came last, and on another one that is
// open. The callers' next queries cross the close of both.
func TestQueryAfterLastAnswerOfLeavingVM(t *testing.T) {
	c := qt.New(t)
	srv, _ := newTestServer(t, "drain-timeout", "10s")
	// The answer comes after the VM has stopped to accept connections and to linger.
	serviceTime := srv.cfg.Settings.DrainServe + refusalPeriod + lingerPeriod + 500*time.Millisecond
	backendServer, address := startBackend(t, serviceTime)
	stop, result := runServer(t, srv)
	waitFor(c, "ready", func() bool { return srv.Ready() == nil })
	applyService(srv, address)
	transports := []*http.Transport{{MaxConnsPerHost: 1}, {MaxConnsPerHost: 1}}
	ask := func(connection int, method, body string) (*http.Response, error) {
		client := &http.Client{Transport: transports[connection]}
		resp, err := client.Post("http://"+srv.Addresses().Caller+"/briarstand.v1.CallerService/"+method, "application/json", strings.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // so that the connection is used again
			resp.Body.Close()
		}
		return resp, err
	}
	_, err := ask(1, "Resolve", `{"service":"s"}`)
	c.Assert(err, qt.IsNil)
	last := make(chan *http.Response, 1)
	go func() {
		resp, _ := ask(0, "Query", `{"service":"s"}`)
		last <- resp
	}()
	waitFor(c, "the sub-request runs", func() bool { return backendServer.Summary().Started == 1 })
	stop()
	resp := <-last
	c.Assert(resp, qt.IsNotNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Check(resp.Close, qt.IsTrue)
	time.Sleep(lingerPeriod / 5)
	resp, err = ask(1, "Query", `{"service":"s"}`)
	c.Assert(err, qt.IsNil)
	c.Check(resp.Close, qt.IsTrue)
	c.Assert(<-result, qt.IsNil)
}

// Guards against work for callers that left before a slow VM read their queries.
func TestCallerLeftBeforeItsQueryWasRead(t *testing.T) {
	c := qt.New(t)
	backendServer, address := startBackend(t, 10*time.Millisecond)
	srv, _ := newTestServer(t)
	gate := nettest.NewGatedListener(srv.caller.net)
	srv.caller.net = gate
	stop, result := runServer(t, srv)
	waitFor(c, "ready", func() bool { return srv.Ready() == nil })
	applyService(srv, address)
	const path, body = "/briarstand.v1.CallerService/Query", `{"service":"s"}`
	for range 20 {
		conn, err := net.Dial("tcp", srv.Addresses().Caller)
		c.Assert(err, qt.IsNil)
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
		conn.Close()
	}
	time.Sleep(100 * time.Millisecond)
	close(gate.Open)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Post("http://"+srv.Addresses().Caller+path, "application/json", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Check(backendServer.Summary().Started, qt.Equals, int64(1))
	stop()
	c.Assert(<-result, qt.IsNil)
}

// Checks that New already fails if an address is in use, before the VM joins the
// membership, and that the error names the API.
func TestTakenAddress(t *testing.T) {
	c := qt.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer taken.Close()
	set, err := settings.Parse(map[string]string{
		"vm-id": "a", "zone": "z", "caller-listen": "127.0.0.1:0", "operator-listen": taken.Addr().String(),
		"peer-listen": "127.0.0.1:0", "admin-listen": "127.0.0.1:0",
	})
	c.Assert(err, qt.IsNil)
	_, err = New(Config{Settings: set})
	var e *ListenError
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(e.API, qt.Equals, "operator")
}

// Guards against a metric that is missing from docs/metrics.md, and against a
// documented one that does not exist.
func TestMetricsAreDocumented(t *testing.T) {
	c := qt.New(t)
	srv, _ := newTestServer(t)
	_, _ = runServer(t, srv)
	waitFor(c, "ready", func() bool { return srv.Ready() == nil })
	srv.registry.Apply(&config.Service{Name: "s", Revision: 1, Policy: config.DefaultPolicy()})
	for _, url := range []string{srv.Addresses().Caller + "/briarstand.v1.CallerService/Query", srv.Addresses().Peer + "/peer/v1/probe"} {
		resp, err := http.Post("http://"+url, "application/json", strings.NewReader(`{"service":"s"}`))
		c.Assert(err, qt.IsNil)
		resp.Body.Close()
	}
	_, text := get(c, "http://"+srv.Addresses().Admin+"/metrics")
	docs, err := os.ReadFile("../docs/metrics.md")
	c.Assert(err, qt.IsNil)
	c.Assert(metricNames(`(?m)^(briarstand_[a-z_]+)`, text), qt.DeepEquals, metricNames("`(briarstand_[a-z_]+)", string(docs)))
}

func metricNames(pattern, text string) map[string]bool {
	found := map[string]bool{}
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		name := m[1]
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		found[name] = true
	}
	return found
}

// Checks that a request above the limit is refused at once, does not run, and gets a
// refusal that is valid in its protocol.
func TestConcurrencyLimit(t *testing.T) {
	c := qt.New(t)
	srv, _ := newTestServer(t, "max-concurrent-requests", "1")
	cfg := srv.cfg.apiConfig("test", "", 100)
	entered, release := make(chan struct{}), make(chan struct{})
	h := concurrencyLimit(cfg)(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { entered <- struct{}{}; <-release }))
	go h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	<-entered
	for contentType, want := range map[string]string{
		"application/json": `503 {"code":"unavailable","message":"` + errBusy.Error() + `"}`,
		"application/grpc": "200 ", // gRPC puts its status into the trailers
		"text/plain":       "503 " + errBusy.Error(),
	} {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("{}"))
		r.Header.Set("Content-Type", contentType)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		c.Check(fmt.Sprintf("%d %s", w.Code, strings.TrimSpace(w.Body.String())), qt.Equals, want, qt.Commentf(contentType))
	}
	close(release)
}
