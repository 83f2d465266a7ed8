package query

import (
	"sync"
	"sync/atomic"
	"time"
)

// missingKey names a shard of an index version that a backend server lacks.
type missingKey struct {
	version   string
	shard     int
	backendID string
}

// missingTable remembers for a short time which backend servers said that they
// lack a shard of an index version. It is empty except around a change of
// versions, and then costs one atomic load.
type missingTable struct {
	keep  time.Duration
	count atomic.Int64

	mu        sync.RWMutex
	entries   map[missingKey]time.Time // expiry
	nextPurge time.Time
}

func (t *missingTable) add(k missingKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.entries == nil {
		t.entries = make(map[missingKey]time.Time)
	}
	t.entries[k] = now.Add(t.keep)
	t.purge(now)
}

// empty reports whether nothing is remembered. Expired entries are dropped
// when the next purge is due.
func (t *missingTable) empty() bool {
	if t.count.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.purge(time.Now())
	return len(t.entries) == 0
}

func (t *missingTable) purge(now time.Time) {
	if !now.Before(t.nextPurge) {
		for k, expiry := range t.entries {
			if !now.Before(expiry) {
				delete(t.entries, k)
			}
		}
		t.nextPurge = now.Add(t.keep)
	}
	t.count.Store(int64(len(t.entries)))
}

func (t *missingTable) has(k missingKey) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	expiry, ok := t.entries[k]
	return ok && time.Now().Before(expiry)
}
