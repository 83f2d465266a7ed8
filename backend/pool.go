package backend

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/internal/defaults"
)

// MaxBatch is the maximum number of sub-requests in one message.
const MaxBatch = 64

// Defaults of PoolConfig.
const (
	DefaultMaxQueued       = 1024
	DefaultMaxInFlight     = 4096
	DefaultMaxBodyBytes    = 1 << 20
	DefaultMaxReceiveBytes = 16 << 20
	DefaultConnectTimeout  = 2 * time.Second
	DefaultReplyGrace      = 50 * time.Millisecond
	DefaultSilenceTimeout  = time.Second
	DefaultPingInterval    = 5 * time.Second
	DefaultPingTimeout     = 2 * time.Second
	DefaultBackoffBase     = 50 * time.Millisecond
	DefaultBackoffMax      = 5 * time.Second
	DefaultSweepInterval   = 10 * time.Millisecond
	DefaultUndeclaredGrace = time.Second
)

// PoolConfig configures a Pool. Zero fields default to the constants above.
type PoolConfig struct {
	// Dial opens the connection to a backend server; net.Dialer by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Random returns numbers in [0, 1) for the jitter of the reconnect backoff.
	// It must be safe for concurrent use.
	Random  func() float64
	Logger  *log.Logger
	Metrics *metrics.Set
	// OnConnect is called after a stream to a backend server is opened. It must
	// not block.
	OnConnect func(backendID string)

	// MaxQueued limits the sub-requests of a stream that are not yet written.
	MaxQueued int
	// MaxInFlight limits the sub-requests of a stream that were written and have
	// no reply yet.
	MaxInFlight int
	// MaxBodyBytes limits the body of a sub-request, and the sum of the bodies
	// in one message.
	MaxBodyBytes int
	// MaxReceiveBytes limits a message from a backend server.
	MaxReceiveBytes int

	// ConnectTimeout limits the time to connect and open a stream.
	ConnectTimeout time.Duration
	// ReplyGrace is how long after the deadline a reply is still accepted,
	// because a late refusal proves that the sub-request did not run. It is also
	// how long after the earliest deadline in a message the message may still be
	// written, for example after a pause of the process.
	ReplyGrace time.Duration
	// SilenceTimeout is how long a stream with overdue replies may receive no
	// message before its connection is closed.
	SilenceTimeout time.Duration
	// PingInterval is how long a connection is idle before a ping is sent.
	// PingTimeout is how long the ping's answer may take, and how long a write may
	// make no progress, before the connection is closed.
	PingInterval, PingTimeout time.Duration
	// BackoffBase and BackoffMax limit the wait before a reconnect.
	BackoffBase, BackoffMax time.Duration
	// SweepInterval is how often reply and queue deadlines are checked.
	SweepInterval time.Duration
	// UndeclaredGrace is how long a stream stays open after the configuration no
	// longer declares its backend server. Queries that chose the server before can
	// still use it.
	UndeclaredGrace time.Duration
}

func (c PoolConfig) withDefaults() PoolConfig {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{KeepAlive: c.PingInterval}).DialContext
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Logger == nil {
		c.Logger = log.New(io.Discard)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.OnConnect == nil {
		c.OnConnect = func(string) {}
	}
	defaults.Set(&c.MaxQueued, DefaultMaxQueued)
	defaults.Set(&c.MaxInFlight, DefaultMaxInFlight)
	defaults.Set(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	defaults.Set(&c.MaxReceiveBytes, DefaultMaxReceiveBytes)
	defaults.Set(&c.ConnectTimeout, DefaultConnectTimeout)
	defaults.Set(&c.ReplyGrace, DefaultReplyGrace)
	defaults.Set(&c.SilenceTimeout, DefaultSilenceTimeout)
	defaults.Set(&c.PingInterval, DefaultPingInterval)
	defaults.Set(&c.PingTimeout, DefaultPingTimeout)
	defaults.Set(&c.BackoffBase, DefaultBackoffBase)
	defaults.Set(&c.BackoffMax, DefaultBackoffMax)
	defaults.Set(&c.SweepInterval, DefaultSweepInterval)
	defaults.Set(&c.UndeclaredGrace, DefaultUndeclaredGrace)
	return c
}

// Pool is a Transport with one connection and one stream per backend server.
// Streams are opened when Update declares a backend server, or at the first
// Send to one.
type Pool struct {
	cfg        PoolConfig
	epoch      time.Time // from which times in nanoseconds are counted
	counters   *counters
	deliveries deliveryQueue

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	table   atomic.Pointer[table]
	mu      sync.Mutex // guards closed and updated, and serializes writers of table
	closed  bool
	updated bool // Update was called
}

// streamKey identifies a stream. A backend server that is declared at another
// address gets a new stream.
type streamKey struct{ id, address string }

// table is an immutable index of the streams; changes replace it.
type table struct {
	byKey map[streamKey]*stream
	byID  map[string][]*stream
}

func newTable(byKey map[streamKey]*stream) *table {
	t := &table{byKey: byKey, byID: make(map[string][]*stream, len(byKey))}
	for key, s := range byKey {
		t.byID[key.id] = append(t.byID[key.id], s)
	}
	return t
}

var _ Transport = (*Pool)(nil)

// NewPool returns a Pool. It must be closed.
func NewPool(cfg PoolConfig) *Pool {
	p := &Pool{cfg: cfg.withDefaults(), epoch: time.Now()}
	p.counters = newCounters(p.cfg.Metrics)
	p.deliveries.deliver = p.deliver
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.table.Store(newTable(nil))
	p.wg.Go(p.sweepLoop)
	return p
}

// now returns the time in nanoseconds since the pool was created. It is never
// 0, because 0 means that no time is set.
func (p *Pool) now() int64 { return max(1, int64(time.Since(p.epoch))) }

func (p *Pool) deliver(c *call, r Reply) {
	p.counters.replies[r.Status].Inc()
	c.sink.Deliver(c.tag, r)
}

func (p *Pool) deliverAll(completions []completion) {
	for i := range completions {
		p.deliver(completions[i].call, completions[i].reply)
		completions[i] = zeroCompletion
	}
}

// Send queues a sub-request for a backend server. It never blocks.
func (p *Pool) Send(b *config.Backend, req *Request, tag int, sink Sink) Call {
	c := &call{req: req, tag: tag, sink: sink, deadline: int64(req.Deadline.Sub(p.epoch))}
	if len(req.Body) > p.cfg.MaxBodyBytes {
		err := &TooLargeError{Backend: b.ID, Size: len(req.Body), Limit: p.cfg.MaxBodyBytes}
		p.deliveries.add(c, Reply{Status: Unsent, Err: err})
		return c
	}
	for {
		s := p.stream(b)
		if s == nil {
			p.deliveries.add(c, Reply{Status: Unsent, Err: &UnavailableError{Backend: b.ID, Err: ErrClosed}})
			return c
		}
		refusal, result := s.enqueue(c)
		switch result {
		case enqueueRefused:
			p.deliveries.add(c, refusal)
			return c
		case enqueueAccepted:
			return c
		}
		p.remove(s)
	}
}

// stream returns the stream to a backend server, opening one if there is none.
// It returns nil when the pool is closed.
func (p *Pool) stream(b *config.Backend) *stream {
	key := streamKey{b.ID, b.Address}
	if s, ok := p.table.Load().byKey[key]; ok {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	old := p.table.Load().byKey
	if s, ok := old[key]; ok {
		return s
	}
	next := make(map[streamKey]*stream, len(old)+1)
	for k, s := range old {
		next[k] = s
	}
	s := p.open(key)
	if p.updated {
		s.undeclaredAt.Store(p.now())
	}
	next[key] = s
	p.table.Store(newTable(next))
	return s
}

func (p *Pool) open(key streamKey) *stream {
	s := newStream(p, key)
	p.wg.Go(s.run)
	return s
}

// remove removes a retired (permanently stopped) stream from the table.
func (p *Pool) remove(gone *stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.table.Load().byKey
	if old[gone.key] != gone {
		return
	}
	next := make(map[streamKey]*stream, len(old))
	for k, s := range old {
		if s != gone {
			next[k] = s
		}
	}
	p.table.Store(newTable(next))
}

// Update opens streams to the backend servers that the snapshot declares. The
// streams of all others are closed after UndeclaredGrace, once their last
// sub-request has ended.
func (p *Pool) Update(snapshot *config.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.updated = true
	declared := declaredKeys(snapshot)
	next := make(map[streamKey]*stream, len(declared))
	for key, s := range p.table.Load().byKey {
		next[key] = s
		if declared[key] {
			s.undeclaredAt.Store(0)
		} else {
			s.undeclaredAt.CompareAndSwap(0, p.now())
		}
	}
	for key := range declared {
		if next[key] == nil {
			next[key] = p.open(key)
		}
	}
	p.table.Store(newTable(next))
}

func declaredKeys(snapshot *config.Snapshot) map[streamKey]bool {
	keys := map[streamKey]bool{}
	for _, svc := range snapshot.All() {
		if svc.Deleted {
			continue
		}
		for i := range svc.Backends {
			keys[streamKey{svc.Backends[i].ID, svc.Backends[i].Address}] = true
		}
	}
	return keys
}

// Close closes all streams and returns when the reply of every sub-request has
// been delivered.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.cancel()
	p.mu.Unlock()
	p.wg.Wait()
	p.deliveries.wait()
}

// Draining reports whether a backend server announced a drain.
func (p *Pool) Draining(backendID string) bool {
	for _, s := range p.table.Load().byID[backendID] {
		if s.draining.Load() {
			return true
		}
	}
	return false
}

// Load returns the newest load that a backend server reported on its streams.
func (p *Pool) Load(backendID string) (load float64, age time.Duration, ok bool) {
	for _, s := range p.table.Load().byID[backendID] {
		if r := s.load.Load(); r != nil {
			a := time.Duration(p.now() - r.at)
			if !ok || a < age {
				load, age, ok = r.load, a, true
			}
		}
	}
	return load, age, ok
}

// sweepLoop ends sub-requests that timed out (see stream.sweep) and closes the
// streams of backend servers that are no longer declared. One ticker serves the
// sub-requests of all streams.
func (p *Pool) sweepLoop() {
	ticker := time.NewTicker(p.cfg.SweepInterval)
	defer ticker.Stop()
	var buf []completion
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
		now := p.now()
		for _, s := range p.table.Load().byKey {
			buf = s.sweep(now, buf[:0])
			p.deliverAll(buf)
			if s.retireIfUnused(now) {
				p.remove(s)
			}
		}
	}
}

// counters are the metrics of a pool.
type counters struct {
	replies        [StreamBroken + 1]*metrics.Counter
	written        *metrics.Counter
	messages       *metrics.Counter
	unmatched      *metrics.Counter
	connects       *metrics.Counter
	connectFailed  *metrics.Counter
	breaks         *metrics.Counter
	connectedCount atomic.Int64
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		written:       set.GetOrCreateCounter("briarstand_backend_subrequests_written_total"),
		messages:      set.GetOrCreateCounter("briarstand_backend_messages_written_total"),
		unmatched:     set.GetOrCreateCounter("briarstand_backend_unmatched_replies_total"),
		connects:      set.GetOrCreateCounter("briarstand_backend_connects_total"),
		connectFailed: set.GetOrCreateCounter("briarstand_backend_connect_failures_total"),
		breaks:        set.GetOrCreateCounter("briarstand_backend_stream_breaks_total"),
	}
	for s := OK; s <= StreamBroken; s++ {
		c.replies[s] = set.GetOrCreateCounter(fmt.Sprintf(`briarstand_backend_replies_total{status=%q}`, s))
	}
	set.GetOrCreateGauge("briarstand_backend_streams", func() float64 { return float64(c.connectedCount.Load()) })
	return c
}
