package query

import (
	"time"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
)

// retry decides about a shard whose attempts have all ended without an answer.
func (r *run) retry(position int, status backend.Status, now time.Time) {
	s := &r.shards[position]
	switch {
	case r.req.GetNonIdempotent() && s.mayHaveRun:
		r.miss(position, causeUnknown)
	case !now.Before(r.answerBy) || status == backend.Expired:
		r.miss(position, causeDeadline)
	default:
		r.tryNext(position, status, now)
	}
}

// tryNext sends a shard to the next replica, parks it or gives it up.
func (r *run) tryNext(position int, status backend.Status, now time.Time) {
	s := &r.shards[position]
	b, ok := r.pick(position, r.triedBy(s))
	if !ok {
		r.exhausted(position, status, now)
		return
	}
	if !r.free(s, status) && !r.svc.budget.Take() {
		r.svc.metrics.denied.Inc()
		r.park(position, causeBudget, now)
		return
	}
	r.svc.metrics.retries.Inc()
	r.send(position, b, now)
	if r.hedgeDelay > 0 {
		r.hedgeAt(now.Add(r.hedgeDelay))
	}
}

// free reports whether a retry does not draw from the budget: nothing left the
// VM for the attempt before it, or it is the shard's first for a missing version.
func (r *run) free(s *shardRun, status backend.Status) bool {
	if status == backend.Unsent {
		return true
	}
	if status != backend.VersionMissing || s.freeRetry {
		return false
	}
	s.freeRetry = true
	return true
}

// triedBy returns the backend servers that a shard was sent to. The slice is
// valid until the next call.
func (r *run) triedBy(s *shardRun) []string {
	r.tried = r.tried[:0]
	for tag := s.last; tag != none; {
		a := &r.collector.attempts[tag]
		r.tried = append(r.tried, a.backend.ID)
		tag = a.previous
	}
	return r.tried
}

// exhausted decides about a shard that has no untried replica left.
func (r *run) exhausted(position int, status backend.Status, now time.Time) {
	s := &r.shards[position]
	switch {
	case s.versionMissing && r.restart(now):
	case status == backend.Shed && r.prefersCoverage():
		// Backend servers that shed load may take the sub-request later.
		s.last = none
		r.park(position, causeRefused, now)
	case s.versionMissing:
		r.miss(position, causeVersion)
	case status.NotRun():
		r.miss(position, causeRefused)
	default:
		r.miss(position, causeFailed)
	}
}

func (r *run) prefersCoverage() bool {
	return r.plan.service.Policy.Preference == config.PreferCoverage
}

// park lets a shard wait for its next try where the service prefers coverage.
// Where it prefers latency, the query does not wait for the shard.
func (r *run) park(position int, cause missCause, now time.Time) {
	if !r.prefersCoverage() {
		r.miss(position, cause)
		return
	}
	s := &r.shards[position]
	s.parked = true
	s.cause = cause
	if r.nextPark.IsZero() {
		r.nextPark = now.Add(parkDelay)
	}
}

func (r *run) retryParked(now time.Time) {
	r.nextPark = time.Time{}
	round := r.round
	for i := range r.shards {
		if r.shards[i].parked {
			r.tryNext(i, backend.Shed, now)
		}
		if r.round != round {
			return
		}
	}
}

// planHedge sets the time of the next look for stragglers.
func (r *run) planHedge() {
	policy := r.plan.service.Policy
	r.nextHedge = time.Time{}
	if policy.HedgePermille <= 0 || r.req.GetNonIdempotent() {
		return
	}
	now := time.Now()
	left := r.answerBy.Sub(now)
	delay, known := r.engine.latency.LatencyQuantile(r.svc.name, policy.HedgePermille)
	if !known {
		delay = left / coldHedgePart
	}
	// A hedge in the second half of the time hardly ever answers in time.
	r.hedgeDelay = max(min(delay, left/2), minHedgeDelay)
	r.nextHedge = now.Add(r.hedgeDelay)
}

// hedge sends a second sub-request for each straggling shard, as far as the
// budget allows.
func (r *run) hedge(now time.Time) {
	r.nextHedge = time.Time{}
	for i := range r.shards {
		s := &r.shards[i]
		if s.state != shardOpen || s.hedged || s.outstanding != 1 {
			continue
		}
		due := r.collector.attempts[s.last].start.Add(r.hedgeDelay)
		if now.Before(due) {
			r.hedgeAt(due)
			continue
		}
		if !r.hedgeShard(i, now) {
			r.hedgeAt(now.Add(r.hedgeDelay / hedgeRetryPart))
		}
	}
}

// hedgeShard sends a hedge if there is another replica. It returns false when
// the budget is spent.
func (r *run) hedgeShard(position int, now time.Time) bool {
	s := &r.shards[position]
	b, ok := r.pick(position, r.triedBy(s))
	if !ok {
		s.hedged = true
		return true
	}
	if !r.takeHedge(now.Sub(r.collector.attempts[s.last].start)) {
		r.svc.metrics.denied.Inc()
		return false
	}
	s.hedged = true
	r.svc.metrics.hedges.Inc()
	r.send(position, b, now)
	return true
}

// takeHedge takes a token for the hedge of a sub-request of the given age. By
// the definition of the hedge delay a fixed part of all sub-requests becomes
// due, which alone may use up the budget. The last tokens for hedges are kept
// for those that are much later than that.
func (r *run) takeHedge(age time.Duration) bool {
	if age < r.hedgeDelay+r.hedgeDelay/hedgeRetryPart {
		return r.svc.budget.TakeAmple()
	}
	return r.svc.budget.TakeSpare()
}

func (r *run) hedgeAt(t time.Time) {
	if r.nextHedge.IsZero() || t.Before(r.nextHedge) {
		r.nextHedge = t
	}
}

// restart binds the query once more, to a version that has more of its shards,
// and drops all replies of the version that turned out incomplete.
func (r *run) restart(now time.Time) bool {
	if r.round > 0 || r.req.GetNonIdempotent() || !now.Before(r.answerBy) {
		return false
	}
	doc, ok := r.engine.cfg.Registry.Snapshot().Service(r.svc.name)
	if !ok {
		return false
	}
	p := r.svc.current(doc)
	ex := r.svc.exclusions(p, r.engine.cfg.Transport)
	b := p.bind(r.req.GetShards(), ex, true)
	if b == nil || b.version.name == r.binding.version.name || b.share() <= r.reachable() {
		if b != nil {
			r.svc.missing.tried(b.version.name, b.probing, false)
		}
		return false
	}
	r.engine.cfg.Logger.Debug("query restarts on another index version", "service", r.svc.name,
		"request_id", r.id, "from", r.binding.version.name, "to", b.version.name)
	r.abandonRound(now)
	r.endTry()
	r.round++
	r.bindTo(p, b)
	r.svc.metrics.restarts.Add(r.sendAll())
	r.planHedge()
	return true
}

// reachable is the part of the shards that the current version can still
// answer; the shard that asks for the restart is not among them.
func (r *run) reachable() float64 {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		if s.state == shardAnswered || s.state == shardOpen && s.outstanding > 0 {
			n++
		}
	}
	return float64(n) / float64(len(r.shards))
}

func (r *run) abandonRound(now time.Time) {
	r.nextPark = time.Time{}
	for i := range r.shards {
		s := &r.shards[i]
		r.mayHaveRun = r.mayHaveRun || s.mayHaveRun || s.outstanding > 0
		if s.outstanding > 0 {
			r.cancel(s, now)
		}
	}
}
