package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/briarstand/briarstand/kvstore"
)

const (
	listTimeout = 5 * time.Second
	// listRetryInterval is the time until the next read after a failed one, and the
	// shortest time between two reads.
	listRetryInterval = 5 * time.Second
	maxListedVMs      = 8192
)

// seedList holds the addresses at which VMs may be found that are not in the
// table: the configured seeds and the platform's list. The list lags, so it
// adds nothing to the table itself.
type seedList struct {
	static  []string
	hasList bool // there is a platform's list
	vms     []kvstore.VM
	readAt  time.Time // when the last successful read began
	next    int
}

func newSeedList(static []string, listed bool) seedList {
	return seedList{static: slices.Clone(static), hasList: listed}
}

// mayList reports whether the platform's list may have a VM that died at the
// given time: it was not read since, or its last reading has the VM.
func (s *seedList) mayList(id string, died time.Time) bool {
	if !s.hasList {
		return false
	}
	if !s.readAt.After(died) {
		return true
	}
	_, ok := slices.BinarySearchFunc(s.vms, id, func(vm kvstore.VM, id string) int { return cmp.Compare(vm.ID, id) })
	return ok
}

func (s *seedList) addresses() []string {
	out := slices.Clone(s.static)
	for _, vm := range s.vms {
		out = append(out, vm.PeerAddress)
	}
	return out
}

// nextUnknown returns the next address of a VM that no living member has, in turn.
// Dead members count too: they may be behind a partition that heals, and the
// list may lack them.
func (s *seedList) nextUnknown(living []Member, dead []string, self string) (string, bool) {
	known := make(map[string]bool, len(living)+1)
	known[self] = true
	for _, m := range living {
		known[m.PeerAddress] = true
	}
	all := append(s.addresses(), dead...)
	for range all {
		s.next = (s.next + 1) % len(all)
		if !known[all[s.next]] {
			return all[s.next], true
		}
	}
	return "", false
}

// runList reads the platform's list slowly, and sooner when asked to.
func (m *Membership) runList(ctx context.Context) {
	if m.cfg.VMLister == nil {
		return
	}
	for {
		wait := m.jitter(m.cfg.ListInterval)
		if err := m.ReadList(ctx); err != nil {
			m.cfg.Logger.Warn("platform's VM list not read", "error", err)
			wait = m.jitter(listRetryInterval)
		}
		if !sleep(ctx, min(listRetryInterval, wait)) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-m.listRefresh:
		case <-time.After(wait - min(listRetryInterval, wait)):
		}
	}
}

// ReadList reads the platform's list once and takes its addresses as seeds.
func (m *Membership) ReadList(ctx context.Context) error {
	if m.cfg.VMLister == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := time.Now()
	rows, err := m.cfg.VMLister.ListVMs(ctx)
	if err != nil {
		return err
	}
	m.TakeList(rows, began)
	return nil
}

// TakeList takes a reading of the platform's list that began at the given
// time.
func (m *Membership) TakeList(rows []kvstore.VM, began time.Time) {
	rows = slices.Clone(rows[:min(len(rows), maxListedVMs)])
	slices.SortFunc(rows, func(a, b kvstore.VM) int { return cmp.Compare(a.ID, b.ID) })
	m.mu.Lock()
	defer m.mu.Unlock()
	if began.Before(m.seeds.readAt) {
		return
	}
	m.seeds.vms, m.seeds.readAt = rows, began
	m.markListed()
	m.publish()
}

// markListed notes which members the platform's list has. For this VM itself
// only the last reading counts: others stop waiting for a VM that was removed.
// The caller holds mu.
func (m *Membership) markListed() {
	m.table.entries[m.table.self].listed = false
	for _, vm := range m.seeds.vms {
		if e := m.table.entries[vm.ID]; e != nil {
			e.listed = true
		}
	}
}

// List returns the last reading of the platform's list and when it began; the
// time is zero if the list was never read.
func (m *Membership) List() ([]kvstore.VM, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seeds.vms, m.seeds.readAt
}

// SelfListed reports whether the platform's list has this VM.
func (m *Membership) SelfListed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.entries[m.table.self].listed
}

// jitter returns a time within a tenth of d, so that VMs that start together
// do not call together.
func (m *Membership) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d - d/10 + time.Duration(m.rand.Int64N(int64(d/5)+1))
}

// sleep waits and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
