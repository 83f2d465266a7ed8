package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/membership"
)

// Guards against taking an outage of some VMs for one of all: a VM that kept its lease, stops
// or was started again has reached the store, and so has this VM if it kept its own.
func TestStoreWasAwayForAll(t *testing.T) {
	type records = map[string]decoded[membership.Member]
	record := func(id string, revision int64, incarnation int64, state membership.State) decoded[membership.Member] {
		return decoded[membership.Member]{revision: revision, value: membership.Member{ID: id, Incarnation: incarnation, State: state}, ok: true}
	}
	const alive, leaving = membership.Alive, membership.Leaving
	before := records{"a": record("a", 1, 1, alive), "b": record("b", 2, 1, alive), "c": record("c", 3, 1, alive)}
	for name, test := range map[string]struct {
		after records
		away  bool
	}{
		"all leases ended":                          {records{}, true},
		"all leases ended, two registered again":    {records{"a": record("a", 8, 1, alive), "b": record("b", 9, 1, alive)}, true},
		"a new VM came":                             {records{"d": record("d", 9, 1, alive)}, true},
		"another VM kept its lease":                 {records{"b": before["b"]}, false},
		"this VM kept its lease":                    {records{"a": before["a"]}, false},
		"another VM reached the store, as it stops": {records{"b": record("b", 9, 1, leaving)}, false},
		"another VM was started again":              {records{"b": record("b", 9, 2, alive)}, false},
	} {
		qt.Check(t, lostByAll("a", before, test.after), qt.Equals, test.away, qt.Commentf("%s", name))
	}
	qt.Check(t, lostByAll("x", before, records{}), qt.IsFalse, qt.Commentf("this VM had no record"))
}
