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
// lack a shard of an index version, and which versions are on probation. It is
// empty except around a change of versions, and then costs one atomic load.
//
// A version is on probation when it is new or was found missing somewhere. One
// query at a time may then try it; the others use another version with full
// coverage. Without this rule every query in flight would send its
// sub-requests twice whenever the memory of a missing version fades.
type missingTable struct {
	ttl   time.Duration
	count atomic.Int64 // versions with missing shards, and those on probation

	mu        sync.RWMutex
	missing   map[string]*missingShards // by version
	probation map[string]*probe         // by version
}

// missingShards is what is missing of one version. All of it fades at once:
// if each report faded alone, the version would seem to have full coverage as
// soon as one replica of each shard was forgotten, and be tried more often.
type missingShards struct {
	keys      map[missingKey]struct{}
	expiry    time.Time // extended by each report
	maxExpiry time.Time // latest expiry
}

// probe is the state of a version on probation.
type probe struct {
	since    time.Time // start of probation, or the last report that it is missing
	inFlight bool      // a query tries it now
}

func newMissingTable(ttl time.Duration) *missingTable {
	return &missingTable{
		ttl:       ttl,
		missing:   make(map[string]*missingShards),
		probation: make(map[string]*probe),
	}
}

// add remembers a missing shard and puts its version on probation.
func (t *missingTable) add(k missingKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.removeExpired(now)
	m, ok := t.missing[k.version]
	if !ok {
		m = &missingShards{keys: make(map[missingKey]struct{}), maxExpiry: now.Add(2 * t.ttl)}
		t.missing[k.version] = m
	}
	m.keys[k] = struct{}{}
	m.expiry = now.Add(t.ttl)
	if m.maxExpiry.Before(m.expiry) {
		m.expiry = m.maxExpiry
	}
	t.startProbation(k.version, now)
	t.updateCount()
}

// updatePlan puts the versions that a new plan adds on probation and forgets
// those that it drops.
func (t *missingTable) updatePlan(old, next *plan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, v := range next.versions {
		if !old.has(v.name) {
			t.startProbation(v.name, now)
		}
	}
	for name := range t.probation {
		if !next.has(name) {
			delete(t.probation, name)
		}
	}
	t.updateCount()
}

func (t *missingTable) startProbation(version string, now time.Time) {
	p, ok := t.probation[version]
	if !ok {
		p = &probe{}
		t.probation[version] = p
	}
	p.since = now
}

// empty reports whether nothing is remembered.
func (t *missingTable) empty() bool {
	if t.count.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(time.Now())
	return t.count.Load() == 0
}

func (t *missingTable) removeExpired(now time.Time) {
	for version, m := range t.missing {
		if !now.Before(m.expiry) {
			delete(t.missing, version)
		}
	}
	t.updateCount()
}

func (t *missingTable) updateCount() { t.count.Store(int64(len(t.missing) + len(t.probation))) }

// has reports whether a shard is known to be missing.
func (t *missingTable) has(k missingKey) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m, ok := t.missing[k.version]
	if !ok || !time.Now().Before(m.expiry) {
		return false
	}
	_, ok = m.keys[k]
	return ok
}

// acquireVersion decides whether a query may bind to a version with full coverage while
// another version might serve it as well. With probing true the query must
// call releaseVersion when it ends. A query that cannot restart on another version
// tries one on probation only if no other did for a while.
func (t *missingTable) acquireVersion(version string, restartable bool) (ok, probing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, onProbation := t.probation[version]
	if !onProbation {
		return true, false
	}
	if p.inFlight || !restartable && time.Since(p.since) < t.ttl {
		return false, false
	}
	p.inFlight = true
	return true, true
}

// releaseVersion ends a query on a version. If no backend server lacked it, the
// version's probation ends.
func (t *missingTable) releaseVersion(version string, probing, clean bool) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.probation[version]
	if !ok {
		return
	}
	if probing {
		p.inFlight = false
	}
	if clean {
		delete(t.probation, version)
		t.updateCount()
	}
}
