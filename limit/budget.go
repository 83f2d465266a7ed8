package limit

import (
	"sync"
	"time"
)

const (
	// minBurst is the burst of a service with low load, in tokens.
	minBurst = 10
	// burstPermille bounds the burst of a service with high load, in parts per
	// thousand of the sub-requests of the last second.
	burstPermille = 100
	// tokenUnit is one token in thousandths, the unit of Budget.level. The unit lets
	// a sub-request add its permille without rounding.
	tokenUnit  = 1000
	rateWindow = time.Second
)

// Budget is the token bucket of one service for hedges and retries. Each
// other sub-request adds a fraction of a token. A budget with a BudgetShare also
// gains tokens over time.
type Budget struct {
	mu          sync.Mutex
	permille    int64
	level       int64 // thousandths of a token
	share       BudgetShare
	refilledAt  time.Time // time up to which level includes the tokens of BudgetShare.PerSecond
	windowStart time.Time
	current     int64 // sub-requests since windowStart
	previous    int64 // sub-requests in the window before windowStart
}

// BudgetShare is one VM's share of a budget that all VMs share.
type BudgetShare struct {
	// Burst is the capacity of the bucket, in tokens.
	Burst float64
	// PerSecond is the refill rate in addition to the tokens that sub-requests
	// add, in tokens per second.
	PerSecond float64
}

// NewSharedBudget returns a bucket like NewBudget whose burst is given by the
// share instead of the load. It starts half full: when many VMs start at the same
// time, the VMs that they replace may just have spent their buckets.
func NewSharedBudget(permille int, share BudgetShare) *Budget {
	now := time.Now()
	b := &Budget{windowStart: now, refilledAt: now}
	b.SetRate(permille)
	b.share = share
	b.level = b.burst(now) / 2
	return b
}

// SetShare changes the share after VMs joined or left.
func (b *Budget) SetShare(share BudgetShare) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.advance(now)
	b.share = share
	b.level = min(b.level, b.burst(now))
}

// NewBudget returns a full bucket that gains permille thousandths of a token
// for each sub-request. With permille 0 it never yields a token.
func NewBudget(permille int) *Budget {
	b := &Budget{windowStart: time.Now()}
	b.SetRate(permille)
	if permille > 0 {
		b.level = minBurst * tokenUnit
	}
	return b
}

// SetRate changes the rate and keeps the level. A rate of 0 empties the bucket.
func (b *Budget) SetRate(permille int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.permille = int64(max(permille, 0))
	if b.permille == 0 {
		b.level = 0
	}
}

// Sent records n sub-requests that are neither hedges nor retries.
func (b *Budget) Sent(n int) {
	if n <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.advance(now)
	b.current += int64(n)
	b.level = min(b.level+int64(n)*b.permille, b.burst(now))
}

// Take removes one token and reports whether there was one.
func (b *Budget) Take() bool { return b.take(1) }

// TakeIfHalfFull is like Take but removes a token only if the bucket stays at least
// half full. It is used for hedges: a hedge only saves time, while a retry without a
// token loses a shard.
func (b *Budget) TakeIfHalfFull() bool { return b.take(2) }

// TakeIfThreeQuartersFull is like Take but removes a token only if the bucket stays at
// least three quarters full. It is used for hedges of sub-requests that are only
// slightly late.
func (b *Budget) TakeIfThreeQuartersFull() bool { return b.take(4) }

// Level returns the number of tokens in the bucket.
func (b *Budget) Level() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := b.refill()
	return float64(min(b.level, burst)) / tokenUnit
}

// TakeReserving is like Take but removes a token only if at least reserve tokens
// remain. It is used for hedges with a shared budget, whose burst is only a few
// tokens.
func (b *Budget) TakeReserving(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.takeReserving(b.refill(), int64(reserve*tokenUnit))
}

// take removes a token if at least (divisor-1)/divisor of the burst remains after
// it.
func (b *Budget) take(divisor int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := b.refill()
	return b.takeReserving(burst, burst*(divisor-1)/divisor)
}

// refill brings the level up to date and returns the burst.
func (b *Budget) refill() (burst int64) {
	now := time.Now()
	b.advance(now)
	return b.burst(now)
}

// takeReserving removes a token if at least reserve thousandths of a token remain
// after it.
func (b *Budget) takeReserving(burst, reserve int64) bool {
	// A level gained under high load must not outlast that load.
	b.level = min(b.level, burst)
	if b.level < tokenUnit+reserve {
		return false
	}
	b.level -= tokenUnit
	return true
}

// advance adds the tokens gained over time and moves the rate window forward.
func (b *Budget) advance(now time.Time) {
	if b.share.PerSecond > 0 {
		gain := b.share.PerSecond * tokenUnit * now.Sub(b.refilledAt).Seconds()
		b.level = min(b.level+int64(gain), b.burst(now))
		b.refilledAt = now
	}
	elapsed := now.Sub(b.windowStart)
	switch {
	case elapsed < rateWindow:
		return
	case elapsed < 2*rateWindow:
		b.previous = b.current
		b.windowStart = b.windowStart.Add(rateWindow)
	default:
		b.previous = 0
		b.windowStart = now
	}
	b.current = 0
}

// burst returns the capacity of the bucket, in thousandths of a token.
func (b *Budget) burst(now time.Time) int64 {
	if b.share.Burst > 0 {
		return int64(b.share.Burst * tokenUnit)
	}
	remaining := rateWindow - now.Sub(b.windowStart)
	lastSecond := b.current + b.previous*int64(remaining)/int64(rateWindow)
	return max(minBurst*tokenUnit, lastSecond*burstPermille)
}
