package standin

import (
	"fmt"
	"slices"
	"time"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// job is a sub-request from its arrival to its reply. Its times are in nanoseconds
// since the server's epoch.
type job struct {
	stream   *stream
	request  *briarstandv1.SubRequest
	deadline int64
	received int64
	started  int64
	state    jobState
}

type jobState uint8

const (
	jobArriving jobState = iota
	jobQueued
	jobRunning
	jobDone
)

// admit starts, queues or refuses a sub-request. The caller holds the server's
// lock, as for all functions of this file.
func (s *Server) admit(j *job, now int64) {
	if j.state == jobDone {
		return
	}
	s.record.Received++
	s.record.LastReceived = s.at(now)
	j.received = now
	r := j.request
	switch {
	case s.draining:
		s.refuse(j, briarstandv1.SubStatus_SUB_STATUS_DRAINING, now)
	case !s.settings.holds(r.GetService(), r.GetIndexVersion(), int(r.GetShard())):
		s.refuse(j, briarstandv1.SubStatus_SUB_STATUS_VERSION_MISSING, now)
	case j.deadline <= now:
		s.refuse(j, briarstandv1.SubStatus_SUB_STATUS_EXPIRED, now)
	case s.chance(s.faults.ShedProbability):
		s.refuse(j, briarstandv1.SubStatus_SUB_STATUS_SHED, now)
	case s.busy < s.settings.Slots:
		s.start(j, now)
	case len(s.queue) < s.settings.QueueLimit:
		j.state = jobQueued
		s.queue = append(s.queue, j)
	default:
		s.refuse(j, briarstandv1.SubStatus_SUB_STATUS_SHED, now)
	}
}

func (s *Server) chance(p float64) bool { return p > 0 && s.random.Float64() < p }

func (s *Server) refuse(j *job, status briarstandv1.SubStatus, now int64) {
	s.record.Refused[refusalNames[status]]++
	s.sendReply(j, status, now)
}

var refusalNames = map[briarstandv1.SubStatus]string{
	briarstandv1.SubStatus_SUB_STATUS_SHED:            "shed",
	briarstandv1.SubStatus_SUB_STATUS_DRAINING:        "draining",
	briarstandv1.SubStatus_SUB_STATUS_VERSION_MISSING: "version_missing",
	briarstandv1.SubStatus_SUB_STATUS_EXPIRED:         "expired",
	briarstandv1.SubStatus_SUB_STATUS_CANCELLED:       "cancelled",
}

// start runs a sub-request in a free slot.
func (s *Server) start(j *job, now int64) {
	j.state, j.started = jobRunning, now
	s.busy++
	s.record.Started++
	if r := j.request; r.GetNonIdempotent() {
		s.history.countRun(fmt.Sprintf("%s/%d", r.GetRequestId(), r.GetShard()))
	}
	if d := s.serviceTime(now); d > 0 {
		s.schedule(event{at: now + int64(d), kind: eventFinish, job: j})
		return
	}
	s.complete(j, now)
}

func (s *Server) serviceTime(now int64) time.Duration {
	settings := &s.settings
	d := time.Duration(settings.ServiceBase)
	if settings.ServiceJitter > 0 {
		d += time.Duration(s.random.Int64N(int64(settings.ServiceJitter)))
	}
	if s.chance(settings.TailProbability) {
		d += time.Duration(settings.ServiceTail)
	}
	factor := 1.0
	if s.faults.StragglerFactor > 0 {
		factor = s.faults.StragglerFactor
	}
	if age := now - s.startedAt; age < int64(settings.ColdFor) {
		factor *= 1 + (settings.ColdFactor-1)*(1-float64(age)/float64(settings.ColdFor))
	}
	return time.Duration(float64(d) * factor)
}

// finish completes a run and starts queued sub-requests.
func (s *Server) finish(j *job, now int64) {
	if j.state != jobRunning {
		return
	}
	s.complete(j, now)
	s.runQueue(now)
}

func (s *Server) complete(j *job, now int64) {
	s.releaseSlot(j, now, false)
	status := briarstandv1.SubStatus_SUB_STATUS_OK
	if s.chance(s.faults.FailProbability) {
		status = briarstandv1.SubStatus_SUB_STATUS_FAILED
	}
	s.sendReply(j, status, now)
}

func (s *Server) releaseSlot(j *job, now int64, cancelled bool) {
	s.busy--
	s.record.Busy += Duration(now - j.started)
	r := j.request
	s.history.add(Run{
		ID: r.GetId(), RequestID: r.GetRequestId(), Service: r.GetService(),
		IndexVersion: r.GetIndexVersion(), Shard: int(r.GetShard()), NonIdempotent: r.GetNonIdempotent(),
		Received: s.at(j.received), Started: s.at(j.started), Finished: s.at(now),
		Cancelled: cancelled, Late: j.started > j.deadline,
	})
}

// runQueue starts queued sub-requests in free slots.
func (s *Server) runQueue(now int64) {
	for s.busy < s.settings.Slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue[0] = nil
		s.queue = s.queue[1:]
		if j.deadline <= now {
			s.refuse(j, briarstandv1.SubStatus_SUB_STATUS_EXPIRED, now)
			continue
		}
		s.start(j, now)
	}
}

// cancel ends a sub-request early, unless the server ignores cancellation.
func (s *Server) cancel(j *job, now int64) {
	if s.faults.IgnoreCancellation {
		return
	}
	switch j.state {
	case jobArriving:
		s.refuse(j, briarstandv1.SubStatus_SUB_STATUS_CANCELLED, now)
	case jobQueued:
		if i := slices.Index(s.queue, j); i >= 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
		}
		s.refuse(j, briarstandv1.SubStatus_SUB_STATUS_CANCELLED, now)
	case jobRunning:
		s.record.Cancelled++
		s.releaseSlot(j, now, true)
		s.sendReply(j, briarstandv1.SubStatus_SUB_STATUS_FAILED, now)
		s.runQueue(now)
	}
}

// sendReply sends the reply to a job, subject to the faults that apply to
// replies.
func (s *Server) sendReply(j *job, status briarstandv1.SubStatus, now int64) {
	j.state = jobDone
	delete(j.stream.jobs, j.request.GetId())
	if j.stream.closed || s.chance(s.faults.DropProbability) {
		return
	}
	r := reply{job: j, status: status}
	r.wrongVersion = s.chance(s.faults.WrongVersionProbability)
	r.wrongShard = s.chance(s.faults.WrongShardProbability)
	r.invalidStatus = s.chance(s.faults.InvalidStatusProbability)
	at := now + int64(s.settings.NetworkLatency)
	if s.chance(s.faults.DelayProbability) {
		at += int64(s.faults.ReplyDelay)
	}
	s.sendAt(j.stream, r, at, now)
	if s.chance(s.faults.DuplicateProbability) {
		s.sendAt(j.stream, r, at, now)
	}
	if s.chance(s.faults.InventProbability) {
		r.invented = true
		s.sendAt(j.stream, r, at, now)
	}
}

func (s *Server) sendAt(st *stream, r reply, at, now int64) {
	if at <= now {
		st.push(r)
		return
	}
	s.schedule(event{at: at, kind: eventReply, stream: st, reply: r})
}
