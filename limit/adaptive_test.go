package limit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/config"
)

// Congestion of the backend servers must decrease the limit, only once per service
// time. After the congestion, the limit must return to the configured one.
func TestAdaptiveLimitFollowsCongestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := NewAdmission(Limits{MaxConcurrent: 100, MaxQueued: 0})
		recordServiceTime(c, a, 100*time.Millisecond)
		release := acquireN(c, a, 20)
		a.ObserveCongestion(true)
		c.Assert(a.concurrencyLimit(), qt.Equals, 100) // a single slow request is not congestion
		for range 10 {
			a.ObserveCongestion(true)
		}
		c.Assert(a.concurrencyLimit(), qt.Equals, 18)
		_, err := a.Acquire(context.Background(), config.PriorityNormal)
		c.Assert(err, qt.ErrorMatches, "overloaded: .*")
		release()
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			a.ObserveCongestion(true)
		}
		c.Assert(a.concurrencyLimit(), qt.Equals, minAdaptiveLimit)

		time.Sleep(fastIncreaseDelay)
		for range 10 {
			a.ObserveCongestion(false) // the limit is not reached
		}
		c.Assert(a.concurrencyLimit(), qt.Equals, minAdaptiveLimit)
		for range 100 {
			release := acquireN(c, a, a.concurrencyLimit())
			a.ObserveCongestion(false)
			release()
		}
		c.Assert(a.concurrencyLimit(), qt.Equals, 100)
	})
}
