package forward

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/briarstand/briarstand/relay"
	"github.com/briarstand/briarstand/upstream"
)

// Decision is one decision on a request, as written to the log.
type Decision struct {
	// At is the time since the request arrived.
	At time.Duration
	// Kind is what was decided: "hedge", "retry", "hedge_denied", "give_up" and
	// so on.
	Kind    string
	Service string
	// Backend is the backend server of the attempt that the decision is about,
	// if any.
	Backend string
	// Reason is the input that led to the decision.
	Reason string
}

// maxDecisions bounds the decisions that are kept of one request: a few per
// shard of a typical query.
const maxDecisions = 100

func (r *run) recordDecision(kind, service, backend, reason string) {
	if len(r.answer.Decisions) < maxDecisions {
		r.answer.Decisions = append(r.answer.Decisions, Decision{
			At: time.Since(r.job.Arrived), Kind: kind, Service: service, Backend: backend, Reason: reason,
		})
	}
}

// counters holds the metrics of an Engine.
type counters struct {
	set                                       *metrics.Set
	attempts, relayed, hedges, retries        *metrics.Counter
	hedgesDenied, retriesDenied, partsLeftOut *metrics.Counter
	unsent, broken, refused, failed, foreign  *metrics.Counter
	// abandonedDirect and abandonedRelayed are the times in seconds from the end of
	// a request to the end of an attempt that was still running.
	abandonedDirect, abandonedRelayed *metrics.Histogram
}

func newCounters(set *metrics.Set) *counters {
	failures := func(reason string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("briarstand_entry_attempt_failures_total{reason=%q}", reason))
	}
	return &counters{
		set:              set,
		attempts:         set.GetOrCreateCounter(`briarstand_entry_attempts_total`),
		relayed:          set.GetOrCreateCounter(`briarstand_entry_attempts_relayed_total`),
		hedges:           set.GetOrCreateCounter(`briarstand_entry_hedges_total`),
		retries:          set.GetOrCreateCounter(`briarstand_entry_retries_total`),
		hedgesDenied:     set.GetOrCreateCounter(`briarstand_entry_budget_denied_total{kind="hedge"}`),
		retriesDenied:    set.GetOrCreateCounter(`briarstand_entry_budget_denied_total{kind="retry"}`),
		partsLeftOut:     set.GetOrCreateCounter(`briarstand_entry_parts_left_out_total`),
		abandonedDirect:  relay.AbandonedSeconds(set, "direct"),
		abandonedRelayed: relay.AbandonedSeconds(set, "relayed"),
		unsent:           failures("not_sent"), broken: failures("broken"), refused: failures("not_run"), failed: failures("failed"), foreign: failures("foreign"),
	}
}

// recordRequest counts a finished request.
func (c *counters) recordRequest(route string, a *Answer, elapsed time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("briarstand_entry_requests_total{outcome=%q,late=\"%t\"}", a.Outcome, a.Late)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf("briarstand_entry_request_duration_seconds{route=%q}", route)).Update(elapsed.Seconds())
	c.attempts.Add(a.Attempts)
	c.relayed.Add(a.Relayed)
	c.hedges.Add(a.Hedges)
	c.retries.Add(a.Retries)
	c.partsLeftOut.Add(a.Missing)
}

// recordAbandoned records how long after its request an attempt ended.
func (c *counters) recordAbandoned(relayed bool, since time.Duration) {
	if relayed {
		c.abandonedRelayed.Update(since.Seconds())
	} else {
		c.abandonedDirect.Update(since.Seconds())
	}
}

// recordAttempt counts a finished attempt.
func (c *counters) recordAttempt(service string, res *upstream.Result, latency time.Duration) {
	switch {
	case res.Err != nil && upstream.NotSent(res.Err):
		c.unsent.Inc()
	case res.Err != nil:
		c.broken.Inc()
	case res.Reply.Verdict == upstream.Served:
		c.set.GetOrCreateHistogram(fmt.Sprintf("briarstand_entry_attempt_duration_seconds{service=%q}", service)).Update(latency.Seconds())
	case res.Reply.Verdict == upstream.NotRun:
		c.refused.Inc()
	case res.Reply.Verdict == upstream.Failed:
		c.failed.Inc()
	default:
		c.foreign.Inc()
	}
}
