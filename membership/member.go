// Package membership maintains the member table: the VMs of the fleet, their
// addresses and their states. It is a gossip protocol in the manner of SWIM: VMs
// probe each other, and probes and their replies carry updates of the table. The
// platform's list of VMs only supplies addresses to probe.
//
// A member that answers neither direct nor indirect probes becomes suspect. It is
// declared dead unless it refutes the suspicion in time, by an update about itself
// with a higher sequence. The entry of a dead member stays for a while as a
// tombstone. Two VMs whose tables differ for too long sync: they exchange the
// entries that differ (anti-entropy).
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

// rank orders states at the same incarnation and sequence: Suspect overrides the
// states that a VM reports about itself, and Dead overrides Suspect.
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
	// Sequence is increased by the VM itself when its State or Fresh changes and
	// when it refutes an update about itself.
	Sequence int64 `json:"q,omitempty"`
	State    State `json:"s"`
	// ConfigIndex is the highest revision that the VM is known to have in force.
	ConfigIndex int64 `json:"x,omitempty"`
	// Fresh is ConfigState.Fresh of the VM.
	Fresh bool `json:"f,omitempty"`
	// Cores is the CPU capacity of the VM, in cores; 0 if unknown.
	Cores float64 `json:"w,omitempty"`
}

// View is an immutable snapshot of the table, ordered by id. It includes the VM
// itself and omits dead members.
type View struct{ Members []Member }

// Member returns the member with the given id.
func (v *View) Member(id string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id string) int { return cmp.Compare(m.ID, id) })
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Compare orders two entries of the same VM by incarnation, sequence and state.
// It is positive when a replaces b.
func Compare(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.State.rank(), b.State.rank()),
	)
}

// Merge combines the known entry of a VM with an update. It reports whether the
// result has to be forwarded to other VMs. The configuration index never decreases
// within an incarnation. If only the index has grown, the result is not forwarded,
// because the index changes at every VM with every configuration change.
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
// has its own order, and a member that joins or leaves does not change the
// relative order of the others.
func Rendezvous(key string, members []Member) []Member {
	type scored struct {
		score  uint64
		member Member
	}
	order := make([]scored, len(members))
	for i, m := range members {
		order[i] = scored{RendezvousScore(key, m.ID), m}
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

// RendezvousScore returns the rendezvous hash of a key and an id; Rendezvous
// puts the highest score first.
func RendezvousScore(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// digestBuckets is the number of buckets into which a table is split by id, so
// that a sync sends only the buckets that differ.
const digestBuckets = 32

// Digests holds one hash for each bucket of a table.
type Digests [digestBuckets]uint64

// toggle adds a member to the digests, or removes it if they include it, by XOR.
// Dead members are ignored, so that a tombstone is equivalent to an absent entry
// and VMs may remove it at different times.
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

// Sum returns the digest of the whole table.
func (d *Digests) Sum() uint64 {
	var sum uint64
	for i, h := range d {
		sum ^= bits.RotateLeft64(h, i)
	}
	return sum
}

func bucket(id string) int { return int(xxhash.Sum64String(id) % digestBuckets) }

// maxTransmissions returns how many times a VM sends each update when its table has
// n members.
func maxTransmissions(n int) int { return 3 * bits.Len(uint(n)) }
