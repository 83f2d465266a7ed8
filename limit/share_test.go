package limit

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// In any window, VMs that send as many hedges and retries as they can must stay below
// the budget that they share, also when all VMs are replaced at the same time.
func TestSharedBudgetStaysInAllowance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const (
			vms      = 18
			slack    = 126.0
			permille = 160
			window   = 10 * time.Second
			step     = 100 * time.Millisecond
			perStep  = 1 // requests to the service per VM and step
		)
		share := BudgetShare{Burst: slack / vms * 0.8 * 0.6, PerSecond: slack / vms * 0.8 * 0.4 / window.Seconds()}
		budgets := make([]*Budget, vms)
		for i := range budgets {
			budgets[i] = NewSharedBudget(permille, share)
		}
		var extras, requests []int
		for n := range 600 {
			if n == 300 { // all VMs are replaced at the same time
				for i := range budgets {
					budgets[i] = NewSharedBudget(permille, share)
				}
			}
			taken := 0
			for _, b := range budgets {
				b.Sent(perStep)
				taken += takeAll(b)
			}
			extras, requests = append(extras, taken), append(requests, vms*perStep)
			time.Sleep(step)
		}
		size := int(window / step)
		for from := 0; from+size <= len(extras); from++ {
			sumExtras, sumRequests := 0, 0
			for i := from; i < from+size; i++ {
				sumExtras += extras[i]
				sumRequests += requests[i]
			}
			c.Assert(float64(sumExtras) <= 0.2*float64(sumRequests)+slack, qt.IsTrue, qt.Commentf("%d extra for %d from %d", sumExtras, sumRequests, from))
		}
	})
}

// Guards against hedges that leave no token for a retry.
func TestTakeReserving(t *testing.T) {
	c := qt.New(t)
	b := NewSharedBudget(0, BudgetShare{Burst: 4})
	c.Assert(b.TakeReserving(1), qt.IsTrue)
	c.Assert(b.TakeReserving(1), qt.IsFalse)
	c.Assert(b.Take(), qt.IsTrue)
	c.Assert(b.Take(), qt.IsFalse)
}

// Guards against a level above the smaller share of a VM after others joined.
func TestSetShare(t *testing.T) {
	c := qt.New(t)
	b := NewSharedBudget(0, BudgetShare{Burst: 10})
	b.SetShare(BudgetShare{Burst: 2})
	c.Assert(takeAll(b), qt.Equals, 2)
}
