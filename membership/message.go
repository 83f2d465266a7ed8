package membership

import (
	"context"
	"fmt"
	"time"
)

// ConfigState describes the configuration of a VM. Each probe and each reply
// carries it.
type ConfigState struct {
	// Index is the highest revision in force of any service.
	Index int64 `json:"x,omitempty"`
	// CompleteIndex is the store index up to which the VM knows all changes: no
	// revision at or below it is missing.
	CompleteIndex int64 `json:"m,omitempty"`
	// Digest is a hash of the names and revisions of all services in force.
	Digest uint64 `json:"d,omitempty"`
	// Fresh says that the VM may admit queries, because its configuration was
	// confirmed within the freshness window.
	Fresh bool `json:"f,omitempty"`
}

// Delegate supplies the configuration state that probes carry and receives that of
// other VMs.
type Delegate interface {
	// ConfigState returns the state that probes and replies carry.
	ConfigState() ConfigState
	// Replied is called with the reply to a probe that was sent at the given
	// time. It must not block.
	Replied(peer Member, state ConfigState, sent time.Time)
	// Probed is called when a peer's probe arrives. It must not block.
	Probed(peer Member, state ConfigState)
}

// Transport sends messages to the peer API at an address.
type Transport interface {
	Probe(ctx context.Context, address string, req *ProbeRequest) (*ProbeReply, error)
	IndirectProbe(ctx context.Context, address string, req *IndirectProbeRequest) (*IndirectProbeReply, error)
	Sync(ctx context.Context, address string, req *SyncRequest) (*SyncReply, error)
}

// ProbeRequest checks that a VM is alive and carries updates of the member table.
type ProbeRequest struct {
	From    Member      `json:"f"`
	Digest  uint64      `json:"d"`
	Config  ConfigState `json:"c"`
	Updates []Member    `json:"u,omitempty"`
}

// ProbeReply answers a probe. It has the fields of the request, set by the
// receiver.
type ProbeReply ProbeRequest

// IndirectProbeRequest asks a VM to probe another one.
type IndirectProbeRequest struct {
	From   Member `json:"f"`
	Target Member `json:"t"`
}

// IndirectProbeReply carries the target's current entry if the target answered,
// and the entry of the request otherwise.
type IndirectProbeReply struct {
	Reached bool   `json:"r"`
	Target  Member `json:"t"`
}

// SyncRequest carries the digests of the sender's table, or the members that
// the receiver lacks.
type SyncRequest struct {
	From    Member   `json:"f"`
	Digests Digests  `json:"d"`
	Members []Member `json:"m,omitempty"`
	// Push is set when the request only delivers Members, so that the reply
	// contains none.
	Push bool `json:"p,omitempty"`
}

// SyncReply carries the members in the buckets whose digests differ.
type SyncReply struct {
	From    Member   `json:"f"`
	Digests Digests  `json:"d"`
	Members []Member `json:"m,omitempty"`
}

// MessageError reports a malformed message from a peer.
type MessageError struct {
	Field  string
	Reason string
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("peer message: field %s: %s", e.Field, e.Reason)
}

// SupersededError reports a message from an incarnation of a VM that is older than
// the known one.
type SupersededError struct {
	ID          string
	Incarnation int64
	Known       int64
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("VM %s: incarnation %d is superseded by %d", e.ID, e.Incarnation, e.Known)
}

// ConfigError reports an invalid field of a Config.
type ConfigError struct {
	Field  string
	Reason string
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("membership: config field %s: %s", e.Field, e.Reason)
}

const (
	// maxNameBytes is the maximum size of an id, an address, a zone or a region, in bytes.
	maxNameBytes = 128
	// maxSyncMembers is the maximum number of members in a sync message.
	maxSyncMembers = 4096
)

// Validate returns a *MessageError for the first invalid field of a member.
func (m *Member) Validate() error {
	switch {
	case m.ID == "" || len(m.ID) > maxNameBytes:
		return &MessageError{"member id", "must have 1 to 128 bytes"}
	case m.PeerAddress == "" || len(m.PeerAddress) > maxNameBytes || len(m.CallerAddress) > maxNameBytes:
		return &MessageError{"member address", "must have 1 to 128 bytes"}
	case len(m.Zone) > maxNameBytes || len(m.Region) > maxNameBytes:
		return &MessageError{"member zone", "must have at most 128 bytes"}
	case m.Incarnation <= 0 || m.Sequence < 0 || m.ConfigIndex < 0:
		return &MessageError{"member incarnation", "must be positive"}
	case !m.State.Valid():
		return &MessageError{"member state", "unknown"}
	}
	return nil
}

func validateAll(from Member, members []Member, limit int) error {
	if err := from.Validate(); err != nil {
		return err
	}
	if len(members) > limit {
		return &MessageError{"members", "too many"}
	}
	for i := range members {
		if err := members[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}
