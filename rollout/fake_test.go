package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/membership"
)

// fleet is a set of VMs in one process with a network whose links can be cut,
// and a store and a platform's VM list that can fail or lag.
type fleet struct {
	t      testing.TB
	seed   uint64
	mu     sync.Mutex
	vms    map[string]*vm // by peer address
	cut    map[[2]string]bool
	delay  time.Duration
	paused map[string]chan struct{}
	store  fakeStore
	list   []kvstore.VM
	// listDown makes reading the platform's list fail.
	listDown bool
	next     int64
	edit     func(*Config)
}

type vm struct {
	id, zone, region, address string
	members                   *membership.Membership
	control                   *Controller
	registry                  *config.Registry
	stop                      func()
	started                   chan struct{}
}

var errNetwork = errors.New("connection failed")

func newFleet(t testing.TB, seed uint64) *fleet {
	f := &fleet{
		t: t, seed: seed, vms: map[string]*vm{}, cut: map[[2]string]bool{},
		paused: map[string]chan struct{}{}, delay: time.Millisecond,
	}
	f.store.entries = map[string]kvstore.Entry{}
	f.store.changed = make(chan struct{})
	return f
}

// add starts a VM. listed puts it on the platform's list.
func (f *fleet) add(id, zone, region string, listed bool) *vm {
	f.mu.Lock()
	f.next++
	incarnation := f.next
	v := &vm{id: id, zone: zone, region: region, address: id + ":1", registry: config.NewRegistry(), started: make(chan struct{})}
	f.mu.Unlock()
	logger := slog.New(slog.DiscardHandler)
	if os.Getenv("BRIARSTAND_TEST_LOG") != "" {
		logger = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})).With("on", id)
	}
	m, err := membership.New(membership.Config{
		Self: membership.Member{
			ID: id, Zone: zone, Region: region, PeerAddress: v.address, CallerAddress: v.address, Incarnation: incarnation,
		},
		Transport: &link{f, v.address}, VMLister: &lister{f, v.address},
		Rand: rand.New(rand.NewPCG(f.seed, uint64(incarnation))), Logger: logger,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	cfg := Config{
		Registry: v.registry, Store: &storeLink{f, v.address}, VMLister: &lister{f, v.address}, Membership: m,
		Transport: &link{f, v.address}, Decode: decodeEntry,
		Rand: rand.New(rand.NewPCG(f.seed+1, uint64(incarnation))), Logger: logger,
	}
	if f.edit != nil {
		f.edit(&cfg)
	}
	v.members, v.control = m, New(cfg)
	f.mu.Lock()
	f.vms[v.address] = v
	if listed {
		f.list = append(f.list, kvstore.VM{ID: id, Zone: zone, Region: region, PeerAddress: v.address, State: kvstore.VMLive})
	}
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = m.Run(ctx) })
	wg.Go(func() { _ = v.control.Run(ctx) })
	wg.Go(func() {
		if v.control.Start(ctx) == nil {
			m.SetState(membership.Alive)
			close(v.started)
		}
	})
	v.stop = func() { cancel(); wg.Wait() }
	return v
}

// kill stops a VM and keeps it on the list.
func (f *fleet) kill(v *vm) {
	f.mu.Lock()
	if f.vms[v.address] == v {
		delete(f.vms, v.address)
	}
	f.mu.Unlock()
	v.stop()
}

func (f *fleet) unlist(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, row := range f.list {
		if row.ID == id {
			f.list = append(f.list[:i:i], f.list[i+1:]...)
			return
		}
	}
}

func (f *fleet) stop() {
	for _, v := range f.all() {
		f.resume(v)
		f.kill(v)
	}
}

func (f *fleet) all() []*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*vm
	for _, v := range f.vms {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// cutLink drops messages from a to b, and from b to a if both is set. The store
// and the platform's list have the address "platform".
func (f *fleet) cutLink(a, b string, both bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{a, b}] = true
	if both {
		f.cut[[2]string{b, a}] = true
	}
}

func (f *fleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = map[[2]string]bool{}
}

// setDelay sets the one-way network delay.
func (f *fleet) setDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// pause holds every message from and to a VM until resume.
func (f *fleet) pause(v *vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused[v.address] = make(chan struct{})
}

func (f *fleet) resume(v *vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ch := f.paused[v.address]; ch != nil {
		close(ch)
		delete(f.paused, v.address)
	}
}

// deliver waits for the one-way delay of a message, for as long as either end is
// paused, or until ctx ends if the link is cut.
func (f *fleet) deliver(ctx context.Context, from, to string) error {
	f.mu.Lock()
	cut, delay := f.cut[[2]string{from, to}], f.delay
	wait := []chan struct{}{f.paused[from], f.paused[to]}
	f.mu.Unlock()
	for _, ch := range wait {
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
	if !sleep(ctx, delay) {
		return ctx.Err()
	}
	return nil
}

// exchange calls a handler of the VM at an address. Both messages are encoded and
// decoded as JSON, as on the wire.
func exchange[Q, R any](ctx context.Context, f *fleet, from, to string, req *Q, h func(*vm, *Q) (*R, error)) (*R, error) {
	if err := f.deliver(ctx, from, to); err != nil {
		return nil, err
	}
	f.mu.Lock()
	v := f.vms[to]
	f.mu.Unlock()
	if v == nil {
		return nil, errNetwork
	}
	reply, err := h(v, clone(req))
	if err != nil {
		return nil, err
	}
	if err := f.deliver(ctx, to, from); err != nil {
		return nil, err
	}
	return clone(reply), nil
}

func clone[T any](v *T) *T {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	out := new(T)
	if err := json.Unmarshal(b, out); err != nil {
		panic(err)
	}
	return out
}

// link is the transport of one VM.
type link struct {
	f    *fleet
	from string
}

func (l *link) Probe(ctx context.Context, to string, req *membership.ProbeRequest) (*membership.ProbeReply, error) {
	return exchange(ctx, l.f, l.from, to, req, func(v *vm, q *membership.ProbeRequest) (*membership.ProbeReply, error) {
		return v.members.HandleProbe(q)
	})
}

func (l *link) IndirectProbe(ctx context.Context, to string, req *membership.IndirectProbeRequest) (*membership.IndirectProbeReply, error) {
	return exchange(ctx, l.f, l.from, to, req, func(v *vm, q *membership.IndirectProbeRequest) (*membership.IndirectProbeReply, error) {
		return v.members.HandleIndirectProbe(ctx, q)
	})
}

func (l *link) Sync(ctx context.Context, to string, req *membership.SyncRequest) (*membership.SyncReply, error) {
	return exchange(ctx, l.f, l.from, to, req, func(v *vm, q *membership.SyncRequest) (*membership.SyncReply, error) {
		return v.members.HandleSync(q)
	})
}

func (l *link) Push(ctx context.Context, to string, req *PushRequest) (*PushReply, error) {
	return exchange(ctx, l.f, l.from, to, req, func(v *vm, q *PushRequest) (*PushReply, error) {
		return v.control.HandlePush(ctx, q)
	})
}

func (l *link) Pull(ctx context.Context, to string, req *PullRequest) (*PullReply, error) {
	return exchange(ctx, l.f, l.from, to, req, func(v *vm, q *PullRequest) (*PullReply, error) {
		return v.control.HandlePull(q)
	})
}

type lister struct {
	f    *fleet
	from string
}

func (l *lister) ListVMs(ctx context.Context) ([]kvstore.VM, error) {
	if err := l.f.deliver(ctx, l.from, "platform"); err != nil {
		return nil, &kvstore.UnavailableError{Op: "list", Err: err}
	}
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	if l.f.listDown {
		return nil, &kvstore.UnavailableError{Op: "list", Err: errNetwork}
	}
	return append([]kvstore.VM(nil), l.f.list...), nil
}

// fakeStore is the state of the store.
type fakeStore struct {
	mu      sync.Mutex
	entries map[string]kvstore.Entry
	index   int64
	down    bool
	changed chan struct{}
	calls   int
}

// storeLink is the store as reached from one VM.
type storeLink struct {
	f    *fleet
	from string
}

func (s *storeLink) reach(ctx context.Context) error {
	if err := s.f.deliver(ctx, s.from, "platform"); err != nil {
		return &kvstore.UnavailableError{Op: "call", Err: err}
	}
	s.f.store.mu.Lock()
	defer s.f.store.mu.Unlock()
	s.f.store.calls++
	if s.f.store.down {
		return &kvstore.UnavailableError{Op: "call", Err: errNetwork}
	}
	return nil
}

func (s *storeLink) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := s.reach(ctx); err != nil {
		return kvstore.Entry{}, err
	}
	s.f.store.mu.Lock()
	defer s.f.store.mu.Unlock()
	e, ok := s.f.store.entries[key]
	if !ok {
		return kvstore.Entry{}, kvstore.ErrNotFound
	}
	return e, nil
}

func (s *storeLink) List(ctx context.Context, prefix string) (kvstore.Listing, error) {
	if err := s.reach(ctx); err != nil {
		return kvstore.Listing{}, err
	}
	l, _ := s.f.store.listing(prefix)
	return l, nil
}

func (s *fakeStore) listing(prefix string) (kvstore.Listing, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := kvstore.Listing{Index: s.index}
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			l.Entries = append(l.Entries, e)
		}
	}
	sort.Slice(l.Entries, func(i, j int) bool { return l.Entries[i].Key < l.Entries[j].Key })
	return l, s.changed
}

func (s *storeLink) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kvstore.Listing, error) {
	if err := s.reach(ctx); err != nil {
		return kvstore.Listing{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l, changed := s.f.store.listing(prefix)
		for _, e := range l.Entries {
			if e.Index > after {
				return l, s.reach(ctx)
			}
		}
		select {
		case <-changed:
		case <-timer.C:
			return l, s.reach(ctx)
		case <-ctx.Done():
			return l, ctx.Err()
		}
	}
}

func (s *storeLink) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (kvstore.Entry, error) {
	if err := s.reach(ctx); err != nil {
		return kvstore.Entry{}, err
	}
	return s.f.store.swap(key, expected, value)
}

func (s *fakeStore) swap(key string, expected int64, value []byte) (kvstore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if have := s.entries[key].Index; have != expected {
		return kvstore.Entry{}, &kvstore.ConflictError{Key: key, Expected: expected, Actual: have}
	}
	s.index++
	e := kvstore.Entry{Key: key, Value: value, Index: s.index}
	s.entries[key] = e
	close(s.changed)
	s.changed = make(chan struct{})
	return e, nil
}

func (s *storeLink) GrantLease(context.Context, time.Duration) (kvstore.LeaseID, error) {
	return "", errNetwork
}
func (s *storeLink) RenewLease(context.Context, kvstore.LeaseID) error  { return errNetwork }
func (s *storeLink) RevokeLease(context.Context, kvstore.LeaseID) error { return errNetwork }

func decodeEntry(e kvstore.Entry) (*config.Service, error) {
	svc := &config.Service{}
	if err := json.Unmarshal(e.Value, svc); err != nil {
		return nil, err
	}
	svc.Revision = e.Index
	return svc, nil
}

// write writes a new revision of a service to the store and returns it.
func (f *fleet) write(name, change string) *config.Service {
	f.store.mu.Lock()
	expected := f.store.entries[config.ServicesPrefix+name].Index
	f.store.mu.Unlock()
	value, _ := json.Marshal(&config.Service{Name: name, ChangeID: change})
	e, err := f.store.swap(config.ServicesPrefix+name, expected, value)
	if err != nil {
		f.t.Fatal(err)
	}
	svc, _ := decodeEntry(e)
	return svc
}

// mark returns the accepted mark of a service; 0 if there is none.
func (f *fleet) mark(name string) int64 {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	if m, err := DecodeMark(f.store.entries[config.AcceptedPrefix+name]); err == nil {
		return m.Revision
	}
	return 0
}

// grow adds n listed VMs spread over zones and waits until all have started.
func (f *fleet) grow(n int, zones ...string) []*vm {
	var out []*vm
	for i := range n {
		zone := zones[i%len(zones)]
		out = append(out, f.add(fmt.Sprintf("vm%02d", len(f.vms)), zone, zone[:1], true))
	}
	for _, v := range out {
		<-v.started
	}
	return out
}
