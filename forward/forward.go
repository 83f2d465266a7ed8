// Package forward answers callers' requests from backend servers: one request
// from one of them, or a query from one of each shard. Both use the same
// attempts, hedges and retries.
package forward

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/balance"
	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/discovery"
	"github.com/briarstand/briarstand/internal/contain"
	"github.com/briarstand/briarstand/limit"
	"github.com/briarstand/briarstand/relay"
	"github.com/briarstand/briarstand/route"
	"github.com/briarstand/briarstand/upstream"
)

// Transport sends attempts; upstream.Client implements it.
type Transport interface {
	relay.Transport
	Free(b *config.Backend) bool
}

// Replicas knows the backend servers of a service; discovery.Registry
// implements it.
type Replicas interface {
	Replicas(service string) *discovery.Replicas
}

// Picker chooses replicas; balance.Picker implements it.
type Picker interface {
	Pick(choice config.ReplicaChoice, candidates []*config.Backend, tried []string) (*config.Backend, bool)
	PickNear(choice config.ReplicaChoice, near, far []*config.Backend, tried []string) (*config.Backend, bool)
	Started(backendID string)
	Finished(backendID string, latency time.Duration, status backend.Status)
}

// Relay sends the sub-requests of a query to backend servers of another region
// through a VM there; relay.Client implements it.
type Relay interface {
	// Region returns the region of a backend server that can be reached so.
	Region(b *config.Backend) string
	// Overhead is the time that a relay in a region adds.
	Overhead(region string) time.Duration
	Send(region string, g *relay.Group, results chan<- upstream.Result) upstream.Attempt
}

// Config configures an Engine. Transport, Replicas, Picker and Latencies are
// required.
type Config struct {
	Transport Transport
	Replicas  Replicas
	Picker    Picker
	Latencies *balance.Latencies
	// Distant reports whether a backend server is in another region; nil if
	// none is.
	Distant func(b *config.Backend) bool
	// Relay may be nil.
	Relay  Relay
	Policy Policy
	// Queues estimates how long backend servers take; nil for no estimates.
	Queues *balance.Queues
	// BudgetPermille is how many hedges and retries may be sent for a thousand
	// requests, besides the share of the allowance set by SetShare, until
	// SetBudgetRate changes it.
	BudgetPermille int
	// Panics contains panics after a request has been answered; nil lets them
	// pass.
	Panics *contain.Panics
	// Metrics gets the counters; nil means a set of its own.
	Metrics *metrics.Set
}

// Engine answers requests. Its methods may be called concurrently.
type Engine struct {
	cfg     Config
	mu      sync.Mutex
	rate    int // hedges and retries for a thousand requests
	share   limit.Share
	budgets sync.Map // service name to *limit.Budget
	down    sync.Map // backend id to until when it is avoided, a time.Time
	counts  *counters
}

// NewEngine returns an Engine. Without a share the budget is the least one.
func NewEngine(cfg Config) *Engine {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	return &Engine{cfg: cfg, rate: cfg.BudgetPermille, share: limit.Share{Burst: 1}, counts: newCounters(cfg.Metrics)}
}

// SetShare changes this VM's share of the allowance for hedges and retries of
// each service.
func (e *Engine) SetShare(share limit.Share) {
	e.mu.Lock()
	e.share = share
	e.mu.Unlock()
	e.budgets.Range(func(_, b any) bool {
		b.(*limit.Budget).SetShare(share)
		return true
	})
}

// SetBudgetRate changes how many hedges and retries may be sent for a thousand
// requests.
func (e *Engine) SetBudgetRate(permille int) {
	e.mu.Lock()
	e.rate = permille
	e.mu.Unlock()
	e.budgets.Range(func(_, b any) bool {
		b.(*limit.Budget).SetRate(permille)
		return true
	})
}

// Share returns this VM's share of the allowance.
func (e *Engine) Share() limit.Share {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.share
}

// downFor is how long a backend server is avoided that could not be reached, or
// whose address another one has now, if its service has others. Its entry lapses
// after some seconds; until then each VM finds out once in this time.
const downFor = time.Second

// avoidDown returns the replicas that were reached lately, or all if there are
// none.
func (e *Engine) avoidDown(replicas []*config.Backend, now time.Time) []*config.Backend {
	up := make([]*config.Backend, 0, len(replicas))
	for _, b := range replicas {
		if until, ok := e.down.Load(b.ID); !ok || now.After(until.(time.Time)) {
			up = append(up, b)
		}
	}
	if len(up) == 0 {
		return replicas
	}
	return up
}

// Keep forgets the budgets of all services but those given, and backend servers
// that are no longer avoided.
func (e *Engine) Keep(services map[string]bool) {
	now := time.Now()
	e.down.Range(func(id, until any) bool {
		if now.After(until.(time.Time)) {
			e.down.Delete(id)
		}
		return true
	})
	e.budgets.Range(func(service, _ any) bool {
		if !services[service.(string)] {
			e.budgets.Delete(service)
		}
		return true
	})
}

// Budgets returns the tokens for hedges and retries of each service in use.
func (e *Engine) Budgets() map[string]float64 {
	levels := map[string]float64{}
	e.budgets.Range(func(service, b any) bool {
		levels[service.(string)] = b.(*limit.Budget).Level()
		return true
	})
	return levels
}

func (e *Engine) budget(service string) *limit.Budget {
	if b, ok := e.budgets.Load(service); ok {
		return b.(*limit.Budget)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	b, _ := e.budgets.LoadOrStore(service, limit.NewSharedBudget(e.rate, e.share))
	return b.(*limit.Budget)
}

// Outcome says how a request ended.
type Outcome int

// Outcomes of a request.
const (
	// Answered carries the reply of a backend server, or the parts of a query.
	Answered Outcome = iota + 1
	// Refused was not run and never will be.
	Refused
	// Unanswered may have run, and has no answer within its time.
	Unanswered
	// Broken may have run, and every attempt that was allowed failed.
	Broken
	// CallerLeft has nobody to answer.
	CallerLeft
)

var outcomeNames = [...]string{Answered: "answered", Refused: "refused", Unanswered: "unanswered", Broken: "broken", CallerLeft: "caller_left"}

func (o Outcome) String() string {
	if o < Answered || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Answer is the end of a request.
type Answer struct {
	Outcome Outcome
	// Reply is passed on unchanged, for a request to one service. It holds memory
	// until its Release.
	Reply *upstream.Reply
	// Signatures, Missing and Body make up the answer of a query over shards.
	Scattered  bool
	Signatures []string
	Missing    int
	Body       []byte
	// RetryAfter is set when Outcome is Refused.
	RetryAfter time.Duration
	// Reason says why there is no complete answer.
	Reason string
	// Attempts, Hedges and Retries count what was sent, for logs and metrics.
	Attempts, Relayed, Hedges, Retries int
	// Decisions tells what was decided after the first attempts, in order.
	Decisions []Decision
	// Late says that the answer came after the goal of its route.
	Late bool
}

// Job is one request.
type Job struct {
	Route   *route.Route
	Request *upstream.Request
	// Wait is how long the caller waits, from Arrived; 0 if it did not say.
	Wait    time.Duration
	Arrived time.Time
}

// Run answers a request. The context ends when the caller leaves.
func (e *Engine) Run(ctx context.Context, job Job) Answer {
	a := newRun(e, job).run(ctx)
	elapsed := time.Since(job.Arrived)
	a.Late = job.Route.Goal > 0 && elapsed > job.Route.Goal
	e.counts.request(job.Route.Name, &a, elapsed)
	return a
}
