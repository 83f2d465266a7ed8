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
	if !sleep(ctx, m.phase()) {
		return ctx.Err()
	}
	ticker := time.NewTicker(m.cfg.ProbeInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		now := time.Now()
		m.advance(now, now.Sub(last))
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

// phase spreads the probes of VMs that start together over the interval.
func (m *Membership) phase() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rand.Int64N(int64(m.cfg.ProbeInterval)))
}

// advance moves timers on. When this VM was paused, the suspicion times start
// again: what it missed cannot be held against others.
func (m *Membership) advance(now time.Time, elapsed time.Duration) {
	state := m.configState()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setConfig(state)
	if elapsed > m.pauseLimit() {
		m.cfg.Logger.Warn("this VM was paused", "seconds", elapsed.Seconds())
		m.table.postpone(now)
	}
	died := m.table.expire(now, m.cfg.SuspicionTime)
	for _, d := range died {
		m.cfg.Logger.Info("member is dead", "vm", d.ID, "address", d.PeerAddress, "incarnation", d.Incarnation)
	}
	before := len(m.table.entries)
	m.table.reap(now, m.cfg.TombstoneTime, m.seeds.mayHave)
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
		for len(m.order) > 0 {
			id := m.order[0]
			m.order = m.order[1:]
			if e := m.table.entries[id]; e != nil && e.State != Dead {
				return e.Member, true
			}
		}
		for _, member := range m.table.living() {
			m.order = append(m.order, member.ID)
		}
		m.rand.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return Member{}, false
}

// probe checks one member, directly and then through others.
func (m *Membership) probe(ctx context.Context, target Member) {
	began := time.Now()
	err := m.direct(ctx, target)
	if err == nil || ctx.Err() != nil {
		return
	}
	if m.indirect(ctx, target) || ctx.Err() != nil {
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

// direct probes a member and fails when another VM answers at its address.
func (m *Membership) direct(ctx context.Context, target Member) error {
	reply, err := m.exchange(ctx, target.PeerAddress, target.ID)
	if err != nil {
		return err
	}
	if reply.From.ID != target.ID {
		return &MessageError{"sender", fmt.Sprintf("is %s, not %s", reply.From.ID, target.ID)}
	}
	return nil
}

// exchange sends a probe to an address and takes the reply.
func (m *Membership) exchange(ctx context.Context, address, id string) (*ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.ProbeTimeout)
	defer cancel()
	state := m.configState()
	req := m.message(id, state)
	sent := time.Now()
	reply, err := m.cfg.Transport.Probe(ctx, address, req)
	if err != nil {
		return nil, err
	}
	if err := validateAll(reply.From, reply.Updates, 2*m.cfg.MaxUpdates); err != nil {
		return nil, err
	}
	if err := m.receive((*ProbeRequest)(reply)); err != nil {
		return nil, err
	}
	m.mu.Lock()
	d := m.delegate
	m.mu.Unlock()
	if d != nil {
		d.Replied(reply.From, reply.Config, sent)
	}
	m.compare(ctx, reply, address)
	return reply, nil
}

// message builds a probe or a reply for the VM with the given id.
func (m *Membership) message(to string, state ConfigState) *ProbeRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setConfig(state)
	return &ProbeRequest{
		From:    m.table.entries[m.table.self].Member,
		Digest:  m.table.digests.Sum(),
		Config:  state,
		Updates: m.table.updates(m.cfg.MaxUpdates, to),
	}
}

// receive takes the sender's entry and updates of a probe or a reply.
func (m *Membership) receive(msg *ProbeRequest) error {
	return m.take(msg.From, msg.Updates)
}

func (m *Membership) take(from Member, updates []Member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	before := m.table.digests
	if err := m.table.hear(from, now); err != nil {
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
	case m.table.indexed:
		m.view.Store(m.table.view())
	}
	return nil
}

// recheck makes a few VMs probe a suspect at once, so that a VM that is alive
// learns of the suspicion and refutes it before it is declared dead. The
// caller holds mu.
func (m *Membership) recheck(id string) {
	own, better := Score(id, m.table.self), 0
	for other, e := range m.table.entries {
		if e.State != Dead && Score(id, other) > own {
			if better++; better >= m.cfg.Indirect {
				return
			}
		}
	}
	m.urgent = append(m.urgent, id)
}

// indirect asks a few other members to probe the target and reports whether
// one of them reached it.
func (m *Membership) indirect(ctx context.Context, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.ProbeTimeout)
	defer cancel()
	helpers := m.helpers(target.ID)
	results := make(chan bool, len(helpers))
	req := &IndirectProbeRequest{From: m.Self(), Target: target}
	for _, h := range helpers {
		go func() { results <- m.askHelper(ctx, h, req) }()
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

func (m *Membership) askHelper(ctx context.Context, helper Member, req *IndirectProbeRequest) bool {
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

// helpers picks random members for indirect probes.
func (m *Membership) helpers(target string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []Member
	for _, member := range m.table.living() {
		if member.ID != target && member.State != Suspect {
			candidates = append(candidates, member)
		}
	}
	m.rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), m.cfg.Indirect)]
}

// runSeeds looks for VMs that are not in the table: new ones, and those behind
// a partition that has healed.
func (m *Membership) runSeeds(ctx context.Context, wg *sync.WaitGroup) {
	for sleep(ctx, m.jitter(m.cfg.SeedInterval)) {
		if address, ok := m.nextSeed(); ok {
			wg.Go(func() { m.trySeed(ctx, address) })
		}
	}
}

func (m *Membership) nextSeed() (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.table.entries[m.table.self].PeerAddress
	return m.seeds.unknown(m.table.living(), m.table.dead(), self)
}

// trySeed probes an address and compares tables with the VM that answers,
// because a VM that was unknown probably knows others.
func (m *Membership) trySeed(ctx context.Context, address string) error {
	if _, err := m.exchange(ctx, address, ""); err != nil {
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
			if err := m.trySeed(ctx, address); err != nil {
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
