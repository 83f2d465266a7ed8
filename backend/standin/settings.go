package standin

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "5ms".
type Duration time.Duration

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// Holding names shards that a backend server holds.
type Holding struct {
	// Service is the service's name; empty means any.
	Service string `json:"service,omitempty"`
	// Version is the index version's name; empty means any.
	Version string `json:"version,omitempty"`
	// Shards lists the shards; empty means all.
	Shards []int `json:"shards,omitempty"`
}

func (h *Holding) covers(service, version string, shard int) bool {
	return (h.Service == "" || h.Service == service) &&
		(h.Version == "" || h.Version == version) &&
		(len(h.Shards) == 0 || slices.Contains(h.Shards, shard))
}

// Settings configure the capacity and latency of a backend server.
type Settings struct {
	// Slots is how many sub-requests run concurrently.
	Slots int `json:"slots"`
	// QueueLimit is how many sub-requests wait for a slot; more are shed.
	QueueLimit int `json:"queue_limit"`
	// MaxConnections limits the open HTTP/2 connections; 0 means no limit.
	MaxConnections int `json:"max_connections"`
	// ConnectionSetup is the setup time of a new connection.
	ConnectionSetup Duration `json:"connection_cost"`
	// ServiceBase is the shortest service time. A uniformly distributed time of
	// up to ServiceJitter is added to it. ServiceTail is also added, with
	// probability TailProbability.
	ServiceBase     Duration `json:"service_base"`
	ServiceJitter   Duration `json:"service_jitter"`
	ServiceTail     Duration `json:"service_tail"`
	TailProbability float64  `json:"tail_probability"`
	// NetworkLatency is the one-way delay of sub-requests, and again of their
	// replies.
	NetworkLatency Duration `json:"network_latency"`
	// ColdFor is the length of the cold period after the server's start. During it
	// service times fall linearly from ColdFactor times the normal ones to the
	// normal ones.
	ColdFor    Duration `json:"cold_for"`
	ColdFactor float64  `json:"cold_factor"`
	// Holdings lists what the backend server holds; empty means everything.
	Holdings []Holding `json:"holdings"`
}

func (s *Settings) holds(service, version string, shard int) bool {
	if len(s.Holdings) == 0 {
		return true
	}
	for i := range s.Holdings {
		if s.Holdings[i].covers(service, version, shard) {
			return true
		}
	}
	return false
}

// DefaultSettings returns the settings of a fast backend server with two slots.
func DefaultSettings() Settings {
	return Settings{Slots: 2, QueueLimit: 64, ServiceBase: Duration(time.Millisecond)}
}

// Faults are injected faults of a backend server. Probabilities lie between 0
// and 1 and apply to each sub-request independently.
type Faults struct {
	// StragglerFactor multiplies service times; 0 means 1.
	StragglerFactor float64 `json:"straggler_factor"`
	// IgnoreCancellation still runs sub-requests that were cancelled or whose
	// stream has ended.
	IgnoreCancellation bool `json:"ignore_cancellation"`
	// FailProbability is how often a sub-request runs and then fails.
	FailProbability float64 `json:"fail_probability"`
	// ShedProbability is how often a sub-request is shed without overload.
	ShedProbability float64 `json:"shed_probability"`
	// DropProbability is how often a reply is lost.
	DropProbability float64 `json:"drop_probability"`
	// DuplicateProbability is how often a reply is sent twice.
	DuplicateProbability float64 `json:"duplicate_probability"`
	// InventProbability is how often a reply is followed by another one, to a
	// sub-request that was never sent.
	InventProbability float64 `json:"invent_probability"`
	// WrongVersionProbability is how often a reply names another index version.
	WrongVersionProbability float64 `json:"wrong_version_probability"`
	// WrongShardProbability is how often a reply names another shard.
	WrongShardProbability float64 `json:"wrong_shard_probability"`
	// InvalidStatusProbability is how often a reply with hits has the status 0, which
	// the protocol does not define.
	InvalidStatusProbability float64 `json:"invalid_status_probability"`
	// DelayProbability is how often ReplyDelay is added to a reply.
	DelayProbability float64  `json:"delay_probability"`
	ReplyDelay       Duration `json:"reply_delay"`
	// ReportLoad replaces the reported load.
	ReportLoad *float64 `json:"report_load"`
	// ReportHealthy replaces the reported health.
	ReportHealthy *bool `json:"report_healthy"`
	// StatusDelay delays the response of Status.
	StatusDelay Duration `json:"status_delay"`
	// Silent discards all bytes on connections without closing them, like a
	// network partition. A connection that lost bytes stays silent permanently.
	Silent bool `json:"silent"`
}
