package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// entry is a row of the table with what only this VM knows.
type entry struct {
	Member
	changedAt time.Time // when the state changed here
	lastHeard time.Time // last message received from the VM itself
	listed    bool      // the platform's list has had the VM
	sent      int       // transmissions of the entry as an update
	pending   bool      // the entry still has to be sent as an update
}

// table is the member table. It does no I/O and takes the time from its
// caller; its owner serializes the calls.
type table struct {
	self    string
	entries map[string]*entry
	digests Digests
	// configIndexGrew says that a configuration index grew since the last view.
	configIndexGrew bool
}

func newTable(self Member) *table {
	t := &table{self: self.ID, entries: map[string]*entry{}}
	t.put(self, time.Time{})
	return t
}

// put replaces the entry of a VM and schedules it as an update.
func (t *table) put(m Member, now time.Time) *entry {
	e := t.entries[m.ID]
	if e == nil {
		e = &entry{changedAt: now}
		t.entries[m.ID] = e
	} else {
		t.digests.toggle(e.Member)
		if e.Incarnation != m.Incarnation {
			e.lastHeard = time.Time{}
		}
		if e.State != m.State || e.Incarnation != m.Incarnation {
			e.changedAt = now
		}
	}
	e.Member, e.sent, e.pending = m, 0, true
	t.digests.toggle(m)
	return e
}

func (t *table) remove(id string) {
	if e := t.entries[id]; e != nil {
		t.digests.toggle(e.Member)
		delete(t.entries, id)
	}
}

// merge takes an update from a peer. It reports whether the table changed.
// A death of a VM that is not in the table is not taken, so that tombstones
// end.
func (t *table) merge(update Member, now time.Time) bool {
	if update.ID == t.self {
		return t.refute(update, now)
	}
	e := t.entries[update.ID]
	if e == nil {
		if update.State == Dead {
			return false
		}
		t.put(update, now)
		return true
	}
	merged, news := Merge(e.Member, update)
	if !news {
		e.ConfigIndex = merged.ConfigIndex
		return false
	}
	t.put(merged, now)
	return true
}

// refute answers a suspicion or death of this VM with a higher sequence. A
// statement about another incarnation cannot be answered.
func (t *table) refute(update Member, now time.Time) bool {
	self := t.entries[t.self]
	if update.Incarnation != self.Incarnation || Compare(update, self.Member) <= 0 {
		return false
	}
	m := self.Member
	m.Sequence = update.Sequence + 1
	t.put(m, now)
	return true
}

// recordMessage records a message that came from the VM itself.
func (t *table) recordMessage(from Member, now time.Time) error {
	e := t.entries[from.ID]
	if e != nil && e.Incarnation > from.Incarnation {
		return &SupersededError{from.ID, from.Incarnation, e.Incarnation}
	}
	if from.ID == t.self {
		return &MessageError{"sender", "has the receiver's id"}
	}
	index := int64(0)
	if e != nil {
		index = e.ConfigIndex
	}
	t.merge(from, now)
	if e = t.entries[from.ID]; e != nil {
		e.lastHeard = now
		t.configIndexGrew = t.configIndexGrew || e.ConfigIndex > index
	}
	return nil
}

// suspect marks a VM that failed a probe. A statement that arrived after the
// probe was sent wins.
func (t *table) suspect(probed Member, now time.Time) bool {
	e := t.entries[probed.ID]
	if e == nil || e.State == Dead || e.State == Suspect ||
		e.Incarnation != probed.Incarnation || e.Sequence != probed.Sequence {
		return false
	}
	m := e.Member
	m.State = Suspect
	t.put(m, now)
	return true
}

// expireSuspicions turns suspicions that were not refuted into deaths and returns them.
func (t *table) expireSuspicions(now time.Time, suspicion time.Duration) []Member {
	var died []Member
	for _, e := range t.entries {
		if e.State == Suspect && now.Sub(e.changedAt) >= suspicion {
			m := e.Member
			m.State = Dead
			t.put(m, now)
			died = append(died, m)
		}
	}
	return died
}

// restartSuspicions restarts the suspicion times. It is used after this VM itself was
// paused, when the silence of others says nothing about them.
func (t *table) restartSuspicions(now time.Time) {
	for _, e := range t.entries {
		if e.State == Suspect {
			e.changedAt = now
		}
	}
}

// reap removes tombstones that are old enough. onList tells whether the
// platform's list, read after the death, may still have a VM: whoever decides
// on acceptance must then be able to learn of that VM from the table.
func (t *table) reap(now time.Time, keep time.Duration, mayList func(id string, died time.Time) bool) {
	for id, e := range t.entries {
		if e.State == Dead && now.Sub(e.changedAt) >= keep && !mayList(id, e.changedAt) {
			t.remove(id)
		}
	}
}

// updates picks the entries that were sent least often, at most limit.
// about is sent first when the receiver's own idea of itself is outdated.
func (t *table) updates(limit int, to string) []Member {
	maxSent := maxTransmissions(len(t.entries))
	var picked []*entry
	for _, e := range t.entries {
		if e.pending && e.ID != t.self {
			picked = append(picked, e)
		}
	}
	slices.SortFunc(picked, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.ID, b.ID))
	})
	var out []Member
	if e := t.entries[to]; e != nil && (e.State == Suspect || e.State == Dead) {
		out = append(out, e.Member)
	}
	for _, e := range picked[:min(len(picked), limit-len(out))] {
		if e.ID != to {
			out = append(out, e.Member)
		}
		if e.sent++; e.sent >= maxSent {
			e.pending = false
		}
	}
	return out
}

// living returns the other members that are not dead.
func (t *table) living() []Member {
	out := make([]Member, 0, len(t.entries))
	for id, e := range t.entries {
		if id != t.self && e.State != Dead {
			out = append(out, e.Member)
		}
	}
	sortByID(out)
	return out
}

// clearPending takes entries out of the updates to send. A VM that joins learns the
// whole table from a peer, and sending all of it on would cost it minutes of
// full probes without telling anyone anything new.
func (t *table) clearPending(members []Member) {
	for _, m := range members {
		if e := t.entries[m.ID]; e != nil && m.ID != t.self && Compare(e.Member, m) == 0 {
			e.pending = false
		}
	}
}

// deadAddresses returns the addresses of deadAddresses members, ordered by id.
func (t *table) deadAddresses() []string {
	var out []Member
	for _, e := range t.entries {
		if e.State == Dead {
			out = append(out, e.Member)
		}
	}
	addresses := make([]string, 0, len(out))
	for _, m := range sortByID(out) {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses
}

// view builds the picture that is published.
func (t *table) view() *View {
	t.configIndexGrew = false
	return &View{Members: sortByID(append(t.living(), t.entries[t.self].Member))}
}

// differing returns the members in the parts whose digests differ.
func (t *table) differing(other *Digests) []Member {
	var out []Member
	for id, e := range t.entries {
		if b := bucket(id); t.digests[b] != other[b] {
			out = append(out, e.Member)
		}
	}
	return sortByID(out)
}

// missing returns the entries in the given parts that are newer than those of
// a peer.
func (t *table) missing(other *Digests, theirs []Member) []Member {
	known := make(map[string]Member, len(theirs))
	for _, m := range theirs {
		known[m.ID] = m
	}
	var out []Member
	for _, m := range t.differing(other) {
		if k, ok := known[m.ID]; !ok || Compare(m, k) > 0 {
			out = append(out, m)
		}
	}
	return out
}

func sortByID(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// syncWait is how long digests may differ before tables are compared: about
// the time in which an update reaches all n members.
func syncWait(n int, interval time.Duration) time.Duration {
	return time.Duration(math.Ceil(math.Log2(float64(n+1)))) * interval
}

// contacts returns all entries of other VMs, ordered by id.
func (t *table) contacts() []Contact {
	out := make([]Contact, 0, len(t.entries))
	for id, e := range t.entries {
		if id != t.self {
			out = append(out, Contact{Member: e.Member, Heard: e.lastHeard, Listed: e.listed})
		}
	}
	slices.SortFunc(out, func(a, b Contact) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
