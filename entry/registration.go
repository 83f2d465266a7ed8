package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/membership"
)

const (
	// leaseTTL is how long this VM's record outlives a crash. Until it expires,
	// callers may still get the VM's address, and each then waits a second before
	// it tries another one.
	leaseTTL = 3 * time.Second
	// renewalsPerTTL is how often a lease is renewed within its TTL.
	renewalsPerTTL = 3
	// registerRetryPause is the mean pause after a failed call.
	registerRetryPause = 700 * time.Millisecond
	// registerRetryTimeout is the timeout of calls after one has failed: a store that
	// answers again is then noticed soon. A slow store takes 400 ms. Every
	// patientRetry-th try has the platform's own timeout, for a store that takes longer.
	registerRetryTimeout = 600 * time.Millisecond
	patientRetry         = 8
)

// registration keeps this VM's record in the store while the daemon runs.
type registration struct {
	platform Platform
	logger   *log.Logger
	member   membership.Member
	ttl      time.Duration
	// onSuccess and onFailure are called after the calls to the store, onFailure with the
	// start of the calls.
	onSuccess   func()
	onFailure   func(start time.Time, err error)
	leaving     atomic.Bool
	again       atomic.Bool // the lease is of an older era of the store
	wake        chan struct{}
	lease       kvstore.LeaseID
	recordState membership.State // the state in the stored record
	failures    int              // calls that have failed in a row
}

func newRegistration(p Platform, logger *log.Logger, m membership.Member, minLease time.Duration, onSuccess func(), onFailure func(start time.Time, err error)) *registration {
	return &registration{platform: p, logger: logger, member: m, ttl: max(leaseTTL, minLease), onSuccess: onSuccess, onFailure: onFailure, wake: make(chan struct{}, 1)}
}

// leave marks the record as leaving, so that callers no longer get this VM's
// address.
func (r *registration) leave() {
	r.leaving.Store(true)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// registerAgain makes run write the record again, with a new lease: a store that has come back
// from an older copy may lack the record, and the lease's id may be another VM's now.
func (r *registration) registerAgain() {
	r.again.Store(true)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run registers the VM and renews its lease until the context ends, and then
// revokes the lease.
func (r *registration) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := r.ttl / renewalsPerTTL
		if r.again.Swap(false) {
			r.lease, r.recordState = "", ""
			r.logger.Info("registering this VM again")
			// All VMs learn of the new era at about the same time.
			sleepUntilDone(ctx, rand.N(registerRetryPause))
		}
		start := time.Now()
		if err := r.step(ctx); err != nil {
			if ctx.Err() == nil {
				r.logFailure(err)
				r.onFailure(start, err)
			}
			pause = registerRetryPause/2 + rand.N(registerRetryPause)
		} else {
			r.onSuccess()
			if r.failures > 0 {
				r.failures = 0
				r.logger.Info("this VM is registered again")
			}
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.wake:
		}
		timer.Stop()
	}
	if r.again.Load() {
		return // the lease is another VM's, or nobody's
	}
	r.revoke()
}

// logFailure logs the first of several failures in a row.
func (r *registration) logFailure(err error) {
	if r.failures == 0 {
		r.logger.Warn("this VM could not register or renew its lease", "error", err.Error())
	}
	r.failures++
}

// step grants a lease if there is none, and then writes the record if the VM's
// state has changed, or else renews the lease.
func (r *registration) step(ctx context.Context) error {
	state := membership.Alive
	if r.leaving.Load() {
		state = membership.Leaving
	}
	if r.lease == "" {
		callCtx, cancel := r.callContext(ctx)
		lease, err := r.platform.GrantLease(callCtx, r.ttl)
		cancel()
		if err != nil {
			return err
		}
		r.lease, r.recordState = lease, ""
	}
	callCtx, cancel := r.callContext(ctx)
	defer cancel()
	var err error
	if r.recordState != state {
		err = r.putRecord(callCtx, state)
	} else {
		err = r.platform.RenewLease(callCtx, r.lease)
	}
	if errors.Is(err, kvstore.ErrLeaseExpired) {
		r.lease, r.recordState = "", ""
		return err
	}
	return err
}

// callContext returns the context of one call.
func (r *registration) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.failures%patientRetry != 0 {
		return context.WithTimeout(ctx, registerRetryTimeout)
	}
	return ctx, func() {}
}

func (r *registration) putRecord(ctx context.Context, state membership.State) error {
	m := r.member
	m.State = state
	key, value, err := r.platform.EncodeVM(m)
	if err != nil {
		return err
	}
	if err := r.platform.Put(ctx, key, value, r.lease); err != nil {
		return err
	}
	r.recordState = state
	return nil
}

// revoke revokes the lease, which deletes the record. If the call fails, the
// record is deleted when the lease expires.
func (r *registration) revoke() {
	if r.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := r.platform.RevokeLease(ctx, r.lease); err != nil {
		r.logger.Warn("lease not revoked, it will expire", "error", err.Error())
	}
}

// sleepUntilDone waits for d or until the context ends.
func sleepUntilDone(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// revokeTimeout limits the last call of a process that stops.
const revokeTimeout = 300 * time.Millisecond
