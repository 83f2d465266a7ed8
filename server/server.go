// Package server implements the daemon briarstandd: the caller, operator, peer and
// admin APIs, each on its own listener, and the lifecycle from start to exit. The
// caller and operator APIs are the RPC services of package briarstandv1. Package
// entry implements the other daemon, briarstand-entry, which forwards plain HTTP
// requests on the users' platform.
package server

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/balance"
	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/config/command"
	configquery "github.com/briarstand/briarstand/config/query"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/internal/disconnect"
	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/peer"
	"github.com/briarstand/briarstand/query"
	"github.com/briarstand/briarstand/resolve"
	"github.com/briarstand/briarstand/rollout"
	"github.com/briarstand/briarstand/server/callerapi"
	"github.com/briarstand/briarstand/server/operatorapi"
	"github.com/briarstand/briarstand/telemetry"
	"github.com/briarstand/briarstand/ticket"
)

// Addresses holds the bound listen address of each API, with its actual port.
type Addresses struct {
	Caller, Operator, Peer, Admin string
}

// Server is one daemon. New opens its listeners; Run serves them.
type Server struct {
	cfg       Config
	addresses Addresses
	caller    *listener
	operator  *listener
	peer      *listener
	admin     *listener

	registry   *config.Registry
	membership *membership.Membership
	rollout    *rollout.Controller
	peers      *peer.Client
	pool       *backend.Pool
	engine     *query.Engine
	phase      phaseState
}

// New opens the listeners of a daemon and creates its components. It returns a
// *ListenError when an address cannot be listened on. A Server that is not run
// must be closed.
func New(cfg Config) (*Server, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, registry: config.NewRegistry()}
	if err := s.open(); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.assemble(time.Now().UnixNano()); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Addresses returns the addresses that the daemon listens on.
func (s *Server) Addresses() Addresses { return s.addresses }

// open opens all listeners before any component starts, so that a daemon whose
// address is in use never joins the membership.
func (s *Server) open() (err error) {
	set := &s.cfg.Settings
	for _, l := range []struct {
		dst          **listener
		api          string
		address      string
		maxBody      int
		boundAddress *string
	}{
		{&s.caller, "caller", set.CallerListen, set.MaxCallerBodyBytes, &s.addresses.Caller},
		{&s.operator, "operator", set.OperatorListen, set.MaxOperatorBodyBytes, &s.addresses.Operator},
		{&s.peer, "peer", set.PeerListen, set.MaxPeerBodyBytes, &s.addresses.Peer},
		{&s.admin, "admin", set.AdminListen, maxAdminBodyBytes, &s.addresses.Admin},
	} {
		if *l.dst, err = listen(s.cfg.apiConfig(l.api, l.address, l.maxBody)); err != nil {
			return err
		}
		*l.boundAddress = (*l.dst).address()
	}
	set.CallerAdvertise = advertisedAddress(set.CallerAdvertise, set.CallerListen, s.addresses.Caller)
	set.PeerAdvertise = advertisedAddress(set.PeerAdvertise, set.PeerListen, s.addresses.Peer)
	return nil
}

// advertisedAddress returns the configured address to advertise. If that is the
// listen address, it returns the bound address, because a listen port of 0 is only
// known once the listener is open.
func advertisedAddress(address, listen, bound string) string {
	if address == listen {
		return bound
	}
	return address
}

// assemble creates and connects the components. The incarnation is the start
// time in nanoseconds since the Unix epoch.
func (s *Server) assemble(incarnation int64) error {
	set := s.cfg.Settings
	s.peers = peer.NewClient(peer.ClientConfig{View: s.view, Metrics: s.cfg.Metrics})
	var err error
	s.membership, err = membership.New(membership.Config{
		Self: membership.Member{
			ID: set.VMID, Zone: set.Zone, Region: set.Region, CallerAddress: set.CallerAdvertise,
			PeerAddress: set.PeerAdvertise, Incarnation: incarnation, State: membership.Joining,
		},
		Transport: s.peers, VMLister: s.cfg.Platform, Seeds: set.Seeds, Rand: s.cfg.newRand(), Logger: s.cfg.slog(),
		ProbeInterval: set.ProbeInterval, ProbeTimeout: set.ProbeTimeout, SuspicionTime: set.SuspicionTime,
	})
	if err != nil {
		return err
	}
	s.rollout = rollout.New(rollout.Config{
		Registry: s.registry, Store: s.cfg.Platform, VMLister: s.cfg.Platform, Membership: s.membership,
		Transport: s.peers, Decode: config.Decode, Rand: s.cfg.newRand(), Logger: s.cfg.slog(),
		FreshnessWindow: set.FreshnessWindow, PollInterval: set.PollInterval,
	})
	s.assembleQueryEngine(incarnation)
	s.registerMetrics()
	return nil
}

func (s *Server) view() *membership.View { return s.membership.View() }

func (s *Server) assembleQueryEngine(incarnation int64) {
	picker := balance.NewPicker(balance.Config{Random: rand.Uint64, Hints: loadHints{s}})
	s.pool = backend.NewPool(backend.PoolConfig{
		Random: rand.Float64, Logger: s.cfg.Logger, Metrics: s.cfg.Metrics, OnConnect: picker.Connected,
	})
	var mu sync.Mutex
	s.registry.OnApply(func(*config.Service) {
		// The lock keeps an older snapshot from replacing a newer one.
		mu.Lock()
		defer mu.Unlock()
		snapshot := s.registry.Snapshot()
		s.pool.Update(snapshot)
		picker.Update(snapshot)
	})
	s.engine = query.NewEngine(query.Config{
		VMID: s.cfg.Settings.VMID, Registry: s.registry, Transport: s.pool, Picker: picker,
		Issuer: ticket.NewIssuer(s.cfg.Settings.VMID, incarnation, ticket.Config{
			TTL: s.cfg.Settings.TicketTTL, MaxEntries: s.cfg.Settings.TicketCapacity,
		}),
		Gate: s.rollout, Relay: s.peers, Logger: s.cfg.Logger, Metrics: s.cfg.Metrics,
	})
}

// loadHints provides the picker with the load that backend servers report.
type loadHints struct{ server *Server }

func (h loadHints) Load(backendID string) (load float64, age time.Duration, ok bool) {
	return h.server.pool.Load(backendID)
}

// Close closes the listeners and the clients that New opened. Run calls it on
// return.
func (s *Server) Close() {
	for _, l := range []*listener{s.caller, s.operator, s.peer, s.admin} {
		if l != nil {
			// The listener may be closed already; the error does not matter.
			_ = l.net.Close()
		}
	}
	if s.pool != nil {
		s.pool.Close()
	}
	if s.peers != nil {
		s.peers.Close()
	}
}

func (s *Server) callerHandler() http.Handler {
	set := s.cfg.Settings
	r := newRouter(s.cfg.apiConfig("caller", "", set.MaxCallerBodyBytes))
	r.Use(disconnect.Handler(func(r *http.Request) {
		s.cfg.Logger.Debug("request dropped, the caller has disconnected", "path", r.URL.Path, "from", r.RemoteAddr)
	}))
	r.Use(s.closeWhileRefusing)
	path, h := callerapi.New(callerapi.Config{
		Engine: s.engine, Address: set.CallerAdvertise, MaxMessageBytes: set.MaxCallerBodyBytes, Metrics: s.cfg.Metrics,
		Resolve: func(req *briarstandv1.ResolveRequest) *briarstandv1.ResolveResponse {
			return resolve.Select(s.membership.View(), req, resolve.Config{TTL: set.AddressTTL})
		},
	})
	return mount(r, path, h)
}

func (s *Server) operatorHandler() http.Handler {
	set := s.cfg.Settings
	r := newRouter(s.cfg.apiConfig("operator", "", set.MaxOperatorBodyBytes))
	path, h := operatorapi.New(operatorapi.Config{
		ConfigWriter: command.New(s.cfg.Platform, time.Now), ConfigReader: configquery.New(s.cfg.Platform),
		Rollouts: rollouts{s.rollout}, VMs: vms{s.membership}, AcceptWait: set.AcceptWait,
		MaxRequestBytes: set.MaxOperatorBodyBytes, MaxConcurrent: set.MaxConcurrentRequests, Logger: s.cfg.Logger,
	})
	return mount(r, path, h)
}

func (s *Server) peerHandler(incarnation int64) http.Handler {
	set := s.cfg.Settings
	r := newRouter(s.cfg.apiConfig("peer", "", set.MaxPeerBodyBytes))
	peerAddr, err := netip.ParseAddrPort(set.PeerAdvertise)
	return mount(r, "/", peer.NewServer(peer.ServerConfig{
		VMID: set.VMID, Incarnation: incarnation, Membership: s.membership, Rollout: s.rollout,
		Query: s.engine.RunRelayed, Logger: s.cfg.slog(), Metrics: s.cfg.Metrics,
		// In a deployment on one machine VMs may advertise different loopback
		// addresses, but connections between them always come from 127.0.0.1, so
		// the source address does not identify the sending VM.
		AllowLoopback: err == nil && peerAddr.Addr().IsLoopback(),
	}))
}

func (s *Server) adminHandler() http.Handler {
	r := newRouter(s.cfg.apiConfig("admin", "", maxAdminBodyBytes))
	return mount(r, "/", telemetry.NewAdminHandler(telemetry.AdminConfig{
		Metrics: s.cfg.Metrics, Process: s.cfg.ProcessMetrics, Ready: s.Ready,
	}))
}

func mount(r *chi.Mux, path string, h http.Handler) http.Handler {
	r.Handle(path+"*", h)
	return r
}

// Ready returns nil while the daemon accepts new queries and is not leaving, and
// otherwise an error with the reason why it is not ready.
func (s *Server) Ready() error {
	if err := s.phase.ready(); err != nil {
		return err
	}
	return s.rollout.Admit()
}
