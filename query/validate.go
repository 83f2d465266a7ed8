package query

import (
	"context"
	"fmt"
	"time"

	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

const (
	// MaxLimit is the maximum number of hits that a query may request.
	MaxLimit = 10_000
	// MaxRequestIDBytes is the maximum length of a request id, in bytes.
	MaxRequestIDBytes = 256
	// defaultLimit applies when neither the request nor the policy has one.
	defaultLimit = 10
)

// validate makes the checks that do not depend on the configuration.
func validate(req *briarstandv1.QueryRequest) error {
	switch {
	case req.GetService() == "":
		return invalid("service", "must not be empty")
	case len(req.GetRequestId()) > MaxRequestIDBytes:
		return invalid("request_id", fmt.Sprintf("longer than %d bytes", MaxRequestIDBytes))
	case req.GetLimit() < 0 || req.GetLimit() > MaxLimit:
		return invalid("limit", fmt.Sprintf("%d is outside 0 to %d", req.GetLimit(), MaxLimit))
	case req.GetTimeoutMs() < 0:
		return invalid("timeout_ms", fmt.Sprintf("%d is negative", req.GetTimeoutMs()))
	case req.GetPriority() < 0 || req.GetPriority() > briarstandv1.Priority_PRIORITY_HIGH:
		return invalid("priority", fmt.Sprintf("%d is not known", req.GetPriority()))
	case req.GetNonIdempotent() && req.GetTicket() == "":
		return invalid("ticket", "a non-idempotent request needs a ticket from BeginRequest")
	case !req.GetNonIdempotent() && req.GetTicket() != "":
		return invalid("ticket", "only a non-idempotent request has a ticket")
	}
	return validateShards(req.GetShards())
}

func validateShards(shards []int32) error {
	if len(shards) == 0 {
		return nil
	}
	seen := make(map[int32]struct{}, len(shards))
	for _, shard := range shards {
		if shard < 0 {
			return invalid("shards", fmt.Sprintf("shard %d is negative", shard))
		}
		if _, ok := seen[shard]; ok {
			return invalid("shards", fmt.Sprintf("shard %d is named twice", shard))
		}
		seen[shard] = struct{}{}
	}
	return nil
}

func invalid(field, reason string) error {
	return &InvalidRequestError{Field: field, Reason: reason}
}

// checkShards fails when no index version contains all shards of the subset. It
// accepts every query for a service without versions, which is refused later, when
// the query is bound.
func (p *plan) checkShards(subset []int32) error {
	if len(subset) == 0 || len(p.versions) == 0 {
		return nil
	}
	for _, v := range p.versions {
		if v.hasShards(subset) {
			return nil
		}
	}
	return invalid("shards", "no index version has all of these shards")
}

// answerBy returns the time by which the query must answer: shortly before the
// earliest of the caller's timeout, the deadline of ctx and the policy's deadline.
func (e *Engine) answerBy(ctx context.Context, req *briarstandv1.QueryRequest, policy config.Policy, now time.Time) (time.Time, error) {
	if err := ctx.Err(); err != nil {
		return time.Time{}, &DeadlinePassedError{Err: err}
	}
	timeout := policy.Deadline()
	if ms := req.GetTimeoutMs(); ms > 0 && ms < policy.DeadlineMS {
		timeout = time.Duration(ms) * time.Millisecond
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, deadline.Sub(now))
	}
	if timeout <= 0 {
		return time.Time{}, &DeadlinePassedError{Err: context.DeadlineExceeded}
	}
	return now.Add(timeout - min(e.cfg.AnswerMargin, timeout/answerMarginDivisor)), nil
}

// deadlineContext is a context that reports an earlier deadline but does not end at
// it. Code that sets its own timer needs no second one from context.WithDeadline.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

// Deadline returns the earlier deadline.
func (c deadlineContext) Deadline() (time.Time, bool) { return c.deadline, true }

func policyWithDeadline(d time.Duration) config.Policy {
	return config.Policy{DeadlineMS: d.Milliseconds()}
}
