package cli

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
)

type callerAPI = briarstandv1connect.CallerServiceClient

// callerClient resolves the addresses of the VMs and sends queries to them. It
// sends a request to another VM only if the request is idempotent, is known not to
// have run, or has a ticket, which prevents a second run.
type callerClient struct {
	http      connect.HTTPClient
	bootstrap []string
	callerID  string
	zone      string
	// minAttemptTimeout is the minimum time that each VM has to answer a query.
	minAttemptTimeout time.Duration
}

func (c *callerClient) api(url string) callerAPI {
	return briarstandv1connect.NewCallerServiceClient(c.http, url)
}

// resolve asks the bootstrap addresses, one after the other until one answers,
// for the addresses to use.
func (c *callerClient) resolve(ctx context.Context) (*briarstandv1.ResolveResponse, error) {
	var last error
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for i, url := range c.bootstrap {
		req := &briarstandv1.ResolveRequest{CallerId: c.callerID, Zone: c.zone}
		attemptCtx, cancelAttempt := attemptContext(ctx, len(c.bootstrap)-i, 0)
		resp, err := c.api(url).Resolve(attemptCtx, connect.NewRequest(req))
		cancelAttempt()
		if err == nil {
			return resp.Msg, nil
		}
		last = err
	}
	if answered(last) {
		return nil, last
	}
	return nil, &UnreachableError{API: "caller", Addresses: c.bootstrap, Err: last}
}

// endpoints returns the URLs of the addresses to use.
func (c *callerClient) endpoints(ctx context.Context) ([]string, error) {
	resp, err := c.resolve(ctx)
	if err != nil {
		return nil, err
	}
	var urls []string
	for _, e := range resp.Endpoints {
		url, err := baseURL(e.Address)
		if err != nil {
			return nil, err
		}
		urls = append(urls, url)
	}
	if len(urls) == 0 {
		return nil, &Error{Code: ExitUnavailable, Err: errors.New("no VM takes queries now"),
			Next: "try again in a second; \"briarstand vm list\" shows the state of the VMs"}
	}
	return urls, nil
}

// query sends a request to the addresses in order until a VM runs it or returns
// a permanent error.
func (c *callerClient) query(ctx context.Context, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
	urls, err := c.endpoints(ctx)
	if err != nil {
		return nil, err
	}
	if req.NonIdempotent {
		return c.queryOnce(ctx, urls, req)
	}
	var last error
	var refused *briarstandv1.QueryResponse
	for i, url := range urls {
		resp, err := c.send(ctx, url, len(urls)-i, req)
		switch {
		case err == nil && resp.Outcome != briarstandv1.Outcome_OUTCOME_NOT_RUN:
			return resp, nil
		case err == nil:
			refused = resp
		case permanent(err):
			return nil, err
		default:
			last = err
		}
	}
	if refused != nil {
		return refused, nil
	}
	if answered(last) {
		return nil, last
	}
	return nil, &UnreachableError{API: "caller", Addresses: urls, Err: last}
}

// send sends a request to one VM. remaining is the number of attempts that are
// left, this one included.
func (c *callerClient) send(ctx context.Context, url string, remaining int, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
	ctx, cancel := attemptContext(ctx, remaining, c.minAttemptTimeout)
	defer cancel()
	resp, err := c.api(url).Query(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// permanent reports whether every other VM would return the same error, so that
// the caller should not try them.
func permanent(err error) bool {
	var rpc *connect.Error
	if !errors.As(err, &rpc) || !answered(err) {
		return false
	}
	switch rpc.Code() {
	case connect.CodeUnavailable, connect.CodeResourceExhausted, connect.CodeInternal, connect.CodeUnknown:
		return false
	}
	return true
}

// queryOnce runs a non-idempotent request. It requests a new ticket only when the
// request is known not to have run with the last one.
func (c *callerClient) queryOnce(ctx context.Context, urls []string, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
	if req.Ticket != "" {
		return c.queryWithTicket(ctx, urls, req)
	}
	var last error
	var refused *briarstandv1.QueryResponse
	for i, url := range urls {
		attemptCtx, cancelAttempt := attemptContext(ctx, len(urls)-i, 0)
		begun, err := c.api(url).BeginRequest(attemptCtx, connect.NewRequest(&briarstandv1.BeginRequestRequest{Service: req.Service}))
		cancelAttempt()
		if err != nil {
			if permanent(err) {
				return nil, err
			}
			last = err
			continue
		}
		req.Ticket = begun.Msg.Ticket
		resp, err := c.queryWithTicket(ctx, rotate(urls, i), req)
		if err != nil || resp.Outcome != briarstandv1.Outcome_OUTCOME_NOT_RUN {
			return resp, err
		}
		refused = resp
	}
	if refused != nil {
		return refused, nil
	}
	return nil, &UnreachableError{API: "caller", Addresses: urls, Err: last}
}

// queryWithTicket sends a request with its ticket. When the answer is lost, it
// retries with the same ticket, first at the same address and then at the others,
// which relay the request to the VM that issued the ticket.
func (c *callerClient) queryWithTicket(ctx context.Context, urls []string, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
	var last error
	for i, url := range append([]string{urls[0]}, urls...) {
		resp, err := c.send(ctx, url, len(urls)+1-i, req)
		if err == nil {
			return resp, nil
		}
		if permanent(err) {
			return nil, err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, &Error{Code: ExitUnknown, Err: fmt.Errorf("it is unknown whether the request ran: %w", last),
		Next: fmt.Sprintf("run the same command again with --ticket %s; the request then still runs at most once", req.Ticket)}
}

func rotate(urls []string, first int) []string {
	return append(append([]string{}, urls[first:]...), urls[:first]...)
}

// resolveTimeout limits the total time of resolving, over all VMs that are tried.
const resolveTimeout = 5 * time.Second

// callSlack is added to the timeout of a query, so that an answer sent at the
// deadline still arrives.
const callSlack = 2 * time.Second
