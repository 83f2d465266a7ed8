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
	"syscall"
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
	// Faults limits the faults to those whose names contain it.
	Faults string
	// Log receives a line for each fault and for some violations. It is called by
	// one goroutine at a time.
	Log func(format string, args ...any)
}

// Report is the result of a soak run.
type Report struct {
	Requests, Served int
	Faults           map[string]int
	Violations       []Violation
	// Drains counts the servers that left. LatestUse is the longest time from the
	// acknowledgement to a request of a stable VM that reached one, and OldestConfig the
	// longest time from a configuration to a probe of a stable VM that does not have it.
	Drains                  int
	LatestUse, OldestConfig time.Duration
}

const (
	host     = "soak.example"
	shards   = 8
	replicas = 2
	callers  = 12
	// patientCallers send only requests to the service "desk", for which they wait long.
	// They use few VMs, so that their requests wait for connections.
	patientCallers = 9
	patientVMs     = 3
	// kinds is the number of kinds of requests, each a tenth of them; patientKind is that
	// of patientCallers.
	kinds         = 10
	patientKind   = 10
	callerPause   = 25 * time.Millisecond // minimum pause of a caller; the maximum is twice as long
	callerTimeout = time.Second
	// minStay is the time after which a caller may leave without an answer; the
	// maximum is five times as long.
	minStay      = 10 * time.Millisecond
	budgetRatio  = 0.2
	budgetSlack  = 60
	budgetWindow = 10 * time.Second
	// maxConnections is what each server accepts from all VMs: one for each VM of a run
	// with 8 VMs, so that requests wait for connections.
	maxConnections = 10
	// patientTimeout is the time that callers of the service "desk" wait.
	patientTimeout = 4 * time.Second
	graceS         = 3 // time that a VM has for a graceful stop, in seconds
	maxDrainDelay  = 3 * time.Second
	// maxConfigDelay is the time within which a configuration must be in force at a
	// stable VM. A VM or the store counts as unstable during a fault and for
	// stabilityPeriod after it; some guarantees hold only while both are stable.
	maxConfigDelay  = 3 * time.Second
	stabilityPeriod = 4 * time.Second
	// probeInterval is the interval at which each VM is probed for its
	// configuration, and minConfigPause and maxConfigPause are the limits of the
	// pauses between changes of the configuration.
	probeInterval  = 300 * time.Millisecond
	minConfigPause = 300 * time.Millisecond
	// minReplacePause and maxReplacePause limit the pauses between servers that leave.
	minReplacePause = 800 * time.Millisecond
	maxReplacePause = 2400 * time.Millisecond
	maxConfigPause  = 2 * (maxConfigDelay + delayMargin)
	// maxRecoveryTime is the time after the last fault from which nine in ten
	// requests must be served again.
	maxRecoveryTime = 8 * time.Second
	memoryLimitMB   = 206
)

// normalBehavior is the behavior of a backend server without a fault.
var normalBehavior = standin.Behavior{ServiceTime: 5 * time.Millisecond}

// delayMargin is added to the time limits of checks, because a busy machine delays
// updates and requests.
const delayMargin = 500 * time.Millisecond

// harness is the state of one run.
type harness struct {
	cfg     Config
	rng     *rand.Rand // for the fault schedule
	started time.Time
	store   *standin.Store
	vms     []*vm
	// storeUnstable holds the faults of the store, each with the stability period after it.
	storeMu       sync.Mutex
	storeUnstable []span

	mu               sync.Mutex
	backends         []*backend
	requests         []request
	violations       []Violation
	drains           []drainedBackend
	oldestConfig     time.Duration
	plannedStops     []plannedStop
	disturbances     map[string][]span   // by backend server; "" for all
	versionTimes     map[int64]time.Time // time at which each configuration was written
	version          int64               // newest configuration version
	faults           map[string]int
	recoveryServed   atomic.Int64 // counted while measureRecovery is set
	recoveryRequests atomic.Int64 // counted while measureRecovery is set
	measureRecovery  atomic.Bool
	departures       atomic.Int32 // faults in which callers leave before the answer
	lastRequestID    atomic.Int64
}

// backend is a backend server behind a proxy.
type backend struct {
	*standin.Backend
	proxy    *proxy
	draining bool
}

// Run runs the soak test with the seed of cfg. It returns an error if the
// deployment cannot start or is not ready after 20 s, or if ctx ends.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	h := &harness{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), started: time.Now(), store: standin.NewStore(),
		versionTimes: map[int64]time.Time{}, faults: map[string]int{}, disturbances: map[string][]span{},
	}
	defer h.close()
	if err := h.start(); err != nil {
		return nil, err
	}
	if err := h.awaitReady(ctx); err != nil {
		return nil, err
	}
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var wg sync.WaitGroup
	for i := range callers + patientCallers {
		wg.Go(func() { h.runCaller(load, i) })
	}
	wg.Go(func() { h.probeVMs(load) })
	wg.Go(func() { h.changeConfig(load) })
	wg.Go(func() { h.replaceServers(load) })
	h.injectFaults(ctx)
	h.checkRecovery(ctx)
	stopLoad()
	wg.Wait()
	return h.report(), ctx.Err()
}

func (h *harness) start() error {
	for i := range shards {
		for range replicas {
			if _, err := h.addBackend(fmt.Sprintf("shard-%d", i)); err != nil {
				return err
			}
		}
	}
	h.store.SetMaxConnections(maxConnections)
	for _, service := range []string{"quotes", "quotes", "quotes", "book", "book", "desk", "desk"} {
		if _, err := h.addBackend(service); err != nil {
			return err
		}
	}
	h.publishVersion()
	var seeds []string
	for i := range h.cfg.VMs {
		addresses := listenAddresses(i)
		p, err := newProxy(h.store.Address())
		if err != nil {
			return err
		}
		region := fmt.Sprint("r", i%2)
		v := &vm{binary: h.cfg.Binary, dir: h.cfg.Dir, store: p, restartDelay: 100 * time.Millisecond, settings: standin.VMSettings{
			ID: fmt.Sprintf("vm%02d", i), Zone: region + "-a", Region: region, Zones: map[string]string{"r0-a": "r0", "r1-a": "r1"},
			CallerAddress: addresses[0], ReadyAddress: addresses[1],
			PeerAddress: addresses[2], ResolveAddress: addresses[3], Store: p.address(),
			MemoryMB: memoryLimitMB, DrainMS: int(maxDrainDelay.Milliseconds()), StabilityMS: int(stabilityPeriod.Milliseconds()), GraceS: graceS, BudgetSlack: budgetSlack,
			BudgetRatio: budgetRatio, BudgetWindowS: int(budgetWindow.Seconds()), MaxTTLS: 5, MinTTLMS: 1000,
		}}
		if len(seeds) < 3 {
			seeds = append(seeds, addresses[2])
		}
		h.vms = append(h.vms, v)
	}
	for _, v := range h.vms {
		v.settings.Seeds = seeds
		if err := v.writeSettings(); err != nil {
			return err
		}
		v.supervise()
	}
	return nil
}

func (h *harness) addBackend(service string) (*backend, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := fmt.Sprintf("s%03d", len(h.backends))
	body := strings.Repeat(fmt.Sprintf("%016d", 1000+len(h.backends)), 3)
	b := &backend{Backend: standin.NewBackend(id, service, fmt.Sprintf("r%d-a", len(h.backends)%2), []byte(body))}
	b.SetBehavior(normalBehavior)
	var err error
	if b.proxy, err = newProxy(b.Address()); err != nil {
		b.Close()
		return nil, err
	}
	h.backends = append(h.backends, b)
	b.RegisterAt(h.store, "ready", b.proxy.address())
	return b, nil
}

// publishVersion writes a configuration with a route that no other version has. A
// request for this route shows whether a VM has the version in force.
func (h *harness) publishVersion() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version++
	h.writeVersion()
	h.versionTimes[h.version] = time.Now()
}

// writeVersion writes the newest configuration. h.mu must be held.
func (h *harness) writeVersion() {
	routes := []standin.Route{
		{Name: "quote", Host: host, Prefix: "/quote/", Kind: "idempotent", TimeoutMS: 1000, GoalMS: 300, MaxAttempts: 2, Service: "quotes"},
		{Name: "book", Host: host, Prefix: "/book/", Kind: "non_idempotent", TimeoutMS: 1000, GoalMS: 300, MaxAttempts: 2, Service: "book"},
		{Name: "find", Host: host, Prefix: "/find/", Kind: "idempotent", TimeoutMS: 1000, GoalMS: 150, MaxAttempts: 2, Shards: shardNames(), Limit: 4, MinShare: 0.7},
		{Name: "desk", Host: host, Prefix: "/desk/", Kind: "idempotent", TimeoutMS: patientTimeout.Milliseconds(), MaxAttempts: 2, Service: "desk"},
		{Name: "version", Host: host, Prefix: fmt.Sprintf("/v%d/", h.version), Kind: "idempotent", TimeoutMS: 1000, MaxAttempts: 2, Service: "quotes"},
	}
	h.store.Configure(h.version, routes...)
}

func shardNames() (names []string) {
	for i := range shards {
		names = append(names, fmt.Sprintf("shard-%d", i))
	}
	return names
}

func (h *harness) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for _, v := range h.vms {
		for {
			resp, err := client.Get("http://" + v.settings.ReadyAddress + "/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(h.started) > 20*time.Second {
				return fmt.Errorf("%s is not ready after 20 s: %w", v.settings.ID, errors.Join(err, ctx.Err()))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// runCaller runs one caller until the context ends. It resolves addresses, keeps
// its connections and retries no request. A sticky caller goes on with the address of
// its connections until no connection to it can be opened: until the process is gone.
func (h *harness) runCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(h.cfg.Seed, uint64(100+n)))
	region := fmt.Sprint("r", n%2)
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &standin.Caller{Zone: region + "-a", Region: region, Client: &http.Client{Transport: transport, Timeout: patientTimeout + time.Second}}
	sticky := n%3 == 0
	var addresses []string
	var address string
	var until time.Time
	for ctx.Err() == nil {
		time.Sleep(callerPause + rand.N(callerPause))
		if time.Now().After(until) {
			if fresh, err := c.Resolve(ctx, h.vms[rng.IntN(len(h.vms))].settings.ResolveAddress, host); err == nil && len(fresh) > 0 {
				addresses, until = fresh, time.Now().Add(2*time.Second)
			}
		}
		if len(addresses) == 0 {
			continue
		}
		kind := rng.IntN(kinds)
		if address == "" || !sticky {
			address = addresses[rng.IntN(len(addresses))]
		}
		if n >= callers {
			kind, address = patientKind, addresses[n%min(patientVMs, len(addresses))]
			time.Sleep(4 * callerPause)
		}
		if err := h.sendRequest(ctx, c, address, kind); errors.Is(err, syscall.ECONNREFUSED) {
			address = ""
		}
	}
}

// sendRequest sends one request of a kind and returns the error if there is no answer.
func (h *harness) sendRequest(ctx context.Context, c *standin.Caller, address string, kind int) error {
	r := request{ID: fmt.Sprintf("q%d-%d", h.cfg.Seed, h.lastRequestID.Add(1)), VM: h.vmAt(address), Start: time.Now()}
	method, path, timeout := http.MethodGet, "/quote/x", callerTimeout
	switch {
	case kind == patientKind:
		r.Route, r.Service = "desk", "desk"
		path, timeout = "/desk/x", patientTimeout
	case kind < 5:
		r.Route, r.Shards, r.Limit, r.MinShards = "find", shardNames(), 4, 6
		path = "/find/x"
	case kind < 8:
		r.Route, r.Service = "quote", "quotes"
	default:
		r.Route, r.Service, r.NonIdempotent = "book", "book", true
		method, path = http.MethodPost, "/book/x"
	}
	// The end of the load must not cancel a request: the checks would take it for
	// one that the VM aborted.
	ctx = context.WithoutCancel(ctx)
	if !r.NonIdempotent && h.departures.Load() > 0 {
		stay, cancel := context.WithTimeout(ctx, minStay+rand.N(4*minStay))
		defer cancel()
		ctx = stay
	}
	r.Answer, r.Err = c.Send(ctx, address, method, host, path, r.ID, timeout)
	r.End, r.Left = time.Now(), ctx.Err() != nil
	if h.measureRecovery.Load() && !r.Left {
		h.recoveryRequests.Add(1)
		if r.Err == nil && r.Answer.Status == http.StatusOK {
			h.recoveryServed.Add(1)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
	h.violations = append(h.violations, checkAnswer(r, h.servers())...)
	return r.Err
}

// recordDisturbance records that closes of connections may not arrive at a backend
// server for d; at any, if backendID is "".
func (h *harness) recordDisturbance(backendID string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.disturbances[backendID] = append(h.disturbances[backendID], span{now, now.Add(d + delayMargin)})
}

// interrupted reports whether a VM was interrupted between two times.
func (h *harness) interrupted(vmID string, from, to time.Time) bool {
	i := slices.IndexFunc(h.vms, func(v *vm) bool { return v.settings.ID == vmID })
	return i < 0 || h.vms[i].interrupted(from, to)
}

func (h *harness) vmAt(address string) string {
	for _, v := range h.vms {
		if v.settings.CallerAddress == address {
			return v.settings.ID
		}
	}
	return address
}

func (h *harness) servers() (list []server) {
	for _, b := range h.backends {
		list = append(list, server{b.ID, b.Service, b.Body, b.Signature})
	}
	return list
}

// changeConfig changes the configuration after random pauses. After a pause that is
// longer than the time within which a version must be in force, probes check the version.
func (h *harness) changeConfig(ctx context.Context) {
	rng := rand.New(rand.NewPCG(h.cfg.Seed, 6))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(minConfigPause + time.Duration(rng.Int64N(int64(maxConfigPause-minConfigPause)))):
			h.publishVersion()
		}
	}
}

// replaceServers lets servers leave beside all faults after random pauses: one that another
// one replaces, or both of the service "desk", which is then without a ready one for a
// while. It ends with the faults, so that the last servers are replaced by the end.
func (h *harness) replaceServers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(h.cfg.Seed, 8))
	services := append(shardNames(), "quotes", "book", "desk")
	end := time.Now().Add(h.cfg.Duration)
	for {
		pause := minReplacePause + time.Duration(rng.Int64N(int64(maxReplacePause-minReplacePause)))
		service, says, gap := services[rng.IntN(len(services))], rng.IntN(2) == 0, time.Duration(rng.Int64N(int64(maxDrainDelay/2)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if time.Now().After(end) {
			return
		}
		leaving := h.backendsOf(service)
		if len(leaving) == 0 {
			continue // all have left already, and are replaced
		}
		if service != "desk" {
			leaving, gap = leaving[:1], 0
		}
		for _, b := range leaving {
			h.drain(b, says)
		}
		time.Sleep(gap)
		for range leaving {
			if _, err := h.addBackend(service); err != nil {
				h.addViolation(Violation{"soak", service, err.Error()})
			}
		}
	}
}

// probeVMs periodically checks whether each VM serves the route of the newest
// configuration version, and how much memory its process uses.
func (h *harness) probeVMs(ctx context.Context) {
	c := &standin.Caller{Client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	highest := map[string]int64{} // version by VM and incarnation
	for ctx.Err() == nil {
		time.Sleep(probeInterval)
		for _, v := range h.vms {
			h.probeVM(ctx, c, v, highest)
			if mb := v.residentMB(); mb > memoryLimitMB {
				h.addViolation(Violation{"memory", v.settings.ID, fmt.Sprintf("%d MB of %d", mb, memoryLimitMB)})
			}
		}
	}
}

// probeVM checks that a VM serves the route of the newest version if that version was
// written more than maxConfigDelay + delayMargin ago, and the VM and the store are
// stable. It also checks that a process that has served a version does not go back to
// an older one.
func (h *harness) probeVM(ctx context.Context, c *standin.Caller, v *vm, highest map[string]int64) {
	start := time.Now()
	incarnation := v.incarnation()
	key := fmt.Sprint(v.settings.ID, "/", incarnation)
	h.mu.Lock()
	// dueVersion is the newest version if it must be in force by now, and else 0.
	dueVersion := int64(0)
	currentAge := start.Sub(h.versionTimes[h.version])
	for version, acked := range h.versionTimes {
		if start.Sub(acked) > maxConfigDelay+delayMargin && version == h.version {
			dueVersion = version
		}
	}
	current := h.version
	h.mu.Unlock()
	a, err := c.Send(ctx, v.settings.CallerAddress, http.MethodGet, host, fmt.Sprintf("/v%d/x", current), fmt.Sprint("p", h.lastRequestID.Add(1)), callerTimeout)
	if err != nil || v.incarnation() != incarnation {
		return
	}
	h.mu.Lock()
	superseded := h.version != current
	h.mu.Unlock()
	stable := v.stable(start.Add(-stabilityPeriod-maxConfigDelay), start) && h.storeStable(start.Add(-stabilityPeriod-maxConfigDelay), start)
	if a.Status == http.StatusNotFound && !superseded && stable {
		h.mu.Lock()
		h.oldestConfig = max(h.oldestConfig, currentAge)
		h.mu.Unlock()
	}
	switch {
	case a.Status == http.StatusOK:
		highest[key] = max(highest[key], current)
	case a.Status != http.StatusNotFound || superseded:
	case highest[key] >= current:
		h.addViolation(Violation{"never back", v.settings.ID, fmt.Sprintf("version %d was in force", current)})
	case dueVersion == current && stable:
		h.addViolation(Violation{"in force", v.settings.ID, fmt.Sprintf("version %d is not", current)})
	}
	if stable {
		h.probeSuperseded(ctx, c, v)
	}
}

// probeSuperseded checks that a stable VM does not serve the route of a version whose
// successor was written more than maxConfigDelay + delayMargin ago. It sees an old version
// also while new ones come in quick succession.
func (h *harness) probeSuperseded(ctx context.Context, c *standin.Caller, v *vm) {
	start := time.Now()
	h.mu.Lock()
	old := h.version - 1
	for old > 0 && start.Sub(h.versionTimes[old+1]) <= maxConfigDelay+delayMargin {
		old--
	}
	successor := h.versionTimes[old+1]
	h.mu.Unlock()
	if old <= 0 {
		return
	}
	a, err := c.Send(ctx, v.settings.CallerAddress, http.MethodGet, host, fmt.Sprintf("/v%d/x", old), fmt.Sprint("p", h.lastRequestID.Add(1)), callerTimeout)
	if err == nil && a.Status == http.StatusOK && v.stable(start.Add(-stabilityPeriod-maxConfigDelay), time.Now()) {
		h.addViolation(Violation{"in force", v.settings.ID, fmt.Sprintf("version %d is served %v after its successor was written", old, start.Sub(successor).Round(time.Millisecond))})
	}
}

func (h *harness) addViolation(v Violation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cfg.Log("%v: %v", time.Since(h.started).Round(time.Millisecond), v)
	h.violations = append(h.violations, v)
}

func (h *harness) storeStable(from, to time.Time) bool {
	h.storeMu.Lock()
	defer h.storeMu.Unlock()
	return !overlapAny(h.storeUnstable, from, to)
}

// checkRecovery waits for maxRecoveryTime after the last fault and then checks that
// nine in ten requests are served.
func (h *harness) checkRecovery(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(maxRecoveryTime):
	}
	h.measureRecovery.Store(true)
	time.Sleep(2 * time.Second)
	h.measureRecovery.Store(false)
	if requests, served := h.recoveryRequests.Load(), h.recoveryServed.Load(); requests == 0 || float64(served) < 0.9*float64(requests) {
		h.addViolation(Violation{"recovery", "all", fmt.Sprintf("%d of %d served after the last fault", served, requests)})
	}
}

func (h *harness) report() *Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	var runs []run
	for _, b := range h.backends {
		for _, r := range b.Runs() {
			runs = append(runs, run{Run: r, Backend: b.ID, Service: b.Service})
		}
	}
	var refusals []refusal
	for _, b := range h.backends {
		for _, r := range b.Refusals() {
			refusals = append(refusals, refusal{r, b.ID})
		}
	}
	uses := usesOfLeaving(h.requests, runs, h.drains, h.excused)
	h.violations = slices.Concat(h.violations, checkAtMostOnce(h.requests, runs), checkDrains(uses), checkStops(h.requests, runs, h.plannedStops),
		checkDepartures(h.requests, runs, h.disturbances), checkPauses(h.requests, runs, refusals, h.interrupted), checkLeaving(h.requests, runs, h.interrupted),
		checkRetryBudget(h.requests, runs, retryBudget{budgetRatio, budgetSlack, budgetWindow}))
	r := &Report{
		Requests: len(h.requests), Faults: maps.Clone(h.faults), Violations: h.violations, Drains: len(h.drains), OldestConfig: h.oldestConfig,
	}
	for _, u := range uses {
		r.LatestUse = max(r.LatestUse, u.after())
	}
	for _, q := range h.requests {
		if q.Err == nil && q.Answer.Status == http.StatusOK {
			r.Served++
		}
	}
	return r
}

func (h *harness) close() {
	for _, v := range h.vms {
		v.stop()
		v.store.close()
	}
	for _, b := range h.backends {
		b.proxy.close()
		b.Close()
	}
	h.store.Close()
}

// WriteFile writes a file with the given lines about faults and the violations of
// the run.
func (r *Report) WriteFile(path string, faults []string) error {
	var text strings.Builder
	for _, f := range faults {
		fmt.Fprintln(&text, f)
	}
	for _, v := range r.Violations {
		fmt.Fprintln(&text, v)
	}
	return os.WriteFile(path, []byte(text.String()), 0o600)
}
