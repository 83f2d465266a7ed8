package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/internal/contain"
	"github.com/briarstand/briarstand/internal/defaults"
	"github.com/briarstand/briarstand/limit"
)

// Defaults of Config.
const (
	// DefaultDialTimeout limits the time to open a connection. It allows several
	// round trips between regions and is shorter than the retransmission timeout
	// of a lost SYN.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultIdleTimeout is how long a connection may stay idle, less than the
	// typical idle timeout of servers.
	DefaultIdleTimeout = 30 * time.Second
	// DefaultMaxReplyBytes is the maximum size in bytes of a reply body for
	// requests that set no limit of their own.
	DefaultMaxReplyBytes = 4 << 20
)

// Errors that an UnsentError wraps.
var (
	ErrNoConnection = errors.New("no connection became free in time")
	ErrAbandoned    = errors.New("abandoned before it was sent")
	// ErrWithdrawn means that the server was no longer to get the request when the
	// request could be sent. It has to be placed again.
	ErrWithdrawn = errors.New("withdrawn from a backend server that is no longer to get it")
)

// Config configures a Client. Protocol is required.
type Config struct {
	Protocol Protocol
	// Dial opens a connection; nil means TCP with keep-alive probes.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Zero durations mean the defaults.
	DialTimeout, IdleTimeout time.Duration
	// LeavingPeriod is how long a server that says that it leaves may still get
	// requests while its service has no other.
	LeavingPeriod time.Duration
	// NoticeRetention is how long the notices of a server that Update no longer
	// names are kept, in case that it is named again.
	NoticeRetention time.Duration
	// ReplyGrace is how long after the deadline of an attempt its reply is still read. A
	// server that ends a request at its deadline answers then, and may say that it leaves or
	// wants a pause. Abandon shortens it.
	ReplyGrace time.Duration
	// UsableUntil returns until when a server may get requests according to its record,
	// the zero time if there is no limit. ok is false if it may get none. nil means that
	// there is never a limit.
	UsableUntil func(b *config.Backend) (until time.Time, ok bool)
	// Noticed is called when a server begins to leave, asks for a longer pause, or
	// sends the first pause that is unreadable. PauseEnded is called before the first
	// request to a server after its pause. Both may be nil.
	Noticed    func(b *config.Backend, requestID string, n Notice)
	PauseEnded func(b *config.Backend)
	// Sent is called before a request is written, with the time since Send; nil means
	// none.
	Sent func(b *config.Backend, requestID string, waited time.Duration)
	// Memory limits the total size of the replies that are held at once; nil
	// means no limit.
	Memory *limit.Memory
	// Panics recovers from panics in attempts; nil lets them propagate.
	Panics *contain.Panics
}

// Client sends requests to backend servers through a connection pool for each.
type Client struct {
	cfg     Config
	started time.Time
	mu      sync.Mutex // serializes writers of pools and notices
	limits  map[*config.Backend]int
	pools   atomic.Pointer[map[*config.Backend]*pool]
	// notices holds those of the servers that have given any.
	notices atomic.Pointer[map[*config.Backend]*notices]
	// readers holds read buffers for connections in use.
	readers sync.Pool
	stats   Stats
	// starvedSince and starvedLast are when, since the last reply that could be read, the
	// first and the last one could not for lack of memory, in nanoseconds since started;
	// starvedSince is 0 if there is none.
	starvedSince, starvedLast atomic.Int64
}

// Stats counts connection events.
type Stats struct {
	Dials, DialErrors, Stale, Reused, Waited atomic.Uint64
	// Leaving and Pauses count the notices of servers that begin to leave and that
	// ask for a longer pause, Withheld the requests that were not sent because of one.
	Leaving, Pauses, Withheld atomic.Uint64
}

// NewClient returns a Client that has no connections yet.
func NewClient(cfg Config) *Client {
	if cfg.Dial == nil {
		d := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	defaults.Set(&cfg.DialTimeout, DefaultDialTimeout)
	defaults.Set(&cfg.IdleTimeout, DefaultIdleTimeout)
	c := &Client{cfg: cfg, started: time.Now()}
	c.readers.New = func() any { return bufio.NewReaderSize(nil, readBufferSize) }
	c.pools.Store(&map[*config.Backend]*pool{})
	c.notices.Store(&map[*config.Backend]*notices{})
	return c
}

// Stats returns the counters.
func (c *Client) Stats() *Stats { return &c.stats }

// Update sets the maximum number of connections to each backend server and
// closes the connections to servers that are missing from limits.
func (c *Client) Update(limits map[*config.Backend]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	old := *c.pools.Load()
	next := make(map[*config.Backend]*pool, len(old))
	for b, p := range old {
		if n, ok := limits[b]; ok {
			p.setLimit(n)
			next[b] = p
		} else {
			p.retire()
		}
	}
	c.pools.Store(&next)
	c.forgetNotices(limits)
}

// pool returns the connection pool of a backend server, creating it if needed.
func (c *Client) pool(b *config.Backend) *pool {
	if p, ok := (*c.pools.Load())[b]; ok {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.pools.Load()
	if p, ok := old[b]; ok {
		return p
	}
	next := make(map[*config.Backend]*pool, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	p := newPool(b, c.limits[b])
	next[b] = p
	c.pools.Store(&next)
	return p
}

// WithdrawWaiting ends the attempts that wait for a connection to a server for which
// keep returns false, with ErrWithdrawn.
func (c *Client) WithdrawWaiting(keep func(b *config.Backend) bool) {
	for b, p := range *c.pools.Load() {
		if p.hasWaiters() && !keep(b) {
			p.withdrawWaiters()
		}
	}
}

// HasCapacity reports whether a request to the backend server could start
// without waiting for a connection: one is idle or another may be opened.
func (c *Client) HasCapacity(b *config.Backend) bool {
	p, ok := (*c.pools.Load())[b]
	return !ok || p.hasCapacity()
}

// Warm opens a connection to a backend server if none is open or being dialed,
// and returns when it is open. It fails with the error of Dial.
func (c *Client) Warm(ctx context.Context, b *config.Backend) error {
	p := c.pool(b)
	if !p.reserveFirst() {
		return nil
	}
	conn, err := c.dialReserved(ctx, p)
	if err != nil {
		return err
	}
	p.put(conn)
	return nil
}

// dialReserved opens a connection in a slot that is reserved, and releases the slot if
// it fails.
func (c *Client) dialReserved(ctx context.Context, p *pool) (conn *conn, err error) {
	defer func() {
		if conn == nil {
			p.releaseSlot()
		}
	}()
	return c.dial(ctx, p.backend)
}

func (c *Client) dial(ctx context.Context, b *config.Backend) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	c.stats.Dials.Add(1)
	nc, err := c.cfg.Dial(ctx, b.Address)
	if err != nil {
		c.stats.DialErrors.Add(1)
		return nil, err
	}
	return &conn{Conn: nc}, nil
}

// call is one attempt in flight.
type call struct {
	backend   *config.Backend
	start     time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	mu        sync.Mutex
	conn      *conn
	deadline  time.Time
	abandoned bool
}

// Abandon implements Attempt. It cancels an attempt that has no connection yet;
// otherwise it shortens the deadline to the grace.
func (a *call) Abandon(grace time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandoned = true
	if a.conn == nil {
		a.cancel()
		return
	}
	if deadline := time.Now().Add(grace); deadline.Before(a.deadline) {
		a.deadline = deadline
		_ = a.conn.SetDeadline(deadline) // fails if the connection is already closed
	}
}

// attach assigns a connection to the attempt. It returns false if the attempt
// was abandoned; the caller then puts the connection back.
func (a *call) attach(conn *conn, deadline time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandoned {
		return false
	}
	a.conn, a.deadline = conn, deadline
	_ = conn.SetDeadline(deadline) // if the connection is closed, the write fails
	return true
}

// detach ends the attempt's use of its connection, so that Abandon no longer
// changes its deadline.
func (a *call) detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
}

// Send starts an attempt. It sends exactly one result to results, also after
// Abandon; the channel must have buffer space for it.
func (c *Client) Send(b *config.Backend, req *Request, deadline time.Time, tag int, results chan<- Result) Attempt {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	a := &call{backend: b, start: time.Now(), ctx: ctx, cancel: cancel}
	go func() {
		defer cancel()
		defer c.cfg.Panics.Recover("attempt", func(err error) {
			// The request may have been sent.
			results <- Result{Tag: tag, Err: &IncompleteReplyError{Backend: b.ID, Err: err}}
		})
		reply, err := c.attempt(a, req, deadline)
		results <- Result{Tag: tag, Reply: reply, Err: err}
	}()
	return a
}

// attempt sends a request on a connection of the pool and classifies the reply.
func (c *Client) attempt(call *call, req *Request, deadline time.Time) (*Reply, error) {
	b := call.backend
	p := c.pool(b)
	until, err := c.checkUsable(b)
	if err != nil {
		return nil, err
	}
	acquireCtx, stop := call.ctx, context.CancelFunc(func() {})
	if !until.IsZero() && until.Before(deadline) {
		acquireCtx, stop = context.WithDeadline(call.ctx, until)
	}
	conn, err := c.acquire(acquireCtx, p)
	stop()
	held := &lease{pool: p, conn: conn}
	defer held.close()
	// What was known when the server was chosen may no longer hold after the wait.
	if _, unusable := c.checkUsable(b); unusable != nil {
		held.put()
		return nil, unusable
	}
	if err != nil {
		// A dial that failed because the attempt ended does not mean that the
		// server is down.
		return nil, &UnsentError{Backend: b.ID, Err: err, Unreachable: DialFailed(err) && acquireCtx.Err() == nil}
	}
	if !call.attach(conn, deadline.Add(c.cfg.ReplyGrace)) {
		held.put()
		return nil, &UnsentError{Backend: b.ID, Err: ErrAbandoned}
	}
	defer call.detach()
	remaining := time.Until(deadline)
	if remaining < time.Millisecond {
		call.detach()
		held.put()
		return nil, &UnsentError{Backend: b.ID, Err: context.DeadlineExceeded}
	}
	if c.cfg.Sent != nil {
		c.cfg.Sent(b, req.ID, time.Since(call.start))
	}
	head := c.cfg.Protocol.AppendAttempt(append(make([]byte, 0, len(req.Head)+len(req.Body)+128), req.Head...), remaining, b.ID)
	buffer := c.readers.Get().(*bufio.Reader)
	buffer.Reset(conn)
	reply, reusable, sent, err := conn.roundTrip(req, append(head, "\r\n"...), &replyReader{r: buffer, memory: c.cfg.Memory})
	buffer.Reset(nil)
	c.readers.Put(buffer)
	c.recordStarvation(err)
	if err != nil {
		if !sent {
			return nil, &UnsentError{Backend: b.ID, Err: err}
		}
		return nil, &IncompleteReplyError{Backend: b.ID, Err: err}
	}
	delivered := false
	defer func() {
		if !delivered {
			reply.Release()
		}
	}()
	c.cfg.Protocol.Classify(reply, req)
	if conn.identified && !reply.Identified {
		// The previous reply on this connection carried a request id. One without
		// may be a duplicate of an earlier reply.
		reply.Verdict = Untrusted
	}
	conn.identified = reply.Identified
	if reply.Verdict != Untrusted && reply.Verdict != WrongServer {
		c.Observe(b, req.ID, reply.Notice)
	}
	call.detach()
	if reusable && reply.Verdict != Untrusted && reply.Verdict != WrongServer {
		_ = conn.SetDeadline(time.Time{}) // on an error the next use of the connection fails too
		conn.idleFor = c.idleFor(reply.Header)
		held.put()
	}
	delivered = true
	return reply, nil
}

// recordStarvation records whether replies can be read at all: err is the result of
// reading one.
func (c *Client) recordStarvation(err error) {
	var memory *limit.MemoryError
	switch {
	case err == nil:
		c.starvedSince.Store(0)
	case errors.As(err, &memory):
		now := max(1, c.elapsed(time.Now()))
		c.starvedLast.Store(now)
		c.starvedSince.CompareAndSwap(0, now)
	}
}

// starvationExpiry is the time without a reply after which it is not known any more
// whether there is memory for one.
const starvationExpiry = 5 * time.Second

// Starved returns for how long no reply could be read since there was no memory for it;
// 0 if the last one could, or if none came for starvationExpiry.
func (c *Client) Starved(now time.Time) time.Duration {
	since, last := c.starvedSince.Load(), c.starvedLast.Load()
	if since == 0 || c.elapsed(now)-last > int64(starvationExpiry) {
		return 0
	}
	return time.Duration(last - since)
}

// acquire returns an idle connection or a new one. If the limit of the pool is
// reached, it waits for a connection or a slot.
func (c *Client) acquire(ctx context.Context, p *pool) (*conn, error) {
	for {
		conn, wait := p.get()
		if conn == nil && wait == nil {
			return c.dialReserved(ctx, p)
		}
		if wait != nil {
			c.stats.Waited.Add(1)
			var grant grant
			select {
			case grant = <-wait:
			case <-ctx.Done():
				if p.removeWaiter(wait) {
					return nil, ErrNoConnection
				}
				grant = <-wait
			}
			if grant.withdrawn {
				return nil, ErrWithdrawn
			}
			if conn = grant.conn; conn == nil {
				continue // a slot is free: retry
			}
		}
		if conn.usable() {
			c.stats.Reused.Add(1)
			return conn, nil
		}
		c.stats.Stale.Add(1)
		p.close(conn)
	}
}

// idleFor returns how long a connection may stay idle: the timeout of the
// server's Keep-Alive header less a margin of one fifth, so that no request is
// sent while the server closes the connection.
func (c *Client) idleFor(h http.Header) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for param := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
				return min(c.cfg.IdleTimeout, time.Duration(s)*time.Second*4/5)
			}
		}
	}
	return c.cfg.IdleTimeout
}

// usable reports whether an idle connection can be reused.
func (c *conn) usable() bool {
	if c.idleFor > 0 && time.Since(c.idleSince) > c.idleFor {
		return false
	}
	return c.checkIdle() == nil
}
