// Package membership keeps the table of VMs: who is part of the fleet, where,
// and in which state. VMs probe each other and spread what they learn with the
// probes; the platform's list only seeds the table.
package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a VM in the member table.
type State string

// States of a VM.
const (
	Joining State = "joining"
	Alive   State = "alive"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// rank orders states at the same incarnation and sequence: what a VM says
// about itself gives way to a suspicion, and a suspicion to a death.
func (s State) rank() int {
	switch s {
	case Joining:
		return 1
	case Alive:
		return 2
	case Leaving:
		return 3
	case Suspect:
		return 4
	case Dead:
		return 5
	}
	return 0
}

// Valid reports whether s is one of the states of a VM.
func (s State) Valid() bool { return s.rank() > 0 }

// Member is one VM of the fleet. The wire names are short because every probe
// carries at least two members.
type Member struct {
	ID            string `json:"i"`
	Zone          string `json:"z,omitempty"`
	Region        string `json:"r,omitempty"`
	CallerAddress string `json:"c,omitempty"`
	PeerAddress   string `json:"p"`
	// Incarnation is the start time of the daemon in nanoseconds.
	Incarnation int64 `json:"n"`
	// Sequence grows with each statement that the VM makes about itself.
	Sequence int64 `json:"q,omitempty"`
	State    State `json:"s"`
	// ConfigIndex is the highest revision that the VM is known to have in force.
	ConfigIndex int64 `json:"x,omitempty"`
	Fresh       bool  `json:"f,omitempty"`
	// Cores is the processor time that the VM has, in cores; 0 if unknown.
	Cores float64 `json:"w,omitempty"`
}

// View is an immutable picture of the table, ordered by id. It includes the VM
// itself and leaves out dead members.
type View struct{ Members []Member }

// Member returns the member with the given id.
func (v *View) Member(id string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id string) int { return cmp.Compare(m.ID, id) })
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Compare orders two statements about the same VM by incarnation, sequence and
// state. It is positive when a replaces b.
func Compare(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.State.rank(), b.State.rank()),
	)
}

// Merge combines what is known of a VM with an update. It reports whether the
// result is news that others should learn. The configuration index grows
// within an incarnation and is never news, because it changes at every VM with
// every configuration change.
func Merge(known, update Member) (Member, bool) {
	switch c := Compare(update, known); {
	case c > 0:
		if update.Incarnation == known.Incarnation {
			update.ConfigIndex = max(update.ConfigIndex, known.ConfigIndex)
		}
		return update, true
	case update.Incarnation == known.Incarnation:
		known.ConfigIndex = max(update.ConfigIndex, known.ConfigIndex)
	}
	return known, false
}

// Rendezvous returns the members ordered by rendezvous hash of a key. Each key
// has its own order, and a member that joins or leaves moves no other pair.
func Rendezvous(key string, members []Member) []Member {
	type scored struct {
		score  uint64
		member Member
	}
	order := make([]scored, len(members))
	for i, m := range members {
		order[i] = scored{Score(key, m.ID), m}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})
	sorted := make([]Member, len(order))
	for i, o := range order {
		sorted[i] = o.member
	}
	return sorted
}

// Score is the rendezvous hash of a key and an id; the highest comes first.
func Score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// digestBuckets is into how many parts a table is split, so that a sync sends
// only the parts that differ.
const digestBuckets = 32

// Digests holds one hash for each part of a table.
type Digests [digestBuckets]uint64

// toggle includes or removes a member. Dead members do not count, so that a
// tombstone equals an absent entry and need not be removed everywhere at once.
func (d *Digests) toggle(m Member) {
	if m.State == Dead {
		return
	}
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(m.ID)
	_, _ = h.WriteString("\x00" + string(m.State))
	var b [16]byte
	for i := range 8 {
		b[i] = byte(m.Incarnation >> (8 * i))
		b[8+i] = byte(m.Sequence >> (8 * i))
	}
	_, _ = h.Write(b[:])
	d[bucket(m.ID)] ^= h.Sum64()
}

// Sum is the digest of the whole table.
func (d *Digests) Sum() uint64 {
	var sum uint64
	for i, h := range d {
		sum ^= bits.RotateLeft64(h, i)
	}
	return sum
}

func bucket(id string) int { return int(xxhash.Sum64String(id) % digestBuckets) }

// maxTransmissions is how often an update is sent in a table of n members.
func maxTransmissions(n int) int { return 3 * bits.Len(uint(n)) }
