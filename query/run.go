package query

import (
	"context"
	"slices"
	"time"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

const (
	// minHedgeDelay prevents hedges caused by the latency jitter of fast
	// sub-requests.
	minHedgeDelay = time.Millisecond
	// coldHedgeDivisor sets the hedge delay while too few latencies are known:
	// the remaining time of the query divided by this number.
	coldHedgeDivisor = 4
	// hedgeRetryDivisor sets the delay before a hedge that the budget denied is
	// retried: the hedge delay divided by this number.
	hedgeRetryDivisor = 2
	// deferredRetryDelay is how long a shard waits for a budget token, or for a
	// backend server that sheds load, before it is retried.
	deferredRetryDelay = 5 * time.Millisecond
	// congestedPermille is a fraction, in parts per thousand, of the time from
	// the start of a query until its answer is due. If half of the shards have
	// not answered by then, the backend servers count as congested. The fraction
	// is low because the slowest shard of a large query takes two to three times
	// as long as the median one.
	congestedPermille = 300
)

// shardState is the state of one shard of a query.
type shardState uint8

const (
	shardOpen shardState = iota
	shardAnswered
	shardMissing
)

// shardRun is the progress of one shard of a query.
type shardRun struct {
	shard       int32
	lastAttempt int32 // tag of the newest attempt, or noAttempt
	outstanding int32 // attempts without a reply
	state       shardState
	cause       missingCause
	hedged      bool
	// freeRetryUsed is set once the shard has used its one retry for a missing
	// version that needs no budget token.
	freeRetryUsed bool
	// deferred is set while the shard waits for its next retry.
	deferred bool
	// mayHaveRun is set when an attempt has ended that ran or may have run. At the
	// end of the query it is also set if an attempt has not replied.
	mayHaveRun     bool
	versionMissing bool
	hits           []*briarstandv1.Hit
}

// run is one query in flight. Its state belongs to the goroutine that calls
// execute; only the collector is shared with other goroutines.
type run struct {
	engine         *Engine
	svc            *service
	plan           *plan
	binding        *binding
	req            *briarstandv1.QueryRequest
	id             string
	limit          int
	answerBy       time.Time
	start          time.Time
	halfAnsweredAt time.Time // when half of the shards had answered, or zero

	collector      *collector
	spareInbox     []delivery
	tried          []string
	requests       []backend.Request
	shards         []shardRun
	openShards     int
	answeredShards int   // shards answered in this round
	round          int32 // 0, or 1 after a restart on another index version
	hedgeDelay     time.Duration
	nextHedge      time.Time // zero when no hedge is scheduled
	nextRetry      time.Time // zero when no shard is deferred
	timedOut       bool
	callerLeft     bool // the caller stopped waiting
	mayHaveRun     bool // as in shardRun, for attempts of earlier rounds
}

func newRun(e *Engine, req *briarstandv1.QueryRequest, id string, svc *service, p *plan, b *binding, answerBy time.Time) *run {
	n := len(b.candidates)
	r := &run{
		engine:     e,
		svc:        svc,
		plan:       p,
		req:        req,
		id:         id,
		limit:      int(req.GetLimit()),
		answerBy:   answerBy,
		start:      time.Now(),
		collector:  newCollector(e.cfg.Picker, n),
		spareInbox: make([]delivery, 0, n),
	}
	if r.limit == 0 {
		r.limit = p.service.Policy.DefaultLimit
	}
	if r.limit <= 0 {
		r.limit = defaultLimit
	}
	r.startRound(p, b)
	return r
}

// startRound binds the query to an index version and resets the state of its
// shards, so that no answer mixes versions.
func (r *run) startRound(p *plan, b *binding) {
	n := len(b.candidates)
	r.plan, r.binding = p, b
	r.shards = make([]shardRun, n)
	r.requests = make([]backend.Request, n)
	r.openShards, r.answeredShards = n, 0
	shards := r.req.GetShards()
	for i := range r.shards {
		shard := int32(i)
		if len(shards) > 0 {
			shard = shards[i]
		}
		r.shards[i] = shardRun{shard: shard, lastAttempt: noAttempt}
		r.requests[i] = r.newRequest(int(shard))
	}
}

func (r *run) newRequest(shard int) backend.Request {
	id := r.id
	if r.req.GetNonIdempotent() {
		id = r.req.GetTicket()
	}
	return backend.Request{
		Service:       r.svc.name,
		IndexVersion:  r.binding.version.name,
		Shard:         shard,
		Deadline:      r.answerBy,
		Body:          r.req.GetBody(),
		Limit:         r.limit,
		NonIdempotent: r.req.GetNonIdempotent(),
		RequestID:     id,
	}
}

// execute sends the sub-requests and returns the answer.
func (r *run) execute(ctx context.Context) *briarstandv1.QueryResponse {
	sent := r.sendAll()
	r.svc.budget.Sent(sent)
	r.svc.metrics.primary.Add(sent)
	r.startHedgeTimer()
	r.loop(ctx)
	r.finish()
	r.reportCongestion()
	return r.response()
}

// reportCongestion reports to admission control whether the backend servers as a
// whole were slow. It uses the time at which half of the shards had answered, so
// that neither stragglers nor lost replicas count as congestion.
func (r *run) reportCongestion() {
	late := r.start.Add(r.answerBy.Sub(r.start) * congestedPermille / 1000)
	switch {
	case !r.halfAnsweredAt.IsZero():
		r.svc.admission.ObserveCongestion(r.halfAnsweredAt.After(late))
	case r.timedOut:
		r.svc.admission.ObserveCongestion(true)
	}
}

// sendAll sends the first sub-request of every shard that has a candidate.
func (r *run) sendAll() int {
	now, sent := time.Now(), 0
	for i := range r.shards {
		b, ok := r.pick(i, nil)
		if !ok {
			r.markMissing(i, causeNoReplica)
			continue
		}
		r.send(i, b, now)
		sent++
	}
	return sent
}

func (r *run) pick(position int, tried []string) (*config.Backend, bool) {
	candidates := r.binding.candidates[position]
	if len(candidates) <= len(tried) {
		return nil, false
	}
	return r.engine.cfg.Picker.Pick(r.plan.service.Policy.ReplicaChoice, candidates, tried)
}

func (r *run) send(position int, b *config.Backend, now time.Time) {
	s := &r.shards[position]
	r.engine.cfg.Picker.Started(b.ID)
	tag := r.collector.add(attempt{
		position: int32(position), previous: s.lastAttempt, round: r.round, backend: b, start: now,
	})
	s.lastAttempt = int32(tag)
	s.outstanding++
	s.deferred = false
	r.collector.attempts[tag].call = r.engine.cfg.Transport.Send(b, &r.requests[position], tag, r.collector)
}

// loop handles replies and timers until every shard is answered or missing, the
// query must answer, or the caller stops waiting.
func (r *run) loop(ctx context.Context) {
	done := ctx.Done()
	if r.req.GetNonIdempotent() {
		// The outcome is stored for later requests with the same ticket, even if
		// the caller no longer waits.
		done = nil
	}
	timer := time.NewTimer(time.Until(r.nextEvent()))
	defer timer.Stop()
	for r.openShards > 0 {
		select {
		case <-r.collector.signal:
			r.handleReplies()
		case <-timer.C:
			if r.handleTimer() {
				return
			}
		case <-done:
			r.callerLeft = true
			return
		}
		if r.openShards > 0 {
			timer.Reset(time.Until(r.nextEvent()))
		}
	}
}

func (r *run) nextEvent() time.Time {
	next := r.answerBy
	for _, t := range [...]time.Time{r.nextHedge, r.nextRetry} {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	return next
}

// handleTimer runs due retries and hedges and reports whether the query must answer
// now.
func (r *run) handleTimer() bool {
	now := time.Now()
	if !now.Before(r.answerBy) {
		r.timedOut = true
		return true
	}
	if !r.nextRetry.IsZero() && !now.Before(r.nextRetry) {
		r.retryDeferred(now)
	}
	if !r.nextHedge.IsZero() && !now.Before(r.nextHedge) {
		r.hedgeStragglers(now)
	}
	return false
}

func (r *run) handleReplies() {
	batch := r.collector.swapInbox(r.spareInbox)
	now := time.Now()
	for i := range batch {
		r.handleReply(&batch[i], now)
	}
	clear(batch)
	r.spareInbox = batch
}

// handleReply processes one reply.
func (r *run) handleReply(d *delivery, now time.Time) {
	a := &r.collector.attempts[d.tag]
	if a.round != r.round {
		r.mayHaveRun = r.mayHaveRun || !d.reply.Status.NotRun()
		return
	}
	position := int(a.position)
	s := &r.shards[position]
	s.outstanding--
	if d.reply.Status == backend.OK && r.matches(s, &d.reply) {
		r.engine.latency.Observe(r.svc.name, d.latency)
		r.recordAnswer(s, &d.reply, now)
		return
	}
	if !d.reply.Status.NotRun() {
		s.mayHaveRun = true
	}
	if s.state != shardOpen {
		return
	}
	r.recordMissing(s, a.backend.ID, d.reply.Status)
	if s.outstanding == 0 {
		r.retry(position, d.reply.Status, now)
	}
}

// matches reports whether a reply belongs to the bound version and the shard.
func (r *run) matches(s *shardRun, reply *backend.Reply) bool {
	return reply.IndexVersion == r.binding.version.name && reply.Shard == int(s.shard)
}

// recordAnswer stores the first valid reply of a shard and cancels its other
// attempts.
func (r *run) recordAnswer(s *shardRun, reply *backend.Reply, now time.Time) {
	s.mayHaveRun = true
	if s.state != shardOpen {
		return
	}
	s.state = shardAnswered
	s.hits = reply.Hits
	r.openShards--
	r.answeredShards++
	if r.answeredShards == (len(r.shards)+1)/2 {
		r.halfAnsweredAt = now
	}
	if s.outstanding > 0 {
		r.cancelAttempts(s, now)
	}
}

// cancelAttempts cancels the attempts of a shard that have not replied. Their time
// so far is recorded as their latency: otherwise the slowest attempts would never
// be recorded, and the hedge delay would shrink.
func (r *run) cancelAttempts(s *shardRun, now time.Time) {
	for tag := s.lastAttempt; tag != noAttempt; {
		a := &r.collector.attempts[tag]
		if r.collector.markCancelled(int(tag)) {
			r.engine.latency.Observe(r.svc.name, now.Sub(a.start))
			a.call.Cancel()
		}
		tag = a.previous
	}
}

// recordMissing records that a backend server lacks the shard in the bound
// version. It is called only for replies that do not answer the shard. One of them
// with status OK is for another version or shard; its sender then counts as lacking
// the requested shard.
func (r *run) recordMissing(s *shardRun, backendID string, status backend.Status) {
	if status != backend.VersionMissing && status != backend.OK {
		return
	}
	s.versionMissing = true
	r.svc.missing.add(missingKey{r.binding.version.name, int(s.shard), backendID})
}

func (r *run) markMissing(position int, cause missingCause) {
	s := &r.shards[position]
	s.state = shardMissing
	s.cause = cause
	s.deferred = false
	r.openShards--
}

// finish processes the last replies and cancels the outstanding attempts.
func (r *run) finish() {
	now := time.Now()
	batch := r.collector.close()
	for i := range batch {
		r.handleFinalReply(&batch[i], now)
	}
	for i := range r.shards {
		s := &r.shards[i]
		if s.state == shardOpen && s.outstanding > 0 {
			s.mayHaveRun = true
			r.cancelAttempts(s, now)
		}
	}
	r.releaseVersion()
}

// releaseVersion ends the query's use of the bound version. If no backend server
// lacked the version, its probation (see missingTable) ends.
func (r *run) releaseVersion() {
	clean := !slices.ContainsFunc(r.shards, func(s shardRun) bool { return s.versionMissing })
	r.svc.missing.releaseVersion(r.binding.version.name, r.binding.probing, clean)
}

// handleFinalReply processes a reply that was still in the inbox when the loop
// ended. Unlike handleReply it never retries.
func (r *run) handleFinalReply(d *delivery, now time.Time) {
	a := &r.collector.attempts[d.tag]
	if a.round != r.round {
		r.mayHaveRun = r.mayHaveRun || !d.reply.Status.NotRun()
		return
	}
	s := &r.shards[a.position]
	s.outstanding--
	s.mayHaveRun = s.mayHaveRun || !d.reply.Status.NotRun()
	if d.reply.Status == backend.OK && r.matches(s, &d.reply) {
		r.engine.latency.Observe(r.svc.name, d.latency)
		r.recordAnswer(s, &d.reply, now)
	}
}
