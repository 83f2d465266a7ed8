package rollout

import (
	"context"
	"sync"
	"time"
)

const (
	// childBudgetTenths is the fraction of the time budget of a push, in tenths,
	// that the children get; the rest is for direct pushes to a failed child's
	// slice.
	childBudgetTenths = 7
	// maxDirectCalls is the maximum number of concurrent direct pushes or pulls
	// of one operation.
	maxDirectCalls = 16
	// minBudget is the minimum timeout of a push.
	minBudget = 200 * time.Millisecond
)

// pushDown pushes to targets through the tree. It splits them into at most Fanout
// parts and pushes to the first target of each part, the child, which forwards to
// the rest of its part. If the push to a child fails, pushDown pushes to the rest of
// that part directly.
func (c *Controller) pushDown(ctx context.Context, req *PushRequest, slice []Target, budget time.Duration, col *collector) {
	var wg sync.WaitGroup
	childBudget := budget * childBudgetTenths / 10
	for _, part := range split(slice, c.cfg.Fanout) {
		wg.Go(func() {
			if err := c.pushOne(ctx, req, part[0], part[1:], childBudget, col); err == nil {
				return
			}
			c.pushDirect(ctx, req, part[1:], budget-childBudget, col)
		})
	}
	wg.Wait()
}

// pushDirect pushes to each target directly, without a tree.
func (c *Controller) pushDirect(ctx context.Context, req *PushRequest, targets []Target, budget time.Duration, col *collector) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxDirectCalls)
	for _, t := range targets {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			_ = c.pushOne(ctx, req, t, nil, budget, col) // the next round tries again
		})
	}
	wg.Wait()
}

// pushOne sends a push to one VM and collects its reply.
func (c *Controller) pushOne(ctx context.Context, req *PushRequest, to Target, slice []Target, budget time.Duration, col *collector) error {
	budget = max(budget, minBudget)
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	next := *req
	next.From, next.Slice, next.BudgetMS = c.self, slice, budget.Milliseconds()
	reply, err := c.cfg.Transport.Push(ctx, to.Address, &next)
	if err != nil {
		c.cfg.Logger.Debug("push failed", "vm", to.ID, "address", to.Address, "service", req.Service, "error", err)
		return err
	}
	if len(reply.Confirmed) > maxTargets || len(reply.Known) > maxTargets {
		return &MessageError{"confirmations", "too many"}
	}
	col.add(reply)
	return nil
}
