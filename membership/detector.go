package membership

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Run probes members and reads the platform's list until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { m.runList(ctx) })
	wg.Go(func() { m.runSeeds(ctx, &wg) })
	if !sleep(ctx, m.initialDelay()) {
		return ctx.Err()
	}
	ticker := time.NewTicker(m.cfg.ProbeInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		now := time.Now()
		m.tick(now, now.Sub(last))
		last = now
		if target, ok := m.nextTarget(); ok {
			wg.Go(func() { m.probe(ctx, target) })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// initialDelay spreads the probes of VMs that start together over the interval.
func (m *Membership) initialDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rand.Int64N(int64(m.cfg.ProbeInterval)))
}

// tick moves timers on. When this VM was paused, the suspicion times start
// again: what it missed cannot be held against others.
func (m *Membership) tick(now time.Time, elapsed time.Duration) {
	state := m.configState()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setConfigState(state)
	if elapsed > m.pauseLimit() {
		m.cfg.Logger.Warn("this VM was paused", "seconds", elapsed.Seconds())
		m.table.restartSuspicions(now)
	}
	died := m.table.expireSuspicions(now, m.cfg.SuspicionTime)
	for _, d := range died {
		m.cfg.Logger.Info("member is dead", "vm", d.ID, "address", d.PeerAddress, "incarnation", d.Incarnation)
	}
	before := len(m.table.entries)
	m.table.reap(now, m.cfg.TombstoneTime, m.seeds.mayList)
	if len(died) > 0 || len(m.table.entries) != before {
		m.publish()
	}
}

// pauseLimit is the time without a turn of the detector, or for one probe,
// above which this VM itself must have been paused.
func (m *Membership) pauseLimit() time.Duration {
	return 2*m.cfg.ProbeTimeout + 2*m.cfg.ProbeInterval
}

// nextTarget returns the next member of the turn. Each turn visits every
// member once in a new random order, which bounds the time until a failure is
// noticed.
func (m *Membership) nextTarget() (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.urgent) > 0 {
		id := m.urgent[0]
		m.urgent = m.urgent[1:]
		if e := m.table.entries[id]; e != nil && e.State != Dead {
			return e.Member, true
		}
	}
	for range 2 {
		for len(m.probeOrder) > 0 {
			id := m.probeOrder[0]
			m.probeOrder = m.probeOrder[1:]
			if e := m.table.entries[id]; e != nil && e.State != Dead {
				return e.Member, true
			}
		}
		for _, member := range m.table.living() {
			m.probeOrder = append(m.probeOrder, member.ID)
		}
		m.rand.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return Member{}, false
}

// probe checks one member, directly and then through others.
func (m *Membership) probe(ctx context.Context, target Member) {
	began := time.Now()
	err := m.probeDirect(ctx, target)
	if err == nil || ctx.Err() != nil {
		return
	}
	if m.probeIndirect(ctx, target) || ctx.Err() != nil {
		return
	}
	now := time.Now()
	if now.Sub(began) > m.pauseLimit() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.suspect(target, now) {
		m.cfg.Logger.Info("member is suspect", "vm", target.ID, "address", target.PeerAddress, "error", err)
		m.urgent = append(m.urgent, target.ID)
		m.publish()
	}
}

// probeDirect probes a member and fails when another VM answers at its address.
func (m *Membership) probeDirect(ctx context.Context, target Member) error {
	reply, err := m.sendProbe(ctx, target.PeerAddress, target.ID)
	if err != nil {
		return err
	}
	if reply.From.ID != target.ID {
		return &MessageError{"sender", fmt.Sprintf("is %s, not %s", reply.From.ID, target.ID)}
	}
	return nil
}

// sendProbe sends a probe to an address and takes the reply.
func (m *Membership) sendProbe(ctx context.Context, address, id string) (*ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.ProbeTimeout)
	defer cancel()
	state := m.configState()
	req := m.newProbe(id, state)
	sent := time.Now()
	reply, err := m.cfg.Transport.Probe(ctx, address, req)
	if err != nil {
		return nil, err
	}
	if err := validateAll(reply.From, reply.Updates, 2*m.cfg.MaxUpdates); err != nil {
		return nil, err
	}
	if err := m.receiveProbe((*ProbeRequest)(reply)); err != nil {
		return nil, err
	}
	m.mu.Lock()
	d := m.delegate
	m.mu.Unlock()
	if d != nil {
		d.Replied(reply.From, reply.Config, sent)
	}
	m.syncIfDue(ctx, reply, address)
	return reply, nil
}

// newProbe builds a probe or a reply for the VM with the given id.
func (m *Membership) newProbe(to string, state ConfigState) *ProbeRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setConfigState(state)
	return &ProbeRequest{
		From:    m.table.entries[m.table.self].Member,
		Digest:  m.table.digests.Sum(),
		Config:  state,
		Updates: m.table.updates(m.cfg.MaxUpdates, to),
	}
}

// receiveProbe takes the sender's entry and updates of a probe or a reply.
func (m *Membership) receiveProbe(msg *ProbeRequest) error {
	return m.receiveMembers(msg.From, msg.Updates)
}

func (m *Membership) receiveMembers(from Member, updates []Member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	before := m.table.digests
	if err := m.table.recordMessage(from, now); err != nil {
		return err
	}
	for _, u := range updates {
		if m.table.merge(u, now) && u.State == Suspect && u.ID != m.table.self {
			m.recheck(u.ID)
		}
	}
	switch {
	case m.table.digests != before:
		m.markListed()
		m.publish()
	case m.table.configIndexGrew:
		m.view.Store(m.table.view())
	}
	return nil
}

// recheck makes a few VMs probe a suspect at once, so that a VM that is alive
// learns of the suspicion and refutes it before it is declared dead. The
// caller holds mu.
func (m *Membership) recheck(id string) {
	own, higher := Score(id, m.table.self), 0
	for other, e := range m.table.entries {
		if e.State != Dead && Score(id, other) > own {
			if higher++; higher >= m.cfg.IndirectProbes {
				return
			}
		}
	}
	m.urgent = append(m.urgent, id)
}

// probeIndirect asks a few other members to probe the target and reports whether
// one of them reached it.
func (m *Membership) probeIndirect(ctx context.Context, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.ProbeTimeout)
	defer cancel()
	helpers := m.pickHelpers(target.ID)
	results := make(chan bool, len(helpers))
	req := &IndirectProbeRequest{From: m.Self(), Target: target}
	for _, h := range helpers {
		go func() { results <- m.requestIndirectProbe(ctx, h, req) }()
	}
	reached := false
	for range helpers {
		if <-results {
			reached = true
			cancel()
		}
	}
	return reached
}

func (m *Membership) requestIndirectProbe(ctx context.Context, helper Member, req *IndirectProbeRequest) bool {
	reply, err := m.cfg.Transport.IndirectProbe(ctx, helper.PeerAddress, req)
	if err != nil || !reply.Reached || reply.Target.ID != req.Target.ID || reply.Target.Validate() != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.merge(reply.Target, time.Now()) {
		m.publish()
	}
	return true
}

// pickHelpers picks random members for indirect probes.
func (m *Membership) pickHelpers(target string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []Member
	for _, member := range m.table.living() {
		if member.ID != target && member.State != Suspect {
			candidates = append(candidates, member)
		}
	}
	m.rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), m.cfg.IndirectProbes)]
}

// runSeeds looks for VMs that are not in the table: new ones, and those behind
// a partition that has healed.
func (m *Membership) runSeeds(ctx context.Context, wg *sync.WaitGroup) {
	for sleep(ctx, m.jitter(m.cfg.SeedInterval)) {
		if address, ok := m.nextSeed(); ok {
			wg.Go(func() { m.probeAndSync(ctx, address) })
		}
	}
}

func (m *Membership) nextSeed() (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.table.entries[m.table.self].PeerAddress
	return m.seeds.nextUnknown(m.table.living(), m.table.deadAddresses(), self)
}

// probeAndSync probes an address and compares tables with the VM that answers,
// because a VM that was unknown probably knows others.
func (m *Membership) probeAndSync(ctx context.Context, address string) error {
	if _, err := m.sendProbe(ctx, address, ""); err != nil {
		return err
	}
	return m.sync(ctx, address)
}

// Announce makes this VM known to at most count VMs: members, listed VMs and
// seeds. It returns how many answered, and how many addresses there were.
func (m *Membership) Announce(ctx context.Context, count int) (answered, known int) {
	addresses := m.announceTargets()
	var wg sync.WaitGroup
	var mu sync.Mutex
	limit := make(chan struct{}, count)
	for _, address := range addresses {
		limit <- struct{}{}
		mu.Lock()
		enough := answered >= count
		mu.Unlock()
		if enough || ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			defer func() { <-limit }()
			if err := m.probeAndSync(ctx, address); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
		})
	}
	wg.Wait()
	return answered, len(addresses)
}

// announceTargets returns the addresses of all VMs that may exist, members
// first, in random order.
func (m *Membership) announceTargets() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.table.entries[m.table.self].PeerAddress
	seen := map[string]bool{self: true}
	var out []string
	add := func(addresses []string) {
		start := len(out)
		for _, a := range addresses {
			if !seen[a] {
				seen[a] = true
				out = append(out, a)
			}
		}
		part := out[start:]
		m.rand.Shuffle(len(part), func(i, j int) { part[i], part[j] = part[j], part[i] })
	}
	var members []string
	for _, member := range m.table.living() {
		members = append(members, member.PeerAddress)
	}
	add(members)
	add(m.seeds.addresses())
	return out
}
