package limit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/config"
)

// Guards against congested backend servers that keep getting as much work, a
// ceiling that signs of one excess cut several times, and one that never grows
// back to the configured limit.
func TestCeilingFollowsCongestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := NewAdmission(Limits{MaxConcurrent: 100, MaxQueued: 0})
		teach(c, a, 100*time.Millisecond)
		release := occupy(c, a, 20)
		a.Observe(true)
		c.Assert(a.bound(), qt.Equals, 100) // one slow request is no congestion
		for range 10 {
			a.Observe(true)
		}
		c.Assert(a.bound(), qt.Equals, 18)
		_, err := a.Acquire(context.Background(), config.PriorityNormal)
		c.Assert(err, qt.ErrorMatches, "overloaded: .*")
		release()
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			a.Observe(true)
		}
		c.Assert(a.bound(), qt.Equals, leastCeiling)

		time.Sleep(calmTime)
		for range 10 {
			a.Observe(false) // the ceiling is not in use
		}
		c.Assert(a.bound(), qt.Equals, leastCeiling)
		for range 100 {
			release := occupy(c, a, a.bound())
			a.Observe(false)
			release()
		}
		c.Assert(a.bound(), qt.Equals, 100)
	})
}
