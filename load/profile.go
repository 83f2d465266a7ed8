package load

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/briarstand/briarstand/backend/standin"
	"github.com/briarstand/briarstand/config"
)

// ProfileVersion is the name of the index version that profiles declare.
const ProfileVersion = "v1"

// Profile describes a deployment: its sizes and its network.
type Profile struct {
	Name string
	// Zones lists the availability zones; each is its own region.
	Zones []string
	// One-way network latencies.
	WithinRegion, BetweenRegions, ToClients time.Duration
	// VMs is the number of entry VMs.
	VMs      int
	Services []ServiceProfile
}

// ServiceProfile describes a service of a deployment.
type ServiceProfile struct {
	Name string
	// Shards is the number of shards, Replicas the number of backend servers that
	// hold each.
	Shards, Replicas int
	// Searchers is the number of backend servers.
	Searchers      int
	Slots          int
	MaxConnections int
	ConnectionCost time.Duration
	Preference     config.Preference
}

// large describes a service whose backend servers hold one shard each, with two
// replicas of a shard in different zones.
func large(name string, instances, connections int, p config.Preference) ServiceProfile {
	return ServiceProfile{
		Name: name, Shards: instances, Replicas: 2, Searchers: 2 * instances, Slots: 2,
		MaxConnections: connections, ConnectionCost: 6 * time.Millisecond, Preference: p,
	}
}

// small describes a service whose backend servers all hold the same two shards.
func small(name string, searchers, slots, connections int, p config.Preference) ServiceProfile {
	return ServiceProfile{
		Name: name, Shards: 2, Replicas: searchers, Searchers: searchers, Slots: slots,
		MaxConnections: connections, ConnectionCost: time.Millisecond, Preference: p,
	}
}

var profiles = map[string]func() Profile{
	"kykloskopos": Kykloskopos,
	"saa-mnara":   SaaMnara,
}

// Kykloskopos returns the profile of Kykloskopos Rack Works, which puts tail
// latency first.
func Kykloskopos() Profile {
	return Profile{
		Name:           "kykloskopos",
		Zones:          []string{"attica-a", "makedonia-a", "kriti-a"},
		WithinRegion:   500 * time.Microsecond,
		BetweenRegions: 8 * time.Millisecond,
		ToClients:      3 * time.Millisecond,
		VMs:            18,
		Services: []ServiceProfile{
			large("site-app", 20, 60, config.PreferLatency),
			large("crew-scheduling", 30, 60, config.PreferLatency),
			small("quoting", 5, 2, 250, config.PreferLatency),
			small("stock", 3, 2, 250, config.PreferLatency),
		},
	}
}

// SaaMnara returns the profile of Saa Mnara Heritage Tours, which puts coverage
// first.
func SaaMnara() Profile {
	return Profile{
		Name:           "saa-mnara",
		Zones:          []string{"nairobi-cbd", "mombasa-old-town", "kisumu-pier"},
		WithinRegion:   time.Millisecond,
		BetweenRegions: 20 * time.Millisecond,
		ToClients:      3 * time.Millisecond,
		VMs:            15,
		Services: []ServiceProfile{
			large("ticket-desk", 20, 55, config.PreferCoverage),
			large("guide-roster", 30, 55, config.PreferCoverage),
			small("concierge-portal", 3, 6, 100, config.PreferCoverage),
			small("school-trips", 3, 6, 100, config.PreferCoverage),
		},
	}
}

// ProfileNames returns the names that ProfileByName accepts, sorted.
func ProfileNames() []string { return slices.Sorted(maps.Keys(profiles)) }

// ProfileByName returns a profile, or a *ConfigError if the name is unknown.
func ProfileByName(name string) (Profile, error) {
	f, ok := profiles[name]
	if !ok {
		return Profile{}, &ConfigError{"profile", fmt.Sprintf("%q is unknown; known are %v", name, ProfileNames())}
	}
	return f(), nil
}

// Latency returns the one-way latency between two zones.
func (p Profile) Latency(a, b string) time.Duration {
	if a == b {
		return p.WithinRegion
	}
	return p.BetweenRegions
}

// BackendID returns the id of a backend server, given its index.
func (s ServiceProfile) BackendID(searcher int) string { return fmt.Sprintf("%s-%d", s.Name, searcher) }

// Zone returns the zone of a backend server. The replicas of a shard are in
// different zones as far as there are enough zones.
func (p Profile) Zone(s ServiceProfile, searcher int) string {
	// Replica r of shard n is backend server n*Replicas+r; the offset by the
	// shard spreads the backend servers evenly over the zones.
	return p.Zones[(searcher/s.Replicas+searcher%s.Replicas)%len(p.Zones)]
}

// holders returns the indexes of the backend servers that hold a shard.
func (s ServiceProfile) holders(shard int) []int {
	all := make([]int, s.Replicas)
	for r := range all {
		all[r] = (shard*s.Replicas + r) % s.Searchers
	}
	return all
}

// Document returns the configuration of a service. The function address returns
// the address of a backend server.
func (p Profile) Document(s ServiceProfile, address func(backendID string) string) *config.Service {
	svc := &config.Service{Name: s.Name, Policy: config.DefaultPolicy()}
	svc.Policy.Preference = s.Preference
	for i := range s.Searchers {
		zone, id := p.Zone(s, i), s.BackendID(i)
		svc.Backends = append(svc.Backends, config.Backend{
			ID: id, Address: address(id), Zone: zone, Region: zone,
			Slots: s.Slots, MaxConnections: s.MaxConnections,
		})
	}
	version := config.IndexVersion{Name: ProfileVersion, Sequence: 1}
	for shard := range s.Shards {
		var ids []string
		for _, i := range s.holders(shard) {
			ids = append(ids, s.BackendID(i))
		}
		version.Shards = append(version.Shards, ids)
	}
	svc.Versions = []config.IndexVersion{version}
	return svc
}

// Settings returns the settings of the stand-in for a backend server, as seen
// from a VM in the given zone. Service times are those of
// standin.DefaultSettings.
func (p Profile) Settings(s ServiceProfile, searcher int, fromZone string) standin.Settings {
	settings := standin.DefaultSettings()
	settings.Slots = s.Slots
	settings.MaxConnections = s.MaxConnections
	settings.ConnectionCost = standin.Duration(s.ConnectionCost)
	settings.NetworkLatency = standin.Duration(p.Latency(fromZone, p.Zone(s, searcher)))
	holding := standin.Holding{Service: s.Name, Version: ProfileVersion}
	for shard := range s.Shards {
		if slices.Contains(s.holders(shard), searcher) {
			holding.Shards = append(holding.Shards, shard)
		}
	}
	settings.Holdings = []standin.Holding{holding}
	return settings
}

// Capacity returns the rate, in queries a second, that keeps all slots in use at
// the given mean service time.
func (s ServiceProfile) Capacity(meanServiceTime time.Duration) float64 {
	return float64(s.Searchers*s.Slots) / meanServiceTime.Seconds() / float64(s.Shards)
}

// Streams returns the load on all services of the deployment that uses the given
// fraction of their capacity.
func (p Profile) Streams(meanServiceTime time.Duration, part float64) []Stream {
	var streams []Stream
	for _, s := range p.Services {
		streams = append(streams, Stream{Service: s.Name, Rate: part * s.Capacity(meanServiceTime)})
	}
	return streams
}
