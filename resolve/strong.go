package resolve

import "github.com/briarstand/briarstand/membership"

const (
	// strongPart is the part of the strongest VM's processor time from which on
	// a VM counts as strong. A query over many shards is one piece of work, which
	// takes a weak VM as many times longer.
	strongPart = 0.5
	// leastStrong is how many strong VMs are enough to send callers to them only,
	// with one of them gone.
	leastStrong = 3
	// leastStrongCores is the part of all processor time that they must have.
	leastStrongCores = 0.25
)

// Strong returns the VMs that callers are sent to: all of them, or in a fleet
// with VMs of different strength the strong ones, if they can carry the load. It
// answers queries over many shards, which would come late on a weak VM, and
// backend servers that take fewer connections than there are VMs.
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
