package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/discovery"
	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/mirror"
	"github.com/briarstand/briarstand/route"
)

// Times of the model, as those of the platform's deployments.
const (
	modelStoreLatency = 2 * time.Millisecond   // one way
	modelPeerLatency  = 500 * time.Microsecond // one way
	modelBeat         = 1200 * time.Millisecond
	modelServerTTL    = 3 * modelBeat
	modelReturn       = 2 * time.Second // within which servers register again after an outage
	// modelRequestTime is the longest time from the choice of a server until the request
	// reaches it.
	modelRequestTime = 350 * time.Millisecond
)

// modelBounds are the bounds of the settings. stability is the time without impairment
// before a VM or the store counts as stable.
type modelBounds struct{ drain, config, stability time.Duration }

// deployedBounds are those of the platform's deployments.
var deployedBounds = modelBounds{drain: 3 * time.Second, config: 3 * time.Second, stability: 4 * time.Second}

var errModelLink = errors.New("link is cut")

// span is a period of impairment.
type span struct{ from, to time.Time }

// overlaps reports whether any span overlaps the period that ends at a time.
func overlaps(spans []span, end time.Time, period time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from.Before(end) && s.to.After(end.Add(-period)) })
}

// linkFault is what a link does with calls.
type linkFault int

const (
	linkPasses linkFault = iota
	linkDrops            // calls hang until they time out
	linkResets           // calls fail at once, waiting ones too
	linkHolds            // replies arrive late
)

// modelLink is a link of one VM.
type modelLink struct {
	mu      sync.Mutex
	fault   linkFault
	hold    time.Duration
	calls   map[int]context.CancelCauseFunc
	next    int
	harmed  []span
	applied int // distinguishes faults that overlap
}

// impair sets a fault for a time. A later fault replaces an earlier one.
func (l *modelLink) impair(fault linkFault, hold, period time.Duration) {
	l.mu.Lock()
	l.fault, l.hold = fault, hold
	l.applied++
	applied := l.applied
	l.harmed = append(l.harmed, span{time.Now(), time.Now().Add(period)})
	if fault == linkResets {
		for _, cancel := range l.calls {
			cancel(errModelLink)
		}
	}
	l.mu.Unlock()
	time.AfterFunc(period, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.applied == applied {
			l.fault = linkPasses
		}
	})
}

func (l *modelLink) current() (linkFault, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.hold
}

// call runs work behind the link.
func (l *modelLink) call(ctx context.Context, latency time.Duration, work func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	l.mu.Lock()
	if l.calls == nil {
		l.calls = map[int]context.CancelCauseFunc{}
	}
	id := l.next
	l.next++
	l.calls[id] = cancel
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.calls, id)
	}()
	for _, reply := range []bool{false, true} {
		fault, hold := l.current()
		delay := latency
		if reply && fault == linkHolds {
			delay += hold
		}
		if err := modelSleep(ctx, delay); err != nil {
			return err
		}
		switch fault, _ := l.current(); fault {
		case linkDrops:
			<-ctx.Done()
			return context.Cause(ctx)
		case linkResets:
			return errModelLink
		}
		if reply {
			return nil
		}
		if err := work(ctx); err != nil {
			return err
		}
	}
	return nil
}

func modelSleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}

// modelLease is a lease with at most one key.
type modelLease struct {
	key     string
	ttl     time.Duration
	expires time.Time
}

// modelStore is the platform's store.
type modelStore struct {
	mu        sync.Mutex
	stability time.Duration
	content   *mirror.Mirror
	era       int64
	revision  int64
	compacted int64
	leases    map[kvstore.LeaseID]*modelLease
	nextLease int
	lapse     bool // leases expire during an outage
	outages   []span
	down      *modelLink            // common to all VMs
	leftAt    map[string]time.Time  // when the store acknowledged that a server leaves or is gone, by incarnation
	said      map[string]bool       // whether it said so, by incarnation
	servers   map[string]modelEntry // by key
	// lost holds, by incarnation, when the store acknowledged once more that a server leaves
	// or is gone, after it had lost that; the zero time until it has, while it was stable.
	lost    map[string]time.Time
	configs []modelConfig // in the order of their versions
}

// modelConfig is a configuration that the store has acknowledged.
type modelConfig struct {
	version int64
	ackedAt time.Time
}

const modelConfigKey = "config"

// modelCopy is what the store held at a moment.
type modelCopy struct {
	listing             mirror.Listing
	servers             map[string]modelEntry
	leases              map[kvstore.LeaseID]modelLease
	revision, compacted int64
	nextLease           int
	at                  time.Time
}

// copy returns what the store holds.
func (s *modelStore) copy() modelCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := modelCopy{listing: s.content.Listing(), servers: maps.Clone(s.servers), leases: map[kvstore.LeaseID]modelLease{}, revision: s.revision, compacted: s.compacted, nextLease: s.nextLease, at: time.Now()}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// comeBack makes the store come back from a copy: what was written since is gone, and
// revisions and leases are given out again.
func (s *modelStore) comeBack(c modelCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for incarnation, at := range s.leftAt {
		if at.After(c.at) {
			s.lost[incarnation] = time.Time{}
		}
	}
	s.content = mirror.New()
	if _, err := s.content.Replace(c.listing); err != nil {
		panic(err) // cannot happen: the mirror is empty
	}
	s.servers, s.revision, s.compacted, s.nextLease = maps.Clone(c.servers), c.revision, c.revision, c.nextLease
	s.leases = map[kvstore.LeaseID]*modelLease{}
	for id, l := range c.leases {
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = &l
	}
}

// configure writes the next configuration. mu must be held.
func (s *modelStore) configure() {
	version := int64(len(s.configs) + 1)
	s.put(modelConfigKey, strconv.AppendInt(nil, version, 10))
	s.configs = append(s.configs, modelConfig{version, time.Now()})
}

// modelEntry is the content of a server's record.
type modelEntry struct {
	ID, Service string
	Draining    bool
	Started     int64
}

func (e modelEntry) incarnation() string { return e.ID + "/" + strconv.FormatInt(e.Started, 10) }

func newModelStore(stability time.Duration) *modelStore {
	return &modelStore{
		stability: stability,
		content:   mirror.New(), leases: map[kvstore.LeaseID]*modelLease{}, down: &modelLink{},
		leftAt: map[string]time.Time{}, lost: map[string]time.Time{}, said: map[string]bool{}, servers: map[string]modelEntry{},
	}
}

func (s *modelStore) stable(at time.Time) bool { return !overlaps(s.outages, at, s.stability) }

// put writes or, with a nil value, removes a key. mu must be held.
func (s *modelStore) put(key string, value []byte) {
	s.revision++
	_, _ = s.content.Apply(mirror.Changes{Changes: []mirror.Change{{Record: mirror.Record{Key: key, Value: value, Revision: s.revision}, Deleted: value == nil}}, Revision: s.revision})
	old, known := s.servers[key]
	if !strings.HasPrefix(key, "servers/") {
		return
	}
	var next modelEntry
	if value == nil {
		delete(s.servers, key)
	} else {
		if err := json.Unmarshal(value, &next); err != nil {
			panic(err)
		}
		s.servers[key] = next
	}
	now := time.Now()
	for _, e := range []modelEntry{old, next} {
		if at, lost := s.lost[e.incarnation()]; lost && at.IsZero() && (value == nil || e.Draining) && s.stable(now) {
			s.lost[e.incarnation()] = now
		}
	}
	if known && (value == nil || next.incarnation() != old.incarnation()) && s.stable(now) {
		if _, said := s.leftAt[old.incarnation()]; !said {
			s.leftAt[old.incarnation()] = now
		}
	}
	if value == nil {
		return
	}
	s.said[next.incarnation()] = next.Draining
	if !next.Draining {
		delete(s.leftAt, next.incarnation())
	} else if _, said := s.leftAt[next.incarnation()]; !said && s.stable(now) {
		s.leftAt[next.incarnation()] = now
	}
}

func (s *modelStore) isDown() bool { fault, _ := s.down.current(); return fault != linkPasses }

// expire removes the keys of expired leases until the context ends.
func (s *modelStore) expire(ctx context.Context) {
	const tick = 20 * time.Millisecond
	for modelSleep(ctx, tick) == nil {
		s.mu.Lock()
		paused := s.isDown() && !s.lapse
		for _, id := range slices.Sorted(maps.Keys(s.leases)) {
			l := s.leases[id]
			if paused {
				l.expires = l.expires.Add(tick)
			} else if time.Now().After(l.expires) {
				s.end(id)
			}
		}
		s.mu.Unlock()
	}
}

// end ends a lease. mu must be held.
func (s *modelStore) end(id kvstore.LeaseID) {
	l := s.leases[id]
	delete(s.leases, id)
	if l.key != "" {
		s.put(l.key, nil)
	}
}

// revoke ends the leases of a VM's record, as a store that turns the VM away may do.
func (s *modelStore) revoke(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if l.key == key {
			s.end(id)
			return
		}
	}
}

func (s *modelStore) grant(ttl time.Duration) kvstore.LeaseID {
	s.nextLease++
	id := kvstore.LeaseID(fmt.Sprintf("%06d", s.nextLease))
	s.leases[id] = &modelLease{ttl: ttl, expires: time.Now().Add(ttl)}
	return id
}

// modelPlatform is the platform as one VM reaches it.
type modelPlatform struct {
	Platform
	store *modelStore
	link  *modelLink
}

func (p *modelPlatform) call(ctx context.Context, work func(ctx context.Context) error) error {
	const timeout = 1500 * time.Millisecond
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	err := p.link.call(ctx, modelStoreLatency, func(ctx context.Context) error {
		return p.store.down.call(ctx, 0, work)
	})
	if err != nil && !errors.Is(err, kvstore.ErrLeaseExpired) && !errors.Is(err, mirror.ErrCompacted) {
		return &kvstore.UnavailableError{Op: "call", Err: err}
	}
	return err
}

func (p *modelPlatform) List(ctx context.Context) (l mirror.Listing, err error) {
	err = p.call(ctx, func(context.Context) error {
		p.store.mu.Lock()
		defer p.store.mu.Unlock()
		l = p.store.content.Listing()
		l.Era = p.store.era
		return nil
	})
	return l, err
}

func (p *modelPlatform) Watch(ctx context.Context, after int64, wait time.Duration) (c mirror.Changes, err error) {
	err = p.call(ctx, func(ctx context.Context) error {
		p.store.mu.Lock()
		content := p.store.content
		p.store.mu.Unlock()
		content.Wait(ctx, mirror.Position{Revision: after}, wait)
		p.store.mu.Lock()
		defer p.store.mu.Unlock()
		if content != p.store.content {
			return errModelLink // cut, since the store has come back from a copy
		}
		var ok bool
		if c, ok = p.store.content.Since(mirror.Position{Revision: after}); !ok || after < p.store.compacted || after > p.store.revision {
			return mirror.ErrCompacted
		}
		c.Era = p.store.era
		return nil
	})
	return c, err
}

func (p *modelPlatform) GrantLease(ctx context.Context, ttl time.Duration) (id kvstore.LeaseID, err error) {
	err = p.call(ctx, func(context.Context) error {
		p.store.mu.Lock()
		defer p.store.mu.Unlock()
		id = eraLease(p.store.era, p.store.grant(ttl))
		return nil
	})
	return id, err
}

// eraLease names a lease with its era, as the platform's adapter does.
func eraLease(era int64, id kvstore.LeaseID) kvstore.LeaseID {
	return kvstore.LeaseID(fmt.Sprintf("%d/%s", era, id))
}

// lease returns the lease with an id unless it has ended or is of another era. mu must be
// held.
func (s *modelStore) lease(id kvstore.LeaseID) (*modelLease, bool) {
	era, number, _ := strings.Cut(string(id), "/")
	l, ok := s.leases[kvstore.LeaseID(number)]
	return l, ok && era == strconv.FormatInt(s.era, 10)
}

func (p *modelPlatform) RenewLease(ctx context.Context, id kvstore.LeaseID) error {
	return p.call(ctx, func(context.Context) error {
		p.store.mu.Lock()
		defer p.store.mu.Unlock()
		l, ok := p.store.lease(id)
		if !ok {
			return kvstore.ErrLeaseExpired
		}
		l.expires = time.Now().Add(l.ttl)
		return nil
	})
}

func (p *modelPlatform) RevokeLease(ctx context.Context, id kvstore.LeaseID) error {
	return p.call(ctx, func(context.Context) error {
		p.store.mu.Lock()
		defer p.store.mu.Unlock()
		if _, ok := p.store.lease(id); !ok {
			return kvstore.ErrLeaseExpired
		}
		_, number, _ := strings.Cut(string(id), "/")
		p.store.end(kvstore.LeaseID(number))
		return nil
	})
}

func (p *modelPlatform) Put(ctx context.Context, key string, value []byte, id kvstore.LeaseID) error {
	return p.call(ctx, func(context.Context) error {
		p.store.mu.Lock()
		defer p.store.mu.Unlock()
		l, ok := p.store.lease(id)
		if !ok {
			return kvstore.ErrLeaseExpired
		}
		l.key = key
		p.store.put(key, value)
		return nil
	})
}

func (p *modelPlatform) Kind(key string) RecordKind {
	switch {
	case key == modelConfigKey:
		return ConfigurationRecord
	case strings.HasPrefix(key, "servers/"):
		return ServerRecord
	case strings.HasPrefix(key, "vms/"):
		return VMRecord
	}
	return OtherRecord
}

func (p *modelPlatform) DecodeTable(r mirror.Record) (*route.Table, error) {
	version, err := strconv.ParseInt(string(r.Value), 10, 64)
	return route.NewTable(version, nil, nil, route.Limits{}), err
}

func (p *modelPlatform) DecodeServer(r mirror.Record) (discovery.Server, error) {
	var e modelEntry
	err := json.Unmarshal(r.Value, &e)
	return discovery.Server{Backend: config.Backend{ID: e.ID, Address: e.ID + ":1", Draining: e.Draining}, Service: e.Service, StartedMS: e.Started}, err
}

func (p *modelPlatform) DecodeVM(r mirror.Record) (m membership.Member, err error) {
	return m, json.Unmarshal(r.Value, &m)
}

func (p *modelPlatform) EncodeVM(m membership.Member) (key string, value []byte, err error) {
	value, err = json.Marshal(m)
	return "vms/" + m.ID, value, err
}
