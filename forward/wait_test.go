package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/route"
)

// Replays callers of which one in four first resolves an address and connects,
// while the shards of a query need nearly the whole goal. Guards against answers
// that leave with too few parts although the caller still has time, and against
// answers that are late because the caller had waited before its request arrived.
func TestAnswerTimeFollowsCallersWait(t *testing.T) {
	const (
		goal      = 80 * time.Millisecond
		fullWait  = 500 * time.Millisecond
		oneWay    = 3 * time.Millisecond
		connected = 15 * time.Millisecond // resolving and connecting
		slowest   = 60 * time.Millisecond // the last part of a query
	)
	p := DefaultPolicy()
	w := &callerWaits{}
	r := &route.Route{Goal: goal, Timeout: time.Second}
	now := time.Now()
	complete := 0
	const requests = 400
	for i := range requests {
		now = now.Add(200 * time.Millisecond)
		before := time.Duration(0)
		if i%4 == 0 {
			before = connected
		}
		elapsed, known := w.observe(fullWait-before, now)
		if !known {
			elapsed = p.ConnectTime
		}
		answerBy := p.Schedule(r, fullWait-before, elapsed).AnswerBy
		if answerBy >= slowest {
			complete++
		}
		seen := before + oneWay + answerBy + oneWay
		qt.Assert(t, seen <= goal, qt.IsTrue, qt.Commentf("request %d: the caller has its answer after %v", i, seen))
	}
	qt.Check(t, complete >= requests*7/10, qt.IsTrue, qt.Commentf("%d of %d answers could be complete", complete, requests))
}

// Guards against a longest wait that outlives the callers that had it, which
// would make all later answers leave too early.
func TestLongestWaitIsForgotten(t *testing.T) {
	w := &callerWaits{}
	now := time.Now()
	w.observe(3*time.Second, now)
	var elapsed time.Duration
	for range 2*minWaitSamples + 1 {
		now = now.Add(2 * waitWindow / (2 * minWaitSamples))
		elapsed, _ = w.observe(time.Second, now)
	}
	qt.Check(t, elapsed, qt.Equals, time.Duration(0))
	_, known := w.observe(time.Second, now.Add(2*waitWindow))
	qt.Check(t, known, qt.IsFalse)
	qt.Check(t, w.unused(now.Add(4*waitWindow)), qt.IsTrue)
}
