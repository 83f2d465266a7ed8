package forward

import (
	"time"

	"github.com/briarstand/briarstand/route"
)

// Policy holds the parameters of deadlines, hedges and retries. DefaultPolicy
// sets all of them.
type Policy struct {
	// ReturnTime is the part of a route's latency goal that is kept for the
	// network time of the request to this VM and of the answer to the caller, and
	// for processing both.
	ReturnTime time.Duration
	// ConnectTime is assumed as the time that a caller waited before its request
	// arrived, while callerWaits does not know it.
	ConnectTime time.Duration
	// HedgeQuantile selects the latency quantile of recent sub-requests, in parts
	// per thousand, that a sub-request must exceed before it is hedged.
	HedgeQuantile int
	// HedgeMinDelay and HedgeFallbackDelay are the minimum hedge delay, and the
	// delay while too few latencies are known.
	HedgeMinDelay, HedgeFallbackDelay time.Duration
	// HedgeEarliestFraction is the fraction of Schedule.AnswerBy that HedgeDelay
	// returns at least, if enough latencies are known. Until then there is still
	// time to wait and see whether a hedge is needed.
	HedgeEarliestFraction float64
	// HedgeLatestFraction is the fraction of Schedule.AnswerBy after which a
	// sub-request is hedged in any case.
	HedgeLatestFraction float64
	// RetryReserve is how many tokens of a service's budget hedges leave for
	// retries. Retries take precedence, since a hedge saves only latency, but a
	// retry saves a part of the answer.
	RetryReserve float64
	// TimeoutMargin is how long before the route's timeout, or before the end of
	// the caller's wait, a request is given up.
	TimeoutMargin time.Duration
	// AbandonGrace is how long the replies of attempts that are still running at
	// the end of their request are awaited, so that connections can be reused. It
	// applies to the whole path, also through a relay, and is short because
	// backend servers should be released within half a second after a caller has
	// disconnected.
	AbandonGrace time.Duration
	// RetryAfter is the retry delay suggested to a caller whose request is
	// refused.
	RetryAfter time.Duration
}

// DefaultPolicy returns the policy of a VM. ReturnTime covers a network latency
// to callers of 3 ms each way and the processing on a VM with a quarter of a
// core, ConnectTime resolving an address and connecting at that latency.
func DefaultPolicy() Policy {
	return Policy{
		ReturnTime:            14 * time.Millisecond,
		ConnectTime:           11 * time.Millisecond,
		HedgeQuantile:         850,
		HedgeMinDelay:         4 * time.Millisecond,
		HedgeFallbackDelay:    35 * time.Millisecond,
		HedgeEarliestFraction: 0.27,
		HedgeLatestFraction:   0.53,
		RetryReserve:          0.5,
		TimeoutMargin:         20 * time.Millisecond,
		AbandonGrace:          350 * time.Millisecond,
		RetryAfter:            200 * time.Millisecond,
	}
}

// Schedule holds the deadlines of one request, counted from its arrival.
type Schedule struct {
	// AnswerBy is when a query over shards is answered with the parts that have
	// arrived, if they are enough.
	AnswerBy time.Duration
	// GiveUp is when the request is given up.
	GiveUp time.Duration
}

// Schedule returns the deadlines of a request on a route. wait is how much longer
// the caller waits, 0 if the caller sent no limit, and elapsed how long it has been
// waiting. A caller counts its latency from the start of its wait. If elapsed leaves
// no time to meet the goal, the caller is late already or waits shorter by choice;
// ConnectTime is then assumed instead, so that the answer is no less complete.
func (p Policy) Schedule(r *route.Route, wait, elapsed time.Duration) Schedule {
	timeout := r.Timeout
	if wait > 0 && (timeout <= 0 || wait < timeout) {
		timeout = wait
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	s := Schedule{GiveUp: timeout - min(p.TimeoutMargin, timeout/10)}
	s.AnswerBy = s.GiveUp
	if r.Goal > 0 {
		if elapsed > r.Goal/2 {
			elapsed = p.ConnectTime
		}
		s.AnswerBy = min(s.GiveUp, max(r.Goal-p.ReturnTime-elapsed, r.Goal/2))
	}
	return s
}

// HedgeDelay returns how long a sub-request runs before it is hedged, given the
// latency quantile that HedgeQuantile selects; known is false if too few
// latencies are known for it. Hedges cover pauses and stragglers of single
// backend servers, of which a query over many shards nearly always meets one.
func (p Policy) HedgeDelay(quantile time.Duration, known bool, answerBy time.Duration) time.Duration {
	latest := time.Duration(p.HedgeLatestFraction * float64(answerBy))
	if !known {
		return min(p.HedgeFallbackDelay, latest)
	}
	earliest := time.Duration(p.HedgeEarliestFraction * float64(answerBy))
	return min(max(quantile, p.HedgeMinDelay, earliest), latest)
}

// StragglerHedgeAt returns when a sub-request of a query is hedged: once it is
// slow compared with the others, but not after the time latest. It does not
// depend on the latency alone, since hedges would only add load to a query that
// is slow at every shard.
//
// All times count from the arrival of the request. planned is the hedge time
// set when the sub-request was sent, and half is when half of the sub-requests
// at the same distance were answered, or 0 if they are not yet. overhead is the
// part of half that relays add; stragglerFraction applies only to the rest of
// half.
func (p Policy) StragglerHedgeAt(planned, half, overhead, latest time.Duration) time.Duration {
	if half == 0 {
		return latest
	}
	latency := max(0, half-overhead)
	return min(latest, max(planned, half+time.Duration(stragglerFraction*float64(latency))))
}

// LeaveOut returns to how many shards a query sends no sub-request. queued is
// the number of shards whose queues are so long that their replies would come
// too late, spare is how many shards the answer may lack, and shards is their
// total number.
//
// It protects shards that get more queries than they can serve. Their queues
// would otherwise fill with requests whose replies are already late. If queued
// exceeds spare, the query leaves out spare shards, so that the servers of the
// overloaded shards answer the queries that they still get in time. If the
// answer may lack all queued shards, the query leaves out at most
// leaveOutFraction of all shards, so that the answer loses little.
func (p Policy) LeaveOut(queued, spare, shards int) int {
	if queued > spare {
		return max(0, spare)
	}
	return min(queued, int(leaveOutFraction*float64(shards)))
}

// RelayFlush returns how long a relay waits for all parts before it sends those
// that have arrived, given the hedge delay.
func (p Policy) RelayFlush(hedge time.Duration) time.Duration {
	return time.Duration(relayFlushFraction * float64(hedge))
}

// RelayWait returns how long after RelayFlush the origin, the VM that received
// the query, hedges the parts that it still lacks. overhead is the time that a
// relay adds.
func (p Policy) RelayWait(overhead time.Duration) time.Duration {
	return time.Duration(relayOverheadFactor*float64(overhead)) + relayMargin
}

const (
	// stragglerFraction is the fraction of the median latency by which a
	// sub-request must exceed the median to be a straggler. The median is that of
	// the query's sub-requests at the same distance. Replicas differ in speed by
	// about this fraction even if none is a straggler.
	stragglerFraction = 0.5
	// leaveOutFraction is the maximum fraction of the shards that a query leaves
	// out while the answer may lack all overloaded shards. An answer that lacks
	// this fraction of the shards loses less than a tenth of its value.
	leaveOutFraction = 0.045
	// minStragglerSample is the minimum number of sub-requests at one distance for
	// detecting stragglers among them.
	minStragglerSample = 3
	// relayFlushFraction is the fraction of the hedge delay after which a relay
	// sends the parts that have arrived; the rest of the delay is left for the
	// response to reach the origin VM.
	relayFlushFraction = 0.7
	// relayOverheadFactor and relayMargin cover the variation of the time that a
	// relay adds.
	relayOverheadFactor = 1.2
	relayMargin         = 2 * time.Millisecond
)

// attemptEnd says how an attempt ended, as far as it decides about a retry.
type attemptEnd int

const (
	endServed  attemptEnd = iota + 1
	endNotSent            // nothing reached the backend server
	endNotRun             // the backend server refused it
	endMayHaveRun
)

// mayRepeat reports whether a sub-request may be retried after an attempt
// ended. Requests that are not idempotent are retried only if they provably did
// not run. sent counts all attempts, and mayHaveRun those that the backend
// server may have run.
func mayRepeat(r *route.Route, end attemptEnd, sent, mayHaveRun int) bool {
	if sent >= maxTotalAttempts || mayHaveRun >= max(1, r.MaxAttempts) {
		return false
	}
	switch end {
	case endNotSent, endNotRun:
		return true
	case endMayHaveRun:
		return r.Idempotent
	}
	return false
}

const (
	// maxTotalAttempts bounds the attempts of one sub-request, including refused
	// ones, which do not count against the route's MaxAttempts.
	maxTotalAttempts = 3
	// maxWithdrawn bounds how often a sub-request is placed again because its server
	// was withdrawn while it waited, without counting that as an attempt.
	maxWithdrawn = 8
	// defaultTimeout applies where neither the route nor the caller sets one.
	defaultTimeout = 10 * time.Second
)
