package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/discovery"
	"github.com/briarstand/briarstand/entry"
	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/mirror"
	"github.com/briarstand/briarstand/platform"
	"github.com/briarstand/briarstand/route"
	"github.com/briarstand/briarstand/standin"
	"github.com/briarstand/briarstand/telemetry"
	"github.com/briarstand/briarstand/upstream"
)

// panickingPlatform panics on input that contains "explode", wherever the
// daemon decodes it.
type panickingPlatform struct{ *platform.Adapter }

func panicOnMarker(text string) {
	if strings.Contains(text, "explode") {
		panic("cannot handle " + text)
	}
}

func (f panickingPlatform) DecodeServer(r mirror.Record) (discovery.Server, error) {
	panicOnMarker(r.Key)
	return f.Adapter.DecodeServer(r)
}

func (f panickingPlatform) DecodeVM(r mirror.Record) (membership.Member, error) {
	panicOnMarker(r.Key)
	return f.Adapter.DecodeVM(r)
}

func (f panickingPlatform) DecodeTable(r mirror.Record) (*route.Table, error) {
	panicOnMarker(string(r.Value))
	return f.Adapter.DecodeTable(r)
}

func (f panickingPlatform) EncodeHead(r *http.Request, bodyLength int) []byte {
	panicOnMarker(r.URL.Path)
	return f.Adapter.EncodeHead(r, bodyLength)
}

func (f panickingPlatform) Classify(reply *upstream.Reply, req *upstream.Request) {
	panicOnMarker(req.ID)
	f.Adapter.Classify(reply, req)
}

func (f panickingPlatform) DecodeResolveRequest(r *http.Request) entry.ResolveRequest {
	panicOnMarker(r.URL.RawQuery)
	return f.Adapter.DecodeResolveRequest(r)
}

func (f panickingPlatform) Kind(key string) entry.RecordKind {
	if strings.HasPrefix(key, "loop/") {
		panicOnMarker(key)
	}
	return f.Adapter.Kind(key)
}

// Checks that a panic over one message or record does not end the process: it
// ends only the request, attempt or record in which it happened, and is counted
// and logged with its stack.
func TestPanicsAreContained(t *testing.T) {
	f := newFixture(t)
	f.backend("b1", "quotes", "ok")
	f.backend("explode", "quotes", "never used")
	f.store.Put("briarstand/vms/explode", []byte("{}"))
	f.store.Configure(1, single("quote", "quotes", "idempotent"), single("book", "quotes", "non_idempotent"), scattered("find", 1, "quotes"))
	var s platform.Settings
	s.Store.Address = f.store.Address()
	set := entry.Settings{
		VMID: "vm1", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", ResolveAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		DrainBound: 400 * time.Millisecond, MinLease: time.Second,
		Bounds: entry.Bounds{StopGrace: 600 * time.Millisecond, MaxAddressTTL: time.Second, BudgetPermille: 200, BudgetSlack: 100, BudgetWindow: time.Second},
	}
	d := entry.New(set, panickingPlatform{platform.New(&s)}, telemetry.NewLogger(f.logs, log.InfoLevel))
	f.Assert(d.Listen(), qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	v := &vm{daemon: d, settings: d.Settings()}
	f.eventually(5*time.Second, "ready", func() bool { return f.status(v, v.settings.ReadyAddress, "/readiness") == http.StatusOK })

	panics := func() int { return strings.Count(f.logs.String(), `"msg":"panic"`) }
	expectContained := func(what string, cause func()) {
		before := panics()
		cause()
		f.eventually(3*time.Second, what, func() bool { return panics() > before })
		f.Check(f.ask(v, "GET", "/quote/x", "after "+what, "", time.Second).status, qt.Equals, http.StatusOK, qt.Commentf(what))
	}
	f.Check(panics() >= 2, qt.IsTrue, qt.Commentf("records of a server and a VM"))
	expectContained("request", func() { f.Check(f.tryAsk(v, "/quote/explode", "r"), qt.Equals, 0) })
	expectContained("reply", func() {
		f.Check(f.ask(v, "GET", "/quote/x", "explode", "", time.Second).status, qt.Equals, http.StatusBadGateway)
	})
	expectContained("reply to a booking", func() {
		// It may have run, and the answer must not say otherwise.
		f.Check(f.ask(v, "POST", "/book/x", "explode-2", "seat", time.Second).status, qt.Equals, http.StatusBadGateway)
	})
	expectContained("part", func() {
		f.Check(f.ask(v, "GET", "/find/x", "explode-3", "", time.Second).status, qt.Equals, http.StatusBadGateway)
	})
	expectContained("resolve", func() { f.status(v, v.settings.ResolveAddress, "/resolve?name=explode") })
	expectContained("configuration", func() { f.store.Put("op/config", []byte(`{"version":2,"explode":1}`)) })
	expectContained("loop", func() { f.store.Put("loop/explode", nil) })
	f.store.Delete("loop/explode")
	f.store.Configure(3, single("quote", "quotes", "idempotent"), single("later", "quotes", "idempotent"))
	f.eventually(5*time.Second, "records are followed again", func() bool {
		return f.ask(v, "GET", "/later/x", fmt.Sprint("later-", time.Now()), "", time.Second).status == http.StatusOK
	})
	f.Check(d.HeldBytes(), qt.Equals, int64(0))
	f.Check(strings.Contains(f.logs.String(), "panic_test.go"), qt.IsTrue, qt.Commentf("the stack is logged"))
	stop()
	f.Assert(<-done, qt.IsNil)
}

// Guards against VMs that serve nothing any more, though they are ready, because the
// memory of replies with a status that cannot be passed on is not given back.
func TestSpoiledStatusHoldsNoMemory(t *testing.T) {
	f := newFixture(t)
	f.memory = 16 << 20 // of which replies may hold 2.4 MB
	b := f.backend("q1", "quotes", strings.Repeat("x", 500<<10))
	f.store.Configure(1, single("quote", "quotes", "non_idempotent"))
	v := f.start("vm1", true)
	for i, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 OK", "HTTP/1.1 999 OK", "HTTP/1.1 000 OK", "HTTP/1.1 000 OK"} {
		b.SetBehavior(standin.Behavior{StatusLine: line})
		f.ask(v, "POST", "/quote/x", fmt.Sprint("spoiled-", i), "x", time.Second)
	}
	b.SetBehavior(standin.Behavior{})
	f.Check(v.daemon.HeldBytes(), qt.Equals, int64(0))
	f.Check(f.ask(v, "POST", "/quote/x", "sound", "x", time.Second).status, qt.Equals, http.StatusOK)
	f.Check(f.logs.String(), qt.Not(qt.Contains), `"panic"`)
}

// Guards against VMs that are ready although they can read no reply for lack of memory.
func TestStarvedVMIsNotReady(t *testing.T) {
	f := newFixture(t)
	f.memory = 1 << 20 // of which replies may hold 154 KB
	b := f.backend("q1", "quotes", strings.Repeat("x", 500<<10))
	f.store.Configure(1, single("quote", "quotes", "idempotent"))
	v := f.start("vm1", true)
	f.eventually(10*time.Second, "not ready", func() bool {
		f.ask(v, "GET", "/quote/x", "large", "", time.Second)
		return f.status(v, v.settings.ReadyAddress, "/readiness") == http.StatusServiceUnavailable
	})
	ready := func() bool { return f.status(v, v.settings.ReadyAddress, "/readiness") == http.StatusOK }
	f.eventually(10*time.Second, "ready without a request, since callers are sent only to ready VMs", ready)
	f.eventually(10*time.Second, "not ready again", func() bool {
		f.ask(v, "GET", "/quote/x", "large again", "", time.Second)
		return !ready()
	})
	b.Body = []byte("small")
	f.ask(v, "GET", "/quote/x", "small", "", time.Second)
	f.Check(ready(), qt.IsTrue)
}

// Guards against an odd record of another writer among those of the servers, on which VMs
// end or stop following the store, or whose server they try.
func TestOddServerRecord(t *testing.T) {
	record := func(service, address, slots, sequence, more string) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"attica-a","version":"v1","slots":%s,"state":"ready","warmup_left_ms":0,"sequence":%s%s}`,
			service, address, slots, sequence, more)
	}
	const address, sound = "127.0.0.1:9", "2"
	odd := map[string]string{ // of at most 1 MiB, which the store accepts
		"deeply nested":      record("quotes", address, sound, "1", `,"x":`+strings.Repeat("[", 200_000)+strings.Repeat("]", 200_000)),
		"nested in a field":  strings.Repeat(`{"service":`, 90_000),
		"sequence too large": record("quotes", address, sound, "1"+strings.Repeat("0", 400), ""),
		"born too large":     record("quotes", address, sound, "1", `,"born":1e30`),
		"slots too large":    record("quotes", address, "1e300", "1", ""),
		"slots below 0":      record("quotes", address, "-1", "1", ""),
		"port out of range":  record("quotes", "127.0.0.1:99999", sound, "1", ""),
		"port 0":             record("quotes", "127.0.0.1:0", sound, "1", ""),
		"no port":            record("quotes", "127.0.0.1", sound, "1", ""),
		"a host name":        record("quotes", "localhost:80", sound, "1", ""),
		"control characters": record("quotes", "127.0.0.1:9\r\nX: y", sound, "1", ""),
		"not UTF-8":          "\xff\xfe\x00",
		"empty":              "",
	}
	f := newFixture(t)
	f.backend("q1", "quotes", "bytes")
	f.store.Configure(1, single("quote", "quotes", "idempotent"))
	v, follower := f.start("vm1", true), f.start("vm2", true)
	for name, value := range odd {
		f.store.Put("servers/"+strings.ReplaceAll(name, " ", "-"), []byte(value))
	}
	late := f.backend("q2", "quotes", "bytes")
	for _, vm := range []*vm{v, follower, f.start("vm3", true)} {
		f.eventually(5*time.Second, "follows the store", func() bool { return len(vm.daemon.Report().Services["quotes"].Ready) > 1 })
		f.Check(vm.daemon.Report().Services["quotes"].Ready, qt.DeepEquals, []string{"q1", late.ID})
	}
	for i := range 20 {
		f.Check(f.ask(v, "GET", "/quote/x", fmt.Sprint("id-", i), "", time.Second).status, qt.Equals, http.StatusOK)
	}
	f.Check(f.logs.String(), qt.Not(qt.Contains), `"panic"`)
}
