// Package entry is the daemon of an entry VM: it answers callers over plain
// HTTP from the backend servers that the shared records name.
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

// Settings are the settings of one entry VM.
type Settings struct {
	VMID, Zone, Region string
	// Zones maps every availability zone to its region.
	Zones map[string]string
	// CallerAddress, ReadyAddress, ResolveAddress and PeerAddress are where
	// the daemon listens, as host:port.
	CallerAddress, ReadyAddress, ResolveAddress, PeerAddress string
	// AdminAddress is where metrics and the state of the process are read; ""
	// for nowhere.
	AdminAddress string
	// PeerSeeds are peer addresses of other VMs, to be asked while the store
	// does not answer and no VM is known.
	PeerSeeds []string
	// Cores is the processor time that the VM has, in cores; 0 if unknown.
	Cores float64
	// DrainBound is how soon a backend server that drains must get no more work.
	DrainBound time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
	Bounds
}

// Bounds are the settings that a running daemon takes over.
type Bounds struct {
	// MemoryBytes is the memory that the process may use; 0 if unlimited.
	MemoryBytes int64
	// StopGrace is how long after SIGTERM the process is killed.
	StopGrace time.Duration
	// MaxAddressTTL bounds how long callers may keep addresses.
	MaxAddressTTL time.Duration
	// BudgetPermille is how many hedges and retries may be sent for a thousand
	// requests to a service, and BudgetSlack how many more in a BudgetWindow by
	// all VMs together.
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

// ResolveRequest asks for addresses near a caller.
type ResolveRequest struct{ Zone, Region string }

// Platform is what the daemon needs of the platform that it runs on.
type Platform interface {
	mirror.Store
	upstream.Protocol

	// GrantLease, RenewLease, RevokeLease and Put keep this VM's own record.
	// They fail with the errors of package kvstore.
	GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error)
	RenewLease(ctx context.Context, id kvstore.LeaseID) error
	RevokeLease(ctx context.Context, id kvstore.LeaseID) error
	Put(ctx context.Context, key string, value []byte, lease kvstore.LeaseID) error

	// Kind, Table, Server, VM and EncodeVM translate records.
	Kind(key string) RecordKind
	Table(r mirror.Record) (*route.Table, error)
	Server(r mirror.Record) (discovery.Server, error)
	VM(r mirror.Record) (membership.Member, error)
	EncodeVM(m membership.Member) (key string, value []byte, err error)

	// ReadyPath and ResolvePath are the paths of the VM's own answers.
	ReadyPath() string
	ResolvePath() string
	ResolveRequest(r *http.Request) ResolveRequest
	ResolveAnswer(w http.ResponseWriter, addresses []string, ttl time.Duration) error

	// Caller returns a request's id, and how long the caller waits; 0 if it
	// does not say.
	Caller(r *http.Request) (id string, wait time.Duration)
	// Head returns the request line and headers for backend servers.
	Head(r *http.Request, bodyLength int) []byte
	// Answer writes the end of a request to the caller.
	Answer(w http.ResponseWriter, a *forward.Answer, requestID string) error
}
