package entry

import (
	"time"

	"github.com/briarstand/briarstand/membership"
)

// lostByAll reports whether the lease of every VM ended between two states of the records,
// that of this VM among them. Then the store was away for all VMs: it answers none of them
// for as long as a lease lasts, so a link that fails, or several, do not look like that. A
// VM that is stopping or was started again has reached the store.
func lostByAll(self string, before, after map[string]decoded[membership.Member]) bool {
	selfLost := false
	for key, old := range before {
		if !old.ok {
			continue
		}
		if now, listed := after[key]; listed {
			registered := now.ok && now.revision > old.revision && now.value.Incarnation == old.value.Incarnation && now.value.State == membership.Alive
			if !registered {
				return false
			}
		}
		selfLost = selfLost || old.value.ID == self
	}
	return selfLost
}

// awayAt returns the last moment at which the store is known to have been away for all VMs
// while it made the changes between two states of the records; the zero time if it may not
// have been. after is a moment after which it made them.
func (s *state) awayAt(before, next map[string]decoded[membership.Member], after time.Time) time.Time {
	f := s.follower.Load()
	if f == nil {
		return time.Time{}
	}
	failed, ok := f.LastFailure()
	if !ok || !failed.After(after) || !lostByAll(s.vms.self, before, next) {
		return time.Time{}
	}
	return failed
}
