package query

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// missingCause is the reason why a shard did not answer.
type missingCause uint8

const (
	causeDeadline missingCause = iota // no reply in time; also the zero value
	causeNoReplica
	causeVersionMissing
	causeRefused
	causeFailed
	causeBudget
	causeMayHaveRun
	causeCount
)

var causeNames = [causeCount]string{
	causeDeadline:       "no reply in time",
	causeNoReplica:      "no usable replica",
	causeVersionMissing: "no replica has the index version",
	causeRefused:        "refused by all replicas",
	causeFailed:         "failed",
	causeBudget:         "the budget for retries is spent",
	causeMayHaveRun:     "failed and must not run twice",
}

// unavailableRetryAfter is the retry delay suggested to callers when all replicas
// refused or the VM cannot take the query at the moment.
const unavailableRetryAfter = 50 * time.Millisecond

// outcomeName returns the name of an outcome as used in metrics.
func outcomeName(o briarstandv1.Outcome) string {
	return strings.ToLower(strings.TrimPrefix(o.String(), "OUTCOME_"))
}

// observe counts an answer and logs it unless it is complete. The level is
// debug, because an outage makes every answer incomplete.
func (e *Engine) observe(svc *service, resp *briarstandv1.QueryResponse, start time.Time) {
	svc.metrics.outcomes[resp.GetOutcome()].Inc()
	svc.metrics.duration.UpdateDuration(start)
	if resp.GetOutcome() == briarstandv1.Outcome_OUTCOME_COMPLETE || e.cfg.Logger.GetLevel() > log.DebugLevel {
		return
	}
	e.cfg.Logger.Debug("query is not complete", "service", svc.name, "request_id", resp.GetRequestId(),
		"outcome", outcomeName(resp.GetOutcome()), "reason", resp.GetReason(),
		"answered", resp.GetCoverage().GetShardsAnswered(), "total", resp.GetCoverage().GetShardsTotal(),
		"index_version", resp.GetIndexVersion(), "duration", time.Since(start))
}

// notRun returns the answer to a query for which nothing left the VM.
func (e *Engine) notRun(id, reason string, retryAfter time.Duration) *briarstandv1.QueryResponse {
	return &briarstandv1.QueryResponse{
		RequestId:    id,
		Outcome:      briarstandv1.Outcome_OUTCOME_NOT_RUN,
		Coverage:     &briarstandv1.Coverage{},
		Reason:       reason,
		VmId:         e.cfg.VMID,
		RetryAfterMs: retryAfter.Milliseconds(),
	}
}

// unknown returns the answer to a query that may or may not have run.
func (e *Engine) unknown(id, reason string) *briarstandv1.QueryResponse {
	return &briarstandv1.QueryResponse{
		RequestId: id,
		Outcome:   briarstandv1.Outcome_OUTCOME_UNKNOWN,
		Coverage:  &briarstandv1.Coverage{},
		Reason:    reason,
		VmId:      e.cfg.VMID,
	}
}

// response builds the answer from the states of the query's shards.
func (r *run) response() *briarstandv1.QueryResponse {
	resp := &briarstandv1.QueryResponse{
		RequestId:    r.id,
		Coverage:     r.coverage(),
		IndexVersion: r.binding.version.name,
		Revision:     r.plan.service.Revision,
		VmId:         r.engine.cfg.VMID,
	}
	resp.Outcome = r.outcome(int(resp.Coverage.ShardsAnswered))
	if resp.Outcome != briarstandv1.Outcome_OUTCOME_COMPLETE {
		resp.Reason = r.reason(len(resp.Coverage.MissingShards))
	}
	switch resp.Outcome {
	case briarstandv1.Outcome_OUTCOME_COMPLETE:
		resp.Hits = r.merge()
	case briarstandv1.Outcome_OUTCOME_PARTIAL:
		r.addPartialHits(resp)
	case briarstandv1.Outcome_OUTCOME_NOT_RUN:
		resp.RetryAfterMs = unavailableRetryAfter.Milliseconds()
	}
	return resp
}

// addPartialHits adds the hits unless the coverage is below the service's
// minimum.
func (r *run) addPartialHits(resp *briarstandv1.QueryResponse) {
	minimum := int64(r.plan.service.Policy.MinCoveragePermille)
	c := resp.Coverage
	if int64(c.ShardsAnswered)*1000 < minimum*int64(c.ShardsTotal) {
		resp.Reason += fmt.Sprintf("; below the minimum coverage of %d permille", minimum)
		return
	}
	resp.Hits = r.merge()
}

func (r *run) coverage() *briarstandv1.Coverage {
	c := &briarstandv1.Coverage{ShardsTotal: int32(len(r.shards))}
	for i := range r.shards {
		if r.shards[i].state == shardAnswered {
			c.ShardsAnswered++
		} else {
			c.MissingShards = append(c.MissingShards, r.shards[i].shard)
		}
	}
	slices.Sort(c.MissingShards)
	return c
}

func (r *run) outcome(answered int) briarstandv1.Outcome {
	if answered == len(r.shards) {
		return briarstandv1.Outcome_OUTCOME_COMPLETE
	}
	ran, lost := r.mayHaveRun, false
	for i := range r.shards {
		s := &r.shards[i]
		ran = ran || s.mayHaveRun
		lost = lost || s.mayHaveRun && s.state != shardAnswered
	}
	switch {
	case !ran:
		return briarstandv1.Outcome_OUTCOME_NOT_RUN
	case lost && r.req.GetNonIdempotent():
		return briarstandv1.Outcome_OUTCOME_UNKNOWN
	case answered > 0:
		return briarstandv1.Outcome_OUTCOME_PARTIAL
	case r.timedOut:
		return briarstandv1.Outcome_OUTCOME_DEADLINE_EXCEEDED
	}
	return briarstandv1.Outcome_OUTCOME_UNKNOWN
}

// reason returns a text that counts the missing shards by cause.
func (r *run) reason(missing int) string {
	var counts [causeCount]int
	for i := range r.shards {
		if r.shards[i].state != shardAnswered {
			counts[r.shards[i].cause]++
		}
	}
	var parts []string
	for cause, n := range counts {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, causeNames[cause]))
		}
	}
	if r.callerLeft {
		parts = append(parts, "the caller stopped waiting")
	}
	return fmt.Sprintf("%d of %d shards missing: %s", missing, len(r.shards), strings.Join(parts, ", "))
}
