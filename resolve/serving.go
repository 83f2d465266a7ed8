package resolve

import (
	"cmp"
	"slices"

	"github.com/briarstand/briarstand/membership"
)

const (
	// minServingPerZone and minServing are the minimum numbers of VMs that serve
	// callers, in each availability zone and in all, if the fleet has that many.
	// A zone then keeps one when another stops. Few serving VMs see more of the
	// load each, so that each learns sooner which backend servers are slow, and
	// fewer tokens of the shared budgets lie unused.
	minServingPerZone = 2
	minServing        = 6
	// minServingCoreShare is the minimum share of the fleet's CPU that the serving
	// VMs have together, so that their number grows with the fleet, and so with
	// the load that the fleet is sized for.
	minServingCoreShare = 0.125
)

// Serving returns the VMs whose addresses callers get, in the order of members: the
// large VMs of a mixed fleet, or a subset from every zone of a fleet of equal VMs.
// The other VMs hold the same records and stand by. The choice depends only
// on records that every VM has, so all VMs agree on it without coordination.
//
// It answers a load that is spread thin: if all VMs accepted callers, each would open
// its own connections to every backend server, in a big fleet more than these accept,
// and use each connection too rarely to tell which servers are slow.
func Serving(members []membership.Member) []membership.Member {
	large := LargeVMs(members)
	if len(large) <= minServing || len(large) < len(members) {
		return large
	}
	total := 0.0
	for _, m := range members {
		total += m.Cores
	}
	chosen, cores := map[string]bool{}, 0.0
	zones := byZone(members)
	for round := 0; round < minServingPerZone || len(chosen) < minServing || cores < minServingCoreShare*total; round++ {
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

// byZone returns the VMs of each zone, large VMs before small ones, and those of
// each size by start time. So a VM that is new or was restarted displaces no
// other of its size, and the VMs that serve keep their connections.
func byZone(members []membership.Member) [][]membership.Member {
	largest := maxCores(members)
	sizeRank := func(m membership.Member) int {
		if m.Cores >= largeVMRatio*largest {
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
			return cmp.Or(cmp.Compare(sizeRank(a), sizeRank(b)), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.ID, b.ID))
		})
	}
	return zones
}
