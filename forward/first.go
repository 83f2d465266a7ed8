package forward

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/relay"
)

// leastGroup is the least number of sub-requests to one region that are sent
// through a relay.
const leastGroup = 2

// sendFirst sends the first attempt of every sub-request. Sub-requests to
// backend servers of another region go through a relay VM there, if there are
// at least leastGroup of them.
func (r *run) sendFirst() {
	picked := make([]*config.Backend, len(r.legs))
	groups := map[string][]int{}
	r.siblings = map[distance]*siblings{near: {}, far: {}}
	for i := range r.legs {
		r.engine.budget(r.legs[i].service).Sent(1)
		b, ok := r.pick(&r.legs[i])
		if !ok {
			r.giveUpLeg(&r.legs[i], "no backend server left")
			continue
		}
		picked[i] = b
		r.legs[i].distance = r.engine.distance(b)
		r.siblings[r.legs[i].distance].total++
		if r.engine.cfg.Relay != nil && r.job.Route.Scattered() {
			if region := r.engine.cfg.Relay.Region(b); region != "" {
				groups[region] = append(groups[region], i)
			}
		}
	}
	r.leaveOutQueued(picked)
	for region, legs := range groups {
		legs = slices.DeleteFunc(legs, func(i int) bool { return r.legs[i].done })
		if len(legs) < leastGroup {
			continue
		}
		r.sendGroup(region, legs, picked)
		for _, i := range legs {
			picked[i] = nil
		}
	}
	for i, b := range picked {
		if b != nil && !r.legs[i].done {
			r.sendTo(i, b)
		}
	}
}

// leaveOutQueued gives up sub-requests whose backend servers have such long
// queues that the reply is expected after the answer is due. Those with the
// longest expected reply time go first.
func (r *run) leaveOutQueued(picked []*config.Backend) {
	if r.engine.cfg.Queues == nil || !r.job.Route.Scattered() {
		return
	}
	type late struct {
		leg      int
		expected time.Duration
	}
	var queued []late
	due := r.schedule.AnswerBy - time.Since(r.job.Arrived)
	for i, b := range picked {
		if b == nil {
			continue
		}
		if expected, waits := r.engine.cfg.Queues.Expected(b.ID); waits && expected > due {
			queued = append(queued, late{i, expected})
		}
	}
	leaveOut := r.engine.cfg.Policy.LeaveOut(len(queued), r.open-r.need(), len(r.legs))
	slices.SortFunc(queued, func(a, b late) int { return cmp.Compare(b.expected, a.expected) })
	for _, l := range queued[:leaveOut] {
		r.giveUpLeg(&r.legs[l.leg], fmt.Sprintf("%s would take %v", picked[l.leg].ID, l.expected.Round(time.Millisecond)))
	}
}

// sendGroup sends attempts of several sub-requests in one call through a relay
// VM in a region.
func (r *run) sendGroup(region string, legs []int, picked []*config.Backend) {
	overhead := r.engine.cfg.Relay.Overhead(region)
	r.siblings[far].overhead = max(r.siblings[far].overhead, overhead)
	flush := r.engine.cfg.Policy.RelayFlush(r.hedge)
	hedge := flush + r.engine.cfg.Policy.RelayPatience(overhead)
	g := &relay.Group{Request: r.job.Request, Limit: r.job.Route.Limit, Deadline: r.deadline, Flush: flush}
	for _, i := range legs {
		g.Backends = append(g.Backends, picked[i])
		g.Tags = append(g.Tags, r.note(i, picked[i], hedge))
	}
	r.answer.Relayed += len(legs)
	call := r.engine.cfg.Relay.Send(region, g, r.results)
	for _, tag := range g.Tags {
		r.attempts[tag].call, r.attempts[tag].relayed = call, true
	}
}
