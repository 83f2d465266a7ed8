package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// entry is a row of the table, with information that is local to this VM.
type entry struct {
	Member
	changedAt time.Time // when this VM learned of the state or incarnation
	lastHeard time.Time // last message from the VM itself; zero if none
	listed    bool      // was on the platform's list at some time, see markListed
	sent      int       // transmissions of the entry as an update
	pending   bool      // more transmissions as an update are due
}

// table is the member table. It does no I/O, receives the time as an argument and
// is not safe for concurrent use.
type table struct {
	self    string
	entries map[string]*entry
	digests Digests
	// configIndexGrew says that a message since the last view raised the
	// configuration index of its sender.
	configIndexGrew bool
}

func newTable(self Member) *table {
	t := &table{self: self.ID, entries: map[string]*entry{}}
	t.put(self, time.Time{})
	return t
}

// put inserts or replaces the entry of a VM and schedules it as an update.
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

// merge applies an update from a peer and reports whether the table changed. A
// Dead entry of a VM that is not in the table is ignored: peers could otherwise
// recreate each other's tombstones forever.
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
	merged, replaced := Merge(e.Member, update)
	if !replaced {
		e.ConfigIndex = merged.ConfigIndex
		return false
	}
	t.put(merged, now)
	return true
}

// refute overrides an update that declares this VM suspect or dead: it sets this
// VM's sequence to one above that of the update. An update about another incarnation
// cannot be refuted.
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

// recordMessage merges the sender's own entry and records the time of its message.
// It fails for a superseded incarnation and for a sender with this VM's id.
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

// suspect marks a member that failed a probe as suspect, unless it is already
// suspect or dead or a newer entry arrived since the probe was sent. It reports
// whether the table changed.
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

// expireSuspicions declares suspects dead that did not refute the suspicion in
// time, and returns them.
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

// restartSuspicions restarts the timeouts of all suspicions. It is called after a
// pause of this VM, during which no refutation could arrive.
func (t *table) restartSuspicions(now time.Time) {
	for _, e := range t.entries {
		if e.State == Suspect {
			e.changedAt = now
		}
	}
}

// reap removes tombstones older than keep, except those of VMs that may still be
// on the platform's list: the coordinator of a rollout, which decides whether a
// revision is accepted, must be able to find these in the table.
func (t *table) reap(now time.Time, keep time.Duration, mayBeListed func(id string, died time.Time) bool) {
	for id, e := range t.entries {
		if e.State == Dead && now.Sub(e.changedAt) >= keep && !mayBeListed(id, e.changedAt) {
			t.remove(id)
		}
	}
}

// updates returns at most limit entries for a message to a VM: the pending ones
// that were sent least often. If this table has the receiver itself as suspect or
// dead, the receiver's entry comes first, so that the receiver can refute it.
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

// live returns all members other than this VM that are not dead.
func (t *table) live() []Member {
	out := make([]Member, 0, len(t.entries))
	for id, e := range t.entries {
		if id != t.self && e.State != Dead {
			out = append(out, e.Member)
		}
	}
	sortByID(out)
	return out
}

// clearPending stops sending the entries that equal the given members as updates.
// A VM that joins receives the whole table from a peer; forwarding all of it would
// fill its probes for minutes with entries that the other VMs already have.
func (t *table) clearPending(members []Member) {
	for _, m := range members {
		if e := t.entries[m.ID]; e != nil && m.ID != t.self && Compare(e.Member, m) == 0 {
			e.pending = false
		}
	}
}

// deadAddresses returns the peer addresses of dead members, ordered by id.
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

// view returns a snapshot of the table without dead members.
func (t *table) view() *View {
	t.configIndexGrew = false
	return &View{Members: sortByID(append(t.live(), t.entries[t.self].Member))}
}

// differing returns the members in the buckets whose digests differ from those of
// a peer.
func (t *table) differing(other *Digests) []Member {
	var out []Member
	for id, e := range t.entries {
		if b := bucket(id); t.digests[b] != other[b] {
			out = append(out, e.Member)
		}
	}
	return sortByID(out)
}

// missing returns the members in differing buckets that a peer lacks or has an
// older entry of.
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

// syncWait returns how long digests may differ before a sync is due: about the
// time in which an update reaches all n members.
func syncWait(n int, interval time.Duration) time.Duration {
	return time.Duration(math.Ceil(math.Log2(float64(n+1)))) * interval
}

// contacts returns the entries of all other VMs, tombstones included, ordered by
// id.
func (t *table) contacts() []Contact {
	out := make([]Contact, 0, len(t.entries))
	for id, e := range t.entries {
		if id != t.self {
			out = append(out, Contact{Member: e.Member, LastHeard: e.lastHeard, Listed: e.listed})
		}
	}
	slices.SortFunc(out, func(a, b Contact) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
