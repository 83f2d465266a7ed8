package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/telemetry"
)

// Phase is a stage of the daemon's lifecycle.
type Phase string

// Phases, in order.
const (
	// PhaseStarting: the VM registers, joins the membership and reads the
	// configuration.
	PhaseStarting Phase = "starting"
	// PhaseReady: the VM accepts queries as long as its configuration is fresh. It
	// is fresh if it was confirmed as current within the freshness window.
	PhaseReady Phase = "ready"
	// PhaseLeaving: callers no longer get the VM's address, but it still
	// accepts queries.
	PhaseLeaving Phase = "leaving"
	// PhaseRefusing: new queries get the outcome NOT_RUN; those in flight
	// finish.
	PhaseRefusing Phase = "refusing"
	// PhaseStopped: all APIs are closed.
	PhaseStopped Phase = "stopped"
)

// NotReadyError reports a daemon that is not ready because of its phase.
type NotReadyError struct{ Phase Phase }

func (e *NotReadyError) Error() string { return fmt.Sprintf("the VM is %s", e.Phase) }

// DrainError reports a drain that reached its time limit, so that requests in
// flight were aborted.
type DrainError struct {
	Limit    time.Duration
	InFlight int
	Err      error
}

func (e *DrainError) Error() string {
	return fmt.Sprintf("drain: %d queries were in flight after %s (drain-timeout): %v", e.InFlight, e.Limit, e.Err)
}

func (e *DrainError) Unwrap() error { return e.Err }

// phaseState holds the phase of a daemon; the zero value means PhaseStarting.
type phaseState struct{ value atomic.Value }

func (p *phaseState) get() Phase {
	if v, ok := p.value.Load().(Phase); ok {
		return v
	}
	return PhaseStarting
}

func (p *phaseState) set(v Phase) { p.value.Store(v) }

func (p *phaseState) ready() error {
	if v := p.get(); v != PhaseReady {
		return &NotReadyError{Phase: v}
	}
	return nil
}

// Phase returns the current phase.
func (s *Server) Phase() Phase { return s.phase.get() }

func (s *Server) enter(p Phase) {
	s.phase.set(p)
	s.cfg.Logger.Info("phase", "phase", string(p), "in_flight", s.engine.InFlight())
}

// Run serves until ctx ends and then drains. From the start of the drain, callers no
// longer get the VM's address. The VM still accepts queries for longer than callers
// may cache the address, and then answers new queries with the outcome NOT_RUN. Run
// returns when the queries in flight have finished. If the drain takes longer than
// Settings.DrainTimeout, Run aborts them and returns a *DrainError. Run may be called
// only once.
func (s *Server) Run(ctx context.Context) error {
	defer s.Close()
	// runCtx outlives ctx: it ends after the drain or when a component fails.
	runCtx, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stop(nil)
	var components sync.WaitGroup
	s.startComponents(runCtx, stop, &components)

	serveCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(runCtx, cancel)
	err := s.start(serveCtx, &components)
	if err == nil {
		<-serveCtx.Done()
	}
	if runCtx.Err() == nil {
		err = s.drain(runCtx)
	}
	stop(nil)
	components.Wait()
	s.enter(PhaseStopped)
	if cause := context.Cause(runCtx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// startComponents starts the APIs, the membership protocol and the rollout
// controller, which run until the drain has ended. A component that fails stops
// the daemon.
func (s *Server) startComponents(runCtx context.Context, stop context.CancelCauseFunc, wg *sync.WaitGroup) {
	component := func(f func() error) {
		wg.Go(func() {
			if err := f(); err != nil && runCtx.Err() == nil {
				s.cfg.Logger.Error("component failed", telemetry.FieldError, err)
				stop(err)
			}
		})
	}
	for l, h := range map[*listener]http.Handler{
		s.caller: s.callerHandler(), s.operator: s.operatorHandler(),
		s.peer: s.peerHandler(s.membership.Self().Incarnation), s.admin: s.adminHandler(),
	} {
		s.cfg.Logger.Info("listening", "api", l.api, "address", l.address())
		component(func() error { return l.serve(h) })
		context.AfterFunc(runCtx, func() { _ = l.http.Close() })
	}
	component(func() error { return s.membership.Run(runCtx) })
	component(func() error { return s.rollout.Run(runCtx) })
}

// start registers with the platform's VM list, so that other starting VMs
// discover this one, and reads the configuration.
func (s *Server) start(ctx context.Context, wg *sync.WaitGroup) error {
	if err := s.register(ctx, kvstore.VMLive); err != nil {
		s.cfg.Logger.Warn("cannot register with the platform's VM list, will retry", telemetry.FieldError, err)
		wg.Go(func() { s.retryRegister(ctx) })
	}
	if err := s.rollout.Start(ctx); err != nil {
		if ctx.Err() != nil {
			return nil // stopped before the configuration was read
		}
		return fmt.Errorf("start: %w", err)
	}
	s.membership.SetState(membership.Alive)
	s.enter(PhaseReady)
	return nil
}

func (s *Server) register(ctx context.Context, state kvstore.VMState) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Settings.PlatformTimeout)
	defer cancel()
	self := s.membership.Self()
	return s.cfg.Platform.RegisterVM(ctx, kvstore.VM{
		ID: self.ID, Zone: self.Zone, Region: self.Region, PeerAddress: self.PeerAddress, State: state,
	})
}

// retryRegister retries the registration until it succeeds or the VM leaves.
func (s *Server) retryRegister(ctx context.Context) {
	for {
		if !sleep(ctx, registerRetryDelay) {
			return
		}
		if err := s.register(ctx, kvstore.VMLive); err == nil {
			s.cfg.Logger.Info("registered with the platform's VM list")
			return
		}
	}
}

// drain performs the steps of a graceful shutdown. A VM that never became ready
// has no callers and skips the waits for them.
func (s *Server) drain(runCtx context.Context) error {
	set := s.cfg.Settings
	drainCtx, cancel := context.WithTimeout(runCtx, set.DrainTimeout)
	defer cancel()

	wasReady := s.phase.get() == PhaseReady
	s.enter(PhaseLeaving)
	s.membership.SetState(membership.Leaving)
	if err := s.register(drainCtx, kvstore.VMLeaving); err != nil {
		s.cfg.Logger.Warn("cannot mark this VM as leaving on the platform's VM list", telemetry.FieldError, err)
	}
	if wasReady {
		sleep(drainCtx, set.DrainServe)
	}

	s.enter(PhaseRefusing)
	s.engine.Drain()
	if wasReady {
		sleep(drainCtx, refusalPeriod)
		// Refuse new connections before the server shuts down: one accepted
		// during the shutdown could be reset with its first request in transit.
		s.caller.stopAccepting()
	}
	if err := s.engine.Wait(drainCtx); err != nil {
		return &DrainError{Limit: set.DrainTimeout, InFlight: s.engine.InFlight(), Err: err}
	}
	if wasReady {
		// The callers of the last queries may send the next ones on other open
		// connections.
		sleep(drainCtx, lingerPeriod)
	}
	return s.leave(drainCtx)
}

// closeWhileRefusing asks HTTP/1 callers to close their connections if the VM
// refuses queries when the response begins, also to a query that began before.
// http.Server.SetKeepAlivesEnabled(false) would close idle connections at once and
// lose the requests in transit on them.
func (s *Server) closeWhileRefusing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 {
			w = &closingWriter{ResponseWriter: w, close: func() bool { return s.phase.get() == PhaseRefusing }}
		}
		next.ServeHTTP(w, r)
	})
}

// closingWriter adds "Connection: close" to a response if close returns true when the
// response begins.
type closingWriter struct {
	http.ResponseWriter
	close func() bool
	began bool
}

func (w *closingWriter) begin() {
	if !w.began && w.close() {
		w.Header().Set("Connection", "close")
	}
	w.began = true
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher, which connect requires of streams.
func (w *closingWriter) Flush() {
	w.begin()
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap lets http.ResponseController reach the wrapped writer.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// leave closes the caller and operator APIs, deregisters the VM, and then closes
// the peer and admin APIs. The peer API is closed late because other VMs may
// still relay a query with a ticket that this VM issued, or ask whether this VM has
// a revision in force.
func (s *Server) leave(ctx context.Context) error {
	err := errors.Join(s.caller.shutdown(ctx), s.operator.shutdown(ctx))
	if derr := s.deregister(ctx); derr != nil {
		s.cfg.Logger.Warn("this VM was not removed from the platform's VM list", telemetry.FieldError, derr)
	}
	if err = errors.Join(err, s.peer.shutdown(ctx), s.admin.shutdown(ctx)); err != nil {
		return &DrainError{Limit: s.cfg.Settings.DrainTimeout, InFlight: s.engine.InFlight(), Err: err}
	}
	return nil
}

func (s *Server) deregister(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Settings.PlatformTimeout)
	defer cancel()
	return s.cfg.Platform.DeregisterVM(ctx, s.cfg.Settings.VMID)
}

// sleep waits for d or until ctx ends, and reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
