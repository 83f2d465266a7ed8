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
	idle    []*conn // the last one was used most recently
	open    int     // idle, in use or being dialed
	limit   int
	waiting []chan *conn // nil is sent where a slot became free
	retired bool
}

func newPool(b *config.Backend, limit int) *pool { return &pool{backend: b, limit: max(1, limit)} }

// setLimit changes how many connections may be open. Those above a lower limit
// are closed as they become idle.
func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, limit)
}

// get returns an idle connection, or a channel to wait on while the limit is
// reached. With neither, the caller may dial and holds a slot for it.
func (p *pool) get() (*conn, chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open < p.limit {
		p.open++
		return nil, nil
	}
	wait := make(chan *conn, 1)
	p.waiting = append(p.waiting, wait)
	return nil, wait
}

// reserveFirst takes a slot if there is no connection yet.
func (p *pool) reserveFirst() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > 0 || p.retired {
		return false
	}
	p.open++
	return true
}

func (p *pool) free() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 || p.open < p.limit
}

// giveUp withdraws a wait. It returns false if a connection was handed over in
// the same moment.
func (p *pool) giveUp(wait chan *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiting, wait)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// put returns a connection for further use.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	if len(p.waiting) > 0 {
		p.waiting[0] <- c
		p.waiting = p.waiting[1:]
		return
	}
	if p.retired || p.open > p.limit {
		p.open--
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// close closes a connection that cannot be used again.
func (p *pool) close(c *conn) {
	c.Close()
	p.drop()
}

// drop gives a slot back.
func (p *pool) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if len(p.waiting) > 0 {
		p.waiting[0] <- nil
		p.waiting = p.waiting[1:]
	}
}

// retire closes idle connections, and those in use when they are put back.
func (p *pool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for _, c := range p.idle {
		c.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}
