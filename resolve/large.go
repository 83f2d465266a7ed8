package resolve

import "github.com/briarstand/briarstand/membership"

const (
	// largeVMRatio is the least ratio of a VM's CPU to that of the largest VM for
	// it to count as large. A query over many shards runs on one VM, so it takes
	// proportionally longer on a small one.
	largeVMRatio = 0.5
	// minLargeVMs is the least number of large VMs for callers to get only their
	// addresses: they suffice also after the loss of one.
	minLargeVMs = 3
	// minLargeVMCoreShare is the least share of the fleet's CPU that they must have
	// together.
	minLargeVMCoreShare = 0.25
)

// LargeVMs returns the VMs whose addresses callers may get: in a fleet of mixed
// sizes the large VMs, if they can carry the load, and otherwise all. A query over many
// shards would miss its deadline on a small VM, and backend servers may accept
// fewer connections than there are VMs.
func LargeVMs(members []membership.Member) []membership.Member {
	largest, total := maxCores(members), 0.0
	for _, m := range members {
		total += m.Cores
	}
	var large []membership.Member
	cores := 0.0
	for _, m := range members {
		if m.Cores >= largeVMRatio*largest {
			large = append(large, m)
			cores += m.Cores
		}
	}
	if len(large) < minLargeVMs || cores < minLargeVMCoreShare*total {
		return members
	}
	return large
}

func maxCores(members []membership.Member) (largest float64) {
	for _, m := range members {
		largest = max(largest, m.Cores)
	}
	return largest
}
