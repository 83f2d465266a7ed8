package query

import (
	"sync"
	"sync/atomic"
	"time"
)

// missingKey identifies a shard of an index version that a backend server lacks.
type missingKey struct {
	version   string
	shard     int
	backendID string
}

// missingTable records for a short time which backend servers reported that they
// lack a shard of an index version, and which versions are on probation. It is
// empty except around a version change; while empty it costs one atomic load.
//
// A version is on probation when it is new or was reported missing. Only one query
// at a time may then try it; the others use another version with full coverage.
// Otherwise every query in flight would send its sub-requests twice whenever the
// record of a missing version expires.
type missingTable struct {
	ttl   time.Duration
	count atomic.Int64 // versions with missing shards, and those on probation

	mu        sync.RWMutex
	missing   map[string]*missingShards // by version
	probation map[string]*probe         // by version
}

// missingShards holds the shards of one version that backend servers lack. All
// entries expire together: if each expired on its own, the version would seem to
// have full coverage as soon as the entry of one replica of each shard was gone,
// and be tried more often.
type missingShards struct {
	keys      map[missingKey]struct{}
	expiry    time.Time // extended by each report
	maxExpiry time.Time // upper bound of expiry
}

// probe is the state of a version on probation.
type probe struct {
	since    time.Time // start of probation, or the last report that it is missing
	inFlight bool      // a query uses the version now
}

func newMissingTable(ttl time.Duration) *missingTable {
	return &missingTable{
		ttl:       ttl,
		missing:   make(map[string]*missingShards),
		probation: make(map[string]*probe),
	}
}

// add records a missing shard and puts its version on probation.
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

// updatePlan puts the versions that a new plan adds on probation and removes the
// probation of those that it drops.
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

// empty removes expired entries and reports whether none are left.
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

// acquireVersion decides whether a query may bind to a version with full coverage
// while another version might serve it as well. If probing is true, the query must
// call releaseVersion when it ends. A query that cannot restart on another version
// may use one on probation only when the TTL has passed since the probation began
// and since the last report that the version is missing.
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

// releaseVersion records the end of a query on a version. If clean is true, no
// backend server lacked the version and its probation ends.
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
