package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/briarstand/briarstand/config"
)

// Member holds the attributes of a VM that the assignment of backend servers
// depends on.
type Member struct{ ID, Region string }

// Owners returns the ids of the VMs that connect to a backend server. Their
// number is half of its connection limit, at least one; they are chosen by
// rendezvous hashing, VMs of its own region first. The other half of the limit is
// reserved for a rolling replacement, during which old and new VMs are connected
// at the same time.
func Owners(b *config.Backend, members []Member) []string {
	type ranked struct {
		id    string
		local bool
		hash  uint64
	}
	all := make([]ranked, len(members))
	for i, m := range members {
		all[i] = ranked{m.ID, m.Region == b.Region, rendezvousHash(b.ID, m.ID)}
	}
	slices.SortFunc(all, func(x, y ranked) int {
		if x.local != y.local {
			if x.local {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.hash, x.hash), cmp.Compare(x.id, y.id))
	})
	owners := make([]string, min(len(all), max(1, b.MaxConnections/2)))
	for i := range owners {
		owners[i] = all[i].id
	}
	return owners
}

func rendezvousHash(backendID, vmID string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a Digest cannot fail. The zero byte separates the ids.
	_, _ = d.WriteString(backendID)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(vmID)
	return d.Sum64()
}
