package config

import (
	"sync"
	"sync/atomic"
)

// Snapshot is an immutable view of the documents of all services.
type Snapshot struct {
	// Index is the highest revision among the services.
	Index    int64
	services map[string]*Service
}

// Service returns the document of a service that is not deleted.
func (s *Snapshot) Service(name string) (*Service, bool) {
	svc, ok := s.services[name]
	if !ok || svc.Deleted {
		return nil, false
	}
	return svc, true
}

// Document returns the document of a service, which may be a tombstone, or nil
// if none is known.
func (s *Snapshot) Document(name string) *Service { return s.services[name] }

// Revision returns the revision in force of a service, which may be that of a
// tombstone, or 0 if no document of the service is known.
func (s *Snapshot) Revision(name string) int64 {
	if svc, ok := s.services[name]; ok {
		return svc.Revision
	}
	return 0
}

// All returns the documents of all services, tombstones included, in no
// particular order.
func (s *Snapshot) All() []*Service {
	all := make([]*Service, 0, len(s.services))
	for _, svc := range s.services {
		all = append(all, svc)
	}
	return all
}

// Since returns the documents with a revision above index, tombstones included.
func (s *Snapshot) Since(index int64) []*Service {
	var newer []*Service
	for _, svc := range s.services {
		if svc.Revision > index {
			newer = append(newer, svc)
		}
	}
	return newer
}

// Registry holds the configuration in force, which is the one that this process
// applies to requests; discovery.Registry tracks which backend servers may get
// them. Readers load an immutable snapshot without locking, and writers publish a
// new one. The revision of a service never decreases.
type Registry struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex // serializes writers
	onApply []func(*Service)
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	r := &Registry{}
	r.current.Store(&Snapshot{services: map[string]*Service{}})
	return r
}

// Snapshot returns the configuration in force.
func (r *Registry) Snapshot() *Snapshot { return r.current.Load() }

// OnApply registers a callback that Apply calls with each document after
// publishing it. It must be called before the first Apply.
func (r *Registry) OnApply(f func(*Service)) { r.onApply = append(r.onApply, f) }

// Apply publishes those documents whose revision is above the one in force, and
// returns them.
func (r *Registry) Apply(services ...*Service) []*Service {
	applied := r.publish(services)
	for _, svc := range applied {
		for _, f := range r.onApply {
			f(svc)
		}
	}
	return applied
}

// publish replaces the snapshot by one with the newer documents, which it
// returns.
func (r *Registry) publish(services []*Service) []*Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.current.Load()
	next := &Snapshot{Index: old.Index, services: make(map[string]*Service, len(old.services)+len(services))}
	for name, svc := range old.services {
		next.services[name] = svc
	}
	var applied []*Service
	for _, svc := range services {
		if svc.Revision <= next.Revision(svc.Name) {
			continue
		}
		next.services[svc.Name] = svc
		next.Index = max(next.Index, svc.Revision)
		applied = append(applied, svc)
	}
	if len(applied) > 0 {
		r.current.Store(next)
	}
	return applied
}
