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

// initialDelay returns a random delay before the first probe, which spreads the
// probes of VMs that start together over the probe interval.
func (m *Membership) initialDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rand.Int64N(int64(m.cfg.ProbeInterval)))
}

// tick updates this VM's own entry, declares suspects dead and removes tombstones.
// If this VM was paused, it restarts the suspicion timeouts first, because
// refutations may have been missed.
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
	m.table.reap(now, m.cfg.TombstoneTime, m.seeds.mayBeListed)
	if len(died) > 0 || len(m.table.entries) != before {
		m.publish()
	}
}

// pauseLimit returns the maximum time between two ticks, and the maximum duration of
// a probe, while this VM runs. A longer time shows that this VM was paused.
func (m *Membership) pauseLimit() time.Duration {
	return 2*m.cfg.ProbeTimeout + 2*m.cfg.ProbeInterval
}

// nextTarget returns the next member to probe; false if there is none. Each round
// probes every member once in a new random order, which bounds the time until a
// failure is detected. Urgent members, which are suspects, come before those of
// the round.
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
		for _, member := range m.table.live() {
			m.probeOrder = append(m.probeOrder, member.ID)
		}
		m.rand.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return Member{}, false
}

// probe probes a member directly, then through other members, and marks it as
// suspect if neither reaches it, unless this VM was paused meanwhile.
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

// probeDirect probes a member at its address. It fails if another VM answers.
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

// sendProbe sends a probe to an address and processes the reply. id is that of the
// VM at the address, or empty if it is not known.
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

// newProbe builds a probe of the VM with the given id, or a reply to it.
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

// receiveProbe merges the sender's entry and the updates of a probe or a reply.
func (m *Membership) receiveProbe(msg *ProbeRequest) error {
	return m.receiveMembers(msg.From, msg.Updates)
}

// receiveMembers records a message from a VM and merges its entry and the given
// updates. It publishes a new view if the table changed.
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

// recheck schedules an immediate probe of a suspect if this VM is one of the few
// that are chosen for it by rendezvous hash. The probe informs the suspect of the
// suspicion. A suspect that is alive can then refute the suspicion before it is
// declared dead. The caller holds mu.
func (m *Membership) recheck(id string) {
	own, higher := RendezvousScore(id, m.table.self), 0
	for other, e := range m.table.entries {
		if e.State != Dead && RendezvousScore(id, other) > own {
			if higher++; higher >= m.cfg.IndirectProbes {
				return
			}
		}
	}
	m.urgent = append(m.urgent, id)
}

// probeIndirect asks a few other members to probe the target and reports whether
// any of them reached it.
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

// requestIndirectProbe asks one member to probe the target, merges the target's
// entry and reports whether the member reached it.
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

// pickHelpers returns random members that can send indirect probes of the target.
func (m *Membership) pickHelpers(target string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []Member
	for _, member := range m.table.live() {
		if member.ID != target && member.State != Suspect {
			candidates = append(candidates, member)
		}
	}
	m.rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), m.cfg.IndirectProbes)]
}

// runSeeds probes addresses that no live member has, to find new VMs and VMs
// that were separated by a partition.
func (m *Membership) runSeeds(ctx context.Context, wg *sync.WaitGroup) {
	for sleep(ctx, m.jitter(m.cfg.SeedInterval)) {
		if address, ok := m.nextSeed(); ok {
			wg.Go(func() { m.probeAndSync(ctx, address) })
		}
	}
}

// nextSeed returns the next address to probe that no live member has.
func (m *Membership) nextSeed() (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.table.entries[m.table.self].PeerAddress
	return m.seeds.nextUnknown(m.table.live(), m.table.deadAddresses(), self)
}

// probeAndSync probes an address and syncs tables with the VM that answers, because
// a VM that was unknown probably has other unknown VMs in its table.
func (m *Membership) probeAndSync(ctx context.Context, address string) error {
	if _, err := m.sendProbe(ctx, address, ""); err != nil {
		return err
	}
	return m.sync(ctx, address)
}

// Announce probes and syncs with members, listed VMs and seeds, which thereby learn
// of this VM, until count of them have answered. It returns how many answered and
// how many addresses there were.
func (m *Membership) Announce(ctx context.Context, count int) (answered, known int) {
	addresses := m.announceTargets()
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, count)
	for _, address := range addresses {
		slots <- struct{}{}
		mu.Lock()
		enough := answered >= count
		mu.Unlock()
		if enough || ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			defer func() { <-slots }()
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

// announceTargets returns the addresses of live members, followed by those of
// seeds and listed VMs, each group in random order.
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
		group := out[start:]
		m.rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	var members []string
	for _, member := range m.table.live() {
		members = append(members, member.PeerAddress)
	}
	add(members)
	add(m.seeds.addresses())
	return out
}
