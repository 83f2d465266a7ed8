package proof

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// forwarder forwards TCP connections to a target until it is blocked.
type forwarder struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	blocked bool
	open    map[net.Conn]bool
}

func newForwarder(t *testing.T, address, target string) *forwarder {
	l, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	f := &forwarder{listener: l, target: target, open: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(conn)
		}
	}()
	return f
}

func (f *forwarder) serve(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", f.target)
	if err != nil || !f.track(in, out) {
		return
	}
	defer out.Close()
	go func() { _, _ = io.Copy(out, in) }()
	_, _ = io.Copy(in, out)
}

// track records open connections, which setBlocked closes. It returns false if the
// forwarder is blocked; the caller must then not forward between the connections.
func (f *forwarder) track(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		f.open[c] = true
	}
	return !f.blocked
}

func (f *forwarder) setBlocked(blocked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = blocked
	for c := range f.open {
		_ = c.Close()
	}
	clear(f.open)
}

// TestOneWayCut checks a VM in a one-way partition: it reaches the other VMs, but
// none of them can reach it. A rollout must still include this VM, and the VM must
// keep serving.
func TestOneWayCut(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, map[string]any{"service_base": "1ms"})
	first, second := c.startVM("vm-1", "attica-a"), c.startVM("vm-2", "attica-a")
	host := c.network + ".50"
	f := newForwarder(t, host+":7500", host+":7403")
	third := c.launchVMAt(host, "vm-3", "kriti-a", "--peer-advertise", host+":7500", "--log-level", "info")
	c.waitFor("VM ready", func() bool { return c.get("http://"+third.address(adminPort)+"/readyz", nil) == nil })
	svc := c.create(first, "siteapp", c.spec(2, policy(time.Second, 0), "v1"))
	w := &revisionWatch{c: c, service: "siteapp"}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, v := range []*vm{first, second, third} {
		wg.Go(func() { w.poll(ctx, v) })
	}
	f.setBlocked(true)
	began := time.Now()
	resp, err := c.update(second, "siteapp", c.spec(2, policy(time.Second, 1), "v1"), newChange(svc.Revision))
	c.must(err)
	// The partitioned VM learns of the change through its own probes, and
	// coordinates the rollout itself, because its confirmation reaches no other
	// coordinator.
	qt.Check(t, resp.Rollout.State, qt.Equals, briarstandv1.RolloutState_ROLLOUT_STATE_ACCEPTED)
	qt.Check(t, time.Since(began) <= maxRolloutTime, qt.IsTrue)
	t.Logf("accepted %v after the change, by the log of vm-3: %v", time.Since(began).Round(time.Millisecond),
		strings.Contains(third.Log(), "revision accepted"))
	w.accepted.Store(resp.Service.Revision)
	time.Sleep(5 * time.Second) // longer than the freshness window
	stop()
	wg.Wait()
	w.check(t)
}
