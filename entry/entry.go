// Package entry implements Daemon, which runs on an entry VM (command
// briarstand-entry): it answers callers over plain HTTP by forwarding their
// requests to the backend servers that are registered in the platform's store.
// Package server has the other daemon, briarstandd, which has an API of its own
// and keeps streams to its backend servers.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/briarstand/briarstand/discovery"
	"github.com/briarstand/briarstand/forward"
	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/mirror"
	"github.com/briarstand/briarstand/route"
	"github.com/briarstand/briarstand/upstream"
)

// Settings configures the daemon of one entry VM.
type Settings struct {
	VMID, Zone, Region string
	// Zones maps every availability zone to its region.
	Zones map[string]string
	// CallerAddress, ReadyAddress, ResolveAddress and PeerAddress are where
	// the daemon listens, as host:port.
	CallerAddress, ReadyAddress, ResolveAddress, PeerAddress string
	// AdminAddress is where the daemon serves metrics, readiness and its Report;
	// "" for nowhere.
	AdminAddress string
	// PeerSeeds are peer addresses of other VMs, from which records may be read
	// while the store does not answer.
	PeerSeeds []string
	// Cores is the CPU capacity of the VM in cores; 0 if unknown.
	Cores float64
	// DrainBound limits how long a backend server may still get requests after
	// its record has been marked as draining or has been deleted.
	DrainBound time.Duration
	// ConfigBound limits how long requests may be handled by an older configuration
	// after the store has acknowledged a newer one; 0 if unlimited.
	ConfigBound time.Duration
	// StabilityPeriod is how long the store must have been without an outage before
	// DrainBound applies again, and a VM without a fault before it counts as in touch.
	StabilityPeriod time.Duration
	// HeartbeatInterval is the time between the writes of backend servers to their records.
	HeartbeatInterval time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
	Bounds
}

// Bounds are the settings that Reload applies to a running daemon.
type Bounds struct {
	// MemoryBytes is the memory that the process may use; 0 if unlimited.
	MemoryBytes int64
	// StopGrace is the time from SIGTERM until the platform kills the process.
	StopGrace time.Duration
	// MaxAddressTTL limits how long callers may cache addresses.
	MaxAddressTTL time.Duration
	// BudgetPermille is the number of hedges and retries allowed per thousand
	// requests to a service; BudgetSlack is how many hedges and retries all VMs
	// together may send beyond that in a BudgetWindow.
	BudgetPermille int
	BudgetSlack    float64
	BudgetWindow   time.Duration
}

// RecordKind says what a record of the store holds.
type RecordKind int

// Kinds of records.
const (
	OtherRecord RecordKind = iota
	ConfigurationRecord
	ServerRecord
	VMRecord
)

// ResolveRequest asks for the addresses of VMs near a caller.
type ResolveRequest struct{ Zone, Region string }

// Platform adapts the daemon to the store and the protocols of the platform
// that it runs on.
type Platform interface {
	mirror.Store
	upstream.Protocol

	// GrantLease, RenewLease, RevokeLease and Put maintain this VM's record in the
	// store, which is deleted when its lease expires or is revoked. They return
	// the errors of package kvstore.
	GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error)
	RenewLease(ctx context.Context, id kvstore.LeaseID) error
	RevokeLease(ctx context.Context, id kvstore.LeaseID) error
	Put(ctx context.Context, key string, value []byte, lease kvstore.LeaseID) error

	// Kind classifies a record by its key; DecodeTable, DecodeServer and
	// DecodeVM decode records, and EncodeVM encodes one.
	Kind(key string) RecordKind
	DecodeTable(r mirror.Record) (*route.Table, error)
	DecodeServer(r mirror.Record) (discovery.Server, error)
	DecodeVM(r mirror.Record) (membership.Member, error)
	EncodeVM(m membership.Member) (key string, value []byte, err error)

	// ReadyPath and ResolvePath are the HTTP paths of the readiness check and of
	// the address lookup.
	ReadyPath() string
	ResolvePath() string
	DecodeResolveRequest(r *http.Request) ResolveRequest
	WriteAddresses(w http.ResponseWriter, addresses []string, ttl time.Duration) error

	// RequestInfo returns a request's id and the caller's timeout; 0 if it sent
	// none.
	RequestInfo(r *http.Request) (id string, wait time.Duration)
	// EncodeHead returns the encoded request line and headers to send to
	// backend servers.
	EncodeHead(r *http.Request, bodyLength int) []byte
	// WriteAnswer writes the reply, refusal or error to the caller.
	WriteAnswer(w http.ResponseWriter, a *forward.Answer, requestID string) error
}
