package rollout

import (
	"sync"

	"github.com/briarstand/briarstand/config"
	"github.com/cespare/xxhash/v2"
)

// inventory tracks the revisions that this VM has in force and the store index up
// to which it has every revision.
type inventory struct {
	registry *config.Registry

	mu       sync.Mutex // guards the fields below
	snapshot *config.Snapshot
	hash     uint64 // of the service names and revisions in snapshot
	complete int64  // store index up to which no revision is missing
}

func newInventory(r *config.Registry) *inventory { return &inventory{registry: r} }

// digest returns the configuration in force and the hash of its service names and
// revisions.
func (v *inventory) digest() (*config.Snapshot, uint64) {
	snap := v.registry.Snapshot()
	v.mu.Lock()
	defer v.mu.Unlock()
	if snap != v.snapshot {
		v.snapshot, v.hash = snap, hashRevisions(snap)
	}
	return snap, v.hash
}

// completeTo raises the store index up to which no revision is missing.
func (v *inventory) completeTo(index int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.complete = max(v.complete, index)
}

func (v *inventory) completeIndex() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.complete
}

func hashRevisions(snap *config.Snapshot) uint64 {
	var sum uint64
	for _, svc := range snap.All() {
		var b [8]byte
		for i := range b {
			b[i] = byte(svc.Revision >> (8 * i))
		}
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(svc.Name)
		_, _ = d.Write(b[:])
		sum ^= d.Sum64()
	}
	return sum
}

// revisionsSince returns the revisions in force that are above a store index, by
// service.
func revisionsSince(snap *config.Snapshot, since int64) map[string]int64 {
	out := map[string]int64{}
	for _, svc := range snap.Since(since) {
		out[svc.Name] = svc.Revision
	}
	return out
}
