// Package load generates load on a briarstand deployment and measures latency
// and coverage as callers see them, and the extra load on backend servers.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/internal/defaults"
)

// Defaults of Config.
const (
	DefaultMaxOutstanding = 4096
	DefaultTimeout        = 250 * time.Millisecond
	DefaultLimit          = 10
	DefaultAttempts       = 2
)

// callGrace is how long a caller waits beyond the deadline of a query, so that
// the answer that reports a missed deadline still arrives.
const callGrace = time.Second

// Stream is the load on one service.
type Stream struct {
	Service string
	// Rate is the mean number of queries a second. Arrivals are a Poisson
	// process, independent of the answers.
	Rate     float64
	Limit    int32
	Timeout  time.Duration
	Priority briarstandv1.Priority
}

// Config configures a run. Zero fields take the defaults above.
type Config struct {
	// Addresses are host:port of caller APIs. Queries go to them round-robin.
	Addresses []string
	Streams   []Stream
	// Duration is the time of the measurement, in which queries are started.
	// Queries started in Warmup, which comes first, are not measured.
	Duration, Warmup time.Duration
	// MaxOutstanding limits the queries in flight. The latency of a query that
	// waits for a slot counts from its intended start.
	MaxOutstanding int
	// Attempts is the maximum number of attempts of a query. Only an attempt that
	// fails as unavailable is followed by another, at the next address.
	Attempts int
	Seed     uint64
	// Refresh returns new addresses whenever the time to live of the current
	// ones ends. Without it Addresses stay in use.
	Refresh Refresher
	// Daemons are read before and after the measurement to compute
	// Result.Daemons, which is nil without them.
	Daemons []CounterSource
	// Records are read before and after the measurement to compute
	// Result.Extra, which is nil without them.
	Records []RecordSource
	// Verify compares hits with the documents of stand-in backend servers.
	Verify bool
	// Dial opens connections; net.Dialer by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// ConfigError reports an invalid setting.
type ConfigError struct{ Field, Reason string }

func (e *ConfigError) Error() string { return fmt.Sprintf("load: %s: %s", e.Field, e.Reason) }

func (c Config) withDefaults() (Config, error) {
	if len(c.Addresses) == 0 {
		return c, &ConfigError{"addresses", "at least one is needed"}
	}
	if len(c.Streams) == 0 {
		return c, &ConfigError{"streams", "at least one is needed"}
	}
	if c.Duration <= 0 || c.Warmup < 0 {
		return c, &ConfigError{"duration", "must be positive, the warm-up not negative"}
	}
	streams := make([]Stream, len(c.Streams))
	for i, s := range c.Streams {
		if s.Service == "" || !(s.Rate > 0) || s.Limit < 0 || s.Timeout < 0 {
			return c, &ConfigError{fmt.Sprintf("streams[%d]", i), "needs a service and a positive rate; limit and timeout must not be negative"}
		}
		defaults.Set(&s.Limit, DefaultLimit)
		defaults.Set(&s.Timeout, DefaultTimeout)
		streams[i] = s
	}
	c.Streams = streams
	defaults.Set(&c.MaxOutstanding, DefaultMaxOutstanding)
	defaults.Set(&c.Attempts, DefaultAttempts)
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	return c, nil
}

// runner holds the state of one run.
type runner struct {
	cfg          Config
	clients      *clientSet
	slots        chan struct{} // one element for each query in flight
	wg           sync.WaitGroup
	measureStart time.Time
}

// Run generates the configured load and returns the measurements. If ctx is
// done, it returns early with the context's error. An invalid configuration
// returns a *ConfigError.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	transport := newTransport(cfg)
	defer transport.CloseIdleConnections()
	r := &runner{cfg: cfg, clients: newClientSet(transport, cfg.Addresses), slots: make(chan struct{}, cfg.MaxOutstanding)}
	if cfg.Refresh != nil {
		refreshing, stop := context.WithCancel(ctx)
		var refresher sync.WaitGroup
		refresher.Go(func() { r.clients.refreshLoop(refreshing, cfg.Refresh) })
		defer refresher.Wait()
		defer stop()
	}
	return r.run(ctx)
}

func newTransport(cfg Config) *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{Protocols: &protocols, DialContext: cfg.Dial, DisableCompression: true}
}

func (r *runner) run(ctx context.Context) (*Result, error) {
	if r.cfg.Warmup > 0 {
		r.generateAll(ctx, r.cfg.Warmup, nil)
	}
	before, err := r.takeSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	r.measureStart = time.Now()
	meters := make([]*meter, len(r.cfg.Streams))
	for i, s := range r.cfg.Streams {
		meters[i] = newMeter(s)
	}
	r.generateAll(ctx, r.cfg.Duration, meters)
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	after, err := r.takeSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return summarize(meters, r.cfg.Duration, before, after), nil
}

// snapshot holds the records of the backend servers and the counters of the
// daemons at one time.
type snapshot struct {
	records  recordTotals
	counters []DaemonCounters
}

func (r *runner) takeSnapshot(ctx context.Context) (snapshot, error) {
	var services []string
	for _, s := range r.cfg.Streams {
		services = append(services, s.Service)
	}
	records, err := readRecords(ctx, r.cfg.Records)
	if err != nil {
		return snapshot{}, err
	}
	counters, err := readCounters(ctx, r.cfg.Daemons, services)
	return snapshot{records: records, counters: counters}, err
}

// generateAll runs all streams and returns when the last query has ended.
func (r *runner) generateAll(ctx context.Context, d time.Duration, meters []*meter) {
	var generators sync.WaitGroup
	for i, s := range r.cfg.Streams {
		var m *meter
		if meters != nil {
			m = meters[i]
		}
		rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(i)))
		generators.Go(func() { r.generate(ctx, s, d, rng, m) })
	}
	generators.Wait()
	r.wg.Wait()
}

// generate starts queries on a random schedule that does not depend on the answers.
// When it is behind schedule, it starts them without a pause, and their latency
// includes the delay.
func (r *runner) generate(ctx context.Context, s Stream, d time.Duration, rng *rand.Rand, m *meter) {
	start := time.Now()
	for n, offset := 0, time.Duration(0); ; n++ {
		offset += time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
		if offset >= d || !sleepUntil(ctx, start.Add(offset)) {
			return
		}
		select {
		case r.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		r.wg.Go(func() {
			r.query(ctx, s, n, start.Add(offset), m)
			<-r.slots
		})
	}
}

// sleepUntil sleeps until t and returns true, or returns false as soon as ctx is
// done.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// query runs one query and measures it from its intended start. A nil m, as in the
// warm-up, measures nothing.
func (r *runner) query(ctx context.Context, s Stream, n int, intended time.Time, m *meter) {
	req := &briarstandv1.QueryRequest{
		Service:   s.Service,
		RequestId: fmt.Sprintf("load-%d-%d", r.cfg.Seed, n),
		Body:      fmt.Appendf(nil, "%s/%d", s.Service, n),
		Limit:     s.Limit,
		TimeoutMs: s.Timeout.Milliseconds(),
		Priority:  s.Priority,
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout+callGrace)
	defer cancel()
	resp, err := r.call(ctx, n, req)
	if m == nil {
		return
	}
	wrong := ""
	if err == nil {
		wrong = checkAnswer(req, resp, r.cfg.Verify)
	}
	m.add(time.Since(intended), resp, err, wrong)
}

// call sends a query. If an attempt fails as unavailable, it tries the next address,
// for up to Config.Attempts attempts. Queries are idempotent, so it does not matter
// whether a failed attempt reached the VM.
func (r *runner) call(ctx context.Context, n int, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
	var last error
	clients := *r.clients.list.Load()
	for attempt := range r.cfg.Attempts {
		client := clients[(n+attempt)%len(clients)]
		resp, err := client.Query(ctx, connect.NewRequest(req))
		if err == nil {
			return resp.Msg, nil
		}
		last = err
		if connect.CodeOf(err) != connect.CodeUnavailable || ctx.Err() != nil {
			break
		}
	}
	return nil, last
}

// errorName returns the name under which a failed call is counted.
func errorName(err error) string {
	if errors.Is(err, context.Canceled) {
		return connect.CodeCanceled.String()
	}
	return connect.CodeOf(err).String()
}
