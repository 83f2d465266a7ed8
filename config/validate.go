package config

import (
	"fmt"
	"net/netip"
	"sort"
	"strconv"
	"time"
)

// Limits of the fields of a document. The upper limits only catch typing errors;
// they are far above the target size of a service.
const (
	maxServiceNameBytes = 64
	maxNameBytes        = 128
	maxDeadline         = 10 * time.Minute
	maxSlots            = 100_000
	maxConnections      = 1_000_000
	maxConcurrent       = 1_000_000
	maxQueued           = 1_000_000
	maxDefaultLimit     = 100_000
	maxPermille         = 1000
	// maxReplicas is the maximum number of replicas of a shard. It also bounds
	// the quadratic search for duplicates in checkReplicas.
	maxReplicas = 64
)

// validation collects the errors of the fields of one document.
type validation struct {
	fields []*FieldError
}

// reject records that a field has a value that is not allowed.
func (v *validation) reject(field, value, allowed string) {
	v.fields = append(v.fields, &FieldError{Field: field, Value: value, Allowed: allowed})
}

func (v *validation) err(service string) error {
	if len(v.fields) == 0 {
		return nil
	}
	return &ValidationError{Service: service, Fields: v.fields}
}

func (v *validation) checkRange(field string, value, low, high int64) {
	if value < low || value > high {
		v.reject(field, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validation) checkName(field, value string, maxBytes int) {
	if !validName(value, maxBytes) {
		v.reject(field, quoteTruncated(value), fmt.Sprintf("1 to %d letters, digits, '.', '_', ':' or '-', the first a letter or digit", maxBytes))
	}
}

// checkAddress accepts an IP address with a port. Host names are rejected,
// because processes are addressed by IP address and never through a name service.
func (v *validation) checkAddress(field, value string) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().Zone() != "" {
		v.reject(field, quoteTruncated(value), "an IP number and a port, such as 10.0.0.7:9000 or [2001:db8::7]:9000")
	}
}

// quoteTruncated truncates a value to maxNameBytes and quotes it for an error
// message.
func quoteTruncated(value string) string {
	if len(value) > maxNameBytes {
		value = value[:maxNameBytes] + "..."
	}
	return strconv.Quote(value)
}

// ValidName reports whether name is a valid service name. A name that is not
// valid must not become part of a key.
func ValidName(name string) bool { return validName(name, maxServiceNameBytes) }

func validName(name string, maxBytes int) bool {
	if name == "" || len(name) > maxBytes || !isAlphanumeric(name[0]) {
		return false
	}
	for i := 0; i < len(name); i++ {
		c := name[i]
		if !isAlphanumeric(c) && c != '.' && c != '_' && c != ':' && c != '-' {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// ValidateName returns a *ValidationError if name is not a valid service name.
func ValidateName(name string) error {
	var v validation
	v.checkName("name", name, maxServiceNameBytes)
	return v.err(quoteTruncated(name))
}

// Validate returns a *ValidationError that lists every field of the document
// with a value that is not allowed. Encode checks the size of the document.
func Validate(s *Service) error {
	var v validation
	v.checkName("name", s.Name, maxServiceNameBytes)
	known := v.checkBackends(s.Backends)
	v.checkVersions(s.Versions, known)
	v.checkPolicy(s.Policy)
	return v.err(s.Name)
}

func (v *validation) checkBackends(backends []Backend) map[string]bool {
	known := make(map[string]bool, len(backends))
	for i := range backends {
		b := &backends[i]
		field := fmt.Sprintf("backends[%d].", i)
		v.checkName(field+"id", b.ID, maxNameBytes)
		if known[b.ID] {
			v.reject(field+"id", quoteTruncated(b.ID), "an id that no other backend server of the service has")
		}
		known[b.ID] = true
		v.checkAddress(field+"address", b.Address)
		v.checkName(field+"zone", b.Zone, maxNameBytes)
		if b.Region != "" {
			v.checkName(field+"region", b.Region, maxNameBytes)
		}
		v.checkRange(field+"slots", int64(b.Slots), 1, maxSlots)
		v.checkRange(field+"max_connections", int64(b.MaxConnections), 1, maxConnections)
	}
	return known
}

func (v *validation) checkVersions(versions []IndexVersion, known map[string]bool) {
	names := make(map[string]bool, len(versions))
	sequences := make(map[int64]bool, len(versions))
	for i := range versions {
		iv := &versions[i]
		field := fmt.Sprintf("index_versions[%d].", i)
		v.checkName(field+"name", iv.Name, maxNameBytes)
		if names[iv.Name] {
			v.reject(field+"name", quoteTruncated(iv.Name), "a name that no other index version of the service has")
		}
		if iv.Sequence <= 0 || sequences[iv.Sequence] {
			v.reject(field+"sequence", strconv.FormatInt(iv.Sequence, 10), "a positive number that no other index version of the service has")
		}
		names[iv.Name], sequences[iv.Sequence] = true, true
		if len(iv.Shards) == 0 {
			v.reject(field+"shards", "no shards", "at least one shard")
		}
		for shard, replicas := range iv.Shards {
			v.checkReplicas(fmt.Sprintf("%sshards[%d]", field, shard), replicas, known)
		}
	}
}

func (v *validation) checkReplicas(field string, ids []string, known map[string]bool) {
	if len(ids) == 0 {
		v.reject(field, "no backend server", "at least one backend server")
	}
	if len(ids) > maxReplicas {
		v.reject(field, fmt.Sprintf("%d backend servers", len(ids)), fmt.Sprintf("at most %d backend servers", maxReplicas))
		return
	}
	for i, id := range ids {
		if !known[id] {
			v.reject(field, quoteTruncated(id), "ids of backend servers of the service")
		}
		for _, other := range ids[:i] {
			if other == id {
				v.reject(field, quoteTruncated(id)+" twice", "each backend server once")
			}
		}
	}
}

func (v *validation) checkPolicy(p Policy) {
	v.checkRange("policy.deadline_ms", p.DeadlineMS, 1, maxDeadline.Milliseconds())
	v.checkRange("policy.max_concurrent", int64(p.MaxConcurrent), 1, maxConcurrent)
	v.checkRange("policy.max_queued", int64(p.MaxQueued), 0, maxQueued)
	v.checkRange("policy.extra_load_permille", int64(p.ExtraLoadPermille), 0, maxPermille)
	v.checkRange("policy.hedge_permille", int64(p.HedgePermille), 0, maxPermille-1)
	v.checkRange("policy.min_coverage_permille", int64(p.MinCoveragePermille), 0, maxPermille)
	v.checkRange("policy.default_limit", int64(p.DefaultLimit), 1, maxDefaultLimit)
	v.checkRange("policy.priority", int64(p.Priority), int64(PriorityLow), int64(PriorityHigh))
	if p.Preference != PreferLatency && p.Preference != PreferCoverage {
		v.reject("policy.preference", quoteTruncated(string(p.Preference)), "latency or coverage")
	}
	if p.ReplicaChoice != ChoiceAdaptive && p.ReplicaChoice != ChoiceRandom {
		v.reject("policy.replica_choice", quoteTruncated(string(p.ReplicaChoice)), "adaptive or random")
	}
}

// Normalize returns a copy with defaults set, backend servers sorted by id and
// index versions sorted by sequence, so that equal declarations give equal
// documents. An empty policy becomes DefaultPolicy; in any other, only the
// preference, the priority and the replica choice have defaults.
func Normalize(s *Service) *Service {
	c := *s
	c.Policy = withDefaults(s.Policy)
	c.Backends = append([]Backend(nil), s.Backends...)
	sort.SliceStable(c.Backends, func(i, j int) bool { return c.Backends[i].ID < c.Backends[j].ID })
	c.Versions = append([]IndexVersion(nil), s.Versions...)
	sort.SliceStable(c.Versions, func(i, j int) bool { return c.Versions[i].Sequence < c.Versions[j].Sequence })
	return &c
}

func withDefaults(p Policy) Policy {
	defaults := DefaultPolicy()
	if p == (Policy{}) {
		return defaults
	}
	if p.Preference == "" {
		p.Preference = defaults.Preference
	}
	if p.Priority == 0 {
		p.Priority = defaults.Priority
	}
	if p.ReplicaChoice == "" {
		p.ReplicaChoice = defaults.ReplicaChoice
	}
	return p
}
