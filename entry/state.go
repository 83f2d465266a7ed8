package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/discovery"
	"github.com/briarstand/briarstand/internal/contain"
	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/mirror"
	"github.com/briarstand/briarstand/route"
	"github.com/briarstand/briarstand/telemetry"
)

// state is the VM's view of the deployment, decoded from the mirror. Requests
// read it without a lock.
type state struct {
	platform Platform
	mirror   *mirror.Mirror
	registry *discovery.Registry
	logger   *log.Logger
	panics   *contain.Panics
	table    atomic.Pointer[route.Table]
	fleet    atomic.Pointer[fleet]
	synced   atomic.Bool // set once the mirror holds records
	follower atomic.Pointer[mirror.Follower]

	window discovery.Window

	mu               sync.Mutex // serializes refresh
	servers          map[string]decoded[discovery.Server]
	members          map[string]decoded[membership.Member]
	listedServers    map[string]discovery.Server
	listed           bool  // the mirror has had records
	era              int64 // the store's era of the records, once listed is set
	eraChanges       atomic.Int64
	configRevision   int64 // revision of the configuration in force
	rejectedRevision int64 // revision of the last configuration that was rejected
	vms              *vmTable
}

// decoded is a record's cached content; only records that changed are decoded
// again.
type decoded[T any] struct {
	revision int64
	value    T
	ok       bool
}

func newState(p Platform, set *Settings, logger *log.Logger, panics *contain.Panics) *state {
	s := &state{
		platform: p, mirror: mirror.New(), logger: logger, panics: panics,
		registry: discovery.NewRegistry(discovery.Config{Retention: serverRetention, SilencePeriod: silencePeriod(set)}), window: useWindow(set),
		servers: map[string]decoded[discovery.Server]{}, members: map[string]decoded[membership.Member]{},
		vms: newVMTable(set.VMID, set.BudgetWindow),
	}
	s.fleet.Store(&fleet{})
	return s
}

// unknownAge stands for the age of records that the store never confirmed.
const unknownAge = -time.Millisecond

// age returns how long ago the store last confirmed that the VM's records were
// current, or unknownAge if it never did.
func (s *state) age(now time.Time) time.Duration {
	if f := s.follower.Load(); f != nil {
		if age, ok := f.Age(now); ok {
			return age
		}
	}
	return unknownAge
}

// refresh decodes what changed in the mirror. currentAt is the last moment at which the
// records before the change were known to be current; the zero time if they never were.
//
// It returns whether the store has come back from an older copy since the last call.
func (s *state) refresh(now, currentAt time.Time) (newEra bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.mirror.Listing()
	if newEra = s.listed && l.Era != s.era; newEra {
		s.beginEra(&l)
	}
	s.listed, s.era = l.Revision > 0, l.Era
	s.listedServers = map[string]discovery.Server{}
	members := map[string]membership.Member{}
	seenServers, seenMembers := map[string]decoded[discovery.Server]{}, map[string]decoded[membership.Member]{}
	for _, r := range l.Records {
		switch s.platform.Kind(r.Key) {
		case ConfigurationRecord:
			s.applyConfig(r)
		case ServerRecord:
			if d := decode(s, s.servers, seenServers, r, s.platform.DecodeServer); d.ok {
				d.value.Revision = r.Revision
				s.listedServers[d.value.ID] = d.value
			}
		case VMRecord:
			if d := decode(s, s.members, seenMembers, r, s.platform.DecodeVM); d.ok {
				members[d.value.ID] = d.value
			}
		}
	}
	origin := discovery.Origin{After: currentAt}
	if newEra {
		origin.Away = s.awayBefore(currentAt)
	} else {
		origin.Away = s.awayAt(s.members, seenMembers, currentAt)
	}
	if !origin.Away.IsZero() {
		s.logger.Info("store was away for all VMs", "since_ms", now.Sub(currentAt).Milliseconds(), "until_ms", now.Sub(origin.Away).Milliseconds(), telemetry.FieldRevision, l.Revision)
	}
	s.servers, s.members = seenServers, seenMembers
	update := s.registry.Update
	if newEra {
		update = s.registry.UpdateFromCopy
	}
	changes := update(s.listedServers, now, s.window.Until(origin, now))
	for _, c := range changes {
		fields := []any{"backend", c.Server.ID, telemetry.FieldService, c.Server.Service, "address", c.Server.Address,
			"from", c.From.String(), "to", c.To.String(), telemetry.FieldRevision, l.Revision}
		if c.To != discovery.Ready && !currentAt.IsZero() {
			fields = append(fields, "acknowledged_within_ms", now.Sub(currentAt).Milliseconds(), "usable_ms", max(0, c.Until.Sub(now)).Milliseconds())
		}
		s.logger.Info("backend server", fields...)
	}
	s.fleet.Store(s.vms.update(members, now, s.vmGrace(now)))
	if l.Revision > 0 {
		s.synced.Store(true)
	}
	return newEra
}

// beginEra forgets what is compared by revision, since the store has come back from an older
// copy and gives revisions out again. mu must be held.
func (s *state) beginEra(l *mirror.Listing) {
	s.eraChanges.Add(1)
	s.logger.Warn("the store has come back from an older copy", "era", l.Era, "era_before", s.era, telemetry.FieldRevision, l.Revision)
	s.servers, s.members = map[string]decoded[discovery.Server]{}, map[string]decoded[membership.Member]{}
	s.configRevision, s.rejectedRevision = 0, 0
}

// vmGrace returns how long callers still get the address of a VM that is no longer
// listed. It counts from when this VM learns, and serves no bound of the store: callers
// that get the address of a VM that is gone wait for a connection and try another one.
func (s *state) vmGrace(now time.Time) time.Duration {
	if f := s.follower.Load(); f != nil && f.Settling(now) {
		return expiredVMGrace
	}
	return 0
}

// sweep removes servers and VMs that are no longer listed once their grace periods
// are over.
func (s *state) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Store(s.vms.update(nil, now, 0))
	if s.listedServers != nil {
		s.registry.Update(s.listedServers, now, discovery.Until{}) // the records are as before
	}
}

// parseRecovered turns a panic of parse into an error.
func parseRecovered[T any](s *state, r mirror.Record, parse func(mirror.Record) (T, error)) (value T, err error) {
	defer s.panics.Recover("record "+r.Key, func(panicked error) { err = panicked })
	return parse(r)
}

// decode returns a record's content, decoded again only if its revision changed.
func decode[T any](s *state, old, next map[string]decoded[T], r mirror.Record, parse func(mirror.Record) (T, error)) decoded[T] {
	d, ok := old[r.Key]
	if !ok || d.revision != r.Revision {
		value, err := parseRecovered(s, r, parse)
		d = decoded[T]{revision: r.Revision, value: value, ok: err == nil}
		if err != nil {
			s.logger.Warn("record ignored", "key", r.Key, telemetry.FieldRevision, r.Revision, telemetry.FieldError, err.Error())
		}
	}
	next[r.Key] = d
	return d
}

// applyConfig makes a new version of the configuration the current one. It
// rejects a version that cannot be decoded, or that is older than the current
// one.
func (s *state) applyConfig(r mirror.Record) {
	if r.Revision <= s.configRevision || r.Revision == s.rejectedRevision {
		return
	}
	table, err := parseRecovered(s, r, s.platform.DecodeTable)
	old := s.table.Load()
	if err == nil && old != nil && table.Version == old.Version {
		s.configRevision = r.Revision // written again
		return
	}
	if err == nil && old != nil && table.Version < old.Version {
		err = &VersionError{Version: table.Version, InForce: old.Version}
	}
	if err != nil {
		s.rejectedRevision = r.Revision
		s.logger.Error("configuration not taken", telemetry.FieldRevision, r.Revision, telemetry.FieldError, err.Error())
		return
	}
	s.configRevision = r.Revision
	s.table.Store(table)
	s.logger.Info("configuration in force", "version", table.Version, telemetry.FieldRevision, r.Revision)
}

// connectionLimits returns how many connections this VM may hold to each
// backend server, at least 1. fraction is the fraction of the shared limits that
// this VM may use.
func (s *state) connectionLimits(fraction float64) map[*config.Backend]int {
	table := s.table.Load()
	limits := map[*config.Backend]int{}
	for service, replicas := range s.registry.Services() {
		total := defaultConnections
		if table != nil && table.Services[service].MaxConnections > 0 {
			total = table.Services[service].MaxConnections
		}
		limit := max(1, int(float64(total)*connectionFraction*fraction))
		for _, b := range replicas.Ready {
			limits[b] = limit
		}
		for _, l := range replicas.LastResort {
			limits[l.Backend] = limit
		}
	}
	return limits
}

const (
	// connectionFraction is the fraction of the connections accepted by a backend
	// server that is divided among the VMs; the rest is for VMs that start while
	// others still hold theirs.
	connectionFraction = 0.9
	// defaultConnections applies to a service for which the configuration sets
	// no limit.
	defaultConnections = 32
)
