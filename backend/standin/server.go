// Package standin is an in-memory backend server for development and tests of
// packages backend and server. Tests compare answers with its record of the
// sub-requests that ran. Package kvstore/standin is the platform.
package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// Server is a backend server. All methods are safe for concurrent use.
type Server struct {
	epoch  time.Time
	wake   chan struct{}
	stop   chan struct{}
	wg     sync.WaitGroup
	http   *http.Server
	silent atomic.Bool

	mu        sync.Mutex
	closed    bool
	random    *rand.Rand
	settings  Settings
	faults    Faults
	draining  bool
	startedAt int64
	busy      int // slots in use
	queue     []*job
	events    eventHeap
	scheduled uint64 // number of events scheduled so far
	nextEvent int64
	streams   map[*stream]struct{}
	conns     map[*conn]struct{}
	record    Record
	history   history
}

// New starts a backend server whose random choices are determined by the seed.
// It must be closed.
func New(seed uint64, settings Settings) *Server {
	s := &Server{
		epoch:    time.Now(),
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		random:   rand.New(rand.NewPCG(seed, seed)),
		settings: settings,
		streams:  map[*stream]struct{}{},
		conns:    map[*conn]struct{}{},
	}
	s.clearRecord()
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler:           s.Handler(),
		Protocols:         &protocols,
		ReadHeaderTimeout: 5 * time.Second,
	}
	s.wg.Go(s.loop)
	return s
}

func (s *Server) now() int64 { return int64(time.Since(s.epoch)) }

func (s *Server) at(t int64) time.Time { return s.epoch.Add(time.Duration(t)) }

// Serve serves the connections of a listener until Close, which closes the
// listener.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(&listener{Listener: l, server: s})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve backend stand-in: %w", err)
}

// Close closes all connections and returns when the event loop and all streams
// have ended.
func (s *Server) Close() {
	s.mu.Lock()
	first := !s.closed
	s.closed = true
	s.mu.Unlock()
	if first {
		close(s.stop)
		// The error is only about closing the listeners.
		_ = s.http.Close()
	}
	s.wg.Wait()
}

// Settings returns the current settings.
func (s *Server) Settings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// SetSettings replaces the settings.
func (s *Server) SetSettings(settings Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	s.runQueue(s.now())
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.silent.Store(faults.Silent)
}

// Drain makes the server refuse new sub-requests and announce the drain on all
// streams. Sub-requests that it accepted before are completed.
func (s *Server) Drain() { s.setDraining(true) }

// Restore ends a drain. Streams that saw the announcement must be reopened.
func (s *Server) Restore() { s.setDraining(false) }

func (s *Server) setDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
	for st := range s.streams {
		st.wakeWriter()
	}
}

// Break closes all connections.
func (s *Server) Break() {
	s.mu.Lock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		if c.counted {
			open = append(open, c)
		}
	}
	s.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}

// Restart simulates a restart: it ends a drain, closes all connections, which
// cancels their sub-requests, and starts the cold period (see Settings.ColdFor).
func (s *Server) Restart() {
	s.mu.Lock()
	s.startedAt = s.now()
	s.draining = false
	s.mu.Unlock()
	s.Break()
}

// Record returns the record of what the server did so far.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.summary()
	s.history.copyTo(&r)
	return r
}

// Summary returns the record without individual runs and request ids.
func (s *Server) Summary() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.summary()
}

func (s *Server) summary() Record {
	r := s.record
	r.Draining, r.Streams = s.draining, len(s.streams)
	r.Refused = make(map[string]int64, len(s.record.Refused))
	for reason, n := range s.record.Refused {
		r.Refused[reason] = n
	}
	return r
}

// ResetRecord clears the record, except for the number of open connections.
func (s *Server) ResetRecord() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clearRecord()
}

func (s *Server) clearRecord() {
	open := s.record.Connections.Open
	s.record = Record{Refused: map[string]int64{}, Connections: Connections{Open: open, Peak: open}}
	s.history = history{nonIdempotent: map[string]int{}}
}

// load returns the load to report, between 0 and 1: the fraction of the slots and
// of the queue in use, unless a fault replaces it.
func (s *Server) load() float64 {
	if s.faults.ReportLoad != nil {
		return *s.faults.ReportLoad
	}
	return min(1, float64(s.busy+len(s.queue))/float64(max(1, s.settings.Slots+s.settings.QueueLimit)))
}

// Status reports health and load, which faults can replace.
func (s *Server) Status(
	ctx context.Context, _ *connect.Request[briarstandv1.StatusRequest],
) (*connect.Response[briarstandv1.StatusResponse], error) {
	s.mu.Lock()
	resp := &briarstandv1.StatusResponse{Healthy: true, Draining: s.draining, Load: s.load()}
	if s.faults.ReportHealthy != nil {
		resp.Healthy = *s.faults.ReportHealthy
	}
	for _, h := range s.settings.Holdings {
		resp.IndexVersions = append(resp.IndexVersions, h.Version)
	}
	delay := time.Duration(s.faults.StatusDelay)
	s.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	return connect.NewResponse(resp), nil
}
