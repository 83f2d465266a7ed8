package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/resolve"
)

const (
	// expiredVMGrace is how long callers still get the address of a VM whose
	// record is missing right after an outage of the store. A VM that is alive
	// registers again within that time.
	expiredVMGrace = 3 * time.Second
	// minVMRetention is how long a VM without a record still counts at least when the
	// shared limits are divided. It counts for Bounds.BudgetWindow if that is longer, since
	// it may have spent its share of the budget in the current window.
	minVMRetention = 10 * time.Second
)

// fleet is an immutable snapshot of the entry VMs.
type fleet struct {
	// members are the VMs whose addresses callers may get, ordered by id.
	members []membership.Member
	// known are the VMs that share budgets and connections: all that are listed,
	// and those whose records are missing for less than vmTable.retention.
	known []membership.Member
}

// standbyFraction is the fraction of the shared limits that is left for standby
// VMs, whose addresses callers do not get. They serve few requests, from
// callers with cached addresses.
const standbyFraction = 0.1

// servingIDs returns the ids of the VMs that carry the load: those that
// resolve.Serving chooses now, and those that it chooses among all known VMs.
// The latter may include VMs whose records have just gone missing, which may
// have spent their share of the budget in the current window.
func (f *fleet) servingIDs() map[string]bool {
	ids := map[string]bool{}
	for _, vms := range [][]membership.Member{f.known, f.members} {
		for _, m := range resolve.Serving(vms) {
			ids[m.ID] = true
		}
	}
	return ids
}

// fraction returns the fraction of the shared limits that one VM may use. At
// least minVMs VMs are assumed.
func (f *fleet) fraction(id string, minVMs int) float64 {
	serving := f.servingIDs()
	standby := len(f.known) - len(serving)
	switch {
	case standby == 0:
		return 1 / float64(max(1, len(serving), minVMs))
	case serving[id]:
		return (1 - standbyFraction) / float64(max(len(serving), minVMs))
	}
	return standbyFraction / float64(max(standby, minVMs))
}

// hasIncarnation reports whether the record of an incarnation of a VM is known.
func (f *fleet) hasIncarnation(id string, incarnation int64) bool {
	return slices.ContainsFunc(f.known, func(m membership.Member) bool { return m.ID == id && m.Incarnation == incarnation })
}

// source returns the VM that calls the store on behalf of a zone (see
// mirror.Source). It returns false if that is this VM, or if there is none;
// this VM then calls the store itself.
func (f *fleet) source(id, zone string) (membership.Member, bool) {
	for _, m := range resolve.Serving(f.members) { // ordered by id
		if m.Zone == zone {
			return m, m.ID != id
		}
	}
	return membership.Member{}, false
}

// vmTable tracks when the record of each VM was last seen and derives the fleet
// from that.
type vmTable struct {
	self      string
	retention time.Duration // of VMs without a record
	vms       map[string]*vmEntry
}

type vmEntry struct {
	member   membership.Member
	listed   bool
	lastSeen time.Time // when the record was last listed
	// resolvableUntil is until when callers get the address of a VM that is not
	// listed.
	resolvableUntil time.Time
}

func newVMTable(self string, budgetWindow time.Duration) *vmTable {
	return &vmTable{self: self, retention: max(minVMRetention, budgetWindow), vms: map[string]*vmEntry{}}
}

// update applies the listed VMs, or only the passage of time if listed is nil,
// and returns the new fleet. grace is how long callers still get the address of
// a VM that is no longer listed.
func (t *vmTable) update(listed map[string]membership.Member, now time.Time, grace time.Duration) *fleet {
	if listed != nil {
		for _, v := range t.vms {
			if v.listed {
				v.resolvableUntil = now.Add(grace)
			}
			v.listed = false
		}
		for id, m := range listed {
			t.vms[id] = &vmEntry{member: m, listed: true, lastSeen: now}
		}
	}
	f := &fleet{}
	for _, id := range slices.Sorted(maps.Keys(t.vms)) {
		v := t.vms[id]
		if v.listed {
			v.lastSeen = now
		}
		if now.Sub(v.lastSeen) > t.retention {
			delete(t.vms, id)
			continue
		}
		f.known = append(f.known, v.member)
		if v.member.State == membership.Alive && (v.listed || now.Before(v.resolvableUntil)) {
			f.members = append(f.members, v.member)
		}
	}
	return f
}
