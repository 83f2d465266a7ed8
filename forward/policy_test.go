package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/route"
)

// Guards against answers that miss the goal although enough parts have arrived,
// and against requests that run longer than the caller waits or the route's
// timeout allows.
func TestSchedule(t *testing.T) {
	p := DefaultPolicy()
	for _, test := range []struct {
		goal, timeout, wait, elapsed, answerBy, giveUp time.Duration
	}{
		{100 * time.Millisecond, time.Second, time.Second, 11 * time.Millisecond, 75 * time.Millisecond, 980 * time.Millisecond},
		{100 * time.Millisecond, time.Second, time.Second, 0, 86 * time.Millisecond, 980 * time.Millisecond},
		{100 * time.Millisecond, time.Second, time.Second, 45 * time.Millisecond, 50 * time.Millisecond, 980 * time.Millisecond},
		{100 * time.Millisecond, time.Second, time.Second, 400 * time.Millisecond, 75 * time.Millisecond, 980 * time.Millisecond},
		{100 * time.Millisecond, time.Second, 60 * time.Millisecond, 0, 54 * time.Millisecond, 54 * time.Millisecond},
		{20 * time.Millisecond, time.Second, 0, 0, 10 * time.Millisecond, 980 * time.Millisecond},
		{0, 500 * time.Millisecond, 2 * time.Second, 0, 480 * time.Millisecond, 480 * time.Millisecond},
		{0, 0, 0, 0, defaultTimeout - 20*time.Millisecond, defaultTimeout - 20*time.Millisecond},
	} {
		s := p.Schedule(&route.Route{Goal: test.goal, Timeout: test.timeout}, test.wait, test.elapsed)
		qt.Check(t, s, qt.Equals, Schedule{AnswerBy: test.answerBy, GiveUp: test.giveUp})
	}
}

// Guards against hedges that are sent too late to help, or before it is known
// whether they are needed.
func TestHedgeDelay(t *testing.T) {
	p := DefaultPolicy()
	answerBy := 80 * time.Millisecond
	qt.Check(t, p.HedgeDelay(0, false, answerBy), qt.Equals, p.HedgeFallbackDelay)
	qt.Check(t, p.HedgeDelay(30*time.Millisecond, true, answerBy), qt.Equals, 30*time.Millisecond)
	qt.Check(t, p.HedgeDelay(time.Millisecond, true, answerBy), qt.Equals, 21600*time.Microsecond)
	qt.Check(t, p.HedgeDelay(time.Millisecond, true, 10*time.Millisecond), qt.Equals, p.HedgeMinDelay)
	qt.Check(t, p.HedgeDelay(300*time.Millisecond, true, answerBy), qt.Equals, 42400*time.Microsecond)
}

// Guards against a second run of a request that is not idempotent.
func TestMayRepeat(t *testing.T) {
	once := &route.Route{MaxAttempts: 2}
	again := &route.Route{MaxAttempts: 2, Idempotent: true}
	for _, test := range []struct {
		name      string
		route     *route.Route
		end       attemptEnd
		sent, ran int
		want      bool
	}{
		{"lost, not idempotent", once, endMayHaveRun, 1, 1, false},
		{"refused, not idempotent", once, endNotRun, 1, 0, true},
		{"lost, idempotent", again, endMayHaveRun, 1, 1, true},
		{"lost twice", again, endMayHaveRun, 2, 2, false},
		{"refused and lost", again, endMayHaveRun, 2, 1, true},
		{"refused three times", again, endNotRun, 3, 0, false},
		{"served", again, endServed, 1, 1, false},
	} {
		qt.Check(t, mayRepeat(test.route, test.end, test.sent, test.ran), qt.Equals, test.want, qt.Commentf(test.name))
	}
}
