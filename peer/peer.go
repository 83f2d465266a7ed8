// Package peer implements the HTTP protocol between VMs: probes, syncs of member
// tables, transfer of configuration documents and the relay of queries.
package peer

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Paths of the peer API.
const (
	PathProbe         = "/peer/v1/probe"
	PathIndirectProbe = "/peer/v1/indirect-probe"
	PathSync          = "/peer/v1/sync"
	PathPush          = "/peer/v1/config/push"
	PathConfig        = "/peer/v1/config"
	PathQuery         = "/peer/v1/query"
)

// Limits of message sizes, in bytes.
const (
	maxProbeBytes = 64 << 10
	maxSyncBytes  = 2 << 20
	maxPushBytes  = 8 << 20
	maxPullBytes  = 64 << 20
	maxQueryBytes = 4 << 20
	maxErrorBytes = 4 << 10
)

// Error codes, by which a client tells errors apart without parsing their text.
const (
	codeMalformed     = "malformed"
	codeUnknownMember = "unknown-member"
	codeSuperseded    = "superseded"
	codeIncarnation   = "incarnation"
	codeRefused       = "refused"
	codeInternal      = "internal"
)

// errorBody is the JSON form of an error.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// RemoteError reports an error that a peer returned.
type RemoteError struct {
	Status  int
	Code    string
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer answered %d (%s): %s", e.Status, e.Code, e.Message)
}

// IncarnationError reports a relayed query whose ticket was issued by an incarnation
// of the VM that has ended.
type IncarnationError struct {
	VMID        string
	Incarnation int64
}

func (e *IncarnationError) Error() string {
	return fmt.Sprintf("VM %s no longer runs incarnation %d", e.VMID, e.Incarnation)
}

// UnknownVMError reports a relay to a VM that is not in the member table.
type UnknownVMError struct{ VMID string }

func (e *UnknownVMError) Error() string {
	return fmt.Sprintf("VM %s is not in the member table", e.VMID)
}

// CallError reports a call to a peer that failed without a valid reply.
type CallError struct {
	Path    string
	Address string
	Err     error
}

func (e *CallError) Error() string { return fmt.Sprintf("call %s at %s: %v", e.Path, e.Address, e.Err) }

func (e *CallError) Unwrap() error { return e.Err }

// counters holds the metrics of one VM's peer API. The byte counters cover control
// traffic only, without relayed queries.
type counters struct {
	set                      *metrics.Set
	sentBytes, receivedBytes *metrics.Counter
	refused                  *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	if set == nil {
		set = metrics.NewSet()
	}
	return &counters{
		set:           set,
		sentBytes:     set.GetOrCreateCounter(`briarstand_control_bytes_total{direction="sent"}`),
		receivedBytes: set.GetOrCreateCounter(`briarstand_control_bytes_total{direction="received"}`),
		refused:       set.GetOrCreateCounter("briarstand_peer_refused_total"),
	}
}

// messages returns the message counter of a path; side is client or server.
func (c *counters) messages(side, path string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf(`briarstand_peer_messages_total{side=%q,path=%q}`, side, strings.TrimPrefix(path, "/peer/v1/")))
}

// headerBytes returns the size of a header on the wire.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
