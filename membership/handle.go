package membership

import (
	"context"
	"time"
)

// HandleProbe answers a probe. It fails with a *MessageError if the request is
// malformed and with a *SupersededError if it comes from an older incarnation.
func (m *Membership) HandleProbe(req *ProbeRequest) (*ProbeReply, error) {
	if err := validateAll(req.From, req.Updates, 2*m.cfg.MaxUpdates); err != nil {
		return nil, err
	}
	if err := m.receiveProbe(req); err != nil {
		return nil, err
	}
	m.mu.Lock()
	d := m.delegate
	m.mu.Unlock()
	if d != nil {
		d.Probed(req.From, req.Config)
	}
	return (*ProbeReply)(m.newProbe(req.From.ID, m.configState())), nil
}

// HandleIndirectProbe probes the target on behalf of another VM. It fails like
// HandleProbe.
func (m *Membership) HandleIndirectProbe(ctx context.Context, req *IndirectProbeRequest) (*IndirectProbeReply, error) {
	if err := validateAll(req.From, []Member{req.Target}, 1); err != nil {
		return nil, err
	}
	if err := m.receiveMembers(req.From, nil); err != nil {
		return nil, err
	}
	if err := m.probeDirect(ctx, req.Target); err != nil {
		return &IndirectProbeReply{Target: req.Target}, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.table.entries[req.Target.ID]; e != nil && e.State != Dead {
		return &IndirectProbeReply{Reached: true, Target: e.Member}, nil
	}
	return &IndirectProbeReply{Target: req.Target}, nil
}

// HandleSync merges the members of a sync request. Unless the request is a push, it
// returns the members of this VM's table in the buckets that differ. It fails like
// HandleProbe.
func (m *Membership) HandleSync(req *SyncRequest) (*SyncReply, error) {
	if err := validateAll(req.From, req.Members, maxSyncMembers); err != nil {
		return nil, err
	}
	if err := m.receiveMembers(req.From, req.Members); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := &SyncReply{From: m.table.entries[m.table.self].Member, Digests: m.table.digests}
	if !req.Push {
		reply.Members = m.table.differing(&req.Digests)
	}
	return reply, nil
}

// syncIfDue syncs with the sender of a reply if no reply has carried the digest of
// this VM's table for about the time in which an update reaches all members, and if
// the last sync was at least SyncInterval ago.
func (m *Membership) syncIfDue(ctx context.Context, reply *ProbeReply, address string) {
	m.mu.Lock()
	now := time.Now()
	if reply.Digest == m.table.digests.Sum() {
		m.digestsDifferSince = time.Time{}
	} else if m.digestsDifferSince.IsZero() {
		m.digestsDifferSince = now
	}
	due := !m.digestsDifferSince.IsZero() &&
		now.Sub(m.digestsDifferSince) >= syncWait(len(m.table.entries), m.cfg.ProbeInterval) &&
		now.Sub(m.lastSync) >= m.cfg.SyncInterval
	m.mu.Unlock()
	if due {
		if err := m.sync(ctx, address); err != nil {
			m.cfg.Logger.Debug("sync of member tables failed", "address", address, "error", err)
		}
	}
}

// sync reconciles the tables of this VM and the VM at an address (anti-entropy): it
// merges the members in the buckets that differ and sends back those that the
// other VM lacks.
func (m *Membership) sync(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, 4*m.cfg.ProbeTimeout)
	defer cancel()
	m.mu.Lock()
	m.lastSync = time.Now()
	m.digestsDifferSince = time.Time{}
	req := &SyncRequest{From: m.table.entries[m.table.self].Member, Digests: m.table.digests}
	m.mu.Unlock()
	reply, err := m.cfg.Transport.Sync(ctx, address, req)
	if err != nil {
		return err
	}
	if err := validateAll(reply.From, reply.Members, maxSyncMembers); err != nil {
		return err
	}
	if err := m.receiveMembers(reply.From, reply.Members); err != nil {
		return err
	}
	m.mu.Lock()
	if m.table.entries[m.table.self].State == Joining {
		m.table.clearPending(reply.Members)
	}
	missing := m.table.missing(&reply.Digests, reply.Members)
	push := &SyncRequest{From: m.table.entries[m.table.self].Member, Digests: m.table.digests, Members: missing, Push: true}
	m.mu.Unlock()
	if len(missing) == 0 {
		return nil
	}
	_, err = m.cfg.Transport.Sync(ctx, address, push)
	return err
}
