package resolve

import (
	"cmp"
	"slices"

	"github.com/briarstand/briarstand/membership"
)

const (
	// leastServing is how many VMs serve callers at least, if there are so many: a
	// third of them can be lost at once, and each still gets several connections
	// to a backend server that takes a hundred.
	leastServing = 24
	// leastServingCores is the part of all processor time that they must have,
	// so that they grow with the fleet, and with the load that it was sized for.
	leastServingCores = 0.125
)

// Serving returns the VMs that callers are sent to, in the order of members: the
// strong ones of an unequal fleet, and of many equal ones some in each zone. The
// others know everything and stand by. It follows from the records that every VM
// has, so that all agree without a decision among them.
//
// It answers a fleet that is large for its load: with callers spread over all of
// it, each VM opens its own connections to every backend server, more than those
// accept, and uses each of them too rarely to know which servers are slow.
func Serving(members []membership.Member) []membership.Member {
	strong := Strong(members)
	if len(strong) <= leastServing || len(strong) < len(members) {
		return strong
	}
	total := 0.0
	for _, m := range members {
		total += m.Cores
	}
	chosen, cores := map[string]bool{}, 0.0
	for zones := byZone(members); len(chosen) < leastServing || cores < leastServingCores*total; {
		for i, zone := range zones {
			if len(zone) > 0 {
				chosen[zone[0].ID] = true
				cores += zone[0].Cores
				zones[i] = zone[1:]
			}
		}
	}
	serving := make([]membership.Member, 0, len(chosen))
	for _, m := range members {
		if chosen[m.ID] {
			serving = append(serving, m)
		}
	}
	return serving
}

// byZone returns the VMs of each zone, strong ones first, and of these the ones
// that have run for longest: a VM that is new or was restarted takes no place
// away, and the others keep their connections.
func byZone(members []membership.Member) [][]membership.Member {
	most := mostCores(members)
	weak := func(m membership.Member) int {
		if m.Cores >= strongPart*most {
			return 0
		}
		return 1
	}
	index := map[string]int{}
	var zones [][]membership.Member
	for _, m := range members {
		i, ok := index[m.Zone]
		if !ok {
			i = len(zones)
			index[m.Zone] = i
			zones = append(zones, nil)
		}
		zones[i] = append(zones[i], m)
	}
	for _, zone := range zones {
		slices.SortStableFunc(zone, func(a, b membership.Member) int {
			return cmp.Or(cmp.Compare(weak(a), weak(b)), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.ID, b.ID))
		})
	}
	return zones
}
