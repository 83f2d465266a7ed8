// Package forward runs callers' requests at backend servers: a plain request at
// one backend server, or a query at one replica of every shard.
//
// A request consists of one sub-request, or of one for each shard, whose reply
// is a part of the answer. A sub-request is sent in one or more attempts: a
// hedge is another attempt while the first has no reply yet, and a retry one
// after an attempt failed. Hedges and retries take tokens from a budget that
// each service has. The distance of an attempt says whether its backend server
// is in this VM's region (near) or in another one (far).
package forward

import (
	"context"
	"slices"
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
	// HasCapacity reports whether a connection to a backend server is idle or
	// may be opened.
	HasCapacity(b *config.Backend) bool
	// Availability returns whether a request may be sent to a backend server, and
	// how long the pause of a withheld one still lasts; 0 if it stays withheld.
	Availability(b *config.Backend, now time.Time) (a upstream.Availability, pause time.Duration)
	// Observe records the notice in a reply that a relay received.
	Observe(b *config.Backend, requestID string, n upstream.Notice)
}

// Replicas lists the backend servers of a service; discovery.Registry
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

// Relay sends the sub-requests of a query to backend servers of another availability
// zone through a VM there; relay.Client implements it.
type Relay interface {
	// RelayTarget returns the VMs through which a backend server can be reached,
	// and "" if it is sent to directly.
	RelayTarget(b *config.Backend) relay.Target
	// Overhead returns the time that a relay of a target adds to an attempt.
	Overhead(target relay.Target) time.Duration
	// Send sends a group of sub-requests through a VM of a target.
	Send(target relay.Target, g *relay.Group, results chan<- upstream.Result) upstream.Attempt
}

// Config configures an Engine. Transport, Replicas, Picker and Latencies are
// required.
type Config struct {
	Transport Transport
	Replicas  Replicas
	Picker    Picker
	Latencies *balance.Latencies
	// InOtherRegion reports whether a backend server is in another region; nil
	// if none is.
	InOtherRegion func(b *config.Backend) bool
	// Relay is optional; without it all attempts are sent directly.
	Relay  Relay
	Policy Policy
	// Queues estimates reply times from the queues that backend servers report;
	// nil disables the estimates.
	Queues *balance.Queues
	// BudgetPermille is how many hedges and retries may be sent per thousand
	// requests; SetBudgetRate changes it. This VM's share of the shared budget,
	// which SetShare sets, comes on top.
	BudgetPermille int
	// Panics recovers from panics in the goroutine that awaits the remaining
	// attempts after an answer; nil lets them propagate.
	Panics *contain.Panics
	// Metrics receives the counters; nil means a private set.
	Metrics *metrics.Set
}

// Engine answers requests. Its methods may be called concurrently.
type Engine struct {
	cfg            Config
	mu             sync.Mutex
	budgetPermille int // hedges and retries per thousand requests
	share          limit.BudgetShare
	budgets        sync.Map // service name to *limit.Budget
	down           sync.Map // backend id to the time.Time until which it is avoided
	waits          sync.Map // route name to *callerWaits
	counts         *counters
}

// NewEngine returns an Engine. Until SetShare is called, this VM's share of each
// service's budget is a burst of one token.
func NewEngine(cfg Config) *Engine {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	return &Engine{cfg: cfg, budgetPermille: cfg.BudgetPermille, share: limit.BudgetShare{Burst: 1}, counts: newCounters(cfg.Metrics)}
}

// SetShare sets this VM's share of the budget that each service has for hedges and
// retries.
func (e *Engine) SetShare(share limit.BudgetShare) {
	e.mu.Lock()
	e.share = share
	e.mu.Unlock()
	e.budgets.Range(func(_, b any) bool {
		b.(*limit.Budget).SetShare(share)
		return true
	})
}

// SetBudgetRate sets how many hedges and retries may be sent per thousand
// requests.
func (e *Engine) SetBudgetRate(permille int) {
	e.mu.Lock()
	e.budgetPermille = permille
	e.mu.Unlock()
	e.budgets.Range(func(_, b any) bool {
		b.(*limit.Budget).SetRate(permille)
		return true
	})
}

// Share returns this VM's share of each service's budget.
func (e *Engine) Share() limit.BudgetShare {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.share
}

// downFor is how long a backend server is avoided after it could not be reached,
// or after another server answered at its address. It is avoided only if its
// service has other replicas. The record of a dead server expires only after
// some seconds; until then each VM tries the server about once per downFor.
const downFor = time.Second

// avoidDown returns the replicas that are not marked as down, or all replicas
// if every one is marked.
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

// admissible returns the replicas of a service that may get requests: those that
// are available or, if none is, those that are leaving. If there are none, pause is
// the time until the first one has paused; 0 if none does.
func (e *Engine) admissible(service string, now time.Time) (replicas []*config.Backend, pause time.Duration) {
	usable := e.cfg.Replicas.Replicas(service).Usable(now)
	withNotice := func(b *config.Backend) bool {
		a, _ := e.cfg.Transport.Availability(b, now)
		return a != upstream.Available
	}
	if !slices.ContainsFunc(usable, withNotice) {
		return usable, 0
	}
	var available, lastResort []*config.Backend
	for _, b := range usable {
		switch a, p := e.cfg.Transport.Availability(b, now); {
		case a == upstream.Available:
			available = append(available, b)
		case a == upstream.LastResort:
			lastResort = append(lastResort, b)
		case p > 0 && (pause == 0 || p < pause):
			pause = p
		}
	}
	if len(available) == 0 {
		available = lastResort
	}
	return available, pause
}

// RetainServices drops the budgets of all services except those given. It also
// drops the down marks that are older than downFor and the callers' waits of
// unused routes.
func (e *Engine) RetainServices(services map[string]bool) {
	now := time.Now()
	e.forgetWaits(now)
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

// Budgets returns the tokens left for hedges and retries of each service in use.
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
	b, _ := e.budgets.LoadOrStore(service, limit.NewSharedBudget(e.budgetPermille, e.share))
	return b.(*limit.Budget)
}

// Outcome says how a request ended.
type Outcome int

// Outcomes of a request.
const (
	// Answered means that there is a reply of a backend server, or enough parts
	// of a query.
	Answered Outcome = iota + 1
	// Refused means that the request was not run and will not be.
	Refused
	// Unanswered means that the request may have run, but had no answer before
	// its deadline.
	Unanswered
	// Broken means that the request may have run, and that every permitted
	// attempt failed.
	Broken
	// CallerDisconnected means that the caller disconnected before the answer.
	CallerDisconnected
)

var outcomeNames = [...]string{Answered: "answered", Refused: "refused", Unanswered: "unanswered", Broken: "broken", CallerDisconnected: "caller_left"}

func (o Outcome) String() string {
	if o < Answered || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Answer is the result of a request.
type Answer struct {
	Outcome Outcome
	// Reply is the reply to a request to one service, forwarded unchanged. It
	// holds memory until its Release is called.
	Reply *upstream.Reply
	// Scattered is set for a query over shards. Signatures, Missing and Body then
	// make up the answer: the signatures of its parts, the number of parts that it
	// lacks, and the merged records.
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
	// Decisions lists the decisions on the request, in order.
	Decisions []Decision
	// Late reports whether the answer came after the goal of its route.
	Late bool
}

// Job is a request to run and the route that it matched.
type Job struct {
	Route   *route.Route
	Request *upstream.Request
	// Wait is how long the caller waits after Arrived; 0 if the caller sent no
	// limit.
	Wait    time.Duration
	Arrived time.Time
	// Stopping is closed when the VM stops and the request has to be answered with
	// what it has; nil if it never is.
	Stopping <-chan struct{}
	// Disconnected reports whether the caller has disconnected, also if the context of
	// Run is not cancelled yet; nil if it never is. It is called before attempts are
	// sent.
	Disconnected func() bool
}

// Run runs a request and returns its answer. The context must be cancelled when
// the caller disconnects.
func (e *Engine) Run(ctx context.Context, job Job) Answer {
	a := newRun(e, job).run(ctx)
	elapsed := time.Since(job.Arrived)
	a.Late = job.Route.Goal > 0 && elapsed > job.Route.Goal
	e.counts.recordRequest(job.Route.Name, &a, elapsed)
	return a
}
