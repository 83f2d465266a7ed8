package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/topk"
	"github.com/briarstand/briarstand/upstream"
)

// subRequest is the part of a request that one service answers: the whole
// request, or the part of a query that goes to one shard.
type subRequest struct {
	service    string
	tried      []string
	sent       int
	mayHaveRun int           // attempts that a backend server may have run, including those in flight
	delivered  int           // attempts that reached a backend server, including those in flight
	running    int           // attempts in flight
	withdrawn  int           // attempts that were placed again since their servers were withdrawn
	hedgeAt    time.Duration // time since the request arrived; 0 if no hedge is planned
	distance   distance      // of the first attempt
	reply      *upstream.Reply
	failure    *upstream.Reply // the last reply that reports a failure
	done       bool            // answered, or given up
	reason     string          // why it was given up
}

// attempt is one attempt of a sub-request; its index in run.attempts is its tag.
type attempt struct {
	index   int // of the sub-request in run.subRequests
	backend *config.Backend
	call    upstream.Attempt
	start   time.Time
	relayed bool
	ended   bool
}

// run is the state of one request. Only the goroutine of run.run uses it, and
// after that the one that cleanUp starts.
type run struct {
	engine         *Engine
	job            Job
	schedule       Schedule
	deadline       time.Time
	subRequests    []subRequest
	attempts       []attempt
	results        chan upstream.Result
	pending        int // sub-requests that are not done
	answered       int
	nearHedgeDelay time.Duration // hedge delay of attempts in this VM's region
	farHedgeDelay  time.Duration // hedge delay of attempts in other regions
	byDistance     map[distance]*distanceStats
	answer         Answer
}

// distanceStats counts the sub-requests whose first attempts have the same distance.
type distanceStats struct {
	total, answered int
	halfAnsweredAt  time.Duration // time since the request arrived when half were answered; 0 before
	overhead        time.Duration // maximum time that a relay of this query adds
}

// distance separates attempts in this VM's region from those in other regions,
// whose latencies differ by the time between regions.
type distance string

const (
	near distance = "near"
	far  distance = "far"
)

func (e *Engine) distance(b *config.Backend) distance {
	if e.cfg.InOtherRegion != nil && e.cfg.InOtherRegion(b) {
		return far
	}
	return near
}

// latencyKey returns the key in Config.Latencies of the attempts of a route at
// a distance.
func latencyKey(route string, d distance) string { return route + "/" + string(d) }

func (r *run) hedgeDelay(d distance) time.Duration {
	quantile, known := r.engine.cfg.Latencies.LatencyQuantile(latencyKey(r.job.Route.Name, d), r.engine.cfg.Policy.HedgeQuantile)
	return r.engine.cfg.Policy.HedgeDelay(quantile, known, r.schedule.AnswerBy)
}

func newRun(e *Engine, job Job) *run {
	r := &run{engine: e, job: job, schedule: e.cfg.Policy.Schedule(job.Route, job.Wait, e.callerElapsed(job))}
	r.deadline = job.Arrived.Add(r.schedule.GiveUp)
	if job.Route.Scattered() {
		r.subRequests = make([]subRequest, len(job.Route.Shards))
		for i, s := range job.Route.Shards {
			r.subRequests[i].service = s
		}
	} else {
		r.subRequests = []subRequest{{service: job.Route.RandomTarget()}}
	}
	r.pending = len(r.subRequests)
	r.results = make(chan upstream.Result, len(r.subRequests)*maxTotalAttempts)
	r.nearHedgeDelay = r.hedgeDelay(near)
	r.farHedgeDelay = r.hedgeDelay(far)
	r.answer.Scattered = job.Route.Scattered()
	return r
}

func (r *run) run(ctx context.Context) (a Answer) {
	returned := false
	defer func() {
		if !returned {
			r.answer.Reply = nil // nobody gets it after a panic
		}
		r.cleanUp()
	}()
	a = r.answerRequest(ctx)
	returned = true
	return a
}

func (r *run) answerRequest(ctx context.Context) Answer {
	if r.disconnected(ctx) {
		return r.callerDisconnected()
	}
	if reachable, pause := r.reachable(); !reachable {
		reason := "too few shards have a backend server"
		if pause > 0 {
			reason = "too few shards have a backend server that does not pause"
		}
		return r.refuse(reason)
	}
	r.sendFirstAttempts()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Since(r.job.Arrived)
		r.sendHedges(now)
		if r.complete(now) {
			return r.finish(now)
		}
		timer.Reset(r.nextWake(now) - now)
		select {
		case res := <-r.results:
			r.handle(res)
			r.drainResults()
		case <-timer.C:
			if r.disconnected(ctx) {
				return r.callerDisconnected()
			}
		case <-r.job.Stopping:
			r.drainResults()
			r.schedule.GiveUp = min(r.schedule.GiveUp, time.Since(r.job.Arrived))
		case <-ctx.Done():
			return r.callerDisconnected()
		}
	}
}

func (r *run) disconnected(ctx context.Context) bool {
	return ctx.Err() != nil || r.job.Disconnected != nil && r.job.Disconnected()
}

func (r *run) callerDisconnected() Answer {
	r.answer.Outcome, r.answer.Reason = CallerDisconnected, "the caller left"
	return r.answer
}

func (r *run) drainResults() {
	for {
		select {
		case res := <-r.results:
			r.handle(res)
		default:
			return
		}
	}
}

// reachable reports whether enough services have a usable backend server for an
// answer. If not, the request is refused at once instead of at its timeout, and pause
// is the time until enough backend servers have paused; 0 if that is not known.
func (r *run) reachable() (ok bool, pause time.Duration) {
	now := time.Now()
	missing := r.requiredReplies()
	var pauses []time.Duration
	for i := range r.subRequests {
		switch replicas, p := r.engine.admissible(r.subRequests[i].service, now); {
		case len(replicas) > 0:
			missing--
		case p > 0:
			pauses = append(pauses, p)
		}
	}
	if missing <= 0 || missing > len(pauses) {
		return missing <= 0, 0
	}
	slices.Sort(pauses)
	return false, pauses[missing-1]
}

// requiredReplies returns how many sub-requests must be answered.
func (r *run) requiredReplies() int {
	if r.job.Route.Scattered() {
		return r.job.Route.MinShards()
	}
	return 1
}

// sendTo starts an attempt at a backend server.
func (r *run) sendTo(i int, b *config.Backend) {
	hedge := r.nearHedgeDelay
	if r.engine.distance(b) == far {
		hedge = r.farHedgeDelay
	}
	tag := r.registerAttempt(i, b, hedge)
	r.attempts[tag].call = r.engine.cfg.Transport.Send(b, r.job.Request, r.deadline, tag, r.results)
}

// registerAttempt registers an attempt that is about to be sent, plans its hedge
// and returns its tag.
func (r *run) registerAttempt(i int, b *config.Backend, hedge time.Duration) (tag int) {
	sub := &r.subRequests[i]
	sub.tried = append(sub.tried, b.ID)
	sub.sent++
	sub.mayHaveRun++
	sub.delivered++
	sub.running++
	sub.hedgeAt = 0
	if r.job.Route.Idempotent && sub.sent < maxTotalAttempts && sub.mayHaveRun < r.job.Route.MaxAttempts {
		sub.hedgeAt = time.Since(r.job.Arrived) + hedge
	}
	r.answer.Attempts++
	r.engine.cfg.Picker.Started(b.ID)
	r.attempts = append(r.attempts, attempt{index: i, backend: b, start: time.Now()})
	return len(r.attempts) - 1
}

// pick chooses the backend server of the next attempt, among those with a free
// connection if there are any. A request to one service prefers this VM's
// region. A query over shards does not: relays merge the parts from other
// regions, so that little data crosses, and the answer has to wait for the
// slowest part wherever it comes from.
func (r *run) pick(sub *subRequest) (*config.Backend, bool) {
	now := time.Now()
	usable, _ := r.engine.admissible(sub.service, now)
	if len(usable) == 0 {
		return nil, false
	}
	var preferred, others []*config.Backend
	for _, b := range r.engine.avoidDown(usable, now) {
		switch {
		case !r.engine.cfg.Transport.HasCapacity(b):
		case r.job.Route.Scattered() || r.engine.distance(b) == near:
			preferred = append(preferred, b)
		default:
			others = append(others, b)
		}
	}
	if b, ok := r.engine.cfg.Picker.PickNear(config.ChoiceAdaptive, preferred, others, sub.tried); ok {
		return b, true
	}
	return r.engine.cfg.Picker.Pick(config.ChoiceAdaptive, usable, sub.tried)
}

func (r *run) giveUp(sub *subRequest, reason string) {
	if !sub.done {
		sub.done = true
		sub.reason = reason
		r.pending--
		r.recordDecision("give_up", sub.service, "", reason)
	}
}

// sendHedges sends another attempt of each sub-request whose hedge is due.
func (r *run) sendHedges(now time.Duration) {
	for i := range r.subRequests {
		sub := &r.subRequests[i]
		if sub.done || sub.hedgeAt == 0 || now < r.hedgeTime(sub) {
			continue
		}
		sub.hedgeAt = 0
		other, ok := r.pick(sub)
		if !ok {
			r.recordDecision("hedge_denied", sub.service, "", "no other backend server")
			continue
		}
		if !r.engine.budget(sub.service).TakeReserving(r.engine.cfg.Policy.RetryReserve) {
			r.engine.counts.hedgesDenied.Inc()
			r.recordDecision("hedge_denied", sub.service, "", "budget is empty")
			continue
		}
		r.sendTo(i, other)
		r.answer.Hedges++
		r.recordDecision("hedge", sub.service, other.ID, "no reply from "+sub.tried[0])
	}
}

// hedgeTime returns when a sub-request is hedged, given the replies so far.
func (r *run) hedgeTime(sub *subRequest) time.Duration {
	s := r.byDistance[sub.distance]
	if s == nil || s.total < minStragglerSample {
		return sub.hedgeAt
	}
	policy := r.engine.cfg.Policy
	latest := time.Duration(policy.HedgeLatestFraction * float64(r.schedule.AnswerBy))
	return policy.StragglerHedgeAt(sub.hedgeAt, s.halfAnsweredAt, s.overhead, max(latest, s.overhead+policy.HedgeMinDelay))
}

// handle processes a result, which may carry the outcomes of several attempts.
func (r *run) handle(res upstream.Result) {
	r.handleOne(res)
	for _, other := range res.Batch {
		r.handleOne(other)
	}
}

func (r *run) handleOne(res upstream.Result) {
	a := &r.attempts[res.Tag]
	a.ended = true
	sub := &r.subRequests[a.index]
	sub.running--
	defer sub.release(res.Reply)
	end := r.engine.observe(r.job.Route.Name, r.job.Request.ID, sub.service, a, res)
	switch end {
	case endNotSent:
		sub.mayHaveRun--
		sub.delivered--
	case endNotRun:
		sub.mayHaveRun--
	}
	if errors.Is(res.Err, upstream.ErrWithdrawn) && sub.withdrawn < maxWithdrawn {
		// Not an attempt: the server may be chosen again if its service has no other.
		sub.withdrawn++
		sub.sent--
		sub.tried = slices.DeleteFunc(sub.tried, func(id string) bool { return id == a.backend.ID })
	}
	if end == endServed {
		r.acceptReply(sub, a, res.Reply)
		return
	}
	if sub.done {
		return
	}
	if res.Reply != nil && res.Reply.Verdict == upstream.Failed {
		if sub.failure != nil {
			sub.failure.Release()
		}
		sub.failure = res.Reply
	}
	r.recordFailure(sub, a, res)
	if sub.running > 0 {
		return // another attempt is still running
	}
	sub.hedgeAt = 0
	if !mayRepeat(r.job.Route, end, sub.sent, sub.mayHaveRun) {
		r.giveUp(sub, "attempts used up")
		return
	}
	other, ok := r.pick(sub)
	if !ok {
		r.giveUp(sub, "no other backend server")
		return
	}
	// A retry adds no load if no attempt has reached a backend server.
	if sub.delivered > 0 && !r.engine.budget(sub.service).Take() {
		r.engine.counts.retriesDenied.Inc()
		r.giveUp(sub, "budget for retries is empty")
		return
	}
	r.sendTo(a.index, other)
	r.answer.Retries++
	r.recordDecision("retry", sub.service, other.ID, "the attempt before failed")
}

// acceptReply records the reply to a sub-request. A relayed reply replaces an
// earlier one, since its records are merged with those of other sub-requests and
// cannot be separated.
func (r *run) acceptReply(sub *subRequest, a *attempt, reply *upstream.Reply) {
	if sub.reply == nil {
		r.answered++
		if s := r.byDistance[sub.distance]; s != nil {
			if s.answered++; s.halfAnsweredAt == 0 && 2*s.answered >= s.total {
				s.halfAnsweredAt = time.Since(r.job.Arrived)
			}
		}
	} else if !a.relayed {
		return
	}
	if !sub.done {
		r.pending--
	}
	sub.reply, sub.done = reply, true
	if r.job.Route.Scattered() {
		reply.Body = topk.ShrinkPart(reply.Body, r.job.Route.Limit)
		reply.Release()
	}
}

// release frees the memory of a reply unless the sub-request keeps it.
func (sub *subRequest) release(reply *upstream.Reply) {
	if reply != nil && reply != sub.reply && reply != sub.failure {
		reply.Release()
	}
}

func (r *run) recordFailure(sub *subRequest, a *attempt, res upstream.Result) {
	reason := ""
	if res.Err != nil {
		reason = res.Err.Error()
	} else {
		reason = res.Reply.Verdict.String()
	}
	r.recordDecision("attempt_failed", sub.service, a.backend.ID, reason)
}

// complete reports whether the request is to be answered or given up now.
func (r *run) complete(now time.Duration) bool {
	switch {
	case r.pending == 0, now >= r.schedule.GiveUp:
		return true
	case r.answered+r.pending < r.requiredReplies():
		return true // too many shards are lost for an answer
	}
	return r.job.Route.Scattered() && now >= r.schedule.AnswerBy && r.answered >= r.requiredReplies()
}

// nextWake returns when the next hedge or deadline is due.
func (r *run) nextWake(now time.Duration) time.Duration {
	wake := r.schedule.GiveUp
	if r.schedule.AnswerBy > now {
		wake = min(wake, r.schedule.AnswerBy)
	}
	for i := range r.subRequests {
		if sub := &r.subRequests[i]; !sub.done && sub.hedgeAt > 0 {
			wake = min(wake, r.hedgeTime(sub))
		}
	}
	return wake
}

// finish builds the answer.
func (r *run) finish(now time.Duration) Answer {
	if r.answered >= r.requiredReplies() {
		r.answer.Outcome = Answered
		if !r.job.Route.Scattered() {
			r.answer.Reply = r.subRequests[0].reply
			return r.answer
		}
		r.mergeParts()
		return r.answer
	}
	mayHaveRun, reason := 0, ""
	for i := range r.subRequests {
		sub := &r.subRequests[i]
		mayHaveRun += sub.mayHaveRun
		if !sub.done && sub.running > 0 {
			r.recordDecision("no_reply", sub.service, sub.tried[len(sub.tried)-1], "still waiting when the request was given up")
		}
		if sub.reason != "" {
			reason = sub.reason
		}
	}
	if !r.job.Route.Scattered() && r.subRequests[0].failure != nil {
		r.answer.Outcome, r.answer.Reply, r.answer.Reason = Answered, r.subRequests[0].failure, "the backend server failed"
		return r.answer
	}
	if mayHaveRun == 0 && r.answered == 0 {
		return r.refuse(reason)
	}
	r.answer.Outcome, r.answer.Reason = Broken, reason
	if now >= r.schedule.GiveUp {
		r.answer.Outcome, r.answer.Reason = Unanswered, "timeout"
	}
	return r.answer
}

func (r *run) refuse(reason string) Answer {
	_, pause := r.reachable()
	r.answer.Outcome, r.answer.Reason, r.answer.RetryAfter = Refused, reason, max(pause, r.engine.cfg.Policy.RetryAfter)
	return r.answer
}

func (r *run) mergeParts() {
	parts := make([][]byte, 0, r.answered)
	for i := range r.subRequests {
		sub := &r.subRequests[i]
		if sub.reply == nil {
			r.answer.Missing++
			if !sub.done {
				r.recordDecision("left_out", sub.service, sub.tried[len(sub.tried)-1], "no reply when the answer was due")
			}
			continue
		}
		parts = append(parts, sub.reply.Body)
		r.answer.Signatures = append(r.answer.Signatures, sub.reply.Signature)
	}
	if r.answer.Missing > 0 {
		r.answer.Reason = "parts left out"
	}
	r.answer.Body = topk.MergeRecords(parts, r.job.Route.Limit)
}

// cleanUp releases the replies that the answer does not carry and abandons the
// attempts that are still running. It observes their results as they come, so
// that the statistics include slow backend servers.
func (r *run) cleanUp() {
	for i := range r.subRequests {
		for _, reply := range []*upstream.Reply{r.subRequests[i].reply, r.subRequests[i].failure} {
			if reply != nil && reply != r.answer.Reply {
				reply.Release()
			}
		}
	}
	left := 0
	for i := range r.attempts {
		if !r.attempts[i].ended {
			r.attempts[i].call.Abandon(r.engine.cfg.Policy.AbandonGrace)
			left++
		}
	}
	if left == 0 {
		return
	}
	abandoned := time.Now()
	go func() {
		for left > 0 {
			res := <-r.results
			for _, one := range append([]upstream.Result{res}, res.Batch...) {
				r.observeAbandoned(one, abandoned)
				left--
			}
		}
	}()
}

// observeAbandoned observes the result of an attempt that nobody awaits any more since
// the time abandoned.
func (r *run) observeAbandoned(res upstream.Result, abandoned time.Time) {
	defer r.engine.cfg.Panics.Recover("end of a request", nil)
	if res.Reply != nil {
		defer res.Reply.Release()
	}
	a := &r.attempts[res.Tag]
	r.engine.observe(r.job.Route.Name, r.job.Request.ID, r.subRequests[a.index].service, a, res)
	r.engine.counts.recordAbandoned(a.relayed, time.Since(abandoned))
}

// observe reports the outcome of an attempt to the metrics, the picker, the
// latencies and the queues.
func (e *Engine) observe(routeName, requestID, service string, a *attempt, res upstream.Result) attemptEnd {
	latency := time.Since(a.start)
	end, status := classify(res)
	defer func() { e.cfg.Picker.Finished(a.backend.ID, latency, status) }()
	e.counts.recordAttempt(service, &res, latency)
	if upstream.Unreachable(res.Err) || res.Reply != nil && res.Reply.Verdict == upstream.WrongServer {
		e.down.Store(a.backend.ID, time.Now().Add(downFor))
	}
	if a.relayed {
		e.cfg.Transport.Observe(a.backend, requestID, noticeOf(res))
	}
	if res.Reply != nil && res.Reply.Load.Known && e.cfg.Queues != nil {
		replyTime := latency
		if end == endNotRun {
			replyTime = 0
		}
		e.cfg.Queues.Observe(a.backend.ID, res.Reply.Load.Waiting, res.Reply.Load.Slots, replyTime)
	}
	if end == endServed && !a.relayed {
		e.cfg.Latencies.Observe(latencyKey(routeName, e.distance(a.backend)), latency)
	}
	return end
}

// noticeOf returns the notice of a backend server in a relayed result.
func noticeOf(res upstream.Result) upstream.Notice {
	var withheld *upstream.WithheldError
	switch {
	case res.Reply != nil:
		return res.Reply.Notice
	case errors.As(res.Err, &withheld):
		return withheld.Notice
	}
	return upstream.Notice{}
}

// classify returns how an attempt ended, which decides about a retry, and the
// status that the picker records for the replica.
func classify(res upstream.Result) (attemptEnd, backend.Status) {
	var unsent *upstream.UnsentError
	switch {
	case errors.Is(res.Err, upstream.ErrAbandoned):
		return endNotSent, backend.Cancelled
	case errors.As(res.Err, &unsent):
		return endNotSent, backend.Unsent
	case res.Err != nil:
		return endMayHaveRun, backend.StreamBroken
	}
	switch res.Reply.Verdict {
	case upstream.Served:
		return endServed, backend.OK
	case upstream.NotRun:
		return endNotRun, backend.Shed
	case upstream.WrongServer:
		return endNotRun, backend.Unsent
	}
	return endMayHaveRun, backend.Failed
}
