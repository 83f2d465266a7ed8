package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/briarstand/briarstand/balance"
	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/discovery"
	"github.com/briarstand/briarstand/forward"
	"github.com/briarstand/briarstand/internal/contain"
	"github.com/briarstand/briarstand/internal/disconnect"
	"github.com/briarstand/briarstand/internal/gracelisten"
	"github.com/briarstand/briarstand/limit"
	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/mirror"
	"github.com/briarstand/briarstand/relay"
	"github.com/briarstand/briarstand/resolve"
	"github.com/briarstand/briarstand/telemetry"
	"github.com/briarstand/briarstand/upstream"
)

const (
	// addressTTL is how long callers may cache addresses. It is shorter than
	// drainServe, so that the cached address of a leaving VM still works.
	addressTTL = 2 * time.Second
	// maxAddresses is the maximum number of addresses in an answer; callers read
	// no more.
	maxAddresses = 64
	// drainServe is how long a leaving VM still accepts new requests, so that
	// callers have time to refresh their addresses.
	drainServe = 2500 * time.Millisecond
	// stopMargin is how long before the end of the stop grace period the process
	// exits by itself.
	stopMargin = 500 * time.Millisecond
	// giveUpMargin is how long before stopMargin requests that are still running
	// are answered as given up, so that the answers reach their callers.
	giveUpMargin = 200 * time.Millisecond
	// lingerPeriod is how long a leaving VM still refuses requests after its last
	// answer, before it closes its connections.
	lingerPeriod = 300 * time.Millisecond
	// stopPollInterval is the time between checks for requests in flight.
	stopPollInterval = 10 * time.Millisecond
	// sweepInterval is how often backend servers and VMs whose records are missing
	// are checked, and removed once their grace periods are over.
	sweepInterval = 500 * time.Millisecond
	// warmupJitter is the maximum random delay before a VM opens its warm-up
	// connection to a new backend server. It spreads the connections of all VMs,
	// each of which takes a slot of the server.
	warmupJitter = 1200 * time.Millisecond
	// allocatedBudgetFraction is the fraction of the shared budget of hedges and
	// retries that is divided among the known VMs; the rest is for VMs that start
	// and do not know the others yet.
	allocatedBudgetFraction = 0.8
	// burstFraction is the fraction of a VM's share that may be spent at once; the
	// rest is refilled over Bounds.BudgetWindow.
	burstFraction = 0.6
	// Until a VM knows the others, it assumes that there are at least
	// startupMinVMs, and spends at most startupMaxBurst tokens of a service's
	// budget at once. A budget starts with half of its burst.
	startupMinVMs   = 24
	startupMaxBurst = 3
	// registrationSettleTime is how long a VM that has seen its own record in the
	// store waits for the records of the VMs that started with it. It covers the
	// delay for batching changes and a slow start of these VMs. startupTimeout is
	// the time since its start after which it waits no longer, even if it has not
	// seen its own record.
	registrationSettleTime = 1500 * time.Millisecond
	startupTimeout         = 5 * time.Second
	// heapFraction is the fraction of the allowed memory that the heap may use.
	heapFraction = 0.7
	// replyMemoryFraction and requestMemoryFraction are the fractions of the
	// allowed memory that replies of backend servers, and requests of callers
	// and other VMs, may hold at once. Copies and uncollected garbage come on
	// top. defaultMemoryBytes is assumed if the settings set no limit.
	replyMemoryFraction   = 0.15
	requestMemoryFraction = 0.1
	defaultMemoryBytes    = 512 << 20
	// maxStarvation is how long a VM stays ready that can read no reply.
	maxStarvation = 2 * time.Second
	// readHeaderTimeout limits the time to read the headers of a request, and
	// idleTimeout that of an idle connection, where the configuration has no
	// limits of its own.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
)

// Daemon answers callers on one entry VM.
type Daemon struct {
	settings Settings
	// configured holds the settings as given; in settings, Listen replaces each
	// port 0 by the port in use.
	configured Settings
	// bounds are the settings that Reload may change.
	bounds            atomic.Pointer[Bounds]
	platform          Platform
	logger            *log.Logger
	state             *state
	client            *upstream.Client
	engine            *forward.Engine
	picker            *balance.Picker
	queues            *balance.Queues
	relay             *relay.Client
	started           time.Time
	selfListedAfter   atomic.Int64  // when this VM's record was first seen, in nanoseconds since started
	requestLogLimiter *rate.Limiter // for log lines of ordinary requests
	metrics           *metrics.Set
	sendWait          *metrics.Histogram // see recordSent
	registration      atomic.Pointer[registration]
	// replyMemory and requestMemory limit the bytes that are held at once.
	replyMemory, requestMemory *limit.Memory
	panics                     *contain.Panics
	// leaving is set from the start of a stop. refusing is set when the VM no longer
	// forwards new requests, and stopping is closed when those in flight are given up.
	leaving, refusing atomic.Bool
	stopping          chan struct{}
	forwarding        atomic.Int64 // requests that are being forwarded or answered
	// listeners are set by Listen.
	listeners []listener
	applyMu   sync.Mutex // serializes apply
	warmed    map[*config.Backend]bool
	// cancelBackground cancels backgroundCtx after the drain; background waits for
	// the goroutines that then end.
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
	background       sync.WaitGroup
}

// New returns a Daemon that Run starts.
func New(set Settings, p Platform, logger *log.Logger) *Daemon {
	d := &Daemon{
		settings: set, configured: set, platform: p, logger: logger, started: time.Now(), metrics: metrics.NewSet(),
		requestLogLimiter: rate.NewLimiter(maxRequestLogsPerSecond, maxRequestLogsPerSecond),
		replyMemory:       limit.NewMemory(0), requestMemory: limit.NewMemory(0),
		stopping: make(chan struct{}),
	}
	d.sendWait = d.metrics.NewHistogram("briarstand_entry_send_wait_seconds")
	d.limitHeldMemory(set.MemoryBytes)
	d.panics = contain.New(logger, d.metrics.NewCounter("briarstand_entry_panics_total"))
	d.backgroundCtx, d.cancelBackground = context.WithCancel(context.Background())
	d.bounds.Store(&set.Bounds)
	d.state = newState(p, &set, logger, d.panics)
	policy := forward.DefaultPolicy()
	d.client = upstream.NewClient(upstream.Config{
		ReplyGrace: policy.AbandonGrace,
		Protocol:   p, Memory: d.replyMemory, Panics: d.panics, UsableUntil: d.state.registry.UsableUntil,
		LeavingPeriod: leavingPeriod(&set), NoticeRetention: serverRetention, Noticed: d.logNotice, PauseEnded: d.logPauseEnd, Sent: d.recordSent,
	})
	d.picker = balance.NewPicker(balance.Config{})
	d.queues = balance.NewQueues()
	d.relay = relay.NewClient(set.VMID, set.Zone, set.Region, set.Zones)
	d.relay.Panics, d.relay.ReplyGrace = d.panics, policy.AbandonGrace
	d.engine = forward.NewEngine(forward.Config{
		Transport: d.client, Replicas: d.state.registry, Picker: d.picker, Queues: d.queues, Relay: d.relay, InOtherRegion: d.relay.InOtherRegion,
		Latencies: balance.NewLatencies(balance.LatencyConfig{}), Policy: policy,
		BudgetPermille: allocatedPermille(set.BudgetPermille), Metrics: d.metrics, Panics: d.panics,
	})
	d.registerMetrics()
	d.updateShares()
	return d
}

// serverRetention is how long a backend server that is no longer listed is
// remembered. Its record may have expired only because of a store outage.
const serverRetention = 10 * time.Minute

// Run serves until the context ends, and then drains. It fails with a *ListenError
// if an address cannot be listened on.
func (d *Daemon) Run(ctx context.Context) error {
	setHeapLimit(d.settings.MemoryBytes)
	if err := d.Listen(); err != nil {
		return err
	}
	d.serve()
	peers := newPeerClient(d.state, &d.settings)
	cfg := followerConfig(&d.settings)
	cfg.Mirror, cfg.Store, cfg.Peers, cfg.Source = d.state.mirror, d.platform, peers, peers
	cfg.Logger, cfg.Panics, cfg.Changed = d.logger, d.panics, d.refresh
	follower := mirror.NewFollower(cfg)
	d.state.follower.Store(follower)
	reg := newRegistration(d.platform, d.logger, d.selfMember(), d.settings.MinLease, follower.StoreAnswered, follower.StoreFailed)
	d.registration.Store(reg)
	d.background.Go(func() { follower.Run(d.backgroundCtx) })
	d.background.Go(func() { d.panics.Loop(d.backgroundCtx, "registration", reg.run) })
	d.background.Go(func() { d.panics.Loop(d.backgroundCtx, "sweep", d.sweep) })
	d.logger.Info("started", "callers", d.settings.CallerAddress, "zone", d.settings.Zone)

	<-ctx.Done()
	d.drain(reg)
	d.cancelBackground()
	d.background.Wait()
	peers.client.CloseIdleConnections()
	d.client.Update(nil)
	d.relay.Close()
	d.logger.Info("stopped")
	return nil
}

// listener is an HTTP server of a daemon with its socket.
type listener struct {
	address *string // in the settings
	server  *http.Server
	socket  net.Listener
}

// Listen opens the daemon's sockets; Run calls it too. Addresses with port 0
// get a free port, which Settings returns. It fails with a *ListenError.
func (d *Daemon) Listen() error {
	if d.listeners != nil {
		return nil
	}
	admin := chi.NewRouter()
	admin.Get(ReportPath, d.serveReport)
	admin.Mount("/", telemetry.NewAdminHandler(telemetry.AdminConfig{Metrics: d.metrics, Process: true, Ready: d.readyError}))
	relayHandler := &relay.Handler{
		Transport: d.client, Backends: d.state.registry, Logger: d.logger, Memory: d.requestMemory,
		Abandoned: relay.AbandonedSeconds(d.metrics, "relay"),
	}
	// In the order of shutdown: callers first, other VMs and operators last.
	for _, l := range []struct {
		address *string
		handler http.Handler
	}{
		{&d.settings.CallerAddress, d},
		{&d.settings.ResolveAddress, d.resolveHandler()},
		{&d.settings.ReadyAddress, d.readyHandler()},
		{&d.settings.PeerAddress, peerHandler(d.state, relayHandler)},
		{&d.settings.AdminAddress, admin},
	} {
		if *l.address == "" {
			continue
		}
		opened, err := gracelisten.Listen(*l.address)
		if err != nil {
			for _, open := range d.listeners {
				open.socket.Close()
			}
			d.listeners = nil
			return &ListenError{Address: *l.address, Err: err}
		}
		var socket net.Listener = opened
		*l.address = socket.Addr().String()
		server := d.newServer(l.handler)
		if l.address == &d.settings.CallerAddress {
			socket = &callerListener{Listener: socket, limits: d.callerLimits, memory: d.requestMemory}
			server.ConnState = onCallerConnState
		} else {
			server.ReadHeaderTimeout, server.IdleTimeout = readHeaderTimeout, idleTimeout
			server.MaxHeaderBytes = maxHeaderBytes
		}
		d.listeners = append(d.listeners, listener{address: l.address, socket: socket, server: server})
	}
	return nil
}

func (d *Daemon) newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: d.panics.Handler(handler), ErrorLog: d.logger.StandardLog(), ConnContext: disconnect.ConnContext}
}

// Settings returns the daemon's settings, after Listen with the addresses in
// use.
func (d *Daemon) Settings() Settings { return d.settings }

func (d *Daemon) serve() {
	for _, l := range d.listeners {
		d.background.Go(func() {
			if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
				d.logger.Error("listener ended", "address", *l.address, "error", err.Error())
			}
		})
	}
}

func (d *Daemon) ready() bool { return d.readyError() == nil }

// readyError returns a *NotReadyError if the VM does not accept callers.
func (d *Daemon) readyError() error {
	switch {
	case d.leaving.Load():
		return &NotReadyError{Reason: "the VM is leaving"}
	case d.state.table.Load() == nil:
		return &NotReadyError{Reason: "no configuration is known yet"}
	case !d.state.synced.Load():
		return &NotReadyError{Reason: "no backend servers are known yet"}
	case d.client.Starved(time.Now()) > maxStarvation:
		return &NotReadyError{Reason: "no reply can be read for lack of memory"}
	}
	return nil
}

func (d *Daemon) readyHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(d.platform.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

func (d *Daemon) resolveHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(d.platform.ResolvePath(), func(w http.ResponseWriter, req *http.Request) {
		near := d.platform.DecodeResolveRequest(req)
		addresses := resolve.Nearest(resolve.Serving(d.members()), near.Zone, near.Region, maxAddresses)
		if len(addresses) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ttl := min(addressTTL, d.bounds.Load().MaxAddressTTL)
		if err := d.platform.WriteAddresses(w, addresses, ttl); err != nil {
			d.logger.Info("addresses not delivered", "error", err.Error())
		}
	})
	return r
}

// selfMember returns this VM's own entry, as it is while the VM accepts
// callers.
func (d *Daemon) selfMember() membership.Member {
	return membership.Member{
		ID: d.settings.VMID, Zone: d.settings.Zone, Region: d.settings.Region, CallerAddress: d.settings.CallerAddress,
		PeerAddress: d.settings.PeerAddress, Incarnation: d.started.UnixNano(), Cores: d.settings.Cores, State: membership.Alive,
	}
}

// members returns the VMs whose addresses callers may get. The VM's own
// readiness takes precedence over its record.
func (d *Daemon) members() []membership.Member {
	known := d.state.fleet.Load().members
	members := make([]membership.Member, 0, len(known)+1)
	for _, m := range known {
		if m.ID != d.settings.VMID {
			members = append(members, m)
		}
	}
	if d.ready() {
		members = append(members, d.selfMember())
	}
	return members
}

// refresh applies a change of the mirror. currentAt is the last moment at which the
// records before it were known to be current.
func (d *Daemon) refresh(currentAt time.Time) {
	if d.state.refresh(time.Now(), currentAt) {
		if reg := d.registration.Load(); reg != nil {
			reg.registerAgain()
		}
	}
	d.apply()
}

func (d *Daemon) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.state.sweep(time.Now())
			d.apply()
		}
	}
}

// apply passes the VM's view of servers, VMs and services to the components
// that depend on it. These drop their state of servers, VMs and services that
// are gone.
func (d *Daemon) apply() {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	limits := d.state.connectionLimits(d.updateShares())
	d.client.Update(limits)
	d.withdrawWaiting()
	serving := resolve.Serving(d.members())
	serves := slices.ContainsFunc(serving, func(m membership.Member) bool { return m.ID == d.settings.VMID })
	d.relay.SetMembers(d.backgroundCtx, serving)
	ids := map[string]bool{}
	for b := range limits {
		ids[b.ID] = true
	}
	d.picker.Retain(ids)
	d.queues.Retain(ids)
	table := d.state.table.Load()
	if table == nil {
		return
	}
	used := table.InUse()
	if serves {
		d.warmBackends(used)
	}
	// A budget is also kept while its service has backend servers, even if no
	// route uses the service: a configuration may drop it and the next one add it
	// again, and a new budget would restore tokens that are already spent.
	for service := range d.state.registry.Services() {
		used[service] = true
	}
	d.engine.RetainServices(used)
}

// withdrawWaiting ends the waits for connections to servers that requests are no longer
// placed at, so that these requests go to other servers of their services.
func (d *Daemon) withdrawWaiting() {
	now := time.Now()
	usable := map[*config.Backend]bool{}
	for _, replicas := range d.state.registry.Services() {
		for _, b := range replicas.Usable(now) {
			usable[b] = true
		}
	}
	d.client.WithdrawWaiting(func(b *config.Backend) bool { return usable[b] })
}

// updateShares sets this VM's share of the budget of hedges and retries, and
// returns the fraction of all shared limits that this VM may use.
func (d *Daemon) updateShares() float64 {
	fleet := d.state.fleet.Load()
	if d.fleetKnown(fleet) {
		fraction := fleet.fraction(d.settings.VMID, 1)
		d.engine.SetShare(d.budgetShare(fraction))
		return fraction
	}
	fraction := fleet.fraction(d.settings.VMID, startupMinVMs)
	share := d.budgetShare(fraction)
	share.Burst = min(share.Burst, startupMaxBurst)
	d.engine.SetShare(share)
	return fraction
}

// fleetKnown reports whether the VM has had time to see the others register.
func (d *Daemon) fleetKnown(f *fleet) bool {
	up := time.Since(d.started)
	if d.selfListedAfter.Load() == 0 && f.hasIncarnation(d.settings.VMID, d.started.UnixNano()) {
		d.selfListedAfter.Store(int64(up))
	}
	listed := time.Duration(d.selfListedAfter.Load())
	return up >= startupTimeout || listed > 0 && up-listed >= registrationSettleTime
}

// budgetShare returns the token bucket of a VM that may use a fraction of the
// shared budget of hedges and retries. In one Bounds.BudgetWindow it can spend
// a full bucket plus the refill of the window, so the burst and the refill
// together make up its share.
func (d *Daemon) budgetShare(fraction float64) limit.BudgetShare {
	bounds := d.bounds.Load()
	slack := bounds.BudgetSlack * allocatedBudgetFraction * fraction
	return limit.BudgetShare{Burst: slack * burstFraction, PerSecond: slack * (1 - burstFraction) / bounds.BudgetWindow.Seconds()}
}

// warmBackends opens a warm-up connection to each new backend server of the
// services.
func (d *Daemon) warmBackends(services map[string]bool) {
	warmed := map[*config.Backend]bool{}
	for service, replicas := range d.state.registry.Services() {
		if !services[service] {
			continue
		}
		for _, b := range replicas.Ready {
			if !d.warmed[b] {
				d.background.Go(func() { d.warmBackend(b) })
			}
			warmed[b] = true
		}
	}
	d.warmed = warmed
}

func (d *Daemon) warmBackend(b *config.Backend) {
	defer d.panics.Recover("warm-up connection", nil)
	select {
	case <-d.backgroundCtx.Done():
		return
	case <-time.After(rand.N(warmupJitter)):
	}
	if err := d.client.Warm(d.backgroundCtx, b); err != nil {
		d.logger.Info("no warm-up connection to backend server", "backend", b.ID, "address", b.Address, "error", err.Error())
	}
}

// logNotice logs that a backend server leaves or asks for a pause.
func (d *Daemon) logNotice(b *config.Backend, requestID string, n upstream.Notice) {
	fields := []any{"backend", b.ID, "address", b.Address, "leaving", n.Leaving, "pause_ms", n.Pause.Milliseconds(), telemetry.FieldRequestID, requestID}
	if n.UnreadablePause != "" {
		fields = append(fields, "unreadable_pause", n.UnreadablePause)
	}
	d.logger.Info("notice of a backend server", fields...)
}

// logPauseEnd logs that a backend server gets requests again.
func (d *Daemon) logPauseEnd(b *config.Backend) {
	d.logger.Info("pause of a backend server is over", "backend", b.ID, "address", b.Address)
}

// recordSent records how long an attempt waited between the choice of its server and
// the write of its request, and logs requests to servers that are not ready.
func (d *Daemon) recordSent(b *config.Backend, requestID string, waited time.Duration) {
	d.sendWait.Update(waited.Seconds())
	standing, known := d.state.registry.Standing(b)
	if known && standing.Status == discovery.Ready || !d.requestLogLimiter.Allow() {
		return
	}
	now := time.Now()
	d.logger.Info("request sent to a backend server that is not ready", "backend", b.ID, telemetry.FieldRequestID, requestID, "status", standing.Status.String(),
		"known_ms", now.Sub(standing.Since).Milliseconds(), "waited_ms", waited.Milliseconds(), "records_age_ms", d.state.age(now).Milliseconds())
}

// drain stops the daemon without aborting requests: it first marks the VM as
// leaving, so that callers no longer get its address, then refuses new requests and
// waits for the last ones, lingers, and closes the listeners at the latest stopMargin
// before the end of the stop grace period. Requests that are still running shortly
// before that are answered as given up.
func (d *Daemon) drain(reg *registration) {
	end := time.Now().Add(d.bounds.Load().StopGrace - stopMargin)
	d.leaving.Store(true)
	reg.leave()
	d.logger.Info("leaving", "serve_ms", drainServe.Milliseconds())
	time.Sleep(min(drainServe, time.Until(end)/2))
	d.refusing.Store(true)
	if !d.awaitRequests(end.Add(-giveUpMargin)) {
		d.logger.Warn("requests given up at the end of the stop grace period", "requests", d.forwarding.Load())
		close(d.stopping)
		d.awaitRequests(end)
	}
	// The callers of the last answers may send the next requests on other open
	// connections.
	time.Sleep(min(lingerPeriod, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for _, l := range d.listeners {
		if err := l.server.Shutdown(ctx); err != nil {
			d.logger.Warn("requests aborted at the end of the stop grace period", "address", *l.address, "error", err.Error())
		}
	}
}

// beginForwarding reports whether a request may be forwarded. If so, the stop of
// the VM waits for endForwarding.
func (d *Daemon) beginForwarding() bool {
	d.forwarding.Add(1)
	if d.refusing.Load() {
		d.forwarding.Add(-1)
		return false
	}
	return true
}

func (d *Daemon) endForwarding() { d.forwarding.Add(-1) }

// awaitRequests waits until no request is being forwarded, and returns false if
// some are at the time end.
func (d *Daemon) awaitRequests(end time.Time) bool {
	for d.forwarding.Load() > 0 {
		if !time.Now().Before(end) {
			return false
		}
		time.Sleep(min(stopPollInterval, time.Until(end)))
	}
	return true
}
