package soak

import (
	"bytes"
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
	Booking       bool // non-idempotent: must run at most once
	Start, End    time.Time
	Seen          standin.Seen
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

// server holds the expected reply of a backend server.
type server struct {
	id, service string
	body        []byte
	signature   func(requestID string) string
}

// checkAnswer returns the violations that a single answer shows by itself.
func checkAnswer(r request, servers []server) []Violation {
	var found []Violation
	bad := func(check, format string, args ...any) {
		found = append(found, Violation{check, r.ID, fmt.Sprintf(format, args...)})
	}
	if r.Err != nil {
		return nil
	}
	if r.Seen.RequestID != "" && r.Seen.RequestID != r.ID {
		bad("own answer", "the answer has the request id %s", r.Seen.RequestID)
	}
	if r.Seen.Status != http.StatusOK {
		if (r.Seen.Status == http.StatusServiceUnavailable || r.Seen.Status == http.StatusTooManyRequests) && r.Seen.RetryAfter <= 0 {
			bad("refusal", "no Retry-After header")
		}
		return found
	}
	if r.Shards == nil {
		i := slices.IndexFunc(servers, func(s server) bool { return s.service == r.Service && s.signature(r.ID) == r.Seen.Signature })
		if i < 0 {
			bad("own answer", "signature %q does not match any backend server of %s", r.Seen.Signature, r.Service)
		} else if !bytes.Equal(servers[i].body, r.Seen.Body) {
			bad("whole answer", "%d bytes instead of %d", len(r.Seen.Body), len(servers[i].body))
		}
		return found
	}
	var parts [][]byte
	services := map[string]bool{}
	for _, signature := range r.Seen.Signatures {
		i := slices.IndexFunc(servers, func(s server) bool { return s.signature(r.ID) == signature })
		switch {
		case i < 0 || !slices.Contains(r.Shards, servers[i].service):
			bad("own answer", "signature %q does not match any requested shard", signature)
			return found
		case services[servers[i].service]:
			bad("coverage", "%s is included twice", servers[i].service)
		}
		services[servers[i].service] = true
		parts = append(parts, servers[i].body)
	}
	if len(services)+r.Seen.Missing != len(r.Shards) || len(services) < r.MinShards {
		bad("coverage", "%d answered and %d missing of %d shards, minimum %d", len(services), r.Seen.Missing, len(r.Shards), r.MinShards)
	}
	if !bytes.Equal(topk.MergeRecords(parts, r.Limit), r.Seen.Body) {
		bad("whole answer", "the records are not the top %d of all shards", r.Limit)
	}
	return found
}

// checkBookings returns the non-idempotent requests that ran more than once, or
// that ran although they were refused.
func checkBookings(requests []request, runs []run) (found []Violation) {
	times := map[string]int{}
	for _, r := range runs {
		times[r.ID]++
	}
	for _, r := range requests {
		if !r.Booking {
			continue
		}
		if n := times[r.ID]; n > 1 {
			found = append(found, Violation{"at most once", r.ID, fmt.Sprintf("ran %d times", n)})
		}
		refused := r.Err == nil && slices.Contains([]int{408, 421, 429, 503}, r.Seen.Status)
		if refused && times[r.ID] > 0 {
			found = append(found, Violation{"not run", r.ID, fmt.Sprintf("status %d, but it ran", r.Seen.Status)})
		}
	}
	return found
}

// budget limits the runs of a service beyond the first of each request: ratio
// times the requests of twice the window, plus slack, in any window.
type budget struct {
	ratio, slack float64
	window       time.Duration
}

// checkBudget returns, for each service, the first sliding window with more extra
// runs than the budget allows.
func checkBudget(requests []request, runs []run, b budget) (found []Violation) {
	asked := map[string][]time.Time{}
	for _, r := range requests {
		for _, service := range append(slices.Clone(r.Shards), r.Service) {
			asked[service] = append(asked[service], r.Start)
		}
	}
	first := map[string]bool{}
	extra := map[string][]time.Time{}
	for _, r := range slices.SortedFunc(slices.Values(runs), func(a, b run) int { return a.At.Compare(b.At) }) {
		key := r.Service + "/" + r.ID
		if first[key] {
			extra[r.Service] = append(extra[r.Service], r.At)
		}
		first[key] = true
	}
	for service, times := range extra {
		for _, end := range times {
			n := within(times, end.Add(-b.window), end)
			allowed := b.ratio*float64(within(asked[service], end.Add(-2*b.window), end)) + b.slack
			if float64(n) > allowed {
				found = append(found, Violation{"budget", service, fmt.Sprintf("%d extra runs in a window that allows %.0f", n, allowed)})
				break
			}
		}
	}
	return found
}

// within counts the times after from, up to and including to.
func within(times []time.Time, from, to time.Time) (n int) {
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// drained is a draining backend server with the time until which it may still
// receive requests.
type drained struct {
	backend string
	until   time.Time
}

// checkDrains returns the runs at backend servers after the end of their drain.
func checkDrains(runs []run, left []drained) (found []Violation) {
	for _, d := range left {
		for _, r := range runs {
			if r.Backend == d.backend && r.At.After(d.until) {
				found = append(found, Violation{"drain", r.ID, fmt.Sprintf("%s received it %v after its drain", d.backend, r.At.Sub(d.until).Round(time.Millisecond))})
			}
		}
	}
	return found
}

// stopped is a planned stop of a VM that had no other fault when it began.
type stopped struct {
	vm       *vm
	from, to time.Time
}

// checkStops returns the requests that a VM forwarded and then aborted during a
// planned stop.
func checkStops(requests []request, runs []run, stops []stopped) (found []Violation) {
	ran := map[string]bool{}
	for _, r := range runs {
		ran[r.ID] = true
	}
	for _, r := range requests {
		for _, s := range stops {
			if s.vm.faulty(s.from, r.End) {
				continue
			}
			if r.VM == s.vm.settings.ID && r.Err != nil && ran[r.ID] && r.Start.After(s.from) && r.Start.Before(s.to) {
				found = append(found, Violation{"planned stop", r.ID, fmt.Sprintf("%s: %v", r.VM, r.Err)})
			}
		}
	}
	return found
}
