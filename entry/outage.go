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

// awayBefore returns the last moment at which the store is known to have been away for all
// VMs before it came back from a copy: the last failed call of this VM or, if none failed
// since, after, a moment at which it held the records before.
func (s *state) awayBefore(after time.Time) time.Time {
	if f := s.follower.Load(); f != nil {
		if failed, ok := f.LastFailure(); ok && failed.After(after) {
			return failed
		}
	}
	return after
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
