package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/briarstand/briarstand/kvstore"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// network is an in-memory network between memberships that can cut links and
// pause VMs. It is also their VMLister.
type network struct {
	mu     sync.Mutex
	vms    map[string]*Membership // by peer address
	cut    map[[2]string]bool     // from, to
	paused map[string]chan struct{}
	list   []kvstore.VM
	err    error // returned by ListVMs
	bytes  int   // total size of all messages
	stops  map[string]func()
}

func newNetwork() *network {
	return &network{
		vms: map[string]*Membership{}, cut: map[[2]string]bool{},
		paused: map[string]chan struct{}{}, stops: map[string]func(){},
	}
}

func (n *network) ListVMs(context.Context) ([]kvstore.VM, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.list), n.err
}

// start runs a VM with the given peer address.
func (n *network) start(t testing.TB, id, address string, incarnation int64, seeds ...string) *Membership {
	m, err := New(Config{
		Self:      Member{ID: id, Zone: "attica", PeerAddress: address, Incarnation: incarnation, State: Alive},
		Transport: &fakeTransport{n, address}, VMLister: n, Seeds: seeds,
		Rand: rand.New(rand.NewPCG(7, uint64(incarnation))),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms[address] = m
	n.stops[address] = func() { cancel(); <-done }
	return m
}

// fleet starts count VMs that have the first as their seed.
func (n *network) fleet(t testing.TB, count int) []*Membership {
	var out []*Membership
	for i := range count {
		out = append(out, n.start(t, fmt.Sprintf("vm%03d", i), fmt.Sprintf("m%03d:1", i), int64(i+1), "m000:1"))
	}
	return out
}

func (n *network) kill(address string) {
	n.mu.Lock()
	stop := n.stops[address]
	delete(n.vms, address)
	delete(n.stops, address)
	n.mu.Unlock()
	stop()
}

func (n *network) stop() {
	for address := range n.stops {
		n.resume(address)
		n.kill(address)
	}
}

// withLock calls f with the lock held.
func (n *network) withLock(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *network) pause(address string) {
	n.withLock(func() { n.paused[address] = make(chan struct{}) })
}

func (n *network) resume(address string) {
	n.withLock(func() {
		if ch := n.paused[address]; ch != nil {
			close(ch)
			delete(n.paused, address)
		}
	})
}

// deliver simulates the delivery of a message. It waits until neither end is paused,
// then 1 ms, and returns nil. If ctx ends before that, or if the link is cut, it
// returns the error of ctx when ctx ends.
func (n *network) deliver(ctx context.Context, from, to string, size int) error {
	n.mu.Lock()
	cut := n.cut[[2]string{from, to}]
	paused := []chan struct{}{n.paused[from], n.paused[to]}
	n.bytes += size
	n.mu.Unlock()
	for _, ch := range paused {
		if ch != nil {
			select {
			case <-ch:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return ctx.Err()
}

// fakeTransport sends the messages of one VM over the network.
type fakeTransport struct {
	n    *network
	from string
}

func send[Q, R any](ctx context.Context, tr *fakeTransport, to string, req *Q, h func(*Membership, *Q) (*R, error)) (*R, error) {
	q, _ := json.Marshal(req)
	if err := tr.n.deliver(ctx, tr.from, to, len(q)); err != nil {
		return nil, err
	}
	tr.n.mu.Lock()
	m := tr.n.vms[to]
	tr.n.mu.Unlock()
	if m == nil {
		return nil, errors.New("connection refused")
	}
	received := new(Q)
	_ = json.Unmarshal(q, received)
	reply, err := h(m, received)
	if err != nil {
		return nil, err
	}
	r, _ := json.Marshal(reply)
	out := new(R)
	_ = json.Unmarshal(r, out)
	return out, tr.n.deliver(ctx, to, tr.from, len(r))
}

func (tr *fakeTransport) Probe(ctx context.Context, to string, req *ProbeRequest) (*ProbeReply, error) {
	return send(ctx, tr, to, req, (*Membership).HandleProbe)
}

func (tr *fakeTransport) IndirectProbe(ctx context.Context, to string, req *IndirectProbeRequest) (*IndirectProbeReply, error) {
	return send(ctx, tr, to, req, func(m *Membership, q *IndirectProbeRequest) (*IndirectProbeReply, error) {
		return m.HandleIndirectProbe(ctx, q)
	})
}

func (tr *fakeTransport) Sync(ctx context.Context, to string, req *SyncRequest) (*SyncReply, error) {
	return send(ctx, tr, to, req, (*Membership).HandleSync)
}
