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
// empty except around a version change; checking an empty table costs one atomic
// load.
//
// The probation of a version begins when the version is added or reported missing. It
// ends when a query has used the version and no backend server lacked a shard of it.
// During probation only one query at a time may try the version; the others use
// another version with full coverage. Without probation, whenever the record of a
// missing version expires, every query in flight would send its sub-requests twice:
// for this version, and after a restart for another.
type missingTable struct {
	ttl   time.Duration
	count atomic.Int64 // len(missing) + len(probation)

	mu        sync.RWMutex
	missing   map[string]*missingShards // by version
	probation map[string]*probe         // by version
}

// missingShards holds the shards of one version that backend servers lack. All
// entries expire together. If each expired on its own, the version would seem
// complete, and be tried again, as soon as one replica of each shard had no entry.
type missingShards struct {
	keys      map[missingKey]struct{}
	expiry    time.Time // extended by each report
	maxExpiry time.Time // upper bound of expiry
}

// probe is the state of a version on probation.
type probe struct {
	since    time.Time // start of probation, or the last report that the version is missing
	inFlight bool      // a query uses the version now
}

func newMissingTable(ttl time.Duration) *missingTable {
	return &missingTable{
		ttl:       ttl,
		missing:   make(map[string]*missingShards),
		probation: make(map[string]*probe),
	}
}

// add records that a backend server lacks a shard of a version, and puts the
// version on probation.
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

// updatePlan puts each version that is new in the plan on probation, which limits
// it to one query at a time, and deletes the probation of versions that the plan
// dropped.
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

// has reports whether a backend server is recorded as lacking a shard of a version.
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

// acquireVersion reports in ok whether a query may bind to a version; if not, the
// caller looks for another version first. A version on probation is given to one
// query at a time: probing is then true, and releaseVersion must be called when the
// query ends. A query that cannot restart on another version gets a version on
// probation only if the version was neither added nor reported missing within the
// last TTL.
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

// releaseVersion records the end of a query on a version. probing is the result of
// acquireVersion. clean means that no backend server lacked a shard of the version,
// which ends its probation.
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
