package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/config"
)

// Guards against notices that are lost or cut short: by one with older news, by the
// other kind, or when a server is missing from the records for a while.
func TestNotices(t *testing.T) {
	synctest.Test(t, testNotices)
}

func testNotices(t *testing.T) {
	const leavingPeriod = 1500 * time.Millisecond
	b, other := &config.Backend{ID: "b"}, &config.Backend{ID: "b"}
	limits := map[*config.Backend]int{b: 1}
	noticed, ended := 0, 0
	c := NewClient(Config{
		LeavingPeriod: leavingPeriod, NoticeRetention: time.Hour,
		Noticed: func(*config.Backend, string, Notice) { noticed++ }, PauseEnded: func(*config.Backend) { ended++ },
	})
	time.Sleep(time.Minute)
	availability := func(after time.Duration) Availability {
		a, _ := c.Availability(b, time.Now().Add(after))
		return a
	}
	c.Observe(b, "0", Notice{})
	qt.Check(t, availability(0), qt.Equals, Available)

	c.Observe(b, "1", Notice{Pause: 2 * time.Second})
	c.Observe(b, "2", Notice{Pause: time.Second})
	qt.Check(t, noticed, qt.Equals, 1)
	qt.Check(t, availability(2*time.Second-1), qt.Equals, Withheld)
	qt.Check(t, availability(2*time.Second), qt.Equals, Available)
	_, rest := c.Availability(b, time.Now())
	qt.Check(t, rest, qt.Equals, 2*time.Second)

	for range 2 {
		_, err := c.checkUsable(b)
		qt.Check(t, err, qt.ErrorMatches, "backend server b: not sent: the backend server wants no requests for 2s")
		qt.Check(t, ended, qt.Equals, 0)
	}
	time.Sleep(2 * time.Second)
	for range 2 {
		_, err := c.checkUsable(b)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, ended, qt.Equals, 1)
	}
	c.Observe(b, "2a", Notice{UnreadablePause: "soon"})
	c.Observe(b, "2b", Notice{UnreadablePause: "soon"})
	qt.Check(t, noticed, qt.Equals, 2)
	c.Observe(b, "2c", Notice{Pause: 2 * time.Second})

	c.Observe(b, "3", Notice{Leaving: true})
	c.Observe(b, "4", Notice{Leaving: true})
	qt.Check(t, noticed, qt.Equals, 4)
	qt.Check(t, c.stats.Leaving.Load(), qt.Equals, uint64(1))
	qt.Check(t, c.stats.Pauses.Load(), qt.Equals, uint64(2))
	qt.Check(t, availability(leavingPeriod-1), qt.Equals, Withheld) // still pausing
	qt.Check(t, availability(time.Hour), qt.Equals, Withheld)
	c.Observe(b, "5", Notice{Pause: 500 * time.Millisecond})

	c.Update(nil)
	c.Update(limits)
	qt.Check(t, availability(time.Hour), qt.Equals, Withheld)
	a, _ := c.Availability(other, time.Now())
	qt.Check(t, a, qt.Equals, Available)
	c.cfg.NoticeRetention = 0
	time.Sleep(time.Nanosecond)
	c.Update(nil)
	qt.Check(t, availability(0), qt.Equals, Available)
}

// Guards against a server that leaves and is withheld although its service has no
// other, before its time is over.
func TestLeavingServerIsLastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &config.Backend{ID: "b"}
		c := NewClient(Config{LeavingPeriod: time.Second})
		time.Sleep(time.Second)
		c.Observe(b, "1", Notice{Leaving: true})
		for after, want := range map[time.Duration]Availability{0: LastResort, time.Second - 1: LastResort, time.Second: Withheld} {
			a, pause := c.Availability(b, time.Now().Add(after))
			qt.Check(t, a, qt.Equals, want, qt.Commentf("%v", after))
			qt.Check(t, pause, qt.Equals, time.Duration(0))
		}
	})
}
