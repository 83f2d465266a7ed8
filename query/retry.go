package query

import (
	"time"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
)

// retry handles a shard whose attempts have all ended without an answer.
func (r *run) retry(position int, status backend.Status, now time.Time) {
	s := &r.shards[position]
	switch {
	case r.req.GetNonIdempotent() && s.mayHaveRun:
		r.markMissing(position, causeMayHaveRun)
	case !now.Before(r.answerBy) || status == backend.Expired:
		r.markMissing(position, causeDeadline)
	default:
		r.retryOnNextReplica(position, status, now)
	}
}

// retryOnNextReplica sends a shard's sub-request to an untried replica. If there is
// no such replica or no budget token, it defers the retry, marks the shard missing or
// restarts the query.
func (r *run) retryOnNextReplica(position int, status backend.Status, now time.Time) {
	s := &r.shards[position]
	b, ok := r.pick(position, r.triedBackends(s))
	if !ok {
		r.handleExhausted(position, status, now)
		return
	}
	if !r.isFreeRetry(s, status) && !r.svc.budget.Take() {
		r.svc.metrics.denied.Inc()
		r.deferRetry(position, causeBudget, now)
		return
	}
	r.svc.metrics.retries.Inc()
	r.send(position, b, now)
	if r.hedgeDelay > 0 {
		r.scheduleHedge(now.Add(r.hedgeDelay))
	}
}

// isFreeRetry reports whether a retry needs no budget token: either the previous
// attempt did not leave the VM, or this is the shard's first retry for a missing
// version. In the second case it marks the shard's free retry as used.
func (r *run) isFreeRetry(s *shardRun, status backend.Status) bool {
	if status == backend.Unsent {
		return true
	}
	if status != backend.VersionMissing || s.freeRetryUsed {
		return false
	}
	s.freeRetryUsed = true
	return true
}

// triedBackends returns the ids of the backend servers that a shard was sent to.
// The slice is valid until the next call.
func (r *run) triedBackends(s *shardRun) []string {
	r.tried = r.tried[:0]
	for tag := s.lastAttempt; tag != noAttempt; {
		a := &r.collector.attempts[tag]
		r.tried = append(r.tried, a.backend.ID)
		tag = a.previous
	}
	return r.tried
}

// handleExhausted handles a shard that has no untried replica left.
func (r *run) handleExhausted(position int, status backend.Status, now time.Time) {
	s := &r.shards[position]
	switch {
	case s.versionMissing && r.restart(now):
	case status == backend.Shed && r.prefersCoverage():
		// Backend servers that shed load may accept the sub-request later, so all
		// replicas count as untried again.
		s.lastAttempt = noAttempt
		r.deferRetry(position, causeRefused, now)
	case s.versionMissing:
		r.markMissing(position, causeVersionMissing)
	case status.NotRun():
		r.markMissing(position, causeRefused)
	default:
		r.markMissing(position, causeFailed)
	}
}

func (r *run) prefersCoverage() bool {
	return r.plan.service.Policy.Preference == config.PreferCoverage
}

// deferRetry schedules a later retry of a shard if the service prefers coverage.
// If it prefers latency, the shard is marked missing instead.
func (r *run) deferRetry(position int, cause missingCause, now time.Time) {
	if !r.prefersCoverage() {
		r.markMissing(position, cause)
		return
	}
	s := &r.shards[position]
	s.deferred = true
	s.cause = cause
	if r.nextRetry.IsZero() {
		r.nextRetry = now.Add(deferredRetryDelay)
	}
}

// retryDeferred retries the deferred shards. It stops when one of them restarts the
// query, because the restart sends all shards again.
func (r *run) retryDeferred(now time.Time) {
	r.nextRetry = time.Time{}
	round := r.round
	for i := range r.shards {
		if r.shards[i].deferred {
			r.retryOnNextReplica(i, backend.Shed, now)
		}
		if r.round != round {
			return
		}
	}
}

// startHedgeTimer sets the hedge delay and schedules the first check for
// stragglers.
func (r *run) startHedgeTimer() {
	policy := r.plan.service.Policy
	r.nextHedge = time.Time{}
	if policy.HedgePermille <= 0 || r.req.GetNonIdempotent() {
		return
	}
	now := time.Now()
	remaining := r.answerBy.Sub(now)
	delay, known := r.engine.latency.LatencyQuantile(r.svc.name, policy.HedgePermille)
	if !known {
		delay = remaining / coldHedgeDivisor
	}
	// A hedge in the second half of the remaining time rarely answers in time.
	r.hedgeDelay = max(min(delay, remaining/2), minHedgeDelay)
	r.nextHedge = now.Add(r.hedgeDelay)
}

// hedgeStragglers sends a second sub-request, as far as the budget allows, for each
// shard whose only attempt has been in flight for the hedge delay.
func (r *run) hedgeStragglers(now time.Time) {
	r.nextHedge = time.Time{}
	for i := range r.shards {
		s := &r.shards[i]
		if s.state != shardOpen || s.hedged || s.outstanding != 1 {
			continue
		}
		due := r.collector.attempts[s.lastAttempt].start.Add(r.hedgeDelay)
		if now.Before(due) {
			r.scheduleHedge(due)
			continue
		}
		if !r.hedgeShard(i, now) {
			r.scheduleHedge(now.Add(r.hedgeDelay / hedgeRetryDivisor))
		}
	}
}

// hedgeShard sends a hedge if there is an untried replica. It returns false only if
// the budget has no token for the hedge; the caller then schedules another check.
func (r *run) hedgeShard(position int, now time.Time) bool {
	s := &r.shards[position]
	b, ok := r.pick(position, r.triedBackends(s))
	if !ok {
		s.hedged = true
		return true
	}
	if !r.takeHedgeToken(now.Sub(r.collector.attempts[s.lastAttempt].start)) {
		r.svc.metrics.denied.Inc()
		return false
	}
	s.hedged = true
	r.svc.metrics.hedges.Inc()
	r.send(position, b, now)
	return true
}

// takeHedgeToken takes a budget token for the hedge of a sub-request of the given
// age. The hedge delay is a latency quantile, so a fixed fraction of all
// sub-requests exceeds it, and their hedges alone can use up the budget. A
// sub-request that exceeds the hedge delay by less than half of it therefore gets a
// token only if the bucket stays three quarters full, a later one if it stays half
// full.
func (r *run) takeHedgeToken(age time.Duration) bool {
	if age < r.hedgeDelay+r.hedgeDelay/hedgeRetryDivisor {
		return r.svc.budget.TakeIfThreeQuartersFull()
	}
	return r.svc.budget.TakeIfHalfFull()
}

func (r *run) scheduleHedge(t time.Time) {
	if r.nextHedge.IsZero() || t.Before(r.nextHedge) {
		r.nextHedge = t
	}
}

// restart binds the query to another version that has more of its shards and
// discards all replies of the incomplete version. A query restarts at most once. It
// returns false if the query stays on its version; the caller then handles the
// shard.
func (r *run) restart(now time.Time) bool {
	if r.round > 0 || r.req.GetNonIdempotent() || !now.Before(r.answerBy) {
		return false
	}
	doc, ok := r.engine.cfg.Registry.Snapshot().Service(r.svc.name)
	if !ok {
		return false
	}
	p := r.svc.currentPlan(doc)
	ex := r.svc.exclusions(p, r.engine.cfg.Transport)
	b := p.bind(r.req.GetShards(), ex, true)
	if b == nil || b.version.name == r.binding.version.name || b.availableFraction() <= r.answerableFraction() {
		if b != nil {
			r.svc.missing.releaseVersion(b.version.name, b.probing, false)
		}
		return false
	}
	r.engine.cfg.Logger.Debug("query restarts on another index version", "service", r.svc.name,
		"request_id", r.id, "from", r.binding.version.name, "to", b.version.name)
	r.cancelRound(now)
	r.releaseVersion()
	r.round++
	r.startRound(p, b)
	r.svc.metrics.restarts.Add(r.sendAll())
	r.startHedgeTimer()
	return true
}

// answerableFraction returns the fraction of the shards that the current version
// can still answer. It does not count the shard that causes the restart.
func (r *run) answerableFraction() float64 {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		if s.state == shardAnswered || s.state == shardOpen && s.outstanding > 0 {
			n++
		}
	}
	return float64(n) / float64(len(r.shards))
}

func (r *run) cancelRound(now time.Time) {
	r.nextRetry = time.Time{}
	for i := range r.shards {
		s := &r.shards[i]
		r.mayHaveRun = r.mayHaveRun || s.mayHaveRun || s.outstanding > 0
		if s.outstanding > 0 {
			r.cancelAttempts(s, now)
		}
	}
}
