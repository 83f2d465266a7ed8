package query

import (
	"context"
	"sync"
)

// lifecycle tracks the queries in flight and whether the engine is draining.
type lifecycle struct {
	mu       sync.Mutex
	count    int
	draining bool
	idle     chan struct{} // closed when count is 0; nil unless a wait call is blocked
}

// enter registers a query and returns how many are in flight, including it.
func (l *lifecycle) enter() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	return l.count
}

func (l *lifecycle) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count--
	if l.count == 0 && l.idle != nil {
		close(l.idle)
		l.idle = nil
	}
}

func (l *lifecycle) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

func (l *lifecycle) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

func (l *lifecycle) inFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

func (l *lifecycle) wait(ctx context.Context) error {
	l.mu.Lock()
	if l.count == 0 {
		l.mu.Unlock()
		return nil
	}
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	idle := l.idle
	l.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
