package rollout

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/membership"
)

// runWatch watches the store while this VM is one of the watchers.
func (c *Controller) runWatch(ctx context.Context) {
	backoff := minBackoff
	for {
		if !c.isWatcher() {
			if !sleep(ctx, c.jitter(2*time.Second)) {
				return
			}
			continue
		}
		if err := c.watch(ctx); err == nil {
			backoff = minBackoff
			continue
		} else if ctx.Err() == nil {
			c.cfg.Logger.Warn("store not watched", "error", err)
		}
		if !sleep(ctx, c.jitter(2*backoff)) {
			return
		}
		backoff = min(2*backoff, maxStoreBackoff)
	}
}

func (c *Controller) isWatcher() bool {
	chosen := selectWatchers(c.cfg.Membership.View().Members, c.cfg.Watchers)
	return c.freshness.loaded() && indexByID(chosen, c.self.ID) >= 0
}

// watch makes one long poll of the store and applies the changes.
func (c *Controller) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+storeTimeout)
	defer cancel()
	listing, err := c.cfg.Store.Watch(ctx, config.ServicesPrefix, c.inventory.completeIndex(), watchWait)
	if err != nil {
		return err
	}
	return c.applyListing(listing)
}

// runPoll polls the store, in case watches and pushes have missed a change. It
// reads the accepted marks, which are small, about every PollInterval, and all
// documents about every fullPollInterval, which is longer in a large fleet.
func (c *Controller) runPoll(ctx context.Context) {
	full := time.Now()
	for sleep(ctx, c.jitter(4*c.cfg.PollInterval/3)) {
		if !c.freshness.loaded() {
			continue
		}
		if err := c.poll(ctx, &full); err != nil {
			c.cfg.Logger.Warn("store not polled", "error", err)
		}
	}
}

func (c *Controller) poll(ctx context.Context, full *time.Time) error {
	n := len(c.cfg.Membership.View().Members)
	if time.Since(*full) >= fullPollInterval(n, c.cfg.PollInterval)*9/10 {
		if err := c.loadAll(ctx); err != nil {
			return err
		}
		*full = time.Now()
	}
	behind, err := c.readMarks(ctx)
	for _, name := range behind {
		if err := c.fetch(ctx, name); err != nil {
			c.cfg.Logger.Warn("accepted document not read", "service", name, "error", err)
		}
	}
	return err
}

// runRefresh keeps this VM fresh when probes do not, and recovers its freshness
// after it has expired.
func (c *Controller) runRefresh(ctx context.Context) {
	var r recovery
	for sleep(ctx, c.jitter(2*scheduleInterval)) {
		switch {
		case !c.freshness.loaded():
		case c.cfg.Membership.HasNoOtherVMs():
			r = recovery{}
			c.refreshAlone(ctx)
		case c.freshness.remaining() > c.freshness.window/2:
			r = recovery{}
		default:
			// The timeout keeps a dead peer from using up the time that
			// remains to read the store.
			peersCtx, cancel := context.WithTimeout(ctx, c.freshness.window/8)
			c.refreshFromPeers(peersCtx)
			cancel()
			if c.freshness.remaining() <= c.freshness.window/2 {
				c.recoverFreshness(ctx, &r)
			}
		}
	}
}

// refreshAlone keeps a VM without peers fresh by reading the store from time to
// time. While the store is down, a VM that is still fresh and knows no other VM
// stays fresh, since no revision can have been accepted without its confirmation. A
// VM whose freshness has expired may not know VMs that started since then, so it has
// to pull from the whole fleet.
func (c *Controller) refreshAlone(ctx context.Context) {
	if c.freshness.remaining() > 2*c.freshness.window/3 {
		return
	}
	began := time.Now()
	storeCtx, cancel := context.WithTimeout(ctx, c.freshness.window/4)
	defer cancel()
	err := c.loadAll(storeCtx)
	var decode *DecodeError
	if err == nil || errors.As(err, &decode) {
		return
	}
	switch {
	case !c.cfg.Membership.HasNoOtherVMs():
	case c.freshness.fresh():
		c.freshness.grant(began)
	default:
		if err := c.pullFromFleet(ctx, c.freshness.expiresAt()); err != nil {
			c.cfg.Logger.Debug("fleet not reached", "error", err)
		}
	}
}

// refreshFromPeers pulls from a few peers, preferring those heard recently.
func (c *Controller) refreshFromPeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, peer := range c.refreshCandidates() {
		wg.Go(func() { _, _ = c.pull(ctx, peer.PeerAddress, peer.ID) })
	}
	wg.Wait()
}

// refreshCandidates returns up to maxRefreshPeers random members, preferring
// those heard recently.
func (c *Controller) refreshCandidates() []membership.Contact {
	contacts := c.cfg.Membership.Contacts()
	contacts = slices.DeleteFunc(contacts, func(m membership.Contact) bool { return m.State == membership.Dead })
	c.shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	now := time.Now()
	staleRank := func(m membership.Contact) int {
		if now.Sub(m.LastHeard) <= c.cfg.FreshnessWindow {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(contacts, func(a, b membership.Contact) int { return staleRank(a) - staleRank(b) })
	return contacts[:min(len(contacts), maxRefreshPeers)]
}

// recovery is the state of the attempts to become fresh when pulls from a few
// peers do not suffice.
type recovery struct {
	expiredAt     time.Time // when expiry was noticed; zero if freshness has not expired
	nextStoreRead time.Time // next read of the store
	storeBackoff  time.Duration
	nextFleetPull time.Time // next attempt to pull from the whole fleet
}

// recoverFreshness reads the store, and after freshness has expired also tries to
// pull from every listed VM.
func (c *Controller) recoverFreshness(ctx context.Context, r *recovery) {
	if r.expiredAt.IsZero() && !c.freshness.fresh() {
		c.planRecovery(r)
	}
	if !time.Now().Before(r.nextStoreRead) {
		c.recoverFromStore(ctx, r)
	}
	if !r.expiredAt.IsZero() && !c.freshness.fresh() && !time.Now().Before(r.nextFleetPull) {
		if err := c.pullFromFleet(ctx, r.expiredAt); err != nil {
			c.cfg.Logger.Debug("fleet not reached", "error", err)
		}
		r.nextFleetPull = time.Now().Add(c.jitter(maxBackoff))
	}
}

// planRecovery schedules the attempts after freshness has expired. Their times
// differ between VMs, because freshness may have expired in the whole fleet, and
// the first VM that recovers refreshes the others through probes.
func (c *Controller) planRecovery(r *recovery) {
	now := time.Now()
	c.cfg.Logger.Warn("lapsed: new queries are refused", "lapsed_at", c.freshness.expiresAt())
	r.expiredAt = now
	r.nextFleetPull = now.Add(time.Second + time.Duration(c.recoveryRank())*time.Second)
	if soon := now.Add(c.jitter(2 * time.Second)); r.nextStoreRead.Before(soon) {
		r.nextStoreRead = soon
	}
}

func (c *Controller) recoverFromStore(ctx context.Context, r *recovery) {
	if err := c.loadAll(ctx); err == nil {
		r.storeBackoff = minBackoff
		r.nextStoreRead = time.Now().Add(c.freshness.window / 4)
		return
	}
	r.storeBackoff = min(max(2*r.storeBackoff, minBackoff), maxStoreBackoff)
	r.nextStoreRead = time.Now().Add(c.jitter(r.storeBackoff))
}

// maxRecoveryRank is the maximum rank in the delay before the first pull from the
// fleet. The delay is one second plus one second per rank.
const maxRecoveryRank = 20

func (c *Controller) recoveryRank() int {
	ranked := membership.Rendezvous("recovery", c.cfg.Membership.View().Members)
	return min(max(indexByID(ranked, c.self.ID), 0), maxRecoveryRank)
}

// UnreachableVMError reports a listed VM that could not be reached.
type UnreachableVMError struct {
	ID  string
	Err error
}

func (e *UnreachableVMError) Error() string { return "VM " + e.ID + " not reached: " + e.Err.Error() }

func (e *UnreachableVMError) Unwrap() error { return e.Err }

// pullFromFleet pulls from every VM on the platform's list, which it reads after
// the expiry. If every VM that is not leaving answers, this VM has the highest
// revisions among them and is fresh. Without a VMLister it does nothing.
func (c *Controller) pullFromFleet(ctx context.Context, expiredAt time.Time) error {
	if c.cfg.VMLister == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.freshness.window)
	defer cancel()
	began := time.Now()
	if !began.After(expiredAt) {
		return nil
	}
	rows, err := c.cfg.VMLister.ListVMs(ctx)
	if err != nil {
		return err
	}
	c.cfg.Membership.SetList(rows, began)
	if err := c.pullFromAll(ctx, rows); err != nil {
		return err
	}
	c.freshness.grant(began)
	c.cfg.Logger.Info("fresh again: every listed VM answered", "vms", len(rows))
	return nil
}

func (c *Controller) pullFromAll(ctx context.Context, rows []kvstore.VM) error {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxDirectCalls)
	errs := make(chan error, len(rows))
	for _, vm := range rows {
		if vm.ID == c.self.ID {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if _, err := c.pull(ctx, vm.PeerAddress, vm.ID); err != nil && vm.State != kvstore.VMLeaving {
				errs <- &UnreachableVMError{vm.ID, err}
			}
		})
	}
	wg.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// Start reads the configuration. It first announces this VM to peers, then reads
// the store or pulls from a fresh peer, and retries until the VM is fresh. It
// returns a *NotReadyError if ctx ends before that.
func (c *Controller) Start(ctx context.Context) error {
	backoff := minBackoff
	for {
		err := c.start(ctx)
		if err == nil {
			return nil
		}
		c.cfg.Logger.Warn("configuration not read yet", "error", err)
		if !sleep(ctx, c.jitter(2*backoff)) {
			return &NotReadyError{err}
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// announceTimeout bounds the announcement with which each attempt of Start begins.
// Every attempt announces the VM again before it reads the configuration, because
// peers remove a VM that stays silent, and a read may be relied on only while they
// know the VM.
const announceTimeout = 2 * time.Second

func (c *Controller) start(ctx context.Context) error {
	if err := c.cfg.Membership.ReadList(ctx); err != nil {
		c.cfg.Logger.Warn("platform's VM list not read", "error", err)
	}
	announceCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	c.cfg.Membership.Announce(announceCtx, c.cfg.AnnouncePeers)
	storeErr := c.loadAll(ctx)
	if storeErr == nil && c.freshness.fresh() {
		if _, err := c.readMarks(ctx); err != nil {
			c.cfg.Logger.Warn("accepted marks not read", "error", err)
		}
		return nil
	}
	c.refreshFromPeers(ctx)
	switch {
	case c.freshness.fresh():
		return nil
	case storeErr != nil:
		return storeErr
	default:
		return errUnannounced
	}
}

var errUnannounced = &NotAdmittedError{"the read of the store took too long, or no peer answered and the platform's VM list lacks this VM"}

// Status returns the progress of a revision's rollout; revision 0 means the newest
// that this VM knows. Unless this VM knows the progress, because it drives the
// rollout or knows that the revision is accepted, Status makes one round of
// confirmations. It fails with an *UnknownRevisionError if neither this VM nor the
// store has the revision.
func (c *Controller) Status(ctx context.Context, service string, revision int64) (Status, error) {
	svc, revision, err := c.resolveRevision(ctx, service, revision)
	if err != nil {
		return Status{}, err
	}
	if s, ok := c.knownStatus(service, revision); ok {
		return s, nil
	}
	r := c.runRound(ctx, svc, false)
	if err := ctx.Err(); err != nil {
		return Status{}, err
	}
	return r.status(service, revision, c.acceptedRevision(service)), nil
}

// resolveRevision returns the newest document of a service and the revision to
// report on.
func (c *Controller) resolveRevision(ctx context.Context, service string, revision int64) (*config.Service, int64, error) {
	svc := c.cfg.Registry.Snapshot().Document(service)
	if svc == nil || revision > svc.Revision {
		if err := c.fetch(ctx, service); err != nil && !errors.Is(err, kvstore.ErrNotFound) {
			return nil, 0, err
		}
		svc = c.cfg.Registry.Snapshot().Document(service)
	}
	switch {
	case svc == nil:
		return nil, 0, &UnknownRevisionError{Service: service, Revision: revision}
	case revision > svc.Revision:
		return nil, 0, &UnknownRevisionError{service, revision, svc.Revision}
	case revision <= 0:
		revision = svc.Revision
	}
	return svc, revision, nil
}

// knownStatus returns the status of a revision if this VM knows it without asking
// other VMs.
func (c *Controller) knownStatus(service string, revision int64) (Status, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(service)
	s := t.status
	s.WaitingFor = slices.Clone(s.WaitingFor)
	switch {
	case t.accepted >= revision:
		if s.Revision < revision || s.Total != s.InForce {
			n := len(c.cfg.Membership.View().Members)
			s = Status{Total: n, InForce: n}
		}
		return Status{Service: service, Revision: revision, Accepted: true, Total: s.Total, InForce: s.InForce}, true
	case t.driving && s.Revision == revision:
		return s, true
	}
	return Status{}, false
}

// Wait drives the rollout of a revision and returns when it is accepted, or
// with the last status and the context's error when ctx ends. It fails with an
// *UnknownRevisionError as Status does.
func (c *Controller) Wait(ctx context.Context, service string, revision int64) (Status, error) {
	_, revision, err := c.resolveRevision(ctx, service, revision)
	if err != nil {
		return Status{}, err
	}
	c.mu.Lock()
	t := c.task(service)
	t.waiters++
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		t.waiters--
	}()
	c.wakeRun()
	for {
		c.mu.Lock()
		changed, last := t.changed, t.status
		c.mu.Unlock()
		if s, ok := c.knownStatus(service, revision); ok && s.Accepted {
			return s, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			last.Service, last.Revision = service, revision
			last.WaitingFor = slices.Clone(last.WaitingFor)
			return last, ctx.Err()
		}
	}
}

// serviceName returns the name of the service that a document key belongs to.
func serviceName(key string) string { return strings.TrimPrefix(key, config.ServicesPrefix) }
