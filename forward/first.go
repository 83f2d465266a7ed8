package forward

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/relay"
)

// minRelayGroup is the minimum number of sub-requests to one relay target that are
// sent through a relay.
const minRelayGroup = 2

// sendFirstAttempts sends the first attempt of every sub-request. Sub-requests
// to backend servers of another availability zone go through a relay VM there, if
// there are at least minRelayGroup of them.
func (r *run) sendFirstAttempts() {
	picked := make([]*config.Backend, len(r.subRequests))
	groups := map[relay.Target][]int{}
	r.byDistance = map[distance]*distanceStats{near: {}, far: {}}
	for i := range r.subRequests {
		r.engine.budget(r.subRequests[i].service).Sent(1)
		b, ok := r.pick(&r.subRequests[i])
		if !ok {
			r.giveUp(&r.subRequests[i], "no backend server left")
			continue
		}
		picked[i] = b
		r.subRequests[i].distance = r.engine.distance(b)
		r.byDistance[r.subRequests[i].distance].total++
		if r.engine.cfg.Relay != nil && r.job.Route.Scattered() {
			if target := r.engine.cfg.Relay.RelayTarget(b); target != "" {
				groups[target] = append(groups[target], i)
			}
		}
	}
	r.leaveOutQueued(picked)
	for target, members := range groups {
		members = slices.DeleteFunc(members, func(i int) bool { return r.subRequests[i].done })
		if len(members) < minRelayGroup {
			continue
		}
		r.sendViaRelay(target, members, picked)
		for _, i := range members {
			picked[i] = nil
		}
	}
	for i, b := range picked {
		if b != nil && !r.subRequests[i].done {
			r.sendTo(i, b)
		}
	}
}

// leaveOutQueued gives up sub-requests whose backend servers have such long
// queues that the reply is expected after the answer is due: as many as
// Policy.LeaveOut allows, those with the longest expected latency first.
func (r *run) leaveOutQueued(picked []*config.Backend) {
	if r.engine.cfg.Queues == nil || !r.job.Route.Scattered() {
		return
	}
	type late struct {
		index    int
		expected time.Duration
	}
	var queued []late
	due := r.schedule.AnswerBy - time.Since(r.job.Arrived)
	for i, b := range picked {
		if b == nil {
			continue
		}
		if expected, waits := r.engine.cfg.Queues.ExpectedLatency(b.ID); waits && expected > due {
			queued = append(queued, late{i, expected})
		}
	}
	leaveOut := r.engine.cfg.Policy.LeaveOut(len(queued), r.pending-r.requiredReplies(), len(r.subRequests))
	slices.SortFunc(queued, func(a, b late) int { return cmp.Compare(b.expected, a.expected) })
	for _, l := range queued[:leaveOut] {
		r.giveUp(&r.subRequests[l.index], fmt.Sprintf("%s would take %v", picked[l.index].ID, l.expected.Round(time.Millisecond)))
	}
}

// sendViaRelay sends attempts of several sub-requests in one call through a relay
// VM of a target. All their backend servers are at the same distance.
func (r *run) sendViaRelay(target relay.Target, members []int, picked []*config.Backend) {
	overhead := r.engine.cfg.Relay.Overhead(target)
	stats := r.byDistance[r.subRequests[members[0]].distance]
	stats.overhead = max(stats.overhead, overhead)
	flush := r.engine.cfg.Policy.RelayFlush(r.nearHedgeDelay)
	hedge := flush + r.engine.cfg.Policy.RelayWait(overhead)
	g := &relay.Group{Request: r.job.Request, Limit: r.job.Route.Limit, Deadline: r.deadline, FlushAfter: flush}
	for _, i := range members {
		g.Backends = append(g.Backends, picked[i])
		g.Tags = append(g.Tags, r.registerAttempt(i, picked[i], hedge))
	}
	r.answer.Relayed += len(members)
	call := r.engine.cfg.Relay.Send(target, g, r.results)
	for _, tag := range g.Tags {
		r.attempts[tag].call, r.attempts[tag].relayed = call, true
	}
}
