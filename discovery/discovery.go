// Package discovery decides which backend servers may get requests, from their
// records in the store and the times at which those changed.
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
	// distinguishes two runs with the same id; 0 if unknown.
	StartedMS int64
}

// sameRun reports whether two records describe one process at one address.
func (s Server) sameRun(o Server) bool {
	return s.ID == o.ID && s.Address == o.Address && s.StartedMS == o.StartedMS && s.Service == o.Service
}

// Status says how a backend server may be used.
type Status int

// Statuses of a backend server.
const (
	// Ready servers get requests.
	Ready Status = iota + 1
	// Leaving servers announced that they are draining.
	Leaving
	// Lapsed servers are no longer listed. Their records may have lapsed because
	// of a store outage, and reappear.
	Lapsed
)

func (s Status) String() string {
	switch s {
	case Ready:
		return "ready"
	case Leaving:
		return "leaving"
	case Lapsed:
		return "lapsed"
	}
	return "unknown"
}

// member is a server with the status derived from its records.
type member struct {
	server  Server
	backend *config.Backend // stays the same for one run, also in published Replicas
	status  Status
	until   time.Time // until when a server that is not ready may get requests
}

// Change is a change of a server's status, for logs.
type Change struct {
	Server Server
	From   Status // 0 for a server that was unknown
	To     Status // 0 for a server that is removed
	Until  time.Time
}

// Replicas holds the backend servers of one service.
type Replicas struct {
	Ready []*config.Backend
	// LastResort lists servers that get requests only while none is ready.
	LastResort []LastResort
}

// LastResort is a leaving or lapsed server that may get requests until a time.
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
	// LastResort is how long a draining server may still get requests if its
	// service has no ready one.
	LastResort time.Duration
}

// Registry tracks the backend servers. Replicas and Services take no lock.
type Registry struct {
	cfg       Config
	mu        sync.Mutex
	members   map[string]*member
	published atomic.Pointer[map[string]*Replicas]
}

// NewRegistry returns an empty Registry.
func NewRegistry(cfg Config) *Registry {
	r := &Registry{cfg: cfg, members: map[string]*member{}}
	r.published.Store(&map[string]*Replicas{})
	return r
}

// Replicas returns the backend servers of a service, nil if none is known.
func (r *Registry) Replicas(service string) *Replicas { return (*r.published.Load())[service] }

// Usable returns the server with an id if it may get requests now.
func (r *Registry) Usable(id string, now time.Time) (*config.Backend, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[id]
	if !ok || m.status != Ready && !now.Before(m.until) {
		return nil, false
	}
	return m.backend, true
}

// Services returns all known services.
func (r *Registry) Services() map[string]*Replicas { return *r.published.Load() }

// Update applies the listed servers, keyed by id, and returns the changes. A
// server that is no longer listed may get requests for the duration of hold if
// its service has no ready one.
func (r *Registry) Update(listed map[string]Server, now time.Time, hold time.Duration) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(listed)) {
		s := listed[id]
		old := r.members[id]
		next := r.next(old, s, now)
		if old == nil || old.status != next.status || old.backend != next.backend {
			c := Change{Server: s, To: next.status, Until: next.until}
			if old != nil {
				c.From = old.status
			}
			changes = append(changes, c)
		}
		r.members[id] = next
	}
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		if _, ok := listed[id]; ok {
			continue
		}
		if c, ok := r.missing(id, now, hold); ok {
			changes = append(changes, c)
		}
	}
	if len(changes) > 0 {
		r.publish()
	}
	return changes
}

// next returns the new state of a listed server.
func (r *Registry) next(old *member, s Server, now time.Time) *member {
	m := &member{server: s, status: Ready}
	known := old != nil && old.server.sameRun(s)
	if s.Draining {
		// A server that was never seen ready has been draining for an unknown
		// time and gets no requests.
		m.status, m.until = Leaving, now
		if known && old.status == Ready {
			m.until = now.Add(r.cfg.LastResort)
		} else if known {
			m.until = old.until
		}
	}
	if known {
		m.backend = old.backend
		return m
	}
	b := s.Backend
	m.backend = &b
	return m
}

// missing updates the state of a server that is not listed. It returns false if
// nothing changed.
func (r *Registry) missing(id string, now time.Time, hold time.Duration) (Change, bool) {
	m := r.members[id]
	if m.status == Ready {
		next := *m
		next.status, next.until = Lapsed, now.Add(hold)
		r.members[id] = &next
		return Change{Server: m.server, From: Ready, To: Lapsed, Until: next.until}, true
	}
	if now.Before(m.until) {
		return Change{}, false
	}
	delete(r.members, id)
	return Change{Server: m.server, From: m.status}, true
}

func (r *Registry) publish() {
	next := map[string]*Replicas{}
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[id]
		replicas := next[m.server.Service]
		if replicas == nil {
			replicas = &Replicas{}
			next[m.server.Service] = replicas
		}
		if m.status == Ready {
			replicas.Ready = append(replicas.Ready, m.backend)
		} else {
			replicas.LastResort = append(replicas.LastResort, LastResort{Backend: m.backend, Until: m.until})
		}
	}
	for _, replicas := range next {
		slices.SortFunc(replicas.Ready, func(a, b *config.Backend) int { return strings.Compare(a.ID, b.ID) })
	}
	r.published.Store(&next)
}
