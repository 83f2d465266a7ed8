// Package discovery decides which backend servers may get work, from what the
// shared records say of them and from when they said it.
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

// Server is what a backend server says of itself.
type Server struct {
	config.Backend
	Service string
	// StartedMS tells two runs with the same id apart; 0 if unknown.
	StartedMS int64
}

// sameRun reports whether two entries are of one process at one address.
func (s Server) sameRun(o Server) bool {
	return s.ID == o.ID && s.Address == o.Address && s.StartedMS == o.StartedMS && s.Service == o.Service
}

// Status says how a backend server may be used.
type Status int

// Statuses of a backend server.
const (
	// Ready servers get work.
	Ready Status = iota + 1
	// Leaving servers announced that they drain.
	Leaving
	// Lapsed servers are no longer listed. Their entries may have lapsed
	// because the store was away, and come back.
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

// member is a server with what was concluded about it.
type member struct {
	server  Server
	backend *config.Backend // shared with the replicas that were published
	status  Status
	until   time.Time // until when a server that is not ready may get work
}

// Change is one conclusion, for logs.
type Change struct {
	Server Server
	From   Status // 0 for a server that was not known
	To     Status // 0 for a server that is forgotten
	Until  time.Time
}

// Replicas are the backend servers of one service.
type Replicas struct {
	Ready []*config.Backend
	// LastResort lists servers that get work only where no ready one is left.
	LastResort []LastResort
}

// LastResort is a server that is leaving or lapsed.
type LastResort struct {
	Backend *config.Backend
	Until   time.Time
}

// Usable returns the servers that may get work now.
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
	// LastResort is how long a server that drains may still get work if its
	// service has no other.
	LastResort time.Duration
}

// Registry holds the backend servers. Reads take no lock.
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

// Usable returns the server with an id if it may get work now.
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

// Update takes over the listed servers, by id, and returns what changed. A
// server that is no longer listed may get work for the time of hold if its
// service has no other.
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

// next returns the conclusion about a listed server.
func (r *Registry) next(old *member, s Server, now time.Time) *member {
	m := &member{server: s, status: Ready}
	known := old != nil && old.server.sameRun(s)
	if s.Draining {
		// Nobody knows for how long a server has drained that was not seen ready.
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

// missing takes note of a server that is not listed.
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
