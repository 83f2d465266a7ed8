// Package callerapi serves CallerService: it resolves VM addresses for callers,
// issues tickets and runs queries.
package callerapi

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"path"
	"strconv"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
	"github.com/briarstand/briarstand/query"
)

// DefaultMaxMessageBytes is the default limit on the size of a request.
const DefaultMaxMessageBytes = 1 << 20

// compressMinBytes is the minimum size of an answer that is compressed if the
// caller accepts compression. For an answer of a few kilobytes, compression would
// cost more CPU time than merging the backend servers' replies, and would not save
// a round trip.
const compressMinBytes = 64 << 10

// Config holds the dependencies and settings of the handler.
type Config struct {
	Engine *query.Engine
	// Resolve selects the addresses that a caller should use.
	Resolve func(*briarstandv1.ResolveRequest) *briarstandv1.ResolveResponse
	// Address is the host:port of this VM's caller API, returned with tickets.
	Address string
	// MaxMessageBytes limits the size of a request; 0 means the default.
	MaxMessageBytes int
	// Metrics counts calls by method and code, if set.
	Metrics *metrics.Set
	// Options are appended to the handler's own options.
	Options []connect.HandlerOption
}

// New returns the path prefix and the handler of CallerService.
func New(cfg Config) (string, http.Handler) {
	if cfg.MaxMessageBytes <= 0 {
		cfg.MaxMessageBytes = DefaultMaxMessageBytes
	}
	options := []connect.HandlerOption{connect.WithReadMaxBytes(cfg.MaxMessageBytes), connect.WithCompressMinBytes(compressMinBytes)}
	if cfg.Metrics != nil {
		options = append(options, connect.WithInterceptors(countCalls(cfg.Metrics)))
	}
	options = append(options, cfg.Options...)
	return briarstandv1connect.NewCallerServiceHandler(&handler{cfg: cfg}, options...)
}

// countCalls counts calls by method and Connect code. There are few methods and
// codes, so the number of counters is limited.
func countCalls(set *metrics.Set) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			resp, err := next(ctx, req)
			code := "ok"
			if err != nil {
				code = connect.CodeOf(err).String()
			}
			set.GetOrCreateCounter(fmt.Sprintf("briarstand_caller_calls_total{method=%q,code=%q}",
				path.Base(req.Spec().Procedure), code)).Inc()
			return resp, err
		}
	}
}

// handler implements briarstandv1connect.CallerServiceHandler.
type handler struct{ cfg Config }

// Resolve returns the addresses that the caller should use.
func (h *handler) Resolve(_ context.Context, req *connect.Request[briarstandv1.ResolveRequest]) (*connect.Response[briarstandv1.ResolveResponse], error) {
	return connect.NewResponse(h.cfg.Resolve(req.Msg)), nil
}

// BeginRequest issues a ticket.
func (h *handler) BeginRequest(_ context.Context, req *connect.Request[briarstandv1.BeginRequestRequest]) (*connect.Response[briarstandv1.BeginRequestResponse], error) {
	ticket, ttl, err := h.cfg.Engine.BeginRequest(req.Msg.GetService())
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&briarstandv1.BeginRequestResponse{
		Ticket:  ticket,
		TtlMs:   ttl.Milliseconds(),
		Address: h.cfg.Address,
	}), nil
}

// Query runs one query. A refused query is not an error: the response has the
// outcome NOT_RUN.
func (h *handler) Query(ctx context.Context, req *connect.Request[briarstandv1.QueryRequest]) (*connect.Response[briarstandv1.QueryResponse], error) {
	resp, err := h.cfg.Engine.Run(ctx, req.Msg)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(resp), nil
}

// connectError maps the engine's errors to Connect codes.
func connectError(err error) *connect.Error {
	var (
		invalid        *query.InvalidRequestError
		unknown        *query.UnknownServiceError
		deadlinePassed *query.DeadlinePassedError
		notAdmitted    *query.NotAdmittedError
	)
	switch {
	case errors.As(err, &invalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &unknown):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.As(err, &deadlinePassed):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	case errors.As(err, &notAdmitted):
		refusal := connect.NewError(connect.CodeUnavailable, err)
		if notAdmitted.RetryAfter > 0 {
			seconds := int(math.Ceil(notAdmitted.RetryAfter.Seconds()))
			refusal.Meta().Set("Retry-After", strconv.Itoa(seconds))
		}
		return refusal
	}
	return connect.NewError(connect.CodeInternal, err)
}
