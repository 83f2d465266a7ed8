package rollout

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/membership"
)

// Transport sends messages to the peer API at an address.
type Transport interface {
	Push(ctx context.Context, address string, req *PushRequest) (*PushReply, error)
	Pull(ctx context.Context, address string, req *PullRequest) (*PullReply, error)
}

// Sender identifies the VM that sent a message.
type Sender struct {
	ID          string `json:"i"`
	Incarnation int64  `json:"n"`
}

// Target is a VM that a push is sent to.
type Target struct {
	ID      string `json:"i"`
	Address string `json:"p"`
}

// PushRequest carries a document down the tree. Without a document it only asks
// for confirmations.
type PushRequest struct {
	From Sender `json:"f"`
	// Coordinator is the id of the VM that drives the rollout.
	Coordinator string `json:"r"`
	Service     string `json:"s"`
	Revision    int64  `json:"v"`
	Document    []byte `json:"d,omitempty"`
	// Slice lists the VMs below the receiver in the tree.
	Slice []Target `json:"l,omitempty"`
	// KnownDigest is the hash of the VMs that the coordinator knows.
	KnownDigest uint64 `json:"k,omitempty"`
	// BudgetMS is the time until the reply is due, in milliseconds.
	BudgetMS int64 `json:"b"`
	// Accepted is the highest accepted revision that the coordinator knows.
	Accepted int64 `json:"a,omitempty"`
}

// Confirmation reports the revision that a VM has in force.
type Confirmation struct {
	ID          string `json:"i"`
	Incarnation int64  `json:"n"`
	Revision    int64  `json:"v"`
}

// KnownVM is a VM in the member table of a confirming VM.
type KnownVM struct {
	ID          string `json:"i"`
	Incarnation int64  `json:"n"`
	Address     string `json:"p"`
	// Required is whether acceptance has to wait for the VM: it is not dead,
	// or it was heard within the freshness window.
	Required bool `json:"w,omitempty"`
	// Listed is whether the sender has seen the VM on the platform's list. If
	// no sender has, the VM's absence from the list does not show that it is
	// gone, and acceptance has to wait for it too.
	Listed bool `json:"l,omitempty"`
}

// PushReply carries the confirmations of the receiver and of its slice.
type PushReply struct {
	Confirmed []Confirmation `json:"c"`
	// Known lists the VMs known to the receiver or its slice. It is empty when
	// they equal those that the coordinator knows.
	Known []KnownVM `json:"k,omitempty"`
}

// PullRequest asks for the documents whose revisions are above a store index.
type PullRequest struct {
	From  Sender
	Since int64
	// Have lists revisions above Since that the sender already has.
	Have map[string]int64
}

// PullReply carries documents that the sender of the request lacks.
type PullReply struct {
	From      Sender                 `json:"f"`
	Config    membership.ConfigState `json:"c"`
	Documents [][]byte               `json:"d,omitempty"`
	// Accepted holds the accepted revisions of the services in Documents.
	Accepted map[string]int64 `json:"a,omitempty"`
}

// MessageError reports a malformed message from a peer.
type MessageError struct {
	Field  string
	Reason string
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("peer message: field %s: %s", e.Field, e.Reason)
}

const (
	// maxTargets is the maximum number of VMs in a list of a message.
	maxTargets = 8192
	// maxNameSize is the maximum size of a service name, a VM id or an
	// address, in bytes.
	maxNameSize = 128
	// maxDocument is the maximum size of a decompressed document, in bytes. It
	// exceeds the limit of the store because documents sent between peers also
	// contain the revisions of audit records.
	maxDocument = 2 * kvstore.MaxValueBytes
)

// Validate checks a push request received from a peer. It returns a
// *MessageError if the request is malformed.
func (r *PushRequest) Validate() error {
	switch {
	case r.Service == "" || len(r.Service) > maxNameSize:
		return &MessageError{"service", "must have 1 to 128 bytes"}
	case r.Revision <= 0:
		return &MessageError{"revision", "must be positive"}
	case r.From.ID == "" || r.Coordinator == "":
		return &MessageError{"sender", "is missing"}
	case len(r.Slice) > maxTargets:
		return &MessageError{"slice", "too many targets"}
	case r.BudgetMS < 0:
		return &MessageError{"budget", "must not be negative"}
	}
	for _, t := range r.Slice {
		if t.ID == "" || t.Address == "" || len(t.ID) > maxNameSize || len(t.Address) > maxNameSize {
			return &MessageError{"slice", "target without id or address"}
		}
	}
	return nil
}

// encodeDocument returns a service as gzip-compressed JSON. The coordinator
// compresses it once per push, and the tree forwards it unchanged.
func encodeDocument(svc *config.Service) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(svc); err != nil {
		return nil, fmt.Errorf("encode document of %s: %w", svc.Name, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress document of %s: %w", svc.Name, err)
	}
	return b.Bytes(), nil
}

// decodeDocument is the inverse of encodeDocument. It returns a *MessageError if
// the document is malformed or larger than maxDocument.
func decodeDocument(b []byte) (*config.Service, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, &MessageError{"document", err.Error()}
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDocument+1))
	if err != nil {
		return nil, &MessageError{"document", err.Error()}
	}
	if len(plain) > maxDocument {
		return nil, &MessageError{"document", "too large"}
	}
	svc := &config.Service{}
	if err := json.Unmarshal(plain, svc); err != nil {
		return nil, &MessageError{"document", err.Error()}
	}
	if svc.Name == "" || svc.Revision <= 0 {
		return nil, &MessageError{"document", "has no name or revision"}
	}
	return svc, nil
}
