// Package soak runs real entry daemons on loopback addresses, injects faults from
// outside on a schedule derived from a seed, and checks what callers and backend
// servers see.
package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarstand/briarstand/standin"
)

// Config configures a soak run. Binary and Dir are required.
type Config struct {
	// Binary is the path of briarstand-entry, Dir the directory for its settings
	// and logs.
	Binary, Dir string
	Seed        uint64
	VMs         int
	Duration    time.Duration
	// Log receives a line for each fault and for some violations. It is called by
	// one goroutine at a time.
	Log func(format string, args ...any)
}

// Report is the result of a soak run.
type Report struct {
	Requests, Served int
	Faults           map[string]int
	Violations       []Violation
}

const (
	host        = "soak.example"
	shards      = 8
	replicas    = 2
	callers     = 12
	callerPause = 25 * time.Millisecond
	callerWait  = time.Second
	budgetRatio = 0.2
	budgetSlack = 60
	budgetSpan  = 10 * time.Second
	graceS      = 3
	drainBound  = 3 * time.Second
	// configBound is the time within which a configuration must be in force at a VM
	// without faults, and settle the time after a fault for which a VM still counts
	// as disturbed: the guarantees assume a stable deployment.
	configBound = 3 * time.Second
	settle      = 4 * time.Second
	// probeEvery is the interval at which each VM is probed for its configuration,
	// and configEvery the interval of configuration changes.
	probeEvery  = 300 * time.Millisecond
	configEvery = 1500 * time.Millisecond
	// recoverBound is the time after the last fault within which nine in ten
	// requests are served again.
	recoverBound = 8 * time.Second
	memoryMB     = 206
)

// slowClock is added to time limits for the delays of updates and requests on a
// busy machine.
const slowClock = 500 * time.Millisecond

// world is the state of one run.
type world struct {
	cfg     Config
	random  *rand.Rand // for the fault schedule
	started time.Time
	store   *standin.Store
	vms     []*vm
	// storeSince and storeUntil enclose the last fault of the store and the time
	// to settle after it. Overlapping faults extend the span.
	storeMu                sync.Mutex
	storeSince, storeUntil time.Time

	mu       sync.Mutex
	backends []*backend
	requests []request
	found    []Violation
	left     []drained
	stops    []stopped
	versions map[int64]time.Time // time at which each configuration was written
	next     int64               // newest configuration version
	faults   map[string]int
	served   atomic.Int64 // requests after recovery, as asked
	asked    atomic.Int64
	measure  atomic.Bool
	ids      atomic.Int64
}

// backend is a backend server behind a proxy.
type backend struct {
	*standin.Backend
	proxy *proxy
	left  bool
}

// Run runs the soak with one seed.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	w := &world{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1)), started: time.Now(), store: standin.NewStore(),
		versions: map[int64]time.Time{}, faults: map[string]int{},
	}
	defer w.close()
	if err := w.build(); err != nil {
		return nil, err
	}
	if err := w.awaitReady(ctx); err != nil {
		return nil, err
	}
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { w.call(load, i) })
	}
	wg.Go(func() { w.probe(load) })
	wg.Go(func() { w.configure(load) })
	w.play(ctx)
	w.recovered(ctx)
	stopLoad()
	wg.Wait()
	return w.report(), ctx.Err()
}

func (w *world) build() error {
	for i := range shards {
		for range replicas {
			if _, err := w.addBackend(fmt.Sprintf("shard-%d", i)); err != nil {
				return err
			}
		}
	}
	for _, service := range []string{"quotes", "quotes", "quotes", "book", "book"} {
		if _, err := w.addBackend(service); err != nil {
			return err
		}
	}
	w.newVersion()
	var seeds []string
	for i := range w.cfg.VMs {
		addresses := listenAddresses(i)
		p, err := newProxy(w.store.Address())
		if err != nil {
			return err
		}
		region := fmt.Sprint("r", i%2)
		v := &vm{binary: w.cfg.Binary, dir: w.cfg.Dir, store: p, startGap: 100 * time.Millisecond, settings: standin.VMSettings{
			ID: fmt.Sprintf("vm%02d", i), Zone: region + "-a", Region: region, Zones: map[string]string{"r0-a": "r0", "r1-a": "r1"},
			Callers: addresses[0], Ready: addresses[1], Peers: addresses[2], Resolve: addresses[3], Store: p.address(),
			MemoryMB: memoryMB, DrainMS: int(drainBound.Milliseconds()), GraceS: graceS, BudgetSlack: budgetSlack,
			BudgetRatio: budgetRatio, BudgetWindowS: int(budgetSpan.Seconds()), MaxTTLS: 5, MinTTLMS: 1000,
		}}
		if len(seeds) < 3 {
			seeds = append(seeds, addresses[2])
		}
		w.vms = append(w.vms, v)
	}
	for _, v := range w.vms {
		v.settings.Seeds = seeds
		if err := v.writeSettings(); err != nil {
			return err
		}
		v.run()
	}
	return nil
}

func (w *world) addBackend(service string) (*backend, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := fmt.Sprintf("s%03d", len(w.backends))
	body := strings.Repeat(fmt.Sprintf("%016d", 1000+len(w.backends)), 3)
	b := &backend{Backend: standin.NewBackend(id, service, fmt.Sprintf("r%d-a", len(w.backends)%2), []byte(body))}
	b.SetBehavior(standin.Behavior{Work: 5 * time.Millisecond})
	var err error
	if b.proxy, err = newProxy(b.Address()); err != nil {
		b.Close()
		return nil, err
	}
	w.backends = append(w.backends, b)
	b.RegisterAt(w.store, "ready", b.proxy.address())
	return b, nil
}

// newVersion writes a configuration with a route that no other version has, so
// that a request shows whether the version is in force.
func (w *world) newVersion() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	routes := []standin.Route{
		{Name: "quote", Host: host, Prefix: "/quote/", Kind: "idempotent", TimeoutMS: 1000, GoalMS: 300, MaxAttempts: 2, Service: "quotes"},
		{Name: "book", Host: host, Prefix: "/book/", Kind: "non_idempotent", TimeoutMS: 1000, GoalMS: 300, MaxAttempts: 2, Service: "book"},
		{Name: "find", Host: host, Prefix: "/find/", Kind: "idempotent", TimeoutMS: 1000, GoalMS: 150, MaxAttempts: 2, Gather: shardNames(), Limit: 4, MinShare: 0.7},
		{Name: "version", Host: host, Prefix: fmt.Sprintf("/v%d/", w.next), Kind: "idempotent", TimeoutMS: 1000, MaxAttempts: 2, Service: "quotes"},
	}
	w.store.Configure(w.next, routes...)
	w.versions[w.next] = time.Now()
}

func shardNames() (names []string) {
	for i := range shards {
		names = append(names, fmt.Sprintf("shard-%d", i))
	}
	return names
}

func (w *world) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for _, v := range w.vms {
		for {
			resp, err := client.Get("http://" + v.settings.Ready + "/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(w.started) > 20*time.Second {
				return fmt.Errorf("%s is not ready after 20 s: %w", v.settings.ID, errors.Join(err, ctx.Err()))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// call runs one caller until the context ends. It resolves addresses, keeps its
// connections and retries no request.
func (w *world) call(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(w.cfg.Seed, uint64(100+n)))
	region := fmt.Sprint("r", n%2)
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &standin.Caller{Zone: region + "-a", Region: region, Client: &http.Client{Transport: transport, Timeout: callerWait + time.Second}}
	var addresses []string
	var until time.Time
	for ctx.Err() == nil {
		time.Sleep(callerPause + rand.N(callerPause))
		if time.Now().After(until) {
			if fresh, err := c.Resolve(ctx, w.vms[random.IntN(len(w.vms))].settings.Resolve, host); err == nil && len(fresh) > 0 {
				addresses, until = fresh, time.Now().Add(2*time.Second)
			}
		}
		if len(addresses) == 0 {
			continue
		}
		address := addresses[random.IntN(len(addresses))]
		w.ask(ctx, c, address, random.IntN(10))
	}
}

func (w *world) ask(ctx context.Context, c *standin.Caller, address string, kind int) {
	r := request{ID: fmt.Sprintf("q%d-%d", w.cfg.Seed, w.ids.Add(1)), VM: w.vmAt(address), Start: time.Now()}
	method, path := http.MethodGet, "/quote/x"
	switch {
	case kind < 5:
		r.Route, r.Shards, r.Limit, r.MinShards = "find", shardNames(), 4, 6
		path = "/find/x"
	case kind < 8:
		r.Route, r.Service = "quote", "quotes"
	default:
		r.Route, r.Service, r.Booking = "book", "book", true
		method, path = http.MethodPost, "/book/x"
	}
	// The end of the load does not cancel a request, which would count as aborted.
	r.Seen, r.Err = c.Ask(context.WithoutCancel(ctx), address, method, host, path, r.ID, callerWait)
	r.End = time.Now()
	if w.measure.Load() {
		w.asked.Add(1)
		if r.Err == nil && r.Seen.Status == http.StatusOK {
			w.served.Add(1)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = append(w.requests, r)
	w.found = append(w.found, checkAnswer(r, w.servers())...)
}

func (w *world) vmAt(address string) string {
	for _, v := range w.vms {
		if v.settings.Callers == address {
			return v.settings.ID
		}
	}
	return address
}

func (w *world) servers() (list []server) {
	for _, b := range w.backends {
		list = append(list, server{b.ID, b.Service, b.Body, b.Signature})
	}
	return list
}

// configure changes the configuration periodically.
func (w *world) configure(ctx context.Context) {
	for tick := time.NewTicker(configEvery); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
			w.newVersion()
		}
	}
}

// probe periodically checks at each VM the route of the newest configuration
// version, and the memory of its process.
func (w *world) probe(ctx context.Context) {
	c := &standin.Caller{Client: &http.Client{Timeout: callerWait, Transport: &http.Transport{DisableKeepAlives: true}}}
	seen := map[string]int64{} // highest version by VM and incarnation
	for ctx.Err() == nil {
		time.Sleep(probeEvery)
		for _, v := range w.vms {
			w.probeOne(ctx, c, v, seen)
			if mb := v.residentMB(); mb > memoryMB {
				w.violation(Violation{"memory", v.settings.ID, fmt.Sprintf("%d MB of %d", mb, memoryMB)})
			}
		}
	}
}

func (w *world) probeOne(ctx context.Context, c *standin.Caller, v *vm, seen map[string]int64) {
	start := time.Now()
	incarnation := v.incarnation()
	key := fmt.Sprint(v.settings.ID, "/", incarnation)
	w.mu.Lock()
	// The newest version, if it must be in force by now.
	due := int64(0)
	for version, acked := range w.versions {
		if start.Sub(acked) > configBound+slowClock && version == w.next {
			due = version
		}
	}
	current := w.next
	w.mu.Unlock()
	s, err := c.Ask(ctx, v.settings.Callers, http.MethodGet, host, fmt.Sprintf("/v%d/x", current), fmt.Sprint("p", w.ids.Add(1)), callerWait)
	if err != nil || v.incarnation() != incarnation {
		return
	}
	w.mu.Lock()
	moved := w.next != current
	w.mu.Unlock()
	switch {
	case s.Status == http.StatusOK:
		seen[key] = max(seen[key], current)
	case s.Status != http.StatusNotFound || moved:
	case seen[key] >= current:
		w.violation(Violation{"never back", v.settings.ID, fmt.Sprintf("version %d was in force", current)})
	case due == current && v.calm(start.Add(-settle-configBound), start) && w.storeCalm(start.Add(-settle-configBound), start):
		w.violation(Violation{"in force", v.settings.ID, fmt.Sprintf("version %d is not", current)})
	}
}

func (w *world) violation(v Violation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.Log("%v: %v", time.Since(w.started).Round(time.Millisecond), v)
	w.found = append(w.found, v)
}

func (w *world) storeCalm(from, to time.Time) bool {
	w.storeMu.Lock()
	defer w.storeMu.Unlock()
	return w.storeUntil.Before(from) || w.storeSince.After(to)
}

// recovered checks that requests are served again some time after the last fault.
func (w *world) recovered(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(recoverBound):
	}
	w.measure.Store(true)
	time.Sleep(2 * time.Second)
	w.measure.Store(false)
	if asked, served := w.asked.Load(), w.served.Load(); asked == 0 || float64(served) < 0.9*float64(asked) {
		w.violation(Violation{"recovery", "all", fmt.Sprintf("%d of %d served after the last fault", served, asked)})
	}
}

func (w *world) report() *Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []run
	for _, b := range w.backends {
		for _, r := range b.Runs() {
			runs = append(runs, run{Run: r, Backend: b.ID, Service: b.Service})
		}
	}
	w.found = slices.Concat(w.found, checkBookings(w.requests, runs), checkDrains(runs, w.left), checkStops(w.requests, runs, w.stops),
		checkBudget(w.requests, runs, budget{budgetRatio, budgetSlack, budgetSpan}))
	r := &Report{Requests: len(w.requests), Faults: maps.Clone(w.faults), Violations: w.found}
	for _, q := range w.requests {
		if q.Err == nil && q.Seen.Status == http.StatusOK {
			r.Served++
		}
	}
	return r
}

func (w *world) close() {
	for _, v := range w.vms {
		v.stop()
		v.store.close()
	}
	for _, b := range w.backends {
		b.proxy.close()
		b.Close()
	}
	w.store.Close()
}

// Keep writes the lines in faults and the violations of a failed run to a file.
func (r *Report) Keep(path string, faults []string) error {
	var text strings.Builder
	for _, f := range faults {
		fmt.Fprintln(&text, f)
	}
	for _, v := range r.Violations {
		fmt.Fprintln(&text, v)
	}
	return os.WriteFile(path, []byte(text.String()), 0o600)
}
