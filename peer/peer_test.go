package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/internal/disconnect"
	"github.com/briarstand/briarstand/internal/nettest"
	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/rollout"
	qt "github.com/frankban/quicktest"
)

// All messages from the first announcement to the acceptance of a change must be
// decoded as they were encoded.
func TestChangeOverHTTP(t *testing.T) {
	store := newMemoryStore()
	store.writeService("stock", &config.Service{ChangeID: "a"})
	var daemons []*daemon
	for i := range 3 {
		d := start(t, store, i, nil)
		defer d.stop()
		d.waitFresh(t)
		daemons = append(daemons, d)
	}
	svc := store.writeService("stock", &config.Service{ChangeID: "b", Backends: []config.Backend{{ID: "s1", Address: "a:1"}}})
	daemons[1].control.StartRollout(svc)
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	s, err := daemons[1].control.Wait(ctx, "stock", svc.Revision)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s, qt.DeepEquals, rollout.Status{Service: "stock", Revision: svc.Revision, Accepted: true, InForce: 3, Total: 3})
	for _, d := range daemons {
		qt.Assert(t, d.control.Admit(), qt.IsNil)
		c := newCounters(d.set)
		qt.Assert(t, c.sentBytes.Get() > 0 && c.receivedBytes.Get() > 0, qt.IsTrue)
	}
}

// Peer messages from outside the fleet must be refused.
func TestUnknownSourceIsRefused(t *testing.T) {
	store := newMemoryStore()
	d := start(t, store, 0, func(c *ServerConfig) { c.AllowLoopback = false })
	defer d.stop()
	store.mu.Lock()
	store.vms = nil
	store.mu.Unlock()
	req := &membership.ProbeRequest{From: membership.Member{ID: "x", PeerAddress: "192.0.2.1:1", Incarnation: 1, State: membership.Alive}}
	body, _ := json.Marshal(req)
	for _, c := range []struct {
		remote  string
		allowed []netip.Prefix
		want    int
	}{
		{"192.0.2.7:99", nil, http.StatusForbidden},
		{"192.0.2.7:99", []netip.Prefix{netip.MustParsePrefix("192.0.2.0/28")}, http.StatusOK},
		{"192.0.2.17:99", []netip.Prefix{netip.MustParsePrefix("192.0.2.0/28")}, http.StatusForbidden},
		{"[::1]:99", nil, http.StatusForbidden},
		{"192.0.2.1:99", nil, http.StatusOK}, // the probe above made it a member
		{"[::ffff:192.0.2.1]:99", nil, http.StatusOK},
		{"", nil, http.StatusForbidden},
	} {
		h := NewServer(ServerConfig{Membership: d.members, Rollout: d.control, Metrics: d.set, Allowed: c.allowed})
		r := httptest.NewRequest(http.MethodPost, PathProbe, bytes.NewReader(body))
		r.RemoteAddr = c.remote
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		qt.Assert(t, w.Code, qt.Equals, c.want, qt.Commentf("%+v", c))
	}
	qt.Assert(t, newCounters(d.set).refused.Get(), qt.Equals, uint64(4))
}

// A query must run only at the incarnation that issued its ticket, and must be
// marked as relayed there, which prevents relay loops.
func TestRelayQuery(t *testing.T) {
	store := newMemoryStore()
	a, b := start(t, store, 0, nil), start(t, store, 1, nil)
	defer a.stop()
	defer b.stop()
	a.waitFresh(t)
	b.waitFresh(t)
	req := &briarstandv1.QueryRequest{Service: "stock", RequestId: "r1", Body: []byte{0, 255}}
	resp, err := b.client.RelayQuery(t.Context(), "vm000", 1, req)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.RequestId, qt.Equals, "r1")
	qt.Assert(t, resp.VmId, qt.Equals, "vm000")
	qt.Assert(t, resp.Reason, qt.Equals, "true")
	var old *IncarnationError
	_, err = b.client.RelayQuery(t.Context(), "vm000", 2, req)
	qt.Assert(t, errors.As(err, &old), qt.IsTrue)
	var unknown *UnknownVMError
	_, err = b.client.RelayQuery(t.Context(), "vm009", 1, req)
	qt.Assert(t, errors.As(err, &unknown), qt.IsTrue)
	// The receiver checks the incarnation too, because the sender's table may be
	// outdated.
	stale := NewClient(ClientConfig{View: func() *membership.View {
		return &membership.View{Members: []membership.Member{{ID: "vm000", PeerAddress: a.address, Incarnation: 7}}}
	}})
	defer stale.Close()
	_, err = stale.RelayQuery(t.Context(), "vm000", 7, req)
	qt.Assert(t, errors.As(err, &old), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against a relayed query that goes on after its caller has left at the VM
// that relays it.
func TestRelayedQueryEndsWithItsCaller(t *testing.T) {
	const maxWorkAfterDeparture = 500 * time.Millisecond
	store := newMemoryStore()
	started, ended := make(chan struct{}), make(chan time.Time, 1)
	a := start(t, store, 0, func(c *ServerConfig) {
		c.Query = func(ctx context.Context, _ *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
			close(started)
			<-ctx.Done()
			ended <- time.Now()
			return nil, ctx.Err()
		}
	})
	b := start(t, store, 1, nil)
	defer a.stop()
	defer b.stop()
	a.waitFresh(t)
	b.waitFresh(t)
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-started
		leave()
	}()
	_, err := b.client.RelayQuery(ctx, "vm000", 1, &briarstandv1.QueryRequest{Service: "stock", RequestId: "r1"})
	left := time.Now()
	qt.Assert(t, err, qt.ErrorIs, context.Canceled)
	select {
	case at := <-ended:
		qt.Check(t, at.Sub(left) < maxWorkAfterDeparture, qt.IsTrue, qt.Commentf("%v", at.Sub(left)))
	case <-time.After(2 * time.Second):
		t.Error("the query goes on")
	}
}

// Guards against a relayed query that runs although the origin disconnected before this
// VM read it.
func TestOriginLeftBeforeItsQueryWasRead(t *testing.T) {
	var cfg ServerConfig
	d := start(t, newMemoryStore(), 0, func(c *ServerConfig) { cfg = *c })
	defer d.stop()
	cfg.Metrics = metrics.NewSet()
	cfg.Query = func(context.Context, *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
		t.Error("the query runs")
		return &briarstandv1.QueryResponse{}, nil
	}
	handler := NewServer(cfg)
	var running sync.WaitGroup
	running.Add(1)
	web := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer running.Done()
		handler.ServeHTTP(w, r)
	}))
	gate := nettest.NewGatedListener(web.Listener)
	web.Listener, web.Config.ConnContext = gate, disconnect.ConnContext
	web.Start()
	defer web.Close()
	conn, err := net.Dial("tcp", gate.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	fmt.Fprintf(conn, "POST %s?vm=%s&n=%d HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}", PathQuery, cfg.VMID, cfg.Incarnation)
	conn.Close()
	time.Sleep(50 * time.Millisecond)
	close(gate.Open)
	running.Wait()
}

// A request body above the size limit must be refused.
func TestLargeBodyIsRefused(t *testing.T) {
	d := start(t, newMemoryStore(), 0, nil)
	defer d.stop()
	body := append([]byte(`{"f":{"i":"`), bytes.Repeat([]byte("x"), maxProbeBytes)...)
	resp, err := http.Post("http://"+d.address+PathProbe, "application/json", bytes.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	defer http.DefaultClient.CloseIdleConnections()
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusBadRequest)
}

// No message from a peer may crash a VM or change what the VM reports about itself.
func FuzzMessages(f *testing.F) {
	from := membership.Member{ID: "x", Zone: "z", PeerAddress: "192.0.2.1:1", Incarnation: 5, State: membership.Alive}
	self := membership.Member{ID: "vm000", PeerAddress: "a:1", Incarnation: 1, Sequence: 9, State: membership.Dead}
	add := func(path uint8, msg any) {
		body, _ := json.Marshal(msg)
		f.Add(path, body)
	}
	add(0, &membership.ProbeRequest{From: from, Updates: []membership.Member{self}})
	add(1, &membership.IndirectProbeRequest{From: from, Target: self})
	add(2, &membership.SyncRequest{From: from, Members: []membership.Member{self}})
	add(3, &rollout.PushRequest{
		From: rollout.Sender{ID: "x", Incarnation: 5}, Coordinator: "x", Service: "stock", Revision: 3, BudgetMS: 1,
		Document: []byte("not compressed"), Slice: []rollout.Target{{ID: "y", Address: "127.0.0.1:1"}},
	})
	f.Add(uint8(4), []byte("since=0&vm=x&n=5&have=stock:3"))
	paths := []string{PathProbe, PathIndirectProbe, PathSync, PathPush, PathConfig}
	f.Fuzz(func(t *testing.T, path uint8, body []byte) {
		d := start(t, newMemoryStore(), 0, nil)
		defer d.stop()
		before := d.members.Self()
		h := NewServer(ServerConfig{Membership: d.members, Rollout: d.control, Allowed: []netip.Prefix{netip.MustParsePrefix("192.0.2.0/24")}})
		r := httptest.NewRequest(http.MethodPost, paths[int(path)%len(paths)], bytes.NewReader(body))
		if int(path)%len(paths) == 4 {
			r = httptest.NewRequest(http.MethodGet, PathConfig, nil)
			r.URL.RawQuery = string(body)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code == http.StatusInternalServerError {
			t.Fatalf("internal error: %s", w.Body)
		}
		after := d.members.Self()
		after.Sequence = before.Sequence
		after.ConfigIndex, after.Fresh = before.ConfigIndex, before.Fresh
		if after != before {
			t.Fatalf("self was %+v, is %+v", before, after)
		}
		for _, m := range d.members.View().Members {
			if err := m.Validate(); err != nil {
				t.Fatalf("table has %+v: %v", m, err)
			}
		}
	})
}
