package balance

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/backend"
)

// A straggler must lose its share of work although its requests are cancelled before
// they show how slow it is. A replica must not lose its share because hedges to it
// are cancelled early.
func TestCancelledLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := NewPicker(Config{})
		finish := func(id string, latency time.Duration, status backend.Status) {
			p.Started(id)
			p.Finished(id, latency, status)
		}
		for range 20 {
			for _, id := range []string{"straggler", "hedged", "usual"} {
				finish(id, 40*time.Millisecond, backend.OK)
			}
		}
		for range 20 {
			finish("straggler", 45*time.Millisecond, backend.Cancelled)
			finish("hedged", 5*time.Millisecond, backend.Cancelled)
		}
		loadFactor := func(id string) float64 { return p.loadFactor(p.state(id), p.now()) }
		c.Assert(loadFactor("usual"), qt.Equals, 1.0)
		c.Assert(loadFactor("hedged"), qt.Equals, 1.0)
		c.Assert(loadFactor("straggler") > 10, qt.IsTrue)
		time.Sleep(2 * DefaultLatencyDecay) // the replica is tried again
		c.Assert(loadFactor("straggler"), qt.Equals, 1.0)
	})
}
