package soak

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/briarstand/briarstand/standin"
	"github.com/briarstand/briarstand/topk"
)

// request is one request of a caller with its outcome.
type request struct {
	ID, Route, VM string
	Service       string   // set if the request goes to a single service
	Shards        []string // set if the request is a query over several shards
	Limit         int
	MinShards     int
	NonIdempotent bool // must run at most once
	Start, End    time.Time
	Left          bool // the caller left before the answer, at End
	Answer        standin.Answer
	Err           error
}

// run is the execution of a request at a backend server.
type run struct {
	standin.Run
	Backend, Service string
}

// Violation is a breach of a guarantee.
type Violation struct {
	Check, Request, Detail string
}

func (v Violation) String() string { return v.Check + ": " + v.Request + ": " + v.Detail }

// server describes a backend server and the reply that is expected from it.
type server struct {
	id, service string
	body        []byte
	signature   func(requestID string) string
}

// checkAnswer returns the violations that can be found in a single answer, without
// other requests or the runs at backend servers.
func checkAnswer(r request, servers []server) []Violation {
	var violations []Violation
	report := func(check, format string, args ...any) {
		violations = append(violations, Violation{check, r.ID, fmt.Sprintf(format, args...)})
	}
	if r.Err != nil {
		return nil
	}
	if r.Answer.RequestID != "" && r.Answer.RequestID != r.ID {
		report("own answer", "the answer has the request id %s", r.Answer.RequestID)
	}
	if r.Answer.Status != http.StatusOK {
		if (r.Answer.Status == http.StatusServiceUnavailable || r.Answer.Status == http.StatusTooManyRequests) && r.Answer.RetryAfter <= 0 {
			report("refusal", "no Retry-After header")
		}
		return violations
	}
	if r.Shards == nil {
		i := slices.IndexFunc(servers, func(s server) bool { return s.service == r.Service && s.signature(r.ID) == r.Answer.Signature })
		if i < 0 {
			report("own answer", "signature %q does not match any backend server of %s", r.Answer.Signature, r.Service)
		} else if !bytes.Equal(servers[i].body, r.Answer.Body) {
			report("whole answer", "%d bytes instead of %d", len(r.Answer.Body), len(servers[i].body))
		}
		return violations
	}
	var parts [][]byte
	services := map[string]bool{}
	for _, signature := range r.Answer.Signatures {
		i := slices.IndexFunc(servers, func(s server) bool { return s.signature(r.ID) == signature })
		switch {
		case i < 0 || !slices.Contains(r.Shards, servers[i].service):
			report("own answer", "signature %q does not match any requested shard", signature)
			return violations
		case services[servers[i].service]:
			report("coverage", "%s is included twice", servers[i].service)
		}
		services[servers[i].service] = true
		parts = append(parts, servers[i].body)
	}
	if len(services)+r.Answer.Missing != len(r.Shards) || len(services) < r.MinShards {
		report("coverage", "%d answered and %d missing of %d shards, minimum %d", len(services), r.Answer.Missing, len(r.Shards), r.MinShards)
	}
	if !bytes.Equal(topk.MergeRecords(parts, r.Limit), r.Answer.Body) {
		report("whole answer", "the records are not the greatest of the answered shards")
	}
	return violations
}

// checkAtMostOnce returns a violation for each non-idempotent request that ran more
// than once, or that ran although its answer was a refusal.
func checkAtMostOnce(requests []request, runs []run) (violations []Violation) {
	runCount := map[string]int{}
	for _, r := range runs {
		runCount[r.ID]++
	}
	for _, r := range requests {
		if !r.NonIdempotent {
			continue
		}
		if n := runCount[r.ID]; n > 1 {
			violations = append(violations, Violation{"at most once", r.ID, fmt.Sprintf("ran %d times", n)})
		}
		refused := r.Err == nil && slices.Contains([]int{408, 421, 429, 503}, r.Answer.Status)
		if refused && runCount[r.ID] > 0 {
			violations = append(violations, Violation{"not run", r.ID, fmt.Sprintf("status %d, but it ran", r.Answer.Status)})
		}
	}
	return violations
}

// retryBudget limits the extra runs of a service. Every run of a request after its
// first run is an extra run. The limit for any window is slack + ratio * requests,
// where requests is the number of requests to the service that started within twice
// the window length before the end of the window.
type retryBudget struct {
	ratio, slack float64
	window       time.Duration
}

// checkRetryBudget returns, for each service, the first sliding window with more
// extra runs than the budget allows.
func checkRetryBudget(requests []request, runs []run, b retryBudget) (violations []Violation) {
	requestTimes := map[string][]time.Time{}
	for _, r := range requests {
		for _, service := range append(slices.Clone(r.Shards), r.Service) {
			requestTimes[service] = append(requestTimes[service], r.Start)
		}
	}
	seen := map[string]bool{}
	extraRuns := map[string][]time.Time{}
	for _, r := range slices.SortedFunc(slices.Values(runs), func(a, b run) int { return a.At.Compare(b.At) }) {
		key := r.Service + "/" + r.ID
		if seen[key] {
			extraRuns[r.Service] = append(extraRuns[r.Service], r.At)
		}
		seen[key] = true
	}
	for service, times := range extraRuns {
		for _, end := range times {
			n := countWithin(times, end.Add(-b.window), end)
			allowed := b.ratio*float64(countWithin(requestTimes[service], end.Add(-2*b.window), end)) + b.slack
			if float64(n) > allowed {
				violations = append(violations, Violation{"budget", service, fmt.Sprintf("%d extra runs in a window that allows %.0f", n, allowed)})
				break
			}
		}
	}
	return violations
}

// countWithin counts the times that are after from and not after to.
func countWithin(times []time.Time, from, to time.Time) (n int) {
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// drainedBackend is a backend server that leaves.
type drainedBackend struct {
	backend string
	acked   time.Time // when the store acknowledged that it leaves, or is gone
	said    bool      // it announced it, and did not only remove its record
}

// lateUse is a request that reached a leaving server.
type lateUse struct {
	run   run
	vm    string // "" if several VMs may have sent it
	drain drainedBackend
}

// after returns the time from the acknowledgement until the request reached the server.
func (u lateUse) after() time.Duration { return u.run.At.Sub(u.drain.acked) }

// usesOfLeaving returns the requests that reached leaving servers. excused reports whether
// the bound does not apply to one, because of a fault of its VM, its server's link or the
// store; faults of others are no excuse.
func usesOfLeaving(requests []request, runs []run, drains []drainedBackend, excused func(u lateUse) bool) (uses []lateUse) {
	byID := vmRequests(requests)
	for _, d := range drains {
		for _, r := range runs {
			if r.Backend != d.backend || !r.At.After(d.acked) {
				continue
			}
			if u := (lateUse{run: r, vm: byID[r.ID].VM, drain: d}); !excused(u) {
				uses = append(uses, u)
			}
		}
	}
	return uses
}

// checkDrains returns the uses later than the bound after the acknowledgement.
func checkDrains(uses []lateUse) (violations []Violation) {
	for _, u := range uses {
		if u.after() > maxDrainDelay+delayMargin {
			violations = append(violations, Violation{"drain", u.run.ID, fmt.Sprintf("%s sent it to %s %v after the store had acknowledged that it leaves (said so: %t)", u.vm, u.run.Backend, u.after().Round(time.Millisecond), u.drain.said)})
		}
	}
	return violations
}

// refusal is a refusal of one backend server.
type refusal struct {
	standin.Refusal
	Backend string
}

const (
	// pauseNotice is how long after its refusal a pause must be in force, and
	// maxPauseArrivals how many requests of one VM may arrive in spite of it.
	pauseNotice      = 500 * time.Millisecond
	maxPauseArrivals = 2
)

// vmBackend is a VM and a backend server that it sends requests to.
type vmBackend struct{ vm, backend string }

// vmRequests returns the requests by id that no other VM can have sent to a backend
// server for the one that the caller asked: those to a single service.
func vmRequests(requests []request) map[string]request {
	byID := map[string]request{}
	for _, r := range requests {
		if len(r.Shards) == 0 {
			byID[r.ID] = r
		}
	}
	return byID
}

// checkPauses returns the pauses in which more than maxPauseArrivals requests of the
// VM arrived. interrupted reports whether a VM had a fault or a restart between two
// times, which excuses it.
func checkPauses(requests []request, runs []run, refusals []refusal, interrupted func(vm string, from, to time.Time) bool) (violations []Violation) {
	byID := vmRequests(requests)
	arrivals, pauses := map[vmBackend][]time.Time{}, map[vmBackend][]refusal{}
	for _, r := range runs {
		if q, ok := byID[r.ID]; ok {
			key := vmBackend{q.VM, r.Backend}
			arrivals[key] = append(arrivals[key], r.At)
		}
	}
	for _, r := range refusals {
		if q, ok := byID[r.ID]; ok {
			key := vmBackend{q.VM, r.Backend}
			arrivals[key] = append(arrivals[key], r.At)
			if r.Pause > 0 {
				pauses[key] = append(pauses[key], r)
			}
		}
	}
	for key, list := range pauses {
		for _, p := range list {
			end := p.At.Add(p.Pause)
			n := countWithin(arrivals[key], p.At.Add(pauseNotice), end)
			if n > maxPauseArrivals && !interrupted(key.vm, p.At.Add(-p.Pause), end) {
				violations = append(violations, Violation{"pause", p.ID, fmt.Sprintf("%s sent %d requests to %s in its pause", key.vm, n, key.backend)})
				break
			}
		}
	}
	return violations
}

// checkLeaving returns the runs of requests that callers sent later than
// maxDrainDelay after the VM had passed on an answer in which the server announced
// that it leaves. interrupted is as in checkPauses.
func checkLeaving(requests []request, runs []run, interrupted func(vm string, from, to time.Time) bool) (violations []Violation) {
	byID := vmRequests(requests)
	passedOn := map[vmBackend]time.Time{}
	for _, r := range runs {
		q, ok := byID[r.ID]
		if !ok || !r.Leaving || q.Err != nil || q.Answer.Status != http.StatusOK {
			continue
		}
		key := vmBackend{q.VM, r.Backend}
		if t, ok := passedOn[key]; !ok || q.End.Before(t) {
			passedOn[key] = q.End
		}
	}
	for _, r := range runs {
		q, ok := byID[r.ID]
		if !ok {
			continue
		}
		t, ok := passedOn[vmBackend{q.VM, r.Backend}]
		if ok && q.Start.After(t.Add(maxDrainDelay)) && !interrupted(q.VM, t, r.At) {
			violations = append(violations, Violation{"leaving", r.ID, fmt.Sprintf("%s sent it to %s %v after an answer had said that it leaves", q.VM, r.Backend, q.Start.Sub(t).Round(time.Millisecond))})
		}
	}
	return violations
}

// span is a time span.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool { return !s.from.After(to) && !from.After(s.to) }

// overlapAny reports whether any span overlaps the time between two times.
func overlapAny(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.overlaps(from, to) })
}

// maxWorkAfterDeparture is how long a backend server may work for a caller that has
// left. Of the runs that end because their connection is closed, at most
// lateDepartureFraction may end later, and maxLateDepartures in any case.
const (
	maxWorkAfterDeparture = 500 * time.Millisecond
	lateDepartureFraction = 0.25
	maxLateDepartures     = 5
)

// checkDepartures returns a violation if too many runs went on, or too many requests
// began to run, after their callers had left. It skips runs near a disturbance, in which
// the close of a connection may not arrive: those of all servers are under the key "".
// Runs that began late are skipped only near a disturbance of their server: a VM that was
// paused must not send them when it goes on.
func checkDepartures(requests []request, runs []run, disturbances map[string][]span) []Violation {
	left := map[string]time.Time{}
	for _, r := range requests {
		if r.Left {
			left[r.ID] = r.End
		}
	}
	var violations []Violation
	begun, firstBegun := map[string]bool{}, ""
	total, late, first := 0, 0, ""
	for _, r := range runs {
		leftAt, ok := left[r.ID]
		if !ok {
			continue
		}
		beforeRun := func(s span) bool { return s.overlaps(leftAt, r.At) }
		if r.At.Sub(leftAt) > maxWorkAfterDeparture && !slices.ContainsFunc(disturbances[r.Backend], beforeRun) {
			begun[r.ID] = true
			firstBegun = cmp.Or(firstBegun, r.ID)
		}
		if !r.Cancelled || r.EndedAt.Before(leftAt) {
			continue
		}
		near := func(s span) bool { return s.overlaps(r.At, r.EndedAt) }
		if slices.ContainsFunc(disturbances[""], near) || slices.ContainsFunc(disturbances[r.Backend], near) {
			continue
		}
		total++
		if r.EndedAt.Sub(leftAt) > maxWorkAfterDeparture {
			late++
			first = cmp.Or(first, r.ID)
		}
	}
	if late > maxLateDepartures && float64(late) > lateDepartureFraction*float64(total) {
		violations = append(violations, Violation{"departure", first, fmt.Sprintf("%d of %d runs went on for more than %v after their callers had left", late, total, maxWorkAfterDeparture)})
	}
	if len(begun) > maxLateDepartures {
		violations = append(violations, Violation{"departure", firstBegun, fmt.Sprintf("runs of %d requests began more than %v after their callers had left", len(begun), maxWorkAfterDeparture)})
	}
	return violations
}

// plannedStop is a graceful stop of a VM that was stable when the stop began. The
// VM must not abort requests that are in flight between from and to.
type plannedStop struct {
	vm       *vm
	from, to time.Time
}

// checkStops returns a violation for each request that a VM forwarded and then
// aborted during a planned stop. It skips a request if a fault of the VM began
// between the start of the stop and the end of the request.
func checkStops(requests []request, runs []run, stops []plannedStop) (violations []Violation) {
	ran := map[string]bool{}
	for _, r := range runs {
		ran[r.ID] = true
	}
	for _, r := range requests {
		for _, s := range stops {
			if s.vm.faultBegan(s.from, r.End) {
				continue
			}
			if r.VM == s.vm.settings.ID && r.Err != nil && !r.Left && ran[r.ID] && r.End.After(s.from) && r.Start.Before(s.to) {
				violations = append(violations, Violation{"planned stop", r.ID, fmt.Sprintf("%s: %v", r.VM, r.Err)})
			}
		}
	}
	return violations
}
