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
	// maxUnreachable is how many VMs that seem unreachable a round tries; the
	// membership looks for them too and makes them reachable when it finds them.
	maxUnreachable = 16
	// maxClosure is how many times a round goes on to VMs that it learned of
	// from confirmations.
	maxClosure = 4
)

// drive runs rounds for a service until its newest revision is accepted, or
// until a reporter with a better rank is seen at work.
func (c *Controller) drive(ctx context.Context, t *task) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		t.driving = false
	}()
	if !c.confirmTakeover(ctx, t) {
		return
	}
	var machine acceptance
	retry := minRetry
	var sent int64 // revision that went down the tree with its document
	for {
		svc, done := c.target(t, &machine)
		if done {
			return
		}
		r := c.round(ctx, svc, svc.Revision > sent)
		sent = svc.Revision
		if ctx.Err() != nil {
			return
		}
		accepted := c.take(t, &machine, svc, r)
		if accepted >= svc.Revision {
			c.announceAccepted(ctx, svc, r)
			continue
		}
		wait := c.pause(&machine, &retry)
		if !c.idle(ctx, t, svc.Revision, wait) {
			return
		}
	}
}

// confirmTakeover reads the accepted mark before this VM takes a rollout over,
// because it may have missed that the revision was accepted. While the store
// is down the rollout runs: it is idempotent.
func (c *Controller) confirmTakeover(ctx context.Context, t *task) bool {
	c.mu.Lock()
	forced := t.forced(time.Now())
	c.mu.Unlock()
	if forced {
		return true
	}
	revision, err := c.readMark(ctx, t.service)
	if err == nil {
		c.accept(t.service, revision)
		c.setMarked(t.service, revision)
	}
	return ctx.Err() == nil
}

// target returns the document to bring into force, or done.
func (c *Controller) target(t *task, machine *acceptance) (*config.Service, bool) {
	svc := c.cfg.Registry.Snapshot().Document(t.service)
	c.mu.Lock()
	defer c.mu.Unlock()
	if svc == nil || t.accepted >= svc.Revision {
		return nil, true
	}
	machine.accepted = max(machine.accepted, t.accepted)
	now := time.Now()
	yield := !t.forced(now) && t.reporter != "" && t.reporter != c.self.ID &&
		now.Sub(t.observed) < c.cfg.TakeoverStep && better(t.service, t.revision, t.reporter, c.self.ID)
	return svc, yield
}

// better reports whether VM a ranks before VM b for a rollout.
func better(service string, revision int64, a, b string) bool {
	key := rolloutKey(service, revision)
	return membership.Score(key, a) > membership.Score(key, b)
}

// round is what one round of confirmations has found.
type round struct {
	began, ended time.Time
	set          []Known
	confirmed    confirmations
	staleList    bool
}

// valid reports whether a revision may be accepted by the round. A round must
// be short enough for its confirmations to be combined; a longer one means
// that this VM was paused.
func (r round) valid(window time.Duration) bool {
	return !r.staleList && r.ended.Sub(r.began) < window
}

// round gathers confirmations from the responsible set. The platform's list is
// read first: whoever starts after that reading meets VMs that are asked
// afterwards.
func (c *Controller) round(ctx context.Context, svc *config.Service, document bool) round {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.FreshnessWindow*9/10)
	defer cancel()
	r := round{began: time.Now()}
	list := c.readList(ctx)
	g := newGathering()
	g.addOwn(c, svc.Name)
	tried := map[string]bool{c.self.ID: true}
	for range maxClosure {
		missing := c.untried(list, g, svc.Revision, tried)
		if len(missing) == 0 {
			break
		}
		c.ask(ctx, svc, missing, document, g)
		c.resend(ctx, svc, list, g)
		c.detour(ctx, svc, list, g)
		document = true
	}
	r.set = responsible(list, g.known)
	for i, k := range r.set {
		// A listed VM that no table has yet is known by its confirmation.
		r.set[i].Incarnation = max(k.Incarnation, g.confirmed[k.ID].Incarnation)
	}
	r.confirmed, r.staleList = g.confirmed, list.stale
	r.ended = time.Now()
	return r
}

// readList reads the platform's list, and falls back to the last reading.
func (c *Controller) readList(ctx context.Context) listReading {
	if c.cfg.VMLister == nil {
		return listReading{current: true}
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := time.Now()
	rows, err := c.cfg.VMLister.ListVMs(ctx)
	if err != nil {
		c.cfg.Logger.Debug("platform's VM list not read", "error", err)
		rows, read := c.cfg.Membership.List()
		return listReading{rows: rows, stale: read.IsZero() || time.Since(read) > c.cfg.MaxListAge}
	}
	c.cfg.Membership.TakeList(rows, began)
	return listReading{rows: rows, current: true}
}

// untried returns the VMs of the set that have not confirmed a revision and
// were not asked in this round.
func (c *Controller) untried(list listReading, g *gathering, revision int64, tried map[string]bool) []Known {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Known
	for _, k := range waiting(responsible(list, g.known), g.confirmed, revision) {
		if !tried[k.ID] {
			tried[k.ID] = true
			out = append(out, k)
		}
	}
	return out
}

// ask pushes to VMs: through the tree to those that the member table has as
// living, and directly to a few of the others.
func (c *Controller) ask(ctx context.Context, svc *config.Service, targets []Known, document bool, g *gathering) {
	req, err := c.request(svc, document, g)
	if err != nil {
		c.cfg.Logger.Error("document not encoded", "service", svc.Name, "error", err)
		return
	}
	tree, others := c.reachable(targets)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.repair(ctx, req, others, c.cfg.RoundTimeout/3, g)
	}()
	c.pushDown(ctx, req, tree, c.cfg.RoundTimeout, g)
	<-done
}

// request builds the push of a round.
func (c *Controller) request(svc *config.Service, document bool, g *gathering) (*PushRequest, error) {
	g.mu.Lock()
	known := make([]Known, 0, len(g.known))
	for _, k := range g.known {
		known = append(known, k)
	}
	g.mu.Unlock()
	req := &PushRequest{
		Reporter:    c.self.ID,
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

// reachable separates the targets that the member table has as living, in zone
// order so that most of the tree's edges stay within a zone, from a random few
// of the others. The order within a zone differs in each round, so that a cut
// link is not on the path of the same VM again.
func (c *Controller) reachable(targets []Known) (tree, others []Target) {
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
	return tree, others[:min(len(others), maxUnreachable)]
}

func (c *Controller) shuffle(n int, swap func(i, j int)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rand.Shuffle(n, swap)
}

// resend pushes the document to VMs that answered but lack the revision, such
// as one that was restarted since the document went down the tree.
func (c *Controller) resend(ctx context.Context, svc *config.Service, list listReading, g *gathering) {
	g.mu.Lock()
	var targets []Target
	for _, k := range waiting(responsible(list, g.known), g.confirmed, svc.Revision) {
		if _, answered := g.confirmed[k.ID]; answered && k.ID != c.self.ID {
			targets = append(targets, Target{k.ID, k.Address})
		}
	}
	g.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	req, err := c.request(svc, true, g)
	if err != nil {
		return
	}
	c.repair(ctx, req, targets, c.cfg.RoundTimeout/3, g)
}

const (
	// detours is through how many VMs a round tries to reach those that the
	// reporter itself cannot reach.
	detours = 2
	// maxDetour is how many VMs are tried that way.
	maxDetour = 16
)

// detour asks VMs that have confirmed to push to those that the reporter could
// not reach although the member table has them as living: a single link may be
// cut.
func (c *Controller) detour(ctx context.Context, svc *config.Service, list listReading, g *gathering) {
	view := c.cfg.Membership.View()
	g.mu.Lock()
	var missing, helpers []Target
	for _, k := range responsible(list, g.known) {
		_, answered := g.confirmed[k.ID]
		m, living := view.Member(k.ID)
		switch {
		case k.ID == c.self.ID || !living:
		case answered:
			helpers = append(helpers, Target{m.ID, m.PeerAddress})
		default:
			missing = append(missing, Target{m.ID, m.PeerAddress})
		}
	}
	g.mu.Unlock()
	if len(missing) == 0 || len(helpers) == 0 {
		return
	}
	req, err := c.request(svc, true, g)
	if err != nil {
		return
	}
	c.shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	c.shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	missing = missing[:min(len(missing), maxDetour)]
	var wg sync.WaitGroup
	for _, h := range helpers[:min(len(helpers), detours)] {
		wg.Go(func() { _ = c.pushOne(ctx, req, h, missing, c.cfg.RoundTimeout/3, g) })
	}
	wg.Wait()
}

// take passes a round to the machine and publishes its result.
func (c *Controller) take(t *task, machine *acceptance, svc *config.Service, r round) int64 {
	before, accepted := machine.accepted, machine.accepted
	if r.valid(c.cfg.FreshnessWindow) {
		accepted = machine.observe(r.began, r.ended, c.cfg.SettleTime, r.set, r.confirmed)
	} else {
		c.cfg.Logger.Warn("round of confirmations does not count", "service", svc.Name,
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

// status says how far a revision is in force by this round.
func (r round) status(service string, revision, accepted int64) Status {
	s := Status{Service: service, Revision: revision, Accepted: accepted >= revision, Total: len(r.set)}
	for _, k := range waiting(r.set, r.confirmed, revision) {
		s.WaitingFor = append(s.WaitingFor, k.ID)
	}
	s.InForce = s.Total - len(s.WaitingFor)
	return s
}

// pause returns the time until the next round: the rest of the settle time
// when all have confirmed, and a growing retry time otherwise.
func (c *Controller) pause(machine *acceptance, retry *time.Duration) time.Duration {
	if machine.candidate > 0 {
		*retry = minRetry
		return max(time.Until(machine.since.Add(c.cfg.SettleTime)), minRetry/10)
	}
	wait := *retry
	*retry = min(2*wait, maxRetry)
	return c.jitter(wait)
}

// idle waits, but ends early when the service has a newer revision or the
// membership may have changed in its favour.
func (c *Controller) idle(ctx context.Context, t *task, revision int64, wait time.Duration) bool {
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

// announceAccepted tells the set that a revision is accepted, so that no other
// VM takes over its rollout.
func (c *Controller) announceAccepted(ctx context.Context, svc *config.Service, r round) {
	g := newGathering()
	req, err := c.request(svc, false, g)
	if err != nil {
		return
	}
	var targets []Known
	for _, k := range r.set {
		if k.ID != c.self.ID {
			targets = append(targets, k)
		}
	}
	tree, _ := c.reachable(targets)
	c.pushDown(ctx, req, tree, c.cfg.RoundTimeout, g)
}
