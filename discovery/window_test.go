package discovery

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a use that outlasts the bound: without evidence of an outage for all VMs it
// counts from the earliest moment of the acknowledgement, whenever the VM learns; with it,
// it ends before the bound applies again.
func TestWindowCountsFromAcknowledgement(t *testing.T) {
	w := Window{LastUse: 2600 * time.Millisecond, AfterOutage: 3600 * time.Millisecond, ReturnTime: 2300 * time.Millisecond}
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 10_000).Draw(t, name)) * time.Millisecond
		}
		after := start.Add(draw("after"))
		now := after.Add(draw("learned"))
		until := w.Until(Origin{After: after}, now)
		c.Check(until.Leaving, qt.Equals, after.Add(w.LastUse))
		c.Check(until.Expired, qt.Equals, until.Leaving)
		away := after.Add(draw("away"))
		until = w.Until(Origin{After: after, Away: away}, now)
		c.Check(until.Leaving, qt.Equals, after.Add(w.LastUse), qt.Commentf("an outage does not extend the use of servers that say that they leave"))
		c.Check(until.Expired.Before(until.Leaving), qt.IsFalse)
		if until.Expired.After(until.Leaving) {
			c.Check(until.Expired.After(away.Add(w.AfterOutage)), qt.IsFalse)
			c.Check(until.Expired.After(now.Add(w.ReturnTime)), qt.IsFalse)
		}
	})
}
