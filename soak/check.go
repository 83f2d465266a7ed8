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

// request is one request of a caller and what came of it.
type request struct {
	ID, Route, VM string
	Service       string // of a request to one service
	Shards        []string
	Limit         int
	MinShards     int
	Booking       bool
	Start, End    time.Time
	Seen          standin.Seen
	Err           error
}

// run is a request that a backend server ran.
type run struct {
	standin.Run
	Backend, Service string
}

// Violation is a promise that was not kept.
type Violation struct {
	Check, Request, Detail string
}

func (v Violation) String() string { return v.Check + ": " + v.Request + ": " + v.Detail }

// server is what the checks know of a backend server.
type server struct {
	id, service string
	body        []byte
	signature   func(requestID string) string
}

// checkAnswer returns what is wrong with an answer by itself.
func checkAnswer(r request, servers []server) []Violation {
	var found []Violation
	bad := func(check, format string, args ...any) {
		found = append(found, Violation{check, r.ID, fmt.Sprintf(format, args...)})
	}
	if r.Err != nil {
		return nil
	}
	if r.Seen.RequestID != "" && r.Seen.RequestID != r.ID {
		bad("own answer", "the answer is for %s", r.Seen.RequestID)
	}
	if r.Seen.Status != http.StatusOK {
		if (r.Seen.Status == http.StatusServiceUnavailable || r.Seen.Status == http.StatusTooManyRequests) && r.Seen.RetryAfter <= 0 {
			bad("refusal", "no time to come back is given")
		}
		return found
	}
	if r.Shards == nil {
		i := slices.IndexFunc(servers, func(s server) bool { return s.service == r.Service && s.signature(r.ID) == r.Seen.Signature })
		if i < 0 {
			bad("own answer", "signature %q is of no server of %s for this request", r.Seen.Signature, r.Service)
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
			bad("own answer", "part %q is of no shard for this request", signature)
			return found
		case services[servers[i].service]:
			bad("coverage", "%s is in twice", servers[i].service)
		}
		services[servers[i].service] = true
		parts = append(parts, servers[i].body)
	}
	if len(services)+r.Seen.Missing != len(r.Shards) || len(services) < r.MinShards {
		bad("coverage", "%d parts and %d missing of %d shards, %d needed", len(services), r.Seen.Missing, len(r.Shards), r.MinShards)
	}
	if !bytes.Equal(topk.MergeRecords(parts, r.Limit), r.Seen.Body) {
		bad("whole answer", "the records are not the greatest of the parts")
	}
	return found
}

// checkBookings returns requests that ran more than once, or ran although they
// were refused.
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
			found = append(found, Violation{"not run", r.ID, fmt.Sprintf("status %d, and it ran", r.Seen.Status)})
		}
	}
	return found
}

// budget is the allowance for runs beyond the first of each request.
type budget struct {
	ratio, slack float64
	window       time.Duration
}

// checkBudget returns the sliding windows in which a service got more extra runs
// than the budget allows.
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

func within(times []time.Time, from, to time.Time) (n int) {
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// drained is a server that left, and until when it may get work.
type drained struct {
	backend string
	until   time.Time
}

// checkDrains returns runs at servers that had left.
func checkDrains(runs []run, left []drained) (found []Violation) {
	for _, d := range left {
		for _, r := range runs {
			if r.Backend == d.backend && r.At.After(d.until) {
				found = append(found, Violation{"drain", r.ID, fmt.Sprintf("%s got it %v too late", d.backend, r.At.Sub(d.until).Round(time.Millisecond))})
			}
		}
	}
	return found
}

// stopped is a planned stop of a VM without a fault beside it.
type stopped struct {
	vm       *vm
	from, to time.Time
}

// checkStops returns requests that a VM passed on and cut off while it stopped.
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
