// Package config holds the configuration of services: the documents as the
// store keeps them, their validation, and the immutable snapshots that the
// request path reads. Package config/command changes the documents in the store,
// and package config/query reads them for operators.
package config

import (
	"fmt"
	"time"
)

// ServicesPrefix is the key prefix of service documents.
const ServicesPrefix = "briarstand/services/"

// AcceptedPrefix is the key prefix of accepted marks. The mark of a service records
// its highest accepted revision, which package rollout determines.
const AcceptedPrefix = "briarstand/accepted/"

// AuditPrefix is the key prefix of archived audit records.
const AuditPrefix = "briarstand/audit/"

// Service is the configuration of one service at one revision.
// A published Service is immutable, including all values reachable from it.
type Service struct {
	Name string `json:"name"`
	// Revision is the store index of the write. It is not part of the stored
	// document; Decode sets it from the store entry.
	Revision int64  `json:"revision,omitempty"`
	ChangeID string `json:"change_id"`
	// Deleted marks a tombstone, the document of a deleted service. It stays in
	// the store under the service's key, so that an older document can never be
	// taken for the current one.
	Deleted  bool           `json:"deleted,omitempty"`
	Backends []Backend      `json:"backends,omitempty"`
	Versions []IndexVersion `json:"index_versions,omitempty"`
	Policy   Policy         `json:"policy"`
	// Audit holds the most recent audit records, oldest first.
	Audit []AuditRecord `json:"audit,omitempty"`
	// NewestChunk is the revision in the key of the newest archived audit
	// chunk; 0 if no records were archived.
	NewestChunk int64 `json:"archived_from,omitempty"`
}

// Backend is a backend server that serves shards of a service.
type Backend struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region,omitempty"`
	// Slots is the number of sub-requests that the backend server runs
	// concurrently.
	Slots int `json:"slots"`
	// MaxConnections is the total number of connections that the backend server
	// accepts, from all VMs together.
	MaxConnections int  `json:"max_connections"`
	Draining       bool `json:"draining,omitempty"`
}

// IndexVersion is one version of the index with its shard map.
type IndexVersion struct {
	Name string `json:"name"`
	// Sequence increases with each version; the highest is the newest.
	Sequence int64 `json:"sequence"`
	// Shards lists, for each shard, the ids of the backend servers that hold it.
	Shards [][]string `json:"shards"`
}

// Preference selects what takes precedence when an answer cannot be both timely
// and complete.
type Preference string

// Preferences of a service.
const (
	// PreferLatency puts a timely answer first.
	PreferLatency Preference = "latency"
	// PreferCoverage puts a complete answer first.
	PreferCoverage Preference = "coverage"
)

// ReplicaChoice is the algorithm that selects the replica of a shard.
type ReplicaChoice string

// Replica selection algorithms.
const (
	// ChoiceAdaptive is power of two choices by in-flight count and latency.
	ChoiceAdaptive ReplicaChoice = "adaptive"
	// ChoiceRandom is uniform random selection, the baseline for measurements.
	ChoiceRandom ReplicaChoice = "random"
)

// Priority is the priority of a request in admission control; a higher value
// goes first.
type Priority int

// Priorities of requests.
const (
	PriorityLow    Priority = 1
	PriorityNormal Priority = 2
	PriorityHigh   Priority = 3
)

// Policy holds the limits and deadlines of a service.
type Policy struct {
	// DeadlineMS is the maximum duration of a query, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// MaxConcurrent is the maximum number of queries that one VM runs
	// concurrently.
	MaxConcurrent int `json:"max_concurrent"`
	// MaxQueued is the maximum number of queries queued for admission at one VM.
	MaxQueued int `json:"max_queued"`
	// ExtraLoadPermille limits hedges and retries to a fraction of the
	// sub-requests sent, in parts per thousand.
	ExtraLoadPermille int `json:"extra_load_permille"`
	// HedgePermille is the percentile of recent sub-request latency after which
	// a hedge is sent, in parts per thousand; 0 disables hedging.
	HedgePermille int        `json:"hedge_permille"`
	Preference    Preference `json:"preference"`
	// MinCoveragePermille is the fraction of shards, in parts per thousand, that
	// must have answered; with fewer, the answer contains no hits.
	MinCoveragePermille int `json:"min_coverage_permille"`
	// DefaultLimit is the maximum number of hits of a query that sets no limit.
	DefaultLimit  int           `json:"default_limit"`
	Priority      Priority      `json:"priority"`
	ReplicaChoice ReplicaChoice `json:"replica_choice"`
}

// Deadline returns DeadlineMS as a duration.
func (p Policy) Deadline() time.Duration {
	return time.Duration(p.DeadlineMS) * time.Millisecond
}

// DefaultPolicy returns the policy of a service that declares none. Normalize
// also takes individual defaults from it.
func DefaultPolicy() Policy {
	return Policy{
		DeadlineMS:        250,
		MaxConcurrent:     256,
		MaxQueued:         256,
		ExtraLoadPermille: 50,
		HedgePermille:     950,
		Preference:        PreferLatency,
		DefaultLimit:      10,
		Priority:          PriorityNormal,
		ReplicaChoice:     ChoiceAdaptive,
	}
}

// AuditRecord records one change of a service: who made it, what changed, when
// and why.
type AuditRecord struct {
	ChangeID string `json:"change_id"`
	// Revision is the revision that the change produced. It is 0 in the newest
	// record of a stored document, because the store assigns it at the write.
	Revision int64 `json:"revision,omitempty"`
	// Base is the revision that the change was based on.
	Base     int64     `json:"base"`
	Time     time.Time `json:"time"`
	Operator string    `json:"operator"`
	Action   string    `json:"action"`
	Reason   string    `json:"reason,omitempty"`
	// Before and After are the old and new values of the changed fields, as JSON.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// FieldError reports a field with a value that is not allowed.
type FieldError struct {
	Field   string
	Value   string
	Allowed string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s", e.Field, e.Value, e.Allowed)
}

// Version returns the index version with the given name.
func (s *Service) Version(name string) (*IndexVersion, bool) {
	for i := range s.Versions {
		if s.Versions[i].Name == name {
			return &s.Versions[i], true
		}
	}
	return nil, false
}

// Backend returns the backend server with the given id.
func (s *Service) Backend(id string) (*Backend, bool) {
	for i := range s.Backends {
		if s.Backends[i].ID == id {
			return &s.Backends[i], true
		}
	}
	return nil, false
}
