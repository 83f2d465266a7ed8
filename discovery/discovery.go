// Package discovery decides which backend servers may get requests, from their
// records in the store and the times at which those changed. Its Registry
// belongs to the daemon of package entry; config.Registry, of package server's
// daemon, holds the configuration of services.
package discovery

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarstand/briarstand/config"
)

// Server is a backend server as its record describes it.
type Server struct {
	config.Backend
	Service string
	// StartedMS is the Unix time of the server's start in milliseconds, which
	// distinguishes two incarnations with the same id.
	StartedMS int64
	// Revision is the store revision of the record.
	Revision int64
}

// incarnation identifies one process at one address.
type incarnation struct {
	id, address, service string
	startedMS            int64
}

func (s Server) incarnation() incarnation {
	return incarnation{id: s.ID, address: s.Address, service: s.Service, startedMS: s.StartedMS}
}

// Status says how a backend server may be used.
type Status int

// Statuses of a backend server.
const (
	// Ready servers get requests.
	Ready Status = iota + 1
	// Leaving servers announced that they are draining.
	Leaving
	// Expired servers are no longer listed. Their records may have expired only
	// because of a store outage, and may reappear.
	Expired
)

func (s Status) String() string {
	switch s {
	case Ready:
		return "ready"
	case Leaving:
		return "leaving"
	case Expired:
		return "lapsed"
	}
	return "unknown"
}

// serverState is a server with the status derived from its records.
type serverState struct {
	server      Server
	backend     *config.Backend // one pointer per incarnation; connection pools use it as their key
	status      Status
	since       time.Time // when this VM learned of the status
	usableUntil time.Time // when a server that is not ready stops getting requests
	// doubted is the revision of a record from an older copy of the store, on whose word
	// the server is not used until doubtedUntil; 0 if there is none.
	doubted      int64
	doubtedUntil time.Time
}

// Standing is the status of one incarnation of a server and what it allows.
type Standing struct {
	Status Status
	// Since is when this VM learned of the status.
	Since time.Time
	// UsableUntil is when a server that is not ready stops getting requests.
	UsableUntil time.Time
}

// Change is a change of a server's status, for logs.
type Change struct {
	Server Server
	From   Status    // 0 for a server that was unknown
	To     Status    // 0 for a server that is removed
	Until  time.Time // when a server that is not ready stops getting requests
}

// Replicas holds the backend servers of one service.
type Replicas struct {
	Ready []*config.Backend
	// LastResort lists servers that get requests only while none is ready.
	LastResort []LastResort
}

// LastResort is a leaving or expired server, which gets no requests after
// Until.
type LastResort struct {
	Backend *config.Backend
	Until   time.Time
}

// Usable returns the servers that may get requests now.
func (r *Replicas) Usable(now time.Time) []*config.Backend {
	if r == nil {
		return nil
	}
	if len(r.Ready) > 0 || len(r.LastResort) == 0 {
		return r.Ready
	}
	usable := make([]*config.Backend, 0, len(r.LastResort))
	for _, l := range r.LastResort {
		if now.Before(l.Until) {
			usable = append(usable, l.Backend)
		}
	}
	return usable
}

// Config configures a Registry.
type Config struct {
	// Retention is how long a removed server is remembered. If it is listed again
	// meanwhile, it is the same incarnation, with the same *config.Backend.
	Retention time.Duration
	// SilencePeriod is the time after which the store removes the record of a server that
	// does not write to it, until VMs have learned of it.
	SilencePeriod time.Duration
}

// Registry tracks the backend servers. Replicas, Services and Standing take no lock.
type Registry struct {
	cfg       Config
	mu        sync.Mutex
	servers   map[string]*serverState
	removed   map[incarnation]removedServer
	published atomic.Pointer[published]
}

// published is an immutable snapshot of the registry.
type published struct {
	services  map[string]*Replicas
	standings map[*config.Backend]Standing
}

// removedServer is a server that is no longer listed nor used.
type removedServer struct {
	*serverState
	at time.Time
}

// NewRegistry returns an empty Registry.
func NewRegistry(cfg Config) *Registry {
	r := &Registry{cfg: cfg, servers: map[string]*serverState{}, removed: map[incarnation]removedServer{}}
	r.published.Store(&published{})
	return r
}

// Replicas returns the backend servers of a service, nil if none is known.
func (r *Registry) Replicas(service string) *Replicas { return r.published.Load().services[service] }

// Standing returns the standing of an incarnation; ok is false if it is not known, or
// no longer.
func (r *Registry) Standing(b *config.Backend) (s Standing, ok bool) {
	s, ok = r.published.Load().standings[b]
	return s, ok
}

// Usable returns the server with an id if it may get requests now.
func (r *Registry) Usable(id string, now time.Time) (*config.Backend, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st, ok := r.servers[id]
	if !ok || st.status != Ready && !now.Before(st.usableUntil) {
		return nil, false
	}
	return st.backend, true
}

// UsableUntil returns until when an incarnation may get requests, the zero time if there
// is no limit. ok is false if it is not known, or no longer.
func (r *Registry) UsableUntil(b *config.Backend) (until time.Time, ok bool) {
	s, ok := r.Standing(b)
	if ok && s.Status != Ready {
		until = s.UsableUntil
	}
	return until, ok
}

// Services returns the backend servers of all known services. The map must not be
// modified.
func (r *Registry) Services() map[string]*Replicas { return r.published.Load().services }

// Update applies the listed servers, keyed by id, and returns the changes.
func (r *Registry) Update(listed map[string]Server, now time.Time, until Until) []Change {
	return r.update(listed, now, until, false)
}

// UpdateFromCopy is like Update for records of an older copy of the store. The copy has no
// news of its writers: a server that was known to leave, or was not listed before, had left
// when the store held more than the copy. It is not used on the word of that record until
// it has written another one, or until the record has outlived Config.SilencePeriod: the
// store removes that of a server that is gone.
func (r *Registry) UpdateFromCopy(listed map[string]Server, now time.Time, until Until) []Change {
	return r.update(listed, now, until, true)
}

func (r *Registry) update(listed map[string]Server, now time.Time, until Until, fromCopy bool) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Change
	maps.DeleteFunc(r.removed, func(_ incarnation, s removedServer) bool { return now.Sub(s.at) > r.cfg.Retention })
	for _, id := range slices.Sorted(maps.Keys(listed)) {
		s := listed[id]
		old := r.servers[id]
		before := old
		if old == nil || old.server.incarnation() != s.incarnation() {
			before = r.removed[s.incarnation()].serverState
			delete(r.removed, s.incarnation())
			if old != nil {
				// Another writer may have replaced the record for a while.
				r.removed[old.server.incarnation()] = removedServer{old, now}
			}
		}
		next := r.nextState(before, s, now, until.Leaving, fromCopy)
		if old == nil || old.status != next.status || old.backend != next.backend {
			c := Change{Server: s, To: next.status, Until: next.usableUntil}
			if old != nil {
				c.From = old.status
			}
			changes = append(changes, c)
		}
		r.servers[id] = next
	}
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		if _, ok := listed[id]; ok {
			continue
		}
		if c, ok := r.markMissing(id, now, until.Expired); ok {
			changes = append(changes, c)
		}
	}
	if len(changes) > 0 {
		r.publish()
	}
	return changes
}

// nextState returns the new state of a listed server; old is nil for an incarnation that
// was unknown.
func (r *Registry) nextState(old *serverState, s Server, now, leavingUntil time.Time, fromCopy bool) *serverState {
	st := &serverState{server: s, status: Ready, since: now}
	known := old != nil && old.server.incarnation() == s.incarnation()
	if !s.Draining {
		if doubted := r.doubt(old, known, s, now, fromCopy); doubted != nil {
			return doubted
		}
	}
	if s.Draining {
		// A server that was never seen ready has been draining for an unknown
		// time and gets no requests.
		st.status, st.usableUntil = Leaving, now
		if known && old.status == Ready {
			st.usableUntil = leavingUntil
		} else if known {
			st.usableUntil = old.usableUntil
		}
	}
	if known {
		st.backend = old.backend
		if old.status == st.status {
			st.since = old.since
		}
		return st
	}
	b := s.Backend
	st.backend = &b
	return st
}

// doubt returns the state of a server whose record says that it is ready, if it is not to
// be used on that word; else nil.
func (r *Registry) doubt(old *serverState, known bool, s Server, now time.Time, fromCopy bool) *serverState {
	if known && old.status == Ready {
		return nil
	}
	if fromCopy {
		st := &serverState{status: Expired, since: now, usableUntil: now}
		if known {
			*st = *old
		} else {
			b := s.Backend
			st.backend = &b
		}
		st.server, st.doubted, st.doubtedUntil = s, s.Revision, now.Add(r.cfg.SilencePeriod)
		return st
	}
	if known && old.doubted != 0 && old.doubted == s.Revision && now.Before(old.doubtedUntil) {
		return old
	}
	return nil
}

// markMissing updates the state of a server that is not listed. A ready server
// becomes expired; a leaving or expired one is removed after its usableUntil.
// It returns false if nothing changed.
func (r *Registry) markMissing(id string, now, expiredUntil time.Time) (Change, bool) {
	st := r.servers[id]
	if st.status == Ready {
		next := *st
		next.status, next.since, next.usableUntil = Expired, now, expiredUntil
		r.servers[id] = &next
		return Change{Server: st.server, From: Ready, To: Expired, Until: next.usableUntil}, true
	}
	if now.Before(st.usableUntil) {
		return Change{}, false
	}
	delete(r.servers, id)
	r.removed[st.server.incarnation()] = removedServer{st, now}
	return Change{Server: st.server, From: st.status}, true
}

func (r *Registry) publish() {
	next := map[string]*Replicas{}
	standings := make(map[*config.Backend]Standing, len(r.servers))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		st := r.servers[id]
		standings[st.backend] = Standing{Status: st.status, Since: st.since, UsableUntil: st.usableUntil}
		replicas := next[st.server.Service]
		if replicas == nil {
			replicas = &Replicas{}
			next[st.server.Service] = replicas
		}
		if st.status == Ready {
			replicas.Ready = append(replicas.Ready, st.backend)
		} else {
			replicas.LastResort = append(replicas.LastResort, LastResort{Backend: st.backend, Until: st.usableUntil})
		}
	}
	for _, replicas := range next {
		slices.SortFunc(replicas.Ready, func(a, b *config.Backend) int { return strings.Compare(a.ID, b.ID) })
	}
	r.published.Store(&published{services: next, standings: standings})
}
