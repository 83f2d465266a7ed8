package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/membership"
	"github.com/cespare/xxhash/v2"
)

// selectWatchers returns the n members that watch the store, in rank order. They
// are chosen by rendezvous hash, one in each zone before a second one in any
// zone, so that a watcher is left when a zone fails.
func selectWatchers(members []membership.Member, n int) []membership.Member {
	var candidates []membership.Member
	for _, m := range members {
		if m.State == membership.Alive || m.State == membership.Joining {
			candidates = append(candidates, m)
		}
	}
	ranked := membership.Rendezvous("watch", candidates)
	perZone := map[string]int{}
	for i := range ranked {
		perZone[ranked[i].Zone] = 0
	}
	zoneRank := make(map[string]int, len(ranked))
	for _, m := range ranked {
		zoneRank[m.ID] = perZone[m.Zone]
		perZone[m.Zone]++
	}
	slices.SortStableFunc(ranked, func(a, b membership.Member) int {
		return cmp.Compare(zoneRank[a.ID], zoneRank[b.ID])
	})
	return ranked[:min(n, len(ranked))]
}

// indexByID returns the index of a member, or -1 if it is not there.
func indexByID(members []membership.Member, id string) int {
	return slices.IndexFunc(members, func(m membership.Member) bool { return m.ID == id })
}

// split divides targets into at most fanout slices whose sizes differ by at
// most one. The first target of each slice is the child that forwards to the
// rest.
func split(targets []Target, fanout int) [][]Target {
	n := min(fanout, len(targets))
	out := make([][]Target, 0, n)
	for i := range n {
		out = append(out, targets[i*len(targets)/n:(i+1)*len(targets)/n])
	}
	return out
}

// knownVMs returns the VMs that this VM reports with a confirmation: itself and
// every VM in its member table. A dead VM stays required for one freshness
// window after it was last heard, since it may still admit queries.
func knownVMs(self membership.Member, contacts []membership.Contact, now time.Time, window time.Duration) []KnownVM {
	out := make([]KnownVM, 0, len(contacts)+1)
	out = append(out, KnownVM{ID: self.ID, Incarnation: self.Incarnation, Address: self.PeerAddress, Required: true})
	for _, c := range contacts {
		recent := !c.LastHeard.IsZero() && now.Sub(c.LastHeard) <= window
		required := c.State != membership.Dead || recent
		out = append(out, KnownVM{ID: c.ID, Incarnation: c.Incarnation, Address: c.PeerAddress, Required: required, Listed: c.Listed})
	}
	return out
}

// knownDigest hashes known VMs independently of their order.
func knownDigest(known []KnownVM) uint64 {
	var sum uint64
	for _, k := range known {
		var b [10]byte
		for i := range 8 {
			b[i] = byte(k.Incarnation >> (8 * i))
		}
		if k.Required {
			b[8] = 1
		}
		// Listed is hashed only for VMs that are not required. For required
		// VMs it does not matter, and VMs that read the list at different
		// times report it differently.
		if k.Listed && !k.Required {
			b[9] = 1
		}
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(k.ID)
		_, _ = d.Write(b[:])
		sum ^= d.Sum64()
	}
	return sum
}

// mergeKnown merges reports of VMs into all. A newer incarnation replaces an
// older one. For equal incarnations, a VM is required or listed if any report
// says so.
func mergeKnown(all map[string]KnownVM, reports ...KnownVM) {
	for _, k := range reports {
		current, ok := all[k.ID]
		switch {
		case !ok || k.Incarnation > current.Incarnation:
			all[k.ID] = k
		case k.Incarnation == current.Incarnation:
			current.Required = current.Required || k.Required
			current.Listed = current.Listed || k.Listed
			all[k.ID] = current
		}
	}
}

// listSnapshot is the result of a read of the platform's VM list.
type listSnapshot struct {
	rows []kvstore.VM
	// current is whether the list was read in this round. An older list
	// cannot show that a VM is gone.
	current bool
	// stale is whether the list was never read, or is too old to accept a
	// revision: it may lack new VMs that no VM on this side of a partition
	// knows.
	stale bool
}

// requiredVMs returns the required set, ordered by id: the VMs on the platform's
// list, and the known VMs that any report marks as required or that no report marks
// as listed. Without a current list, all known VMs are required.
func requiredVMs(list listSnapshot, known map[string]KnownVM) []KnownVM {
	set := map[string]KnownVM{}
	for _, vm := range list.rows {
		set[vm.ID] = KnownVM{ID: vm.ID, Address: vm.PeerAddress, Required: true}
	}
	for id, k := range known {
		if _, listed := set[id]; listed || k.Required || !k.Listed || !list.current {
			k.Required = true
			set[id] = k
		}
	}
	out := make([]KnownVM, 0, len(set))
	for _, k := range set {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b KnownVM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// confirmations maps the id of a VM to its newest confirmation.
type confirmations map[string]Confirmation

func (c confirmations) add(all ...Confirmation) {
	for _, n := range all {
		if current, ok := c[n.ID]; !ok || n.Incarnation > current.Incarnation ||
			n.Incarnation == current.Incarnation && n.Revision > current.Revision {
			c[n.ID] = n
		}
	}
}

// revision returns the revision that a VM confirmed; 0 if it confirmed none, or
// if the confirmation came from an earlier incarnation.
func (c confirmations) revision(k KnownVM) int64 {
	if n, ok := c[k.ID]; ok && n.Incarnation >= k.Incarnation {
		return n.Revision
	}
	return 0
}

// acceptance decides when a revision is accepted. Each round passes the
// required set and its confirmations to observe.
type acceptance struct {
	accepted       int64
	candidate      int64            // revision that the whole set confirmed once and has to confirm again; 0 if none
	candidateSince time.Time        // end of the round that made it the candidate
	members        map[string]int64 // incarnations of the last round's set, by id
}

// observe processes a round and returns the accepted revision. Two rounds accept a
// revision if the whole set has confirmed it, or a newer one, in both, and the second
// began at least the settle time after the first ended. The settle time starts again
// if a VM of the set did not confirm the revision in a round, or if the set has a
// member or an incarnation that the set of the previous round did not have.
func (a *acceptance) observe(began, ended time.Time, settle time.Duration, set []KnownVM, confirmed confirmations) int64 {
	lowest := lowestRevision(set, confirmed)
	grown := a.updateMembers(set)
	switch {
	case lowest <= a.accepted:
		a.candidate = 0
	case a.candidate == 0 || lowest < a.candidate || grown:
		a.candidate, a.candidateSince = lowest, ended
	case began.Sub(a.candidateSince) >= settle:
		a.accepted = a.candidate
		a.candidate, a.candidateSince = lowest, ended
		if lowest == a.accepted {
			a.candidate = 0
		}
	}
	return a.accepted
}

// updateMembers stores the set and reports whether it has a member, or a newer
// incarnation of one, that the last round did not have.
func (a *acceptance) updateMembers(set []KnownVM) bool {
	grown := false
	members := make(map[string]int64, len(set))
	for _, k := range set {
		members[k.ID] = k.Incarnation
		if n, ok := a.members[k.ID]; !ok || k.Incarnation > n {
			grown = true
		}
	}
	a.members = members
	return grown
}

// lowestRevision returns the lowest revision that any VM of the set confirmed; 0
// if a VM confirmed none.
func lowestRevision(set []KnownVM, confirmed confirmations) int64 {
	if len(set) == 0 {
		return 0
	}
	lowest := confirmed.revision(set[0])
	for _, k := range set[1:] {
		lowest = min(lowest, confirmed.revision(k))
	}
	return lowest
}

// unconfirmed returns the VMs of the set that confirmed neither the revision nor
// a newer one.
func unconfirmed(set []KnownVM, confirmed confirmations, revision int64) []KnownVM {
	var out []KnownVM
	for _, k := range set {
		if confirmed.revision(k) < revision {
			out = append(out, k)
		}
	}
	return out
}

// takeover holds what determines when a VM takes over a rollout.
type takeover struct {
	learned     time.Time // when the VM received the revision
	lastPush    time.Time // last push of another coordinator; zero if none
	rank        int       // by rendezvous hash of service and revision
	watcherRank int       // rank among the watchers; -1 if not a watcher
}

// due returns the time to start driving. A watcher starts early when it has
// received no push, because the VM that made the change may have failed.
func (t takeover) due(step, watcherStep time.Duration) time.Time {
	if t.lastPush.IsZero() {
		start := t.learned.Add(time.Duration(t.rank) * step)
		if t.watcherRank >= 0 {
			watcherStart := t.learned.Add(watcherStep/4 + time.Duration(t.watcherRank)*watcherStep)
			if watcherStart.Before(start) {
				return watcherStart
			}
		}
		return start
	}
	return t.lastPush.Add(time.Duration(t.rank+1) * step)
}

// fullPollInterval returns the time between two full reads of the store by one
// of n VMs. A full read returns all documents. If n is above 30, each VM therefore
// reads less often, so that all n together make about 30 full reads per interval.
func fullPollInterval(n int, interval time.Duration) time.Duration {
	return max(interval, time.Duration(n)*interval/30)
}
