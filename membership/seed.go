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
	// listRetryInterval is the time between a failed read and the next one, and
	// the minimum time between any two reads by runList.
	listRetryInterval = 5 * time.Second
	// maxListedVMs is how many rows of the platform's list are used.
	maxListedVMs = 8192
)

// seedList holds addresses of VMs that may be missing from the table: the
// configured seeds and the platform's list. The list may be outdated, so its VMs
// are only probed and not added to the table.
type seedList struct {
	static  []string     // configured seeds
	hasList bool         // a VMLister is configured
	vms     []kvstore.VM // last successful read of the list, ordered by id
	readAt  time.Time    // when that read began; zero if none succeeded
	next    int          // position of the last address that nextUnknown tried
}

func newSeedList(static []string, hasList bool) seedList {
	return seedList{static: slices.Clone(static), hasList: hasList}
}

// mayBeListed reports whether the platform's list may have a VM that died at the given
// time. It may if the list was not read after that time or if the last read includes
// the VM. Without a VMLister there is no list, and the result is false.
func (s *seedList) mayBeListed(id string, died time.Time) bool {
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

// nextUnknown returns the next address, round robin, that no live member has; false
// if there is none.
// The addresses of dead members are included: a partition that separated them may
// have healed, and the list may lack them.
func (s *seedList) nextUnknown(live []Member, dead []string, self string) (string, bool) {
	known := make(map[string]bool, len(live)+1)
	known[self] = true
	for _, m := range live {
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

// runList reads the platform's list at ListInterval, and earlier after a failed
// read or a call of RefreshList.
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

// ReadList reads the platform's list once and uses its addresses as seeds. It does
// nothing without a VMLister, and otherwise returns the lister's error.
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
	m.SetList(rows, began)
	return nil
}

// SetList replaces the platform's list by the result of a read that began at
// the given time. It ignores a read that began before the last one.
func (m *Membership) SetList(rows []kvstore.VM, began time.Time) {
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

// markListed sets listed for the members that are on the platform's list. For other
// VMs, listed stays set after their removal from the list. For this VM itself, it is
// cleared if the last read lacks this VM, because other VMs stop waiting for a VM
// that was removed from the list. The caller holds mu.
func (m *Membership) markListed() {
	m.table.entries[m.table.self].listed = false
	for _, vm := range m.seeds.vms {
		if e := m.table.entries[vm.ID]; e != nil {
			e.listed = true
		}
	}
}

// ListedVMs returns the result of the last successful read of the platform's
// list and the time at which the read began, which is zero if there was none.
func (m *Membership) ListedVMs() ([]kvstore.VM, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seeds.vms, m.seeds.readAt
}

// SelfListed reports whether the last read of the platform's list includes this VM.
func (m *Membership) SelfListed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.entries[m.table.self].listed
}

// jitter returns a random duration that differs from d by at most a tenth, so that
// VMs that start together do not send requests at the same time.
func (m *Membership) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d - d/10 + time.Duration(m.rand.Int64N(int64(d/5)+1))
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
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
