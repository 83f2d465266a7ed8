package httpkv_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/kvstore/httpkv"
	"github.com/briarstand/briarstand/kvstore/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// overSockets returns a stand-in behind a real listener, and a client that
// connects to it.
func overSockets(t *testing.T) (*standin.Server, *httpkv.Client, *httptest.Server) {
	t.Helper()
	server := standin.New(standin.Config{})
	listener := httptest.NewServer(server)
	client := newClient(t, httpkv.Config{BaseURL: listener.URL, Timeout: 5 * time.Second})
	t.Cleanup(func() {
		client.Close()
		server.Close()
		listener.Close()
	})
	return server, client, listener
}

func newClient(t testing.TB, cfg httpkv.Config) *httpkv.Client {
	t.Helper()
	client, err := httpkv.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// TestCompareAndSwap guards against a write on a stale index, and against
// values or keys that are altered in transit.
func TestCompareAndSwap(t *testing.T) {
	c := qt.New(t)
	_, client, _ := overSockets(t)
	ctx := context.Background()
	_, err := client.Get(ctx, "a/b c")
	c.Assert(err, qt.ErrorIs, kvstore.ErrNotFound)
	value := []byte("\x00\xff<&>")
	entry, err := client.CompareAndSwap(ctx, "a/b c", 0, value)
	c.Assert(err, qt.IsNil)
	read, err := client.Get(ctx, "a/b c")
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, kvstore.Entry{Key: "a/b c", Value: value, Index: entry.Index})
	_, err = client.CompareAndSwap(ctx, "a/b c", 0, value)
	var conflict *kvstore.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(conflict.Actual, qt.Equals, entry.Index)
	large := []byte(strings.Repeat("x", kvstore.MaxValueBytes))
	_, err = client.CompareAndSwap(ctx, "a/large", 0, large)
	c.Assert(err, qt.IsNil)
	_, err = client.CompareAndSwap(ctx, "a/large", 0, append(large, 'x'))
	c.Assert(err, qt.ErrorAs, new(*kvstore.TooLargeError))
	listing, err := client.List(ctx, "a/")
	c.Assert(err, qt.IsNil)
	c.Assert(listing.Entries, qt.HasLen, 2)
}

// TestLostReply checks that the result of a write whose reply was lost is reported as
// unknown, and that of a write that was rejected or never sent as without effect.
func TestLostReply(t *testing.T) {
	c := qt.New(t)
	server, client, listener := overSockets(t)
	ctx := context.Background()
	server.SetDropReplies(1)
	_, err := client.CompareAndSwap(ctx, "k", 0, []byte("1"))
	c.Assert(err, qt.ErrorAs, new(*kvstore.UnknownResultError))
	c.Assert(server.Writes(), qt.HasLen, 1)
	server.SetReject(1)
	_, err = client.CompareAndSwap(ctx, "k", 2, []byte("2"))
	c.Assert(err, qt.ErrorAs, new(*kvstore.UnavailableError))
	server.SetDown(true)
	_, err = client.CompareAndSwap(ctx, "k", 2, []byte("2"))
	c.Assert(err, qt.ErrorAs, new(*kvstore.UnknownResultError))
	_, err = client.Get(ctx, "k")
	c.Assert(err, qt.ErrorAs, new(*kvstore.UnavailableError))
	server.SetDown(false)
	listener.Close()
	_, err = client.CompareAndSwap(ctx, "k", 2, []byte("2"))
	c.Assert(err, qt.ErrorAs, new(*kvstore.UnavailableError))
	c.Assert(server.Writes(), qt.HasLen, 1)
}

// TestWrongPlatform guards against reading the 404 of a server that is not the
// platform as "no such key", and against replies of unlimited size.
func TestWrongPlatform(t *testing.T) {
	c := qt.New(t)
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "endless") {
			w.Header().Set("X-Consul-Index", "1")
			for range 3 << 10 {
				_, _ = w.Write(make([]byte, 1<<10))
			}
			return
		}
		http.NotFound(w, r)
	}))
	defer listener.Close()
	client := newClient(t, httpkv.Config{BaseURL: listener.URL, MaxListBytes: 1 << 20})
	defer client.Close()
	ctx := context.Background()
	_, err := client.Get(ctx, "k")
	c.Assert(err, qt.ErrorAs, new(*httpkv.ProtocolError))
	_, err = client.List(ctx, "k")
	c.Assert(err, qt.ErrorAs, new(*httpkv.ProtocolError))
	_, err = client.Get(ctx, "endless")
	c.Assert(err, qt.ErrorAs, new(*httpkv.ProtocolError))
	_, err = client.List(ctx, "endless")
	c.Assert(err, qt.ErrorAs, new(*httpkv.ProtocolError))
	_, err = httpkv.New(httpkv.Config{BaseURL: "10.0.0.1:8500"})
	c.Assert(err, qt.ErrorAs, new(*httpkv.BaseURLError))
}

// TestStatus guards against reporting a write as without effect after a server
// error, which may follow a committed write.
func TestStatus(t *testing.T) {
	status := 0
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(status)
	}))
	defer listener.Close()
	client := newClient(t, httpkv.Config{BaseURL: listener.URL})
	defer client.Close()
	for _, test := range []struct {
		status      int
		read, write any
	}{
		{200, new(*httpkv.ProtocolError), new(*kvstore.UnknownResultError)},
		{302, new(*httpkv.ProtocolError), new(*httpkv.ProtocolError)},
		{403, new(*httpkv.ProtocolError), new(*httpkv.ProtocolError)},
		{413, new(*httpkv.ProtocolError), new(*kvstore.TooLargeError)},
		{429, new(*kvstore.UnavailableError), new(*kvstore.UnavailableError)},
		{500, new(*kvstore.UnavailableError), new(*kvstore.UnknownResultError)},
		{503, new(*kvstore.UnavailableError), new(*kvstore.UnknownResultError)},
	} {
		status = test.status
		_, err := client.Get(context.Background(), "k")
		qt.Check(t, err, qt.ErrorAs, test.read, qt.Commentf("read %d", status))
		_, err = client.CompareAndSwap(context.Background(), "k", 0, nil)
		qt.Check(t, err, qt.ErrorAs, test.write, qt.Commentf("write %d", status))
	}
}

// silentListener accepts connections and never answers.
func silentListener(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return "http://" + l.Addr().String()
}

// TestTimeout guards against a call that waits longer than its timeout.
func TestTimeout(t *testing.T) {
	c := qt.New(t)
	client := newClient(t, httpkv.Config{BaseURL: silentListener(t), Timeout: 20 * time.Millisecond})
	defer client.Close()
	_, err := client.Get(context.Background(), "k")
	c.Assert(err, qt.ErrorAs, new(*kvstore.UnavailableError))
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	_, err = client.CompareAndSwap(context.Background(), "k", 0, nil)
	c.Assert(err, qt.ErrorAs, new(*kvstore.UnknownResultError))
}

// TestWatch guards against a watch that misses a change below its prefix,
// wakes for other keys, or does not end in time.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		server := standin.New(standin.Config{})
		defer server.Close()
		client := newClient(t, httpkv.Config{BaseURL: "http://standin", Transport: server.Transport()})
		ctx := context.Background()
		entry, err := client.CompareAndSwap(ctx, "a/1", 0, []byte("1"))
		c.Assert(err, qt.IsNil)
		start := time.Now()
		go func() {
			time.Sleep(time.Second)
			_, _ = client.CompareAndSwap(ctx, "other", 0, nil)
			time.Sleep(time.Second)
			_, _ = client.CompareAndSwap(ctx, "a/2", 0, nil)
		}()
		listing, err := client.Watch(ctx, "a/", entry.Index, time.Minute)
		c.Assert(err, qt.IsNil)
		c.Assert(listing.Entries, qt.HasLen, 2)
		c.Assert(time.Since(start), qt.Equals, 2*time.Second)
		again, err := client.Watch(ctx, "a/", listing.Index, time.Minute)
		c.Assert(err, qt.IsNil)
		c.Assert(again.Index, qt.Equals, listing.Index)
		c.Assert(time.Since(start), qt.Equals, 62*time.Second)
		c.Assert(server.Calls()[standin.KindWatch], qt.Equals, int64(2))
		go func() {
			time.Sleep(time.Second)
			server.SetDown(true)
		}()
		_, err = client.Watch(ctx, "a/", listing.Index, time.Minute)
		c.Assert(err, qt.ErrorAs, new(*kvstore.UnavailableError))
		synctest.Wait()
	})
}

// TestLease guards against a lease, or keys of a lease, that outlive its TTL.
func TestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		server := standin.New(standin.Config{})
		defer server.Close()
		client := newClient(t, httpkv.Config{BaseURL: "http://standin", Transport: server.Transport()})
		ctx := context.Background()
		id, err := client.GrantLease(ctx, 10*time.Second)
		c.Assert(err, qt.IsNil)
		held, err := client.Acquire(ctx, "role", []byte("vm1"), id)
		c.Assert(held, qt.IsTrue, qt.Commentf("%v", err))
		other, err := client.GrantLease(ctx, time.Minute)
		c.Assert(err, qt.IsNil)
		held, err = client.Acquire(ctx, "role", []byte("vm2"), other)
		c.Assert(held, qt.IsFalse, qt.Commentf("%v", err))
		time.Sleep(9 * time.Second)
		c.Assert(client.RenewLease(ctx, id), qt.IsNil)
		time.Sleep(9 * time.Second)
		_, err = client.Get(ctx, "role")
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		_, err = client.Get(ctx, "role")
		c.Assert(err, qt.ErrorIs, kvstore.ErrNotFound)
		c.Assert(client.RenewLease(ctx, id), qt.ErrorIs, kvstore.ErrLeaseExpired)
		c.Assert(server.ExpireLeases(), qt.Equals, 1)
		c.Assert(client.RenewLease(ctx, other), qt.ErrorIs, kvstore.ErrLeaseExpired)
		c.Assert(client.RevokeLease(ctx, other), qt.IsNil)
	})
}

// TestListVMs guards against a VM list that ignores the injected lag, loses
// fields, or fails completely because of one invalid row.
func TestListVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		server := standin.New(standin.Config{})
		defer server.Close()
		client := newClient(t, httpkv.Config{BaseURL: "http://standin", Transport: server.Transport()})
		ctx := context.Background()
		vm := kvstore.VM{ID: "vm1", Zone: "z", Region: "r", PeerAddress: "127.0.0.1:7001", State: kvstore.VMLive}
		c.Assert(client.RegisterVM(ctx, vm), qt.IsNil)
		bad := strings.NewReader(`{"ID":"vm2","Name":"briarstand"}`)
		req := httptest.NewRequest(http.MethodPut, "/v1/agent/service/register", bad)
		server.ServeHTTP(httptest.NewRecorder(), req)
		vms, err := client.ListVMs(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(vms, qt.DeepEquals, []kvstore.VM{vm})
		server.SetListLag(30 * time.Second)
		time.Sleep(time.Minute)
		leaving := vm
		leaving.State = kvstore.VMLeaving
		c.Assert(client.RegisterVM(ctx, leaving), qt.IsNil)
		vms, err = client.ListVMs(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(vms, qt.DeepEquals, []kvstore.VM{vm})
		time.Sleep(30 * time.Second)
		vms, err = client.ListVMs(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(vms, qt.DeepEquals, []kvstore.VM{leaving})
		server.SetListLag(0)
		c.Assert(client.DeregisterVM(ctx, "vm1"), qt.IsNil)
		vms, err = client.ListVMs(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(vms, qt.HasLen, 0)
		c.Assert(client.RegisterVM(ctx, kvstore.VM{ID: "x", PeerAddress: "y"}), qt.ErrorAs, new(*httpkv.AddressError))
	})
}

// TestSlowWrite checks that the stand-in applies a write even after its client has
// timed out, as a real store would.
func TestSlowWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		server := standin.New(standin.Config{})
		defer server.Close()
		client := newClient(t, httpkv.Config{BaseURL: "http://standin", Transport: server.Transport(), Timeout: time.Second})
		server.SetDelay(3 * time.Second)
		_, err := client.CompareAndSwap(context.Background(), "k", 0, []byte("1"))
		c.Assert(err, qt.ErrorAs, new(*kvstore.UnknownResultError))
		c.Assert(server.Writes(), qt.HasLen, 0)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		c.Assert(server.Writes(), qt.HasLen, 1)
	})
}
