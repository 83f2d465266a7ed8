package resolve

import "github.com/briarstand/briarstand/membership"

const (
	// strongPart is the share of the largest VM's CPU from which on a VM counts
	// as large. A query over many shards runs on one VM, so it takes
	// proportionally longer on a small one.
	strongPart = 0.5
	// leastStrong is how many large VMs are enough to send callers only to them,
	// also after the loss of one.
	leastStrong = 3
	// leastStrongCores is the share of the fleet's CPU that they must have together.
	leastStrongCores = 0.25
)

// Strong returns the VMs that callers may be sent to: in a fleet of mixed sizes
// the large VMs, if they can carry the load, and otherwise all. A query over many
// shards would miss its deadline on a small VM, and backend servers may accept
// fewer connections than there are VMs.
func Strong(members []membership.Member) []membership.Member {
	most, total := mostCores(members), 0.0
	for _, m := range members {
		total += m.Cores
	}
	var strong []membership.Member
	cores := 0.0
	for _, m := range members {
		if m.Cores >= strongPart*most {
			strong = append(strong, m)
			cores += m.Cores
		}
	}
	if len(strong) < leastStrong || cores < leastStrongCores*total {
		return members
	}
	return strong
}

func mostCores(members []membership.Member) (most float64) {
	for _, m := range members {
		most = max(most, m.Cores)
	}
	return most
}
