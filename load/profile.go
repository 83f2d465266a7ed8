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
	// WithinRegion, BetweenRegions and ToClients are one-way network latencies.
	// ToClients is the one between a VM and callers.
	WithinRegion, BetweenRegions, ToClients time.Duration
	// VMs is the number of entry VMs.
	VMs      int
	Services []ServiceProfile
}

// ServiceProfile describes a service of a deployment.
type ServiceProfile struct {
	Name string
	// Shards is the number of shards, Replicas the number of backend servers
	// that hold each.
	Shards, Replicas int
	// Backends is the number of backend servers.
	Backends        int
	Slots           int
	MaxConnections  int
	ConnectionSetup time.Duration
	Preference      config.Preference
}

// largeService describes a service whose backend servers hold one shard each,
// with two replicas of a shard in different zones.
func largeService(name string, shards, connections int, p config.Preference) ServiceProfile {
	return ServiceProfile{
		Name: name, Shards: shards, Replicas: 2, Backends: 2 * shards, Slots: 2,
		MaxConnections: connections, ConnectionSetup: 6 * time.Millisecond, Preference: p,
	}
}

// smallService describes a service whose backend servers all hold the same two
// shards.
func smallService(name string, backends, slots, connections int, p config.Preference) ServiceProfile {
	return ServiceProfile{
		Name: name, Shards: 2, Replicas: backends, Backends: backends, Slots: slots,
		MaxConnections: connections, ConnectionSetup: time.Millisecond, Preference: p,
	}
}

var profiles = map[string]func() Profile{
	"kykloskopos": Kykloskopos,
	"saa-mnara":   SaaMnara,
}

// Kykloskopos returns the profile of the client account Kykloskopos Rack Works: 18
// VMs in three regions and four services that all prefer latency.
func Kykloskopos() Profile {
	return Profile{
		Name:           "kykloskopos",
		Zones:          []string{"attica-a", "makedonia-a", "kriti-a"},
		WithinRegion:   500 * time.Microsecond,
		BetweenRegions: 8 * time.Millisecond,
		ToClients:      3 * time.Millisecond,
		VMs:            18,
		Services: []ServiceProfile{
			largeService("site-app", 20, 60, config.PreferLatency),
			largeService("crew-scheduling", 30, 60, config.PreferLatency),
			smallService("quoting", 5, 2, 250, config.PreferLatency),
			smallService("stock", 3, 2, 250, config.PreferLatency),
		},
	}
}

// SaaMnara returns the profile of the client account Saa Mnara Heritage Tours: 15
// VMs in three regions and four services that all prefer coverage.
func SaaMnara() Profile {
	return Profile{
		Name:           "saa-mnara",
		Zones:          []string{"nairobi-cbd", "mombasa-old-town", "kisumu-pier"},
		WithinRegion:   time.Millisecond,
		BetweenRegions: 20 * time.Millisecond,
		ToClients:      3 * time.Millisecond,
		VMs:            15,
		Services: []ServiceProfile{
			largeService("ticket-desk", 20, 55, config.PreferCoverage),
			largeService("guide-roster", 30, 55, config.PreferCoverage),
			smallService("concierge-portal", 3, 6, 100, config.PreferCoverage),
			smallService("school-trips", 3, 6, 100, config.PreferCoverage),
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
func (s ServiceProfile) BackendID(index int) string { return fmt.Sprintf("%s-%d", s.Name, index) }

// Zone returns the zone of a backend server. The replicas of a shard are in
// different zones, unless there are more replicas than zones.
func (p Profile) Zone(s ServiceProfile, index int) string {
	// Replica r of shard n is the backend server with index n*Replicas+r. Its zone
	// is number n+r: adding n spreads the backend servers evenly over the zones.
	return p.Zones[(index/s.Replicas+index%s.Replicas)%len(p.Zones)]
}

// replicasOf returns the indexes of the backend servers that hold a shard.
func (s ServiceProfile) replicasOf(shard int) []int {
	all := make([]int, s.Replicas)
	for r := range all {
		all[r] = (shard*s.Replicas + r) % s.Backends
	}
	return all
}

// Document returns the configuration of a service. The function address returns
// the address of a backend server.
func (p Profile) Document(s ServiceProfile, address func(backendID string) string) *config.Service {
	svc := &config.Service{Name: s.Name, Policy: config.DefaultPolicy()}
	svc.Policy.Preference = s.Preference
	for i := range s.Backends {
		zone, id := p.Zone(s, i), s.BackendID(i)
		svc.Backends = append(svc.Backends, config.Backend{
			ID: id, Address: address(id), Zone: zone, Region: zone,
			Slots: s.Slots, MaxConnections: s.MaxConnections,
		})
	}
	version := config.IndexVersion{Name: ProfileVersion, Sequence: 1}
	for shard := range s.Shards {
		var ids []string
		for _, i := range s.replicasOf(shard) {
			ids = append(ids, s.BackendID(i))
		}
		version.Shards = append(version.Shards, ids)
	}
	svc.Versions = []config.IndexVersion{version}
	return svc
}

// Settings returns the settings of the stand-in for a backend server. Its network
// latency is that to a VM in the zone fromZone; service times are those of
// standin.DefaultSettings.
func (p Profile) Settings(s ServiceProfile, index int, fromZone string) standin.Settings {
	settings := standin.DefaultSettings()
	settings.Slots = s.Slots
	settings.MaxConnections = s.MaxConnections
	settings.ConnectionSetup = standin.Duration(s.ConnectionSetup)
	settings.NetworkLatency = standin.Duration(p.Latency(fromZone, p.Zone(s, index)))
	holding := standin.Holding{Service: s.Name, Version: ProfileVersion}
	for shard := range s.Shards {
		if slices.Contains(s.replicasOf(shard), index) {
			holding.Shards = append(holding.Shards, shard)
		}
	}
	settings.Holdings = []standin.Holding{holding}
	return settings
}

// Capacity returns the rate, in queries a second, that keeps all slots of the backend
// servers in use if sub-requests take the given mean service time.
func (s ServiceProfile) Capacity(meanServiceTime time.Duration) float64 {
	return float64(s.Backends*s.Slots) / meanServiceTime.Seconds() / float64(s.Shards)
}

// Streams returns a stream for each service of the deployment, with a rate that
// uses the given fraction of the service's capacity.
func (p Profile) Streams(meanServiceTime time.Duration, utilization float64) []Stream {
	var streams []Stream
	for _, s := range p.Services {
		streams = append(streams, Stream{Service: s.Name, Rate: utilization * s.Capacity(meanServiceTime)})
	}
	return streams
}
