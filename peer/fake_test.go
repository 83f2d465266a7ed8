package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/rollout"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// memoryStore is an in-memory store and list of VMs that never fail. Failures of the
// store are tested in package rollout.
type memoryStore struct {
	kvstore.Store
	mu      sync.Mutex
	entries map[string]kvstore.Entry
	index   int64
	vms     []kvstore.VM
}

func (s *memoryStore) ListVMs(context.Context) ([]kvstore.VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]kvstore.VM(nil), s.vms...), nil
}

func (s *memoryStore) Get(_ context.Context, key string) (kvstore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[key]; ok {
		return e, nil
	}
	return kvstore.Entry{}, kvstore.ErrNotFound
}

func (s *memoryStore) List(_ context.Context, prefix string) (kvstore.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := kvstore.Listing{Index: s.index}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			l.Entries = append(l.Entries, e)
		}
	}
	return l, nil
}

func (s *memoryStore) Watch(ctx context.Context, prefix string, _ int64, wait time.Duration) (kvstore.Listing, error) {
	select {
	case <-ctx.Done():
		return kvstore.Listing{}, ctx.Err()
	case <-time.After(wait):
		return s.List(ctx, prefix)
	}
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, _ int64, value []byte) (kvstore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	s.entries[key] = kvstore.Entry{Key: key, Value: value, Index: s.index}
	return s.entries[key], nil
}

func decode(e kvstore.Entry) (*config.Service, error) {
	svc := &config.Service{}
	err := json.Unmarshal(e.Value, svc)
	svc.Revision = e.Index
	return svc, err
}

// daemon is a VM with a peer API on loopback.
type daemon struct {
	address string
	set     *metrics.Set
	client  *Client
	members *membership.Membership
	control *rollout.Controller
	stop    func()
}

func newMemoryStore() *memoryStore { return &memoryStore{entries: map[string]kvstore.Entry{}} }

// start runs a daemon; edit changes the settings of its server and may be nil.
func start(t testing.TB, store *memoryStore, i int, edit func(*ServerConfig)) *daemon {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{address: listener.Addr().String(), set: metrics.NewSet()}
	d.client = NewClient(ClientConfig{Metrics: d.set, View: func() *membership.View { return d.members.View() }})
	self := membership.Member{
		ID: fmt.Sprintf("vm%03d", i), Zone: fmt.Sprintf("zone-%d", i%5), Region: "r", Incarnation: int64(i + 1),
		PeerAddress: d.address, CallerAddress: d.address,
	}
	store.mu.Lock()
	store.vms = append(store.vms, kvstore.VM{ID: self.ID, Zone: self.Zone, PeerAddress: d.address, State: kvstore.VMLive})
	store.mu.Unlock()
	// The longer timeout avoids suspicions when hundreds of VMs share a busy
	// machine. It does not change the messages of a healthy fleet.
	d.members, err = membership.New(membership.Config{Self: self, Transport: d.client, VMLister: store, ProbeTimeout: 3 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	d.control = rollout.New(rollout.Config{
		Registry: config.NewRegistry(), Store: store, VMLister: store, Membership: d.members, Transport: d.client, Decode: decode,
	})
	cfg := ServerConfig{
		VMID: self.ID, Incarnation: self.Incarnation, Membership: d.members, Rollout: d.control,
		Metrics: d.set, AllowLoopback: true,
		Query: func(ctx context.Context, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
			return &briarstandv1.QueryResponse{RequestId: req.RequestId, VmId: self.ID, Reason: fmt.Sprint(Relayed(ctx))}, nil
		},
	}
	if edit != nil {
		edit(&cfg)
	}
	server := &http.Server{Handler: NewServer(cfg), ReadHeaderTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(listener) })
	wg.Go(func() { _ = d.members.Run(ctx) })
	wg.Go(func() { _ = d.control.Run(ctx) })
	d.stop = func() {
		cancel()
		_ = server.Close()
		wg.Wait()
		d.client.Close()
	}
	return d
}

// waitFresh waits until the daemon is fresh and sets its state to Alive.
func (d *daemon) waitFresh(t testing.TB) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := d.control.Start(ctx); err != nil {
		t.Fatal(err)
	}
	d.members.SetState(membership.Alive)
}

// writeService writes a service to the store and returns it with its revision.
func (s *memoryStore) writeService(name string, svc *config.Service) *config.Service {
	svc.Name = name
	value, _ := json.Marshal(svc)
	e, _ := s.CompareAndSwap(context.Background(), config.ServicesPrefix+name, 0, value)
	out, _ := decode(e)
	return out
}
