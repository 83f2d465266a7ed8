package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against avoiding a server permanently after one report of a long queue,
// and against using an invalid report.
func TestQueues(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	q := NewQueues()
	q.now = func() time.Time { return now }
	expect := func(id string, total time.Duration, queued bool) {
		t.Helper()
		got, waits := q.ExpectedLatency(id)
		c.Check(got, qt.Equals, total, qt.Commentf(id))
		c.Check(waits, qt.Equals, queued, qt.Commentf(id))
	}
	expect("new", 0, false)
	q.Observe("free", 0, 2, 8*time.Millisecond)
	expect("free", 8*time.Millisecond, false)

	// Ten requests wait for two slots, and the observed one waited behind as many.
	q.Observe("full", 10, 2, 300*time.Millisecond)
	expect("full", 300*time.Millisecond, true)
	q.Observe("full", 10, 2, 0) // reply to a refused request
	expect("full", 300*time.Millisecond, true)
	now = now.Add(100 * time.Millisecond)
	expect("full", 300*time.Millisecond, true)
	now = now.Add(time.Second)
	expect("full", 50*time.Millisecond, false)

	for _, bad := range [][2]int{{3, 0}, {3, -1}, {-1, 2}} {
		q.Observe("odd", bad[0], bad[1], time.Second)
		expect("odd", 0, false)
	}
	q.Retain(map[string]bool{"free": true})
	expect("full", 0, false)
}
