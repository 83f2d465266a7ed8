package query

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/ticket"
)

// unknownServiceTimeout replaces the policy's deadline if this VM does not know the
// service. It limits the wait for a relay's response, or for the outcome of an
// earlier request with the same ticket.
const unknownServiceTimeout = time.Second

// runTicketed runs a non-idempotent query at most once. Every refusal by the VM
// that issued the ticket uses the ticket up: a duplicate of the request may still
// be in transit, and must not run after the caller was told "not run".
func (e *Engine) runTicketed(ctx context.Context, req *briarstandv1.QueryRequest, mayRelay bool) (*briarstandv1.QueryResponse, error) {
	id := req.GetRequestId()
	if id == "" {
		id = req.GetTicket()
	}
	vmID, incarnation, err := ticket.Origin(req.GetTicket())
	if err != nil {
		return nil, &InvalidRequestError{Field: "ticket", Reason: err.Error(), Err: err}
	}
	if vmID != e.cfg.VMID {
		return e.relay(ctx, req, id, vmID, incarnation, mayRelay)
	}
	entry, first, err := e.cfg.Issuer.BeginFor(req.GetTicket(), fingerprint(req))
	if err != nil {
		return e.ticketRefused(id, err)
	}
	if !first {
		return e.join(ctx, req, id, entry)
	}
	return e.runFirst(ctx, req, id, entry)
}

func (e *Engine) ticketRefused(id string, err error) (*briarstandv1.QueryResponse, error) {
	var expired *ticket.ExpiredError
	var full *ticket.FullError
	switch {
	case errors.As(err, &expired):
		return e.unknown(id, err.Error()), nil
	case errors.As(err, &full):
		return e.notRun(id, err.Error(), unavailableRetryAfter), nil
	}
	return nil, &InvalidRequestError{Field: "ticket", Reason: err.Error(), Err: err}
}

// fingerprint hashes the content of a request. The request id, the timeout and the
// priority may differ between requests with the same ticket.
func fingerprint(req *briarstandv1.QueryRequest) uint64 {
	d := xxhash.New()
	var word [8]byte
	writeInt := func(n int) {
		binary.LittleEndian.PutUint64(word[:], uint64(n))
		d.Write(word[:]) // never fails
	}
	writeInt(len(req.GetService()))
	d.WriteString(req.GetService()) // never fails
	writeInt(len(req.GetBody()))
	d.Write(req.GetBody())
	writeInt(int(req.GetLimit()))
	for _, shard := range req.GetShards() {
		writeInt(int(shard))
	}
	return d.Sum64()
}

// runFirst runs the query of a ticket that was not used before and stores its
// outcome.
func (e *Engine) runFirst(ctx context.Context, req *briarstandv1.QueryRequest, id string, entry *ticket.Entry) (*briarstandv1.QueryResponse, error) {
	stored := e.unknown(id, "the request ended without an outcome")
	defer func() { entry.Finish(stored) }()
	resp, err := e.runAdmitted(ctx, req, id)
	if err != nil {
		// An error of runAdmitted means that nothing ran.
		stored = e.notRun(id, err.Error(), 0)
		return nil, err
	}
	stored = proto.CloneOf(resp)
	return resp, nil
}

// join waits for the outcome of a ticket that was used before.
func (e *Engine) join(ctx context.Context, req *briarstandv1.QueryRequest, id string, entry *ticket.Entry) (*briarstandv1.QueryResponse, error) {
	ctx, cancel, err := e.withAnswerDeadline(ctx, req)
	if err != nil {
		return e.unknown(id, err.Error()), nil
	}
	defer cancel()
	resp, err := entry.Wait(ctx)
	if err != nil {
		return e.unknown(id, "the request still runs: "+err.Error()), nil
	}
	resp.RequestId = id
	return resp, nil
}

// relay forwards the query to the VM that issued its ticket. This VM cannot know
// whether the ticket was used before, so it never answers "not run" itself.
func (e *Engine) relay(ctx context.Context, req *briarstandv1.QueryRequest, id, vmID string, incarnation int64, mayRelay bool) (*briarstandv1.QueryResponse, error) {
	if !mayRelay || e.cfg.Relay == nil {
		return e.unknown(id, "the VM that issued the ticket, "+vmID+", cannot be reached"), nil
	}
	ctx, cancel, err := e.withAnswerDeadline(ctx, req)
	if err != nil {
		return e.unknown(id, err.Error()), nil
	}
	defer cancel()
	out := proto.CloneOf(req)
	out.RequestId = id
	if deadline, ok := ctx.Deadline(); ok {
		out.TimeoutMs = max(time.Until(deadline).Milliseconds(), 1)
	}
	resp, err := e.cfg.Relay.RelayQuery(ctx, vmID, incarnation, out)
	if err != nil {
		return e.unknown(id, "relay to VM "+vmID+": "+err.Error()), nil
	}
	if resp == nil {
		return e.unknown(id, "relay to VM "+vmID+": no answer"), nil
	}
	return resp, nil
}

// withAnswerDeadline returns a context that ends shortly before the request's
// deadline.
func (e *Engine) withAnswerDeadline(ctx context.Context, req *briarstandv1.QueryRequest) (context.Context, context.CancelFunc, error) {
	timeout := unknownServiceTimeout
	if _, p, ok := e.lookup(req.GetService()); ok {
		timeout = p.service.Policy.Deadline()
	}
	answerBy, err := e.answerBy(ctx, req, policyWithDeadline(timeout), time.Now())
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, answerBy)
	return ctx, cancel, nil
}
