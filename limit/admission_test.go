package limit

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/briarstand/briarstand/config"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// acquireN acquires n slots and returns the function that releases them.
func acquireN(c *qt.C, a *Admission, n int) func() {
	releases := make([]func(), n)
	for i := range releases {
		var err error
		releases[i], err = a.Acquire(context.Background(), config.PriorityNormal)
		c.Assert(err, qt.IsNil)
	}
	return func() {
		for _, release := range releases {
			release()
		}
	}
}

// recordServiceTime runs one request that takes the given time.
func recordServiceTime(c *qt.C, a *Admission, serviceTime time.Duration) {
	release := acquireN(c, a, 1)
	time.Sleep(serviceTime)
	release()
}

// Guards against a queue that ignores priority or lets a request of low priority
// keep the last place in the queue.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := NewAdmission(Limits{MaxConcurrent: 1, MaxQueued: 3})
		release := acquireN(c, a, 1)
		var mu sync.Mutex
		var order []string
		start := func(name string, p config.Priority) {
			go func() {
				done, err := a.Acquire(context.Background(), p)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					order = append(order, name+" refused")
					return
				}
				order = append(order, name)
				done()
			}()
			synctest.Wait()
		}
		start("low 1", config.PriorityLow)
		start("low 2", config.PriorityLow)
		start("normal", config.PriorityNormal)
		start("high", config.PriorityHigh)
		start("low 3", config.PriorityLow)
		release()
		synctest.Wait()
		c.Assert(order, qt.DeepEquals, []string{"low 2 refused", "low 3 refused", "high", "normal", "low 1"})
	})
}

// Guards against requests that wait although they cannot meet their deadline,
// and against refusals after the deadline.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := NewAdmission(Limits{MaxConcurrent: 1, MaxQueued: 10})
		const serviceTime = 20 * time.Millisecond
		recordServiceTime(c, a, serviceTime)
		defer acquireN(c, a, 1)()
		for _, timeout := range []time.Duration{30 * time.Millisecond, 50 * time.Millisecond, time.Hour} {
			start := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			_, err := a.Acquire(ctx, config.PriorityNormal)
			cancel()
			var overload *OverloadError
			c.Assert(errors.As(err, &overload), qt.IsTrue)
			c.Assert(overload.RetryAfter > 0, qt.IsTrue)
			waited := time.Since(start)
			if timeout < 2*serviceTime {
				c.Assert(waited, qt.Equals, time.Duration(0))
			}
			c.Assert(waited <= min(timeout-serviceTime, maxQueueTime), qt.IsTrue, qt.Commentf("%v", waited))
			c.Assert(a.Queued(), qt.Equals, 0)
		}
	})
}

// Guards against a change of limits that loses count of running requests or keeps
// more requests queued than the new limit.
func TestSetLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := NewAdmission(Limits{MaxConcurrent: 4, MaxQueued: 4})
		release := acquireN(c, a, 4)
		refused := make(chan error, 4)
		for range 4 {
			go func() {
				done, err := a.Acquire(context.Background(), config.PriorityNormal)
				if err == nil {
					done()
				}
				refused <- err
			}()
		}
		synctest.Wait()
		a.SetLimits(Limits{MaxConcurrent: 2, MaxQueued: 1})
		synctest.Wait()
		c.Assert(len(refused), qt.Equals, 3)
		c.Assert(a.Running(), qt.Equals, 4)
		a.SetLimits(Limits{MaxConcurrent: 5, MaxQueued: 1})
		synctest.Wait()
		c.Assert(len(refused), qt.Equals, 4)
		release()
		release()
		c.Assert(a.Running(), qt.Equals, 0)
	})
}

// Guards against slots that are lost or granted twice when grants, cancellations,
// deadlines and changes of limits coincide.
func TestRandomLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rng := rand.New(rand.NewPCG(1, 2))
		a := NewAdmission(Limits{MaxConcurrent: 3, MaxQueued: 5})
		var wg sync.WaitGroup
		for range 2000 {
			timeout := time.Duration(rng.IntN(60)) * time.Millisecond
			serviceTime := time.Duration(rng.IntN(20)) * time.Millisecond
			priority := config.Priority(rng.IntN(5))
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				deadline, _ := ctx.Deadline()
				release, err := a.Acquire(ctx, priority)
				if err != nil {
					c.Check(time.Now().After(deadline), qt.IsFalse)
					return
				}
				time.Sleep(serviceTime)
				release()
			})
			if rng.IntN(50) == 0 {
				a.SetLimits(Limits{MaxConcurrent: 1 + rng.IntN(4), MaxQueued: rng.IntN(6)})
			}
			time.Sleep(time.Duration(rng.IntN(8)) * time.Millisecond)
		}
		wg.Wait()
		c.Assert(a.Running(), qt.Equals, 0)
		c.Assert(a.Queued(), qt.Equals, 0)
		defer acquireN(c, a, 1)()
	})
}
