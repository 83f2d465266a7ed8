package resolve

import "github.com/briarstand/briarstand/membership"

const (
	// largeVMRatio is the minimum ratio of a VM's CPU to that of the largest VM
	// for the VM to count as large. A query over many shards runs on one VM, so it
	// takes proportionally longer on a small one.
	largeVMRatio = 0.5
	// minLargeVMs is the minimum number of large VMs for callers to get only their
	// addresses, so that enough are left after the loss of one.
	minLargeVMs = 3
	// minLargeVMCoreShare is the minimum share of the fleet's CPU that the large
	// VMs must have together for callers to get only their addresses.
	minLargeVMCoreShare = 0.25
)

// LargeVMs returns the VMs whose addresses callers may get: the large VMs of a
// fleet of mixed sizes if they can carry the load, and otherwise all VMs. Small
// VMs are avoided because a query over many shards would miss its deadline on
// them, and because backend servers may accept fewer connections than there are
// VMs.
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
