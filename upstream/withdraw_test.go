package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/config"
)

// busyServer is a server whose only connection is in use until it is released.
func busyServer(t *testing.T, cfg Config) (c *Client, s *rawServer, b *config.Backend, release func()) {
	held := make(chan struct{})
	s = newRawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		<-held
		return ok(conn)
	})
	b = s.backend()
	cfg.Protocol = statusProtocol{}
	c = NewClient(cfg)
	c.Update(map[*config.Backend]int{b: 1})
	first := make(chan Result, 1)
	c.Send(b, newRequest(""), time.Now().Add(10*time.Second), 0, first)
	for n := 0; n == 0; n, _ = s.count() {
		time.Sleep(time.Millisecond)
	}
	var released atomic.Bool
	release = func() {
		if released.CompareAndSwap(false, true) {
			close(held)
			qt.Check(t, (<-first).Err, qt.IsNil)
		}
	}
	t.Cleanup(func() { release(); c.Update(nil) })
	return c, s, b, release
}

func waiting(c *Client, b *config.Backend, n int) chan Result {
	results := make(chan Result, n)
	before := c.Stats().Waited.Load()
	for i := range n {
		c.Send(b, newRequest(""), time.Now().Add(10*time.Second), i, results)
	}
	for c.Stats().Waited.Load() < before+uint64(n) {
		time.Sleep(time.Millisecond)
	}
	return results
}

// Guards against requests that stay with a server which their service no longer uses,
// or which says that it leaves or pauses, because they wait for a connection to it.
func TestWaitingAttemptsAreWithdrawn(t *testing.T) {
	for name, end := range map[string]func(c *Client, b *config.Backend){
		"replaced": func(c *Client, _ *config.Backend) {
			c.WithdrawWaiting(func(*config.Backend) bool { return false })
		},
		"retired": func(c *Client, _ *config.Backend) { c.Update(nil) },
		"leaves":  func(c *Client, b *config.Backend) { c.Observe(b, "1", Notice{Leaving: true}) },
		"pauses":  func(c *Client, b *config.Backend) { c.Observe(b, "1", Notice{Pause: time.Minute}) },
	} {
		t.Run(name, func(t *testing.T) {
			c, s, b, _ := busyServer(t, Config{LeavingPeriod: time.Minute})
			results := waiting(c, b, 3)
			end(c, b)
			for range 3 {
				r := <-results
				qt.Check(t, NotSent(r.Err), qt.IsTrue, qt.Commentf("%v", r.Err))
				var withheld *WithheldError
				qt.Check(t, errors.Is(r.Err, ErrWithdrawn) || errors.As(r.Err, &withheld), qt.IsTrue, qt.Commentf("%v", r.Err))
			}
			n, _ := s.count()
			qt.Check(t, n, qt.Equals, 1)
		})
	}
}

// Guards against waits and dials that outlast the time for which a leaving server may
// get requests.
func TestWaitEndsWithUse(t *testing.T) {
	const use = 150 * time.Millisecond
	var end atomic.Pointer[time.Time]
	setEnd := func(after time.Duration) {
		at := time.Now().Add(after)
		end.Store(&at)
	}
	setEnd(time.Hour)
	limit := func(*config.Backend) (time.Time, bool) { return *end.Load(), true }
	c, s, b, release := busyServer(t, Config{UsableUntil: limit})
	setEnd(use)
	results := waiting(c, b, 1)
	r := <-results
	qt.Check(t, errors.Is(r.Err, ErrWithdrawn), qt.IsTrue, qt.Commentf("%v", r.Err))
	release()
	qt.Check(t, errors.Is(do(c, b, newRequest(""), time.Second).Err, ErrWithdrawn), qt.IsTrue)
	n, _ := s.count()
	qt.Check(t, n, qt.Equals, 1)

	dial := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c = NewClient(Config{Protocol: statusProtocol{}, UsableUntil: limit, Dial: dial, DialTimeout: 5 * time.Second})
	setEnd(use)
	start := time.Now()
	qt.Check(t, errors.Is(do(c, b, newRequest(""), 4*time.Second).Err, ErrWithdrawn), qt.IsTrue)
	qt.Check(t, time.Since(start) < 2*time.Second, qt.IsTrue)
}

// Guards against requests to a server that left while its connection was opened.
func TestServerLeavesDuringDial(t *testing.T) {
	s := newRawServer(t, func(_ int, c net.Conn, _ *http.Request) bool { return ok(c) })
	b := s.backend()
	var gone atomic.Bool
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		gone.Store(true)
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	c := NewClient(Config{Protocol: statusProtocol{}, Dial: dial, UsableUntil: func(*config.Backend) (time.Time, bool) { return time.Time{}, !gone.Load() }})
	t.Cleanup(func() { c.Update(nil) })
	qt.Check(t, errors.Is(do(c, b, newRequest(""), time.Second).Err, ErrWithdrawn), qt.IsTrue)
	n, _ := s.count()
	qt.Check(t, n, qt.Equals, 0)
}

// Guards against requests that wait although more connections have been allowed since.
func TestHigherLimitEndsWaits(t *testing.T) {
	c, s, b, release := busyServer(t, Config{})
	results := waiting(c, b, 2)
	c.Update(map[*config.Backend]int{b: 3})
	for n := 0; n < 3; n, _ = s.count() {
		time.Sleep(time.Millisecond)
	}
	release()
	for range 2 {
		qt.Check(t, (<-results).Err, qt.IsNil)
	}
}
