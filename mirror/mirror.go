// Package mirror keeps a VM's copy of the records that all VMs share in the
// platform's store: the configuration, the backend servers and the VMs.
//
// A Follower keeps the copy up to date. In each availability zone one VM, the
// source, calls the store, and the other VMs of the zone follow the source,
// because calls to the store are billed. A VM whose source fails calls the
// store itself, and one that cannot reach the store either reads the records of
// any other VM. For SettleTime after an outage of the store records may be
// missing, because leases expired during the outage.
package mirror

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Record is the latest version of a key in the store.
type Record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

// hash returns a hash of the key and the revision.
func (r *Record) hash() uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, r.Key) // cannot fail
	var revision [8]byte
	binary.LittleEndian.PutUint64(revision[:], uint64(r.Revision))
	_, _ = h.Write(revision[:])
	return h.Sum64()
}

// Change is a write or a deletion of one key.
type Change struct {
	Record
	Deleted bool
}

// Listing holds all records at a revision of the store. Single records may be
// newer than the revision, since the store is read in pages.
type Listing struct {
	Records  []Record `json:"records"`
	Revision int64    `json:"revision"`
	// Era is the store's era; 0 if it has none.
	Era int64 `json:"era,omitempty"`
	// CurrentAt is a moment at which the store held these records, the zero time if
	// unknown.
	CurrentAt time.Time `json:"-"`
}

// Position returns the position of the listing.
func (l *Listing) Position() Position { return Position{Era: l.Era, Revision: l.Revision} }

// Changes holds the changes up to a revision.
type Changes struct {
	Changes  []Change
	Revision int64
	// Era is the store's era; 0 if it has none.
	Era int64 `json:",omitempty"`
	// CurrentAt is a moment at which the store held the records that result from the
	// changes, the zero time if unknown.
	CurrentAt time.Time `json:"-"`
}

// ErrCompacted reports that the store no longer has the changes after the
// requested revision, so that all records have to be listed again.
var ErrCompacted = errors.New("store history is compacted")

// StaleListingError reports a listing or changes that are older than the mirror.
type StaleListingError struct{ Listed, Held Position }

func (e *StaleListingError) Error() string {
	return fmt.Sprintf("records at era and revision %v are older than the mirror at %v", e.Listed, e.Held)
}

// EraError reports changes of a newer era than the mirror's. They do not follow on the
// mirror's records, so that all records have to be listed again.
type EraError struct{ Store, Held int64 }

func (e *EraError) Error() string {
	return fmt.Sprintf("the store is in era %d, the mirror in era %d", e.Store, e.Held)
}

// Mirror is a copy of the store's records. Its position only grows. Methods are
// safe for concurrent use.
type Mirror struct {
	mu       sync.Mutex
	records  map[string]Record
	era      int64
	revision int64
	// sum is the sum of the hashes of all records. newest is the highest revision of a
	// record so far, which may be above revision after a listing.
	sum    uint64
	newest int64
	// tombstones holds the latest deletions in the order in which they arrived. All
	// deletions after the revision compactRevision are among them.
	tombstones      []Record
	compactRevision int64
	// currentAt is the last moment at which the store is known to have held the records.
	currentAt time.Time
	changed   chan struct{} // closed and replaced when the revision grows
}

// maxTombstones is how many deletions a mirror keeps for other VMs, which lag by
// seconds at most.
const maxTombstones = 1000

// New returns an empty mirror at revision 0.
func New() *Mirror { return &Mirror{records: map[string]Record{}, changed: make(chan struct{})} }

// Revision returns the store revision that the mirror has reached, 0 before
// the first listing.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Position returns the position in the store's history that the mirror has reached.
func (m *Mirror) Position() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position()
}

// position is Position with mu held.
func (m *Mirror) position() Position { return Position{Era: m.era, Revision: m.revision} }

// CurrentAt returns the last moment at which the store is known to have held the mirror's
// records; the store made all changes that the mirror lacks after it. It returns the zero
// time if there is none.
func (m *Mirror) CurrentAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentAt
}

// confirm records that the store held the mirror's records at a moment. mu must be held.
func (m *Mirror) confirm(at time.Time) {
	if at.After(m.currentAt) {
		m.currentAt = at
	}
}

// Replace replaces the records with those of a listing and reports whether that
// changed any. It keeps single records that are newer than the listing's. A listing of a
// newer era replaces all. A listing older than the mirror fails with a
// *StaleListingError, since it would undo later changes.
func (m *Mirror) Replace(l Listing) (changed bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.Position().Before(m.position()) {
		// The mirror is newer than the listing, and so than the moment of the listing.
		m.confirm(l.CurrentAt)
		return false, &StaleListingError{Listed: l.Position(), Held: m.position()}
	}
	if l.Era > m.era {
		return m.replaceEra(l), nil
	}
	next := make(map[string]Record, len(l.Records))
	for _, r := range l.Records {
		if held, ok := m.records[r.Key]; ok && held.Revision > r.Revision {
			r = held
		}
		next[r.Key] = r
	}
	changed = !maps.EqualFunc(m.records, next, func(a, b Record) bool { return a.Revision == b.Revision })
	if m.revision == 0 {
		m.compactRevision = l.Revision
	}
	for key := range m.records {
		if _, ok := next[key]; !ok {
			m.addTombstone(key, l.Revision)
		}
	}
	m.records, m.sum = next, 0
	for _, r := range next {
		m.sum += r.hash()
		m.newest = max(m.newest, r.Revision)
	}
	m.confirm(l.CurrentAt)
	m.advance(l.Revision)
	return changed, nil
}

// replaceEra replaces everything with a listing of a newer era and reports whether the
// mirror held records of an older one. mu must be held.
func (m *Mirror) replaceEra(l Listing) (changed bool) {
	changed = m.revision > 0 || len(l.Records) > 0
	m.records, m.sum, m.newest = make(map[string]Record, len(l.Records)), 0, 0
	for _, r := range l.Records {
		m.records[r.Key] = r
		m.sum += r.hash()
		m.newest = max(m.newest, r.Revision)
	}
	m.era, m.revision = l.Era, l.Revision
	m.tombstones, m.compactRevision = nil, l.Revision
	m.confirm(l.CurrentAt)
	m.wake()
	return changed
}

// Apply applies changes and reports whether any was new. Changes that the mirror
// already has are skipped. It fails with an *EraError or a *StaleListingError if the
// changes are of another era.
func (m *Mirror) Apply(c Changes) (changed bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkEra(c); err != nil {
		return false, err
	}
	return m.apply(c), nil
}

// checkEra fails if changes are of another era than the mirror's. mu must be held.
func (m *Mirror) checkEra(c Changes) error {
	switch {
	case c.Era > m.era:
		return &EraError{Store: c.Era, Held: m.era}
	case c.Era < m.era:
		return &StaleListingError{Listed: Position{Era: c.Era, Revision: c.Revision}, Held: m.position()}
	}
	return nil
}

// apply is Apply with mu held.
func (m *Mirror) apply(c Changes) (changed bool) {
	for _, change := range c.Changes {
		held, ok := m.records[change.Key]
		switch {
		case ok && held.Revision >= change.Revision:
		case change.Deleted && ok:
			delete(m.records, change.Key)
			m.sum -= held.hash()
			m.addTombstone(change.Key, change.Revision)
			changed = true
		case change.Deleted && change.Revision > m.revision:
			// The key was missing from a page of a listing; other VMs may hold it.
			m.addTombstone(change.Key, change.Revision)
		case !change.Deleted && change.Revision > m.revision:
			m.records[change.Key] = change.Record
			m.sum += change.hash()
			if ok {
				m.sum -= held.hash()
			}
			m.newest = max(m.newest, change.Revision)
			changed = true
		}
	}
	m.confirm(c.CurrentAt)
	m.advance(c.Revision)
	return changed
}

func (m *Mirror) addTombstone(key string, revision int64) {
	m.tombstones = append(m.tombstones, Record{Key: key, Revision: revision})
	if n := len(m.tombstones) - maxTombstones; n > 0 {
		for _, r := range m.tombstones[:n] {
			m.compactRevision = max(m.compactRevision, r.Revision)
		}
		m.tombstones = slices.Clone(m.tombstones[n:])
	}
}

func (m *Mirror) advance(revision int64) {
	if revision <= m.revision {
		return
	}
	m.revision = revision
	m.wake()
}

// wake wakes those that wait for another position. mu must be held.
func (m *Mirror) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Since returns the changes after a position. ok is false if the mirror no
// longer has all deletions after it, or if it is of another era; the caller must then use
// Listing.
func (m *Mirror) Since(after Position) (c Changes, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.since(after)
}

// since is Since with mu held.
func (m *Mirror) since(after Position) (c Changes, ok bool) {
	if after.Era != m.era || after.Revision < m.compactRevision {
		return c, false
	}
	c.Era, c.Revision, c.CurrentAt = m.era, m.revision, m.currentAt
	for _, r := range m.records {
		if r.Revision > after.Revision {
			c.Changes = append(c.Changes, Change{Record: r})
		}
	}
	for _, r := range m.tombstones {
		if _, exists := m.records[r.Key]; !exists && r.Revision > after.Revision {
			c.Changes = append(c.Changes, Change{Record: r, Deleted: true})
		}
	}
	return c, true
}

// digest returns a digest of the keys and revisions of all records, by which two mirrors
// at the same revision are compared. It returns 0, for unknown, while the mirror may hold
// records that are newer than its revision. mu must be held.
func (m *Mirror) digest() uint64 {
	if m.newest > m.revision {
		return 0
	}
	return m.sum | 1
}

// UpdateSince returns what another VM needs that holds a position: the changes after it
// or, if the mirror no longer has all of them, all records.
func (m *Mirror) UpdateSince(after Position) Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes, ok := m.since(after)
	if !ok {
		l := m.listing()
		return Update{Listing: &l}
	}
	return Update{Changes: changes, Digest: m.digest()}
}

// Merge applies an update from another VM. differs is set if the mirrors still differ
// afterwards: this one lacks a change that the other VM no longer knows of, and needs all
// its records. The moment of the update only counts if the mirrors are known to be equal.
// An update older than the mirror's era, or a listing older than the mirror, fails with a
// *StaleListingError.
func (m *Mirror) Merge(u Update) (changed, differs bool, err error) {
	if u.Listing != nil {
		changed, err = m.Replace(*u.Listing)
		return changed, false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var newer *EraError
	switch err := m.checkEra(u.Changes); {
	case errors.As(err, &newer):
		return false, true, nil
	case err != nil:
		return false, false, err
	}
	unconfirmed := u.Changes
	unconfirmed.CurrentAt = time.Time{}
	changed = m.apply(unconfirmed)
	own := m.digest()
	if m.revision != u.Changes.Revision || u.Digest == 0 || own == 0 {
		return changed, false, nil
	}
	if own != u.Digest {
		return changed, true, nil
	}
	m.confirm(u.Changes.CurrentAt)
	return changed, false, nil
}

// Wait blocks until the mirror's position is beyond after, wait has passed, or the
// context has ended.
func (m *Mirror) Wait(ctx context.Context, after Position, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		position, changed := m.position(), m.changed
		m.mu.Unlock()
		if after.Before(position) {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Listing returns all records, sorted by key.
func (m *Mirror) Listing() Listing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listing()
}

// listing is Listing with mu held.
func (m *Mirror) listing() Listing {
	records := slices.SortedFunc(maps.Values(m.records), func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return Listing{Records: records, Era: m.era, Revision: m.revision, CurrentAt: m.currentAt}
}
