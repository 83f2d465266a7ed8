package balance

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/backend"
)

// Guards against a straggler that keeps its share because its requests are
// withdrawn before they show how slow it is, and against a replica that loses
// its share because hedges to it are withdrawn early.
func TestWithdrawnLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := NewPicker(Config{})
		end := func(id string, latency time.Duration, status backend.Status) {
			p.Started(id)
			p.Finished(id, latency, status)
		}
		for range 20 {
			for _, id := range []string{"straggler", "hedged", "usual"} {
				end(id, 40*time.Millisecond, backend.OK)
			}
		}
		for range 20 {
			end("straggler", 45*time.Millisecond, backend.Cancelled)
			end("hedged", 5*time.Millisecond, backend.Cancelled)
		}
		pressure := func(id string) float64 { return p.pressure(p.state(id), p.now()) }
		c.Assert(pressure("usual"), qt.Equals, 1.0)
		c.Assert(pressure("hedged"), qt.Equals, 1.0)
		c.Assert(pressure("straggler") > 10, qt.IsTrue)
		time.Sleep(2 * DefaultForget) // it is tried again
		c.Assert(pressure("straggler"), qt.Equals, 1.0)
	})
}
