package upstream

import (
	"slices"
	"sync"
	"time"

	"github.com/briarstand/briarstand/config"
)

// pool holds the connections to one backend server.
type pool struct {
	backend *config.Backend
	mu      sync.Mutex
	idle    []*conn // ordered by last use, the most recent last
	open    int     // connections that are idle, in use or being dialed; each takes a slot
	limit   int
	waiters []chan grant
	retired bool
}

// grant ends the wait of an attempt: with a connection or, if conn is nil, with a free
// slot. withdrawn is set if the attempt is not to be sent to this server.
type grant struct {
	conn      *conn
	withdrawn bool
}

func newPool(b *config.Backend, limit int) *pool { return &pool{backend: b, limit: max(1, limit)} }

// setLimit changes the maximum number of open connections. If it shrinks,
// surplus connections are closed when they are put back.
func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, limit)
	for free := p.limit - p.open; free > 0 && len(p.waiters) > 0; free-- {
		p.waiters[0] <- grant{}
		p.waiters = p.waiters[1:]
	}
}

// get returns an idle connection or, if the limit is reached or the pool retired, a
// channel to wait on. If both are nil, it has reserved a slot: the caller must dial, and call
// releaseSlot if that fails.
func (p *pool) get() (*conn, chan grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		wait := make(chan grant, 1)
		wait <- grant{withdrawn: true}
		return nil, wait
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open < p.limit {
		p.open++
		return nil, nil
	}
	wait := make(chan grant, 1)
	p.waiters = append(p.waiters, wait)
	return nil, wait
}

// reserveFirst reserves a slot if no connection is open or being dialed. If it
// returns true, the caller must dial, and call releaseSlot if that fails.
func (p *pool) reserveFirst() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > 0 || p.retired {
		return false
	}
	p.open++
	return true
}

// hasCapacity reports whether a connection is idle or another one may be opened.
func (p *pool) hasCapacity() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 || p.open < p.limit
}

// removeWaiter removes a waiter. It returns false if the waiter has already been
// sent a connection or a free slot, which it must then receive.
func (p *pool) removeWaiter(wait chan grant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiters, wait)
	if i < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return true
}

// put hands a reusable connection to the first waiter. Without one, it returns
// the connection to the pool, or closes it if the pool is retired or above its
// limit.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	if len(p.waiters) > 0 {
		p.waiters[0] <- grant{conn: c}
		p.waiters = p.waiters[1:]
		return
	}
	if p.retired || p.open > p.limit {
		p.open--
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// lease is the use of a connection by one attempt. It ends once, by put or close.
type lease struct {
	pool *pool
	conn *conn // nil once the lease has ended
}

// put gives the connection back for reuse.
func (l *lease) put() {
	if l.conn != nil {
		l.pool.put(l.conn)
		l.conn = nil
	}
}

// close closes the connection, unless put has given it back.
func (l *lease) close() {
	if l.conn != nil {
		l.pool.close(l.conn)
		l.conn = nil
	}
}

// close closes a connection that cannot be reused and releases its slot.
func (p *pool) close(c *conn) {
	c.Close()
	p.releaseSlot()
}

// releaseSlot releases a slot and wakes the first waiter.
func (p *pool) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if len(p.waiters) > 0 {
		p.waiters[0] <- grant{}
		p.waiters = p.waiters[1:]
	}
}

func (p *pool) hasWaiters() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters) > 0
}

// withdrawWaiters ends the waits of all attempts.
func (p *pool) withdrawWaiters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, wait := range p.waiters {
		wait <- grant{withdrawn: true}
	}
	p.waiters = nil
}

// retire ends all waits, and closes idle connections now and those in use when they are
// put back.
func (p *pool) retire() {
	p.withdrawWaiters()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for _, c := range p.idle {
		c.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}
