package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/membership"
)

const (
	// maxUnreachableTargets is the maximum number of VMs that one pass of a
	// round pushes to although they are suspect, dead or not in the member
	// table. Membership probes such VMs too. Once a probe has reached one, later
	// rounds push to it through the tree.
	maxUnreachableTargets = 16
	// maxDiscoveryPasses is the maximum number of passes in a round. Each pass
	// pushes to VMs that the round has not tried yet, such as those that it
	// learned of from confirmations.
	maxDiscoveryPasses = 4
)

// drive runs rounds for a service until its newest revision is accepted, or
// until a coordinator with a better rank is active.
func (c *Controller) drive(ctx context.Context, t *task) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		t.driving = false
	}()
	if !c.confirmTakeover(ctx, t) {
		return
	}
	var acc acceptance
	backoff := minBackoff
	var sent int64 // newest revision that was pushed with its document
	for {
		svc, done := c.nextDocument(t, &acc)
		if done {
			return
		}
		r := c.runRound(ctx, svc, svc.Revision > sent)
		sent = svc.Revision
		if ctx.Err() != nil {
			return
		}
		accepted := c.recordRound(t, &acc, svc, r)
		if accepted >= svc.Revision {
			c.announceAccepted(ctx, svc, r)
			continue
		}
		wait := c.nextRoundDelay(&acc, &backoff)
		if !c.waitForNextRound(ctx, t, svc.Revision, wait) {
			return
		}
	}
}

// confirmTakeover records the accepted mark before this VM takes over a rollout,
// because the VM may have missed that the revision was accepted. If the mark
// cannot be read, the rollout runs anyway, since it is idempotent. A forced rollout
// is not a takeover and needs no mark. The result is false only if ctx has ended;
// the caller must then stop.
func (c *Controller) confirmTakeover(ctx context.Context, t *task) bool {
	c.mu.Lock()
	forced := t.forced(time.Now())
	c.mu.Unlock()
	if forced {
		return true
	}
	revision, err := c.readMark(ctx, t.service)
	if err == nil {
		c.recordAccepted(t.service, revision)
		c.setMarked(t.service, revision)
	}
	return ctx.Err() == nil
}

// nextDocument returns the newest document of a service. It returns true when
// there is nothing left to drive: the revision is accepted, or a coordinator
// with a better rank is active.
func (c *Controller) nextDocument(t *task, acc *acceptance) (*config.Service, bool) {
	svc := c.cfg.Registry.Snapshot().Document(t.service)
	c.mu.Lock()
	defer c.mu.Unlock()
	if svc == nil || t.accepted >= svc.Revision {
		return nil, true
	}
	acc.accepted = max(acc.accepted, t.accepted)
	now := time.Now()
	yield := !t.forced(now) && t.coordinator != "" && t.coordinator != c.self.ID &&
		now.Sub(t.lastPush) < c.cfg.TakeoverStep && ranksBefore(t.service, t.revision, t.coordinator, c.self.ID)
	return svc, yield
}

// ranksBefore reports whether VM a ranks before VM b as coordinator of a
// rollout.
func ranksBefore(service string, revision int64, a, b string) bool {
	key := rolloutKey(service, revision)
	return membership.RendezvousScore(key, a) > membership.RendezvousScore(key, b)
}

// round is the result of one round of confirmations.
type round struct {
	began, ended time.Time
	set          []KnownVM
	confirmed    confirmations
	staleList    bool
}

// valid reports whether the round may count towards acceptance. It may not if the
// platform's list was stale, or if the round took the freshness window or longer.
// The latter shows that this VM was paused; the round's first and last confirmations
// are then too far apart to be combined.
func (r round) valid(window time.Duration) bool {
	return !r.staleList && r.ended.Sub(r.began) < window
}

// runRound collects confirmations from the required set. It reads the platform's
// list before it asks any VM, so that no VM is missed: one that starts after that
// read announces itself to VMs that this round has yet to ask, and these report it.
func (c *Controller) runRound(ctx context.Context, svc *config.Service, document bool) round {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.FreshnessWindow*9/10)
	defer cancel()
	r := round{began: time.Now()}
	list := c.readList(ctx)
	col := newCollector()
	col.addOwn(c, svc.Name)
	tried := map[string]bool{c.self.ID: true}
	for range maxDiscoveryPasses {
		missing := c.untried(list, col, svc.Revision, tried)
		if len(missing) == 0 {
			break
		}
		c.pushAll(ctx, svc, missing, document, col)
		c.resend(ctx, svc, list, col)
		c.pushIndirect(ctx, svc, list, col)
		document = true
	}
	r.set = requiredVMs(list, col.known)
	for i, k := range r.set {
		// The incarnation of a listed VM that is in no member table yet comes
		// from its confirmation.
		r.set[i].Incarnation = max(k.Incarnation, col.confirmed[k.ID].Incarnation)
	}
	r.confirmed, r.staleList = col.confirmed, list.stale
	r.ended = time.Now()
	return r
}

// readList reads the platform's list, and falls back to the last one that was
// read.
func (c *Controller) readList(ctx context.Context) listSnapshot {
	if c.cfg.VMLister == nil {
		return listSnapshot{current: true}
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := time.Now()
	rows, err := c.cfg.VMLister.ListVMs(ctx)
	if err != nil {
		c.cfg.Logger.Debug("platform's VM list not read", "error", err)
		rows, read := c.cfg.Membership.ListedVMs()
		return listSnapshot{rows: rows, stale: read.IsZero() || time.Since(read) > c.cfg.MaxListAge}
	}
	c.cfg.Membership.SetList(rows, began)
	return listSnapshot{rows: rows, current: true}
}

// untried returns the required VMs that have not confirmed a revision and were
// not asked in this round, and adds them to tried.
func (c *Controller) untried(list listSnapshot, col *collector, revision int64, tried map[string]bool) []KnownVM {
	col.mu.Lock()
	defer col.mu.Unlock()
	var out []KnownVM
	for _, k := range unconfirmed(requiredVMs(list, col.known), col.confirmed, revision) {
		if !tried[k.ID] {
			tried[k.ID] = true
			out = append(out, k)
		}
	}
	return out
}

// pushAll pushes through the tree to the targets that are in the member table and
// neither dead nor suspect, and directly to at most maxUnreachableTargets of the
// others.
func (c *Controller) pushAll(ctx context.Context, svc *config.Service, targets []KnownVM, document bool, col *collector) {
	req, err := c.newPushRequest(svc, document, col)
	if err != nil {
		c.cfg.Logger.Error("document not encoded", "service", svc.Name, "error", err)
		return
	}
	tree, others := c.partitionTargets(targets)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.pushDirect(ctx, req, others, c.cfg.RoundTimeout/3, col)
	}()
	c.pushDown(ctx, req, tree, c.cfg.RoundTimeout, col)
	<-done
}

// newPushRequest returns the push request of a round.
func (c *Controller) newPushRequest(svc *config.Service, document bool, col *collector) (*PushRequest, error) {
	col.mu.Lock()
	known := make([]KnownVM, 0, len(col.known))
	for _, k := range col.known {
		known = append(known, k)
	}
	col.mu.Unlock()
	req := &PushRequest{
		Coordinator: c.self.ID,
		Service:     svc.Name,
		Revision:    svc.Revision,
		KnownDigest: knownDigest(known),
		Accepted:    c.acceptedRevision(svc.Name),
	}
	if !document {
		return req, nil
	}
	d, err := encodeDocument(svc)
	req.Document = d
	return req, err
}

// partitionTargets returns the targets for the tree, which are in the member table
// and neither dead nor suspect, and at most maxUnreachableTargets random ones of the
// others. The targets for the tree are in zone order, so that most edges of the tree
// stay within a zone.
// Their order within a zone is random in each round, so that a failed link does
// not always cut off the same VM.
func (c *Controller) partitionTargets(targets []KnownVM) (tree, others []Target) {
	view := c.cfg.Membership.View()
	zones := map[string][]Target{}
	var order []string
	for _, k := range targets {
		m, ok := view.Member(k.ID)
		if !ok || m.State == membership.Suspect {
			others = append(others, Target{k.ID, k.Address})
			continue
		}
		zone := m.Region + "/" + m.Zone
		if zones[zone] == nil {
			order = append(order, zone)
		}
		zones[zone] = append(zones[zone], Target{m.ID, m.PeerAddress})
	}
	slices.Sort(order)
	for _, zone := range order {
		part := zones[zone]
		c.shuffle(len(part), func(i, j int) { part[i], part[j] = part[j], part[i] })
		tree = append(tree, part...)
	}
	c.shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return tree, others[:min(len(others), maxUnreachableTargets)]
}

func (c *Controller) shuffle(n int, swap func(i, j int)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rand.Shuffle(n, swap)
}

// resend pushes the document to VMs that answered but lack the revision, such as
// a VM that restarted after the document was pushed through the tree.
func (c *Controller) resend(ctx context.Context, svc *config.Service, list listSnapshot, col *collector) {
	col.mu.Lock()
	var targets []Target
	for _, k := range unconfirmed(requiredVMs(list, col.known), col.confirmed, svc.Revision) {
		if _, answered := col.confirmed[k.ID]; answered && k.ID != c.self.ID {
			targets = append(targets, Target{k.ID, k.Address})
		}
	}
	col.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	req, err := c.newPushRequest(svc, true, col)
	if err != nil {
		return
	}
	c.pushDirect(ctx, req, targets, c.cfg.RoundTimeout/3, col)
}

const (
	// maxIndirectHelpers is how many VMs are asked to push to the VMs that the
	// coordinator itself cannot reach.
	maxIndirectHelpers = 2
	// maxIndirectTargets is how many VMs each helper is asked to push to.
	maxIndirectTargets = 16
)

// pushIndirect asks VMs that answered the coordinator to push to live VMs that did
// not, because only the link between the coordinator and such a VM may be down.
func (c *Controller) pushIndirect(ctx context.Context, svc *config.Service, list listSnapshot, col *collector) {
	view := c.cfg.Membership.View()
	col.mu.Lock()
	var missing, helpers []Target
	for _, k := range requiredVMs(list, col.known) {
		_, answered := col.confirmed[k.ID]
		m, live := view.Member(k.ID)
		switch {
		case k.ID == c.self.ID || !live:
		case answered:
			helpers = append(helpers, Target{m.ID, m.PeerAddress})
		default:
			missing = append(missing, Target{m.ID, m.PeerAddress})
		}
	}
	col.mu.Unlock()
	if len(missing) == 0 || len(helpers) == 0 {
		return
	}
	req, err := c.newPushRequest(svc, true, col)
	if err != nil {
		return
	}
	c.shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	c.shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	missing = missing[:min(len(missing), maxIndirectTargets)]
	var wg sync.WaitGroup
	for _, h := range helpers[:min(len(helpers), maxIndirectHelpers)] {
		wg.Go(func() { _ = c.pushOne(ctx, req, h, missing, c.cfg.RoundTimeout/3, col) })
	}
	wg.Wait()
}

// recordRound passes a valid round to acceptance.observe and discards any other.
// It updates the status of the task, wakes the goroutines that wait for it, and
// returns the highest accepted revision.
func (c *Controller) recordRound(t *task, acc *acceptance, svc *config.Service, r round) int64 {
	before, accepted := acc.accepted, acc.accepted
	if r.valid(c.cfg.FreshnessWindow) {
		accepted = acc.observe(r.began, r.ended, c.cfg.SettleTime, r.set, r.confirmed)
	} else {
		c.cfg.Logger.Warn("round of confirmations discarded", "service", svc.Name,
			"revision", svc.Revision, "seconds", r.ended.Sub(r.began).Seconds(), "stale_list", r.staleList)
	}
	status := r.status(svc.Name, svc.Revision, accepted)
	c.mu.Lock()
	t.status = status
	if accepted > before {
		t.accepted, t.decided = max(t.accepted, accepted), accepted
	}
	t.notify()
	c.mu.Unlock()
	if accepted > before {
		c.cfg.Logger.Info("revision accepted", "service", svc.Name, "revision", accepted, "vms", len(r.set))
	}
	return accepted
}

// status returns the status of a revision according to the round.
func (r round) status(service string, revision, accepted int64) Status {
	s := Status{Service: service, Revision: revision, Accepted: accepted >= revision, Total: len(r.set)}
	for _, k := range unconfirmed(r.set, r.confirmed, revision) {
		s.WaitingFor = append(s.WaitingFor, k.ID)
	}
	s.InForce = s.Total - len(s.WaitingFor)
	return s
}

// nextRoundDelay returns the time until the next round: the rest of the settle
// time when all VMs have confirmed, and an exponential backoff otherwise.
func (c *Controller) nextRoundDelay(acc *acceptance, backoff *time.Duration) time.Duration {
	if acc.candidate > 0 {
		*backoff = minBackoff
		return max(time.Until(acc.candidateSince.Add(c.cfg.SettleTime)), minBackoff/10)
	}
	wait := *backoff
	*backoff = min(2*wait, maxBackoff)
	return c.jitter(wait)
}

// waitForNextRound waits, but returns early when the service has a newer
// revision or the revision is accepted. It returns false if ctx ended.
func (c *Controller) waitForNextRound(ctx context.Context, t *task, revision int64, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		changed, newer := t.changed, t.revision > revision || t.accepted >= revision
		c.mu.Unlock()
		if newer {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-changed:
		}
	}
}

// announceAccepted tells the required set that a revision is accepted, so that
// no other VM takes over its rollout.
func (c *Controller) announceAccepted(ctx context.Context, svc *config.Service, r round) {
	col := newCollector()
	req, err := c.newPushRequest(svc, false, col)
	if err != nil {
		return
	}
	var targets []KnownVM
	for _, k := range r.set {
		if k.ID != c.self.ID {
			targets = append(targets, k)
		}
	}
	tree, _ := c.partitionTargets(targets)
	c.pushDown(ctx, req, tree, c.cfg.RoundTimeout, col)
}
