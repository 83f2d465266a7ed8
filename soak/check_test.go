package soak

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/standin"
)

func at(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }

// record returns a record of 16 bytes, the size that topk merges.
func record(b byte) []byte { return slices.Repeat([]byte{b}, 16) }

// Checks that each check reports a violation, by giving it input that has one.
func TestChecksFire(t *testing.T) {
	servers := []server{
		{"a1", "a", record('a'), func(id string) string { return "a1-" + id }},
		{"b1", "b", record('b'), func(id string) string { return "b1-" + id }},
		{"b2", "b", record('b'), func(id string) string { return "b2-" + id }},
	}
	single := func(a standin.Answer) request { return request{ID: "1", Service: "a", Answer: a} }
	query := func(a standin.Answer) request {
		a.Status = 200
		return request{ID: "1", Shards: []string{"a", "b"}, Limit: 2, MinShards: 1, Answer: a}
	}
	both := slices.Concat(record('b'), record('a'))
	for name, test := range map[string]struct {
		request request
		check   string
	}{
		"fine":             {single(standin.Answer{Status: 200, Signature: "a1-1", Body: record('a'), RequestID: "1"}), ""},
		"other request":    {single(standin.Answer{Status: 200, Signature: "a1-2", Body: record('a')}), "own answer"},
		"other id":         {single(standin.Answer{Status: 502, RequestID: "2"}), "own answer"},
		"other service":    {single(standin.Answer{Status: 200, Signature: "b1-1", Body: record('b')}), "own answer"},
		"truncated":        {single(standin.Answer{Status: 200, Signature: "a1-1", Body: record('a')[:8]}), "whole answer"},
		"refused":          {single(standin.Answer{Status: 503}), "refusal"},
		"query":            {query(standin.Answer{Signatures: []string{"a1-1", "b1-1"}, Body: both}), ""},
		"partial":          {query(standin.Answer{Signatures: []string{"a1-1"}, Missing: 1, Body: record('a')}), ""},
		"wrong coverage":   {query(standin.Answer{Signatures: []string{"a1-1"}, Body: record('a')}), "coverage"},
		"too few":          {query(standin.Answer{Missing: 2}), "coverage"},
		"twice":            {query(standin.Answer{Signatures: []string{"b1-1", "b2-1"}, Body: slices.Concat(record('b'), record('b'))}), "coverage"},
		"other part":       {query(standin.Answer{Signatures: []string{"a1-1", "b1-7"}, Body: both}), "own answer"},
		"records not best": {query(standin.Answer{Signatures: []string{"a1-1", "b1-1"}, Body: record('a')}), "whole answer"},
	} {
		found := checkAnswer(test.request, servers)
		if test.check == "" {
			qt.Check(t, found, qt.HasLen, 0, qt.Commentf("%s: %v", name, found))
			continue
		}
		qt.Check(t, slices.ContainsFunc(found, func(v Violation) bool { return v.Check == test.check }), qt.IsTrue, qt.Commentf("%s: %v", name, found))
	}

	newRun := func(id, backend string, s float64) run {
		return run{Run: standin.Run{ID: id, At: at(s)}, Backend: backend, Service: "a"}
	}
	booking := request{ID: "1", Service: "a", NonIdempotent: true, Answer: standin.Answer{Status: 200}, Start: at(1), VM: "vm"}
	qt.Check(t, checkAtMostOnce([]request{booking}, []run{newRun("1", "a1", 1)}), qt.HasLen, 0)
	qt.Check(t, checkAtMostOnce([]request{booking}, []run{newRun("1", "a1", 1), newRun("1", "a2", 2)}), qt.HasLen, 1)
	booking.Answer.Status = 503
	qt.Check(t, checkAtMostOnce([]request{booking}, []run{newRun("1", "a1", 1)}), qt.HasLen, 1)

	b := retryBudget{ratio: 0.2, slack: 2, window: 10 * time.Second}
	runs := []run{newRun("1", "a1", 1), newRun("1", "a2", 2), newRun("1", "a3", 3)}
	qt.Check(t, checkRetryBudget([]request{booking}, runs, b), qt.HasLen, 0)
	runs = append(runs, newRun("1", "a4", 9))
	qt.Check(t, checkRetryBudget([]request{booking}, runs, b), qt.HasLen, 1)

	// The server a4 got the request at 9 s.
	inTouch := func(lateUse) bool { return false }
	drained := func(acked float64) []drainedBackend { return []drainedBackend{{backend: "a4", acked: at(acked)}} }
	allowed := (maxDrainDelay + delayMargin).Seconds()
	qt.Check(t, checkDrains(usesOfLeaving([]request{booking}, runs, drained(9-allowed), inTouch)), qt.HasLen, 0)
	qt.Check(t, checkDrains(usesOfLeaving([]request{booking}, runs, drained(9-allowed-0.01), inTouch)), qt.HasLen, 1)
	qt.Check(t, checkDrains(usesOfLeaving([]request{booking}, runs, drained(1), func(u lateUse) bool { return u.vm == "vm" })), qt.HasLen, 0)

	noFault := func(string, time.Time, time.Time) bool { return false }
	faulty := func(string, time.Time, time.Time) bool { return true }
	pausing := []refusal{{standin.Refusal{ID: "p0", At: at(1), Pause: 2 * time.Second}, "a1"}}
	toldAt1 := []request{{ID: "p0", VM: "vm", Service: "a", Start: at(1), End: at(1), Answer: standin.Answer{Status: 200}}}
	var early, late []run
	for i := range 3 {
		toldAt1 = append(toldAt1, request{ID: fmt.Sprint("p", i+1), VM: "vm", Service: "a", Start: at(2)})
		early, late = append(early, newRun(fmt.Sprint("p", i+1), "a1", 1.4)), append(late, newRun(fmt.Sprint("p", i+1), "a1", 2))
	}
	qt.Check(t, checkPauses(toldAt1, late, pausing, noFault), qt.HasLen, 1)
	qt.Check(t, checkPauses(toldAt1, late[1:], pausing, noFault), qt.HasLen, 0)
	qt.Check(t, checkPauses(toldAt1, early, pausing, noFault), qt.HasLen, 0)
	qt.Check(t, checkPauses(toldAt1, late, pausing, faulty), qt.HasLen, 0)

	announcement := newRun("p0", "a1", 1)
	announcement.Leaving = true
	afterBound := request{ID: "later", VM: "vm", Service: "a", Start: at(1).Add(maxDrainDelay + time.Millisecond)}
	leavingRuns := []run{announcement, newRun("later", "a1", 5)}
	qt.Check(t, checkLeaving(append(toldAt1, afterBound), leavingRuns, noFault), qt.HasLen, 1)
	qt.Check(t, checkLeaving(append(toldAt1, afterBound), leavingRuns, faulty), qt.HasLen, 0)
	afterBound.Start = at(1).Add(maxDrainDelay)
	qt.Check(t, checkLeaving(append(toldAt1, afterBound), leavingRuns, noFault), qt.HasLen, 0)

	var lookups []request
	var cancelled []run
	for i := range 20 {
		id := fmt.Sprint("left-", i)
		lookups = append(lookups, request{ID: id, Service: "a", Start: at(1), End: at(2), Left: true})
		endedAt := at(2.4)
		if i < 6 {
			endedAt = at(2.7)
		}
		cancelled = append(cancelled, run{Run: standin.Run{ID: id, At: at(1), EndedAt: endedAt, Cancelled: true}, Backend: "a1"})
	}
	qt.Check(t, checkDepartures(lookups, cancelled, nil), qt.HasLen, 1)
	qt.Check(t, checkDepartures(lookups, cancelled[1:], nil), qt.HasLen, 0)
	qt.Check(t, checkDepartures(lookups, cancelled, map[string][]span{"a1": {{at(0), at(3)}}}), qt.HasLen, 0)
	var begun []run
	for i := range 6 {
		begun = append(begun, run{Run: standin.Run{ID: fmt.Sprint("left-", i), At: at(2.6), EndedAt: at(2.7)}, Backend: "a1"})
	}
	paused := map[string][]span{"": {{at(1), at(2.6)}}}
	qt.Check(t, checkDepartures(lookups, begun, paused), qt.HasLen, 1)
	qt.Check(t, checkDepartures(lookups, begun[1:], paused), qt.HasLen, 0)
	qt.Check(t, checkDepartures(lookups, begun, map[string][]span{"a1": {{at(1), at(2.6)}}}), qt.HasLen, 0)

	booking.Err, booking.End = errors.New("EOF"), at(3)
	v := &vm{settings: standin.VMSettings{ID: "vm"}}
	qt.Check(t, checkStops([]request{booking}, runs, []plannedStop{{v, at(0), at(2)}}), qt.HasLen, 1)
	qt.Check(t, checkStops([]request{booking}, runs, []plannedStop{{v, at(2), at(4)}}), qt.HasLen, 1) // in flight at the signal
	qt.Check(t, checkStops([]request{booking}, runs, []plannedStop{{v, at(4), at(6)}}), qt.HasLen, 0)
	qt.Check(t, checkStops([]request{booking}, nil, []plannedStop{{v, at(0), at(2)}}), qt.HasLen, 0)
	v.faultTimes = []time.Time{at(2)}
	qt.Check(t, checkStops([]request{booking}, runs, []plannedStop{{v, at(0), at(2)}}), qt.HasLen, 0)
}

// Guards against a fault that excuses more than the VMs that it touches: a drain is checked
// beside the faults of other VMs and of other servers' links.
func TestFaultExcusesOnlyWhatItTouches(t *testing.T) {
	touched, other := &vm{}, &vm{}
	touched.settings.ID, other.settings.ID = "touched", "other"
	h := &harness{vms: []*vm{touched, other}, disturbances: map[string][]span{}}
	touched.recordFault(stabilityPeriod)
	h.recordDisturbance("b1", time.Second)
	now := time.Now()
	use := func(vm, backend string, at time.Time) lateUse {
		return lateUse{run: run{Run: standin.Run{At: at}, Backend: backend}, vm: vm, drain: drainedBackend{backend: backend, acked: now}}
	}
	at := now.Add(stabilityPeriod / 2)
	qt.Check(t, h.excused(use("touched", "b2", at)), qt.IsTrue)
	qt.Check(t, h.excused(use("touched", "b2", now.Add(2*stabilityPeriod))), qt.IsFalse)
	qt.Check(t, h.excused(use("other", "b2", at)), qt.IsFalse)
	qt.Check(t, h.excused(use("other", "b1", at)), qt.IsTrue)
	qt.Check(t, h.excused(use("", "b2", at)), qt.IsTrue, qt.Commentf("either VM may have sent it"))
	h.recordStoreFault(time.Second)
	qt.Check(t, h.excused(use("other", "b2", at)), qt.IsTrue)
}
