// Package query runs queries. It binds each query: it fixes the revision of the
// configuration, the index version and the candidate backend servers. It sends a
// sub-request per shard, hedges and retries within a budget, merges the replies
// and reports which shards answered and whether anything ran. Package config/query
// is unrelated: it reads configuration.
package query

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/balance"
	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/limit"
	"github.com/briarstand/briarstand/ticket"
)

// Gate decides whether the VM may admit new queries.
type Gate interface {
	// Admit returns nil while the VM may admit new queries, and otherwise an
	// error that says why not, usually a *NotAdmittedError.
	Admit() error
}

// Relay forwards a query to the VM that issued its ticket.
type Relay interface {
	RelayQuery(ctx context.Context, vmID string, incarnation int64, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error)
}

// Picker chooses replicas and is told when sub-requests start and how they end.
// It is implemented by balance.Picker.
type Picker interface {
	Pick(choice config.ReplicaChoice, candidates []*config.Backend, tried []string) (*config.Backend, bool)
	Started(backendID string)
	Finished(backendID string, latency time.Duration, status backend.Status)
}

const (
	// DefaultMissingVersionTTL is the default of Config.MissingVersionTTL.
	DefaultMissingVersionTTL = 2 * time.Second
	// DefaultAnswerMargin is the default of Config.AnswerMargin. It covers twice
	// the network latency to callers and the processing of the answer.
	DefaultAnswerMargin = 10 * time.Millisecond
	// DefaultMaxInFlight limits the queries in flight at a VM. A query holds
	// memory even if it only waits for another call with the same ticket.
	DefaultMaxInFlight = 4096
	// answerMarginDivisor limits the answer margin, for queries with a short
	// deadline, to the remaining time divided by this number.
	answerMarginDivisor = 5
)

// Config holds what an Engine needs. Registry, Transport, Picker, Issuer and
// Gate are required. Durations and counts of zero are replaced by the defaults.
type Config struct {
	VMID      string
	Registry  *config.Registry
	Transport backend.Transport
	Picker    Picker
	Issuer    *ticket.Issuer
	Gate      Gate
	// Relay forwards queries to other VMs. Without it, a query whose ticket was
	// issued by another VM has outcome unknown.
	Relay   Relay
	Logger  *log.Logger
	Metrics *metrics.Set
	// MissingVersionTTL is how long the engine remembers that a backend server
	// lacks a shard of an index version.
	MissingVersionTTL time.Duration
	// AnswerMargin is how long before its deadline a query answers with the
	// results so far.
	AnswerMargin time.Duration
	// MaxInFlight limits the calls of Run in flight across all services,
	// including those that only wait.
	MaxInFlight int
}

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = log.New(io.Discard)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.MissingVersionTTL <= 0 {
		c.MissingVersionTTL = DefaultMissingVersionTTL
	}
	if c.AnswerMargin <= 0 {
		c.AnswerMargin = DefaultAnswerMargin
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	return c
}

// Engine runs queries at one VM. Its methods may be called concurrently.
type Engine struct {
	cfg      Config
	services sync.Map   // name to *service
	mu       sync.Mutex // serializes additions and removals of services
	latency  *balance.Latencies
	life     lifecycle
}

// NewEngine returns an Engine. It starts no goroutine of its own.
func NewEngine(cfg Config) *Engine {
	return &Engine{cfg: cfg.withDefaults(), latency: balance.NewLatencies(balance.LatencyConfig{})}
}

// Run runs one query and answers shortly before its deadline at the latest.
// It never returns a nil response when err is nil. Refusals are reported as
// outcomes. An error means that nothing ran; it is an *InvalidRequestError, an
// *UnknownServiceError or a *DeadlinePassedError.
func (e *Engine) Run(ctx context.Context, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
	return e.run(ctx, req, true)
}

// RunRelayed runs a query that another VM relayed. Unlike Run it never relays
// it further, so that VMs with stale views cannot relay a query in a loop.
func (e *Engine) RunRelayed(ctx context.Context, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
	return e.run(ctx, req, false)
}

func (e *Engine) run(ctx context.Context, req *briarstandv1.QueryRequest, mayRelay bool) (*briarstandv1.QueryResponse, error) {
	inFlight := e.life.enter()
	defer e.life.leave()
	if err := validate(req); err != nil {
		return nil, err
	}
	if inFlight > e.cfg.MaxInFlight {
		return e.refuseTooManyInFlight(req), nil
	}
	if req.GetNonIdempotent() {
		return e.runTicketed(ctx, req, mayRelay)
	}
	return e.runAdmitted(ctx, req, requestID(req))
}

// requestID returns the caller's request id, or a new one.
func requestID(req *briarstandv1.QueryRequest) string {
	if id := req.GetRequestId(); id != "" {
		return id
	}
	return uuid.NewString()
}

// refuseTooManyInFlight returns the answer to a query that exceeds MaxInFlight. The
// outcome is "not run", but for a non-idempotent query "unknown", because an earlier
// request with the same ticket may have run.
func (e *Engine) refuseTooManyInFlight(req *briarstandv1.QueryRequest) *briarstandv1.QueryResponse {
	const reason = "the VM has too many queries in flight"
	if req.GetNonIdempotent() {
		return e.unknown(requestID(req), reason+"; the ticket may be offered again")
	}
	return e.notRun(requestID(req), reason, unavailableRetryAfter)
}

// runAdmitted passes a query through the gate and the admission limits.
func (e *Engine) runAdmitted(ctx context.Context, req *briarstandv1.QueryRequest, id string) (*briarstandv1.QueryResponse, error) {
	start := time.Now()
	if resp := e.refusal(id); resp != nil {
		return resp, nil
	}
	svc, p, ok := e.lookup(req.GetService())
	if !ok {
		return nil, &UnknownServiceError{Service: req.GetService()}
	}
	if err := p.checkShards(req.GetShards()); err != nil {
		return nil, err
	}
	answerBy, err := e.answerBy(ctx, req, p.service.Policy, start)
	if err != nil {
		return nil, err
	}
	priority := config.Priority(req.GetPriority())
	if priority == 0 {
		priority = p.service.Policy.Priority
	}
	release, err := svc.admission.Acquire(deadlineContext{ctx, answerBy}, priority)
	if err != nil {
		resp := e.notRun(id, err.Error(), retryAfterOf(err))
		e.observe(svc, resp, start)
		return resp, nil
	}
	defer release()
	resp := e.dispatch(ctx, req, id, svc, answerBy)
	e.observe(svc, resp, start)
	return resp, nil
}

// dispatch binds an admitted query and runs it. The gate and the deadline are
// checked again, because the VM may have been paused since the first check.
func (e *Engine) dispatch(ctx context.Context, req *briarstandv1.QueryRequest, id string, svc *service, answerBy time.Time) *briarstandv1.QueryResponse {
	doc, ok := e.cfg.Registry.Snapshot().Service(svc.name)
	if !ok {
		return e.notRun(id, "the service was deleted", 0)
	}
	if value, _ := e.services.Load(svc.name); value != svc {
		// The query was admitted by the limits of the deleted service; those of the
		// new one do not count it.
		return e.notRun(id, "the service was deleted and created again", unavailableRetryAfter)
	}
	p := svc.currentPlan(doc)
	b := p.bind(req.GetShards(), svc.exclusions(p, e.cfg.Transport), !req.GetNonIdempotent())
	if b == nil {
		return e.notRun(id, "no index version has the requested shards", 0)
	}
	refusal := e.refusalAtDispatch(id, answerBy)
	if refusal != nil {
		svc.missing.releaseVersion(b.version.name, b.probing, false)
		return refusal
	}
	return newRun(e, req, id, svc, p, b, answerBy).execute(ctx)
}

// refusal returns nil if the VM admits new queries, and otherwise the answer that
// refuses one.
func (e *Engine) refusal(id string) *briarstandv1.QueryResponse {
	if e.life.isDraining() {
		return e.notRun(id, "the VM is shutting down", 0)
	}
	if err := e.cfg.Gate.Admit(); err != nil {
		return e.notRun(id, err.Error(), retryAfterOf(err))
	}
	return nil
}

// refusalAtDispatch returns nil if an admitted query may still be sent to backend
// servers, and otherwise the answer that refuses it.
func (e *Engine) refusalAtDispatch(id string, answerBy time.Time) *briarstandv1.QueryResponse {
	if err := e.cfg.Gate.Admit(); err != nil {
		return e.notRun(id, err.Error(), retryAfterOf(err))
	}
	if !time.Now().Before(answerBy) {
		return e.notRun(id, "the deadline passed before dispatch", 0)
	}
	return nil
}

// lookup returns the state and the plan of a service, or false if the service does
// not exist.
func (e *Engine) lookup(name string) (*service, *plan, bool) {
	doc, ok := e.cfg.Registry.Snapshot().Service(name)
	if !ok {
		return nil, nil, false
	}
	svc := e.service(doc)
	return svc, svc.currentPlan(doc), true
}

// service returns the state of a service and creates it on the first query.
func (e *Engine) service(doc *config.Service) *service {
	if value, ok := e.services.Load(doc.Name); ok {
		return value.(*service)
	}
	// The lock prevents a second state from registering the same metrics.
	e.mu.Lock()
	defer e.mu.Unlock()
	if value, ok := e.services.Load(doc.Name); ok {
		return value.(*service)
	}
	svc := newService(doc, e.cfg.Metrics, e.cfg.MissingVersionTTL)
	e.services.Store(doc.Name, svc)
	return svc
}

// Update removes the state of services that the snapshot does not contain and
// that have no query running or queued. It is called after a configuration change;
// the state of a busy service is removed by a later call.
func (e *Engine) Update(snapshot *config.Snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.services.Range(func(name, value any) bool {
		svc := value.(*service)
		if _, ok := snapshot.Service(svc.name); ok || !svc.idle() {
			return true
		}
		e.services.Delete(name)
		e.latency.Remove(svc.name)
		svc.metrics.unregister()
		return true
	})
}

// BeginRequest issues a ticket for a non-idempotent query of a service. It
// fails with *NotAdmittedError at a VM that admits no queries, so that callers
// get their ticket from a VM that can also run the query.
func (e *Engine) BeginRequest(service string) (string, time.Duration, error) {
	if e.life.isDraining() {
		return "", 0, &NotAdmittedError{Reason: "the VM is shutting down"}
	}
	if err := e.cfg.Gate.Admit(); err != nil {
		return "", 0, asNotAdmitted(err)
	}
	if _, ok := e.cfg.Registry.Snapshot().Service(service); !ok {
		return "", 0, &UnknownServiceError{Service: service}
	}
	t, ttl := e.cfg.Issuer.Issue()
	return t, ttl, nil
}

// Drain makes the engine refuse new queries as not run. Queries in flight
// finish.
func (e *Engine) Drain() { e.life.drain() }

// InFlight returns how many calls of Run have not returned.
func (e *Engine) InFlight() int { return e.life.inFlight() }

// Wait returns when no query is in flight, or with the error of ctx.
func (e *Engine) Wait(ctx context.Context) error { return e.life.wait(ctx) }

func asNotAdmitted(err error) error {
	if na := new(NotAdmittedError); errors.As(err, &na) {
		return err
	}
	return &NotAdmittedError{Reason: err.Error()}
}

// retryAfterOf returns the retry delay that a refusal suggests, or 0.
func retryAfterOf(err error) time.Duration {
	var overload *limit.OverloadError
	if errors.As(err, &overload) {
		return overload.RetryAfter
	}
	var refused *NotAdmittedError
	if errors.As(err, &refused) {
		return refused.RetryAfter
	}
	return 0
}
