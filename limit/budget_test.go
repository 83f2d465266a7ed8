package limit

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func takeAll(b *Budget) int {
	n := 0
	for b.Take() {
		n++
	}
	return n
}

// Guards against extra load above the policy's rate in steady state.
func TestBudgetSteadyRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := NewBudget(50)
		taken := 0
		for range 1000 {
			b.Sent(40)
			taken += takeAll(b)
			time.Sleep(5 * time.Millisecond)
		}
		// The bucket starts full, so the tokens of the first Sent are discarded.
		c.Assert(taken, qt.Equals, minBurst+999*40*50/1000)
	})
}

// Guards against a burst above the larger of 10 tokens and a tenth of the
// sub-requests of the last second, and against tokens that were gained under high
// load and stay after that load has ended.
func TestBudgetBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for _, tt := range []struct{ idle, tokens int }{{0, 1000}, {5, minBurst}} {
			b := NewBudget(50)
			for range 40 {
				b.Sent(1000)
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(time.Duration(tt.idle) * time.Second)
			got := takeAll(b)
			c.Assert(got <= tt.tokens && got >= tt.tokens*8/10, qt.IsTrue, qt.Commentf("idle %d s: %d", tt.idle, got))
		}
	})
}

// Guards against hedges that leave no token for retries.
func TestBudgetReserve(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(50)
	for range minBurst / 2 {
		c.Assert(b.TakeIfHalfFull(), qt.IsTrue)
	}
	c.Assert(b.TakeIfHalfFull(), qt.IsFalse)
	c.Assert(takeAll(b), qt.Equals, minBurst/2)
}

// Guards against hedges where the policy allows no extra load.
func TestBudgetOff(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(50)
	b.SetRate(0)
	b.Sent(1_000_000)
	c.Assert(b.Take(), qt.IsFalse)
	c.Assert(NewBudget(0).Take(), qt.IsFalse)
}
