package backend

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// call is one sub-request. Its mutable fields are guarded by its stream's lock.
type call struct {
	req      *Request
	sink     Sink
	tag      int
	deadline int64 // nanoseconds since the pool's epoch

	stream    *stream // nil if the sub-request was refused within Send
	state     callState
	id        uint64
	writtenAt int64
	cancelled bool
}

type callState uint8

const (
	callQueued callState = iota
	callWritten
	callDone
)

// completion pairs a call with its reply, which is delivered after the lock of
// the stream is released.
type completion struct {
	call  *call
	reply Reply
}

var zeroCompletion completion

// Cancel implements Call.
func (c *call) Cancel() {
	if c.stream != nil {
		c.stream.cancelCall(c)
	}
}

// linkState is the state of a stream's connection. It determines whether
// sub-requests can be queued.
type linkState uint8

const (
	// linkConnecting queues sub-requests during the first attempt to connect.
	linkConnecting linkState = iota
	linkUp
	// linkDown refuses sub-requests after a connection ended or could not be
	// opened, until the next one is open, so that they can be retried on another
	// replica before their deadline.
	linkDown
)

// loadReport is a load that a backend server reported.
type loadReport struct {
	load float64
	at   int64 // nanoseconds since the pool's epoch
}

// stream holds the sub-requests of one backend server. It persists across
// reconnects.
type stream struct {
	pool *Pool
	key  streamKey

	wake         chan struct{}
	draining     atomic.Bool
	load         atomic.Pointer[loadReport]
	undeclaredAt atomic.Int64 // since when the backend server is not declared; 0 while it is
	// earliest is a lower bound of the deadlines of all calls. Before that time no
	// call can time out, so a sweep takes no lock.
	earliest atomic.Int64
	ctx      context.Context // ends when the stream is retired
	cancel   context.CancelFunc

	mu      sync.Mutex
	link    linkState
	lastErr error
	retired bool
	queue   []*call // begins at index head; may contain calls that are done
	head    int
	pending map[uint64]*call
	cancels []uint64 // ids of written calls to cancel
	nextID  uint64
	session *session
	// waitingSince is when the wait for the next message of the backend server
	// began: when the last message was received, if replies were still pending
	// then; otherwise when a sub-request was first written after it. 0 means that
	// no message is awaited.
	waitingSince int64
	overdue      int // replies overdue since the last received message
}

func newStream(p *Pool, key streamKey) *stream {
	s := &stream{
		pool:    p,
		key:     key,
		wake:    make(chan struct{}, 1),
		pending: map[uint64]*call{},
	}
	s.ctx, s.cancel = context.WithCancel(p.ctx)
	s.earliest.Store(math.MaxInt64)
	return s
}

type enqueueResult uint8

const (
	enqueueAccepted enqueueResult = iota
	enqueueRefused
	enqueueRetired
)

// enqueue queues a call. With enqueueRefused it returns the reply that refuses the
// call; after enqueueRetired the caller must use a new stream.
func (s *stream) enqueue(c *call) (Reply, enqueueResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.retired:
		return Reply{}, enqueueRetired
	case s.draining.Load():
		return Reply{Status: Draining, Err: &DrainingError{Backend: s.key.id}}, enqueueRefused
	case s.link == linkDown:
		return s.unavailableReply(), enqueueRefused
	case len(s.queue)-s.head >= s.pool.cfg.MaxQueued:
		err := &QueueFullError{Backend: s.key.id, Limit: s.pool.cfg.MaxQueued}
		return Reply{Status: Unsent, Err: err}, enqueueRefused
	}
	c.stream = s
	s.queue = append(s.queue, c)
	if c.deadline < s.earliest.Load() {
		s.earliest.Store(c.deadline)
	}
	s.wakeWriter()
	return Reply{}, enqueueAccepted
}

func (s *stream) unavailableReply() Reply {
	return Reply{Status: Unsent, Err: &UnavailableError{Backend: s.key.id, Err: s.lastErr}}
}

func (s *stream) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// cancelCall ends a queued call as not run. For a written call it sends a
// cancellation to the backend server.
func (s *stream) cancelCall(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.cancelled || c.state == callDone {
		return
	}
	c.cancelled = true
	if c.state == callQueued {
		c.state = callDone
		s.pool.deliveries.add(c, Reply{Status: Cancelled, Err: &CancelledError{Backend: s.key.id}})
		return
	}
	s.cancels = append(s.cancels, c.id)
	s.wakeWriter()
}

// batch holds one message to write, and the calls that expired meanwhile. Its
// memory is reused.
type batch struct {
	message  briarstandv1.ExchangeRequest
	requests [MaxBatch]briarstandv1.SubRequest
	expired  []completion
	deadline int64 // the earliest deadline in the message
	more     bool  // the queue is not empty
}

func (b *batch) reset() {
	b.message.Requests = b.message.Requests[:0]
	b.message.CancelIds = b.message.CancelIds[:0]
	b.expired = b.expired[:0]
	b.deadline = math.MaxInt64
	b.more = false
}

func (b *batch) empty() bool {
	return len(b.message.Requests) == 0 && len(b.message.CancelIds) == 0
}

// fillBatch moves queued calls and cancellations into a batch, and ends the calls
// whose deadline passed. The calls in the message count as written from here on,
// because a write that fails may still have reached the backend server.
func (s *stream) fillBatch(b *batch, now int64) {
	b.reset()
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for s.head < len(s.queue) && len(b.message.Requests) < MaxBatch && len(s.pending) < s.pool.cfg.MaxInFlight {
		c := s.queue[s.head]
		if size += len(c.req.Body); size > s.pool.cfg.MaxBodyBytes && len(b.message.Requests) > 0 {
			break
		}
		s.pop()
		if c.state == callDone {
			continue
		}
		if c.deadline <= now {
			c.state = callDone
			b.expired = append(b.expired, completion{c, Reply{Status: Expired, Err: &ExpiredError{Backend: s.key.id}}})
			continue
		}
		s.addToBatch(c, b, now)
	}
	b.more = s.head < len(s.queue)
	s.fillCancels(b)
}

func (s *stream) pop() {
	s.queue[s.head] = nil
	s.head++
	if s.head == len(s.queue) {
		s.queue, s.head = s.queue[:0], 0
	} else if s.head >= s.pool.cfg.MaxQueued {
		// Without compaction, a queue that never becomes empty would grow without
		// bound.
		n := copy(s.queue, s.queue[s.head:])
		clear(s.queue[n:])
		s.queue, s.head = s.queue[:n], 0
	}
}

func (s *stream) addToBatch(c *call, b *batch, now int64) {
	s.nextID++
	c.id, c.state, c.writtenAt = s.nextID, callWritten, now
	s.pending[c.id] = c
	if s.waitingSince == 0 {
		s.waitingSince = now
	}
	b.deadline = min(b.deadline, c.deadline)
	m := &b.requests[len(b.message.Requests)]
	m.Id, m.Service, m.IndexVersion, m.Shard = c.id, c.req.Service, c.req.IndexVersion, int32(c.req.Shard)
	m.TimeoutUs = max(1, (c.deadline-now)/int64(time.Microsecond))
	m.Body, m.Limit = c.req.Body, int32(c.req.Limit)
	m.NonIdempotent, m.RequestId = c.req.NonIdempotent, c.req.RequestID
	b.message.Requests = append(b.message.Requests, m)
}

// fillCancels moves the ids of cancelled calls that still wait for a reply into a
// batch.
func (s *stream) fillCancels(b *batch) {
	for _, id := range s.cancels {
		if _, ok := s.pending[id]; ok {
			b.message.CancelIds = append(b.message.CancelIds, id)
		}
	}
	s.cancels = s.cancels[:0]
}

// receive matches the replies of a message with the calls that wait for them.
// Replies that match no call are duplicate, late or invented, and are dropped.
func (s *stream) receive(m *briarstandv1.ExchangeResponse, buf []completion) []completion {
	now := s.pool.now()
	if l := m.GetLoad(); l >= 0 { // negative or NaN: not reported
		s.load.Store(&loadReport{load: min(l, 1), at: now})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	unmatched := 0
	for _, r := range m.GetResponses() {
		c, ok := s.pending[r.GetId()]
		if !ok {
			unmatched++
			continue
		}
		delete(s.pending, r.GetId())
		c.state = callDone
		buf = append(buf, completion{c, s.validateReply(c, r)})
	}
	s.overdue, s.waitingSince = 0, 0
	if len(s.pending) > 0 {
		s.waitingSince = now
	}
	if unmatched > 0 {
		s.pool.counters.unmatched.Add(unmatched)
	}
	if m.GetDraining() && !s.draining.Swap(true) {
		buf = s.completeQueued(buf, Reply{Status: Draining, Err: &DrainingError{Backend: s.key.id}})
		s.pool.cfg.Logger.Info("backend server announced draining", "backend", s.key.id)
	}
	if s.head < len(s.queue) {
		s.wakeWriter() // the writer may have stopped at MaxInFlight
	}
	return buf
}

var statuses = map[briarstandv1.SubStatus]Status{
	briarstandv1.SubStatus_SUB_STATUS_SHED:            Shed,
	briarstandv1.SubStatus_SUB_STATUS_DRAINING:        Draining,
	briarstandv1.SubStatus_SUB_STATUS_VERSION_MISSING: VersionMissing,
	briarstandv1.SubStatus_SUB_STATUS_EXPIRED:         Expired,
	briarstandv1.SubStatus_SUB_STATUS_CANCELLED:       Cancelled,
	briarstandv1.SubStatus_SUB_STATUS_FAILED:          Failed,
}

// validateReply checks the reply of a backend server to a call and converts it.
func (s *stream) validateReply(c *call, r *briarstandv1.SubResponse) Reply {
	if r.GetStatus() != briarstandv1.SubStatus_SUB_STATUS_OK {
		status, ok := statuses[r.GetStatus()]
		if !ok {
			err := &ProtocolError{Backend: s.key.id, Detail: fmt.Sprintf("unknown status %d", r.GetStatus())}
			return Reply{Status: Failed, Err: err}
		}
		return Reply{Status: status, Err: &StatusError{Backend: s.key.id, Status: status, Message: r.GetError()}}
	}
	if r.GetIndexVersion() != c.req.IndexVersion || int(r.GetShard()) != c.req.Shard {
		return Reply{Status: Failed, Err: &MismatchError{
			Backend:     s.key.id,
			WantVersion: c.req.IndexVersion, GotVersion: r.GetIndexVersion(),
			WantShard: c.req.Shard, GotShard: int(r.GetShard()),
		}}
	}
	for _, h := range r.GetHits() {
		h.Shard = r.GetShard()
	}
	return Reply{Status: OK, IndexVersion: r.GetIndexVersion(), Shard: c.req.Shard, Hits: r.GetHits()}
}

// completeQueued ends every call that was not written.
func (s *stream) completeQueued(buf []completion, r Reply) []completion {
	for _, c := range s.queue[s.head:] {
		if c.state == callQueued {
			c.state = callDone
			buf = append(buf, completion{c, r})
		}
	}
	clear(s.queue)
	s.queue, s.head = s.queue[:0], 0
	return buf
}

// completeWritten ends every call that waits for a reply.
func (s *stream) completeWritten(buf []completion, r Reply) []completion {
	for _, c := range s.pending {
		c.state = callDone
		buf = append(buf, completion{c, r})
	}
	clear(s.pending)
	s.cancels = s.cancels[:0]
	s.waitingSince, s.overdue = 0, 0
	return buf
}

// sweep ends the calls that timed out: queued ones at their deadline, written
// ones after the grace period. It closes the connection if the backend server
// has been silent for SilenceTimeout.
func (s *stream) sweep(now int64, buf []completion) []completion {
	if now < s.earliest.Load() {
		return buf
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	earliest := int64(math.MaxInt64)
	buf, earliest = s.sweepQueued(now, buf, earliest)
	buf, earliest = s.sweepWritten(now, buf, earliest)
	s.earliest.Store(earliest)
	silent := now - s.waitingSince
	if s.overdue > 0 && s.waitingSince != 0 && silent >= int64(s.pool.cfg.SilenceTimeout) && s.session != nil {
		s.session.abort(&SilentError{For: time.Duration(silent)})
	}
	return buf
}

func (s *stream) sweepQueued(now int64, buf []completion, earliest int64) ([]completion, int64) {
	kept := slices.DeleteFunc(s.queue[s.head:], func(c *call) bool {
		if c.state == callDone {
			return true
		}
		if c.deadline <= now {
			c.state = callDone
			buf = append(buf, completion{c, Reply{Status: Expired, Err: &ExpiredError{Backend: s.key.id}}})
			return true
		}
		earliest = min(earliest, c.deadline)
		return false
	})
	s.queue = s.queue[:s.head+len(kept)]
	return buf, earliest
}

func (s *stream) sweepWritten(now int64, buf []completion, earliest int64) ([]completion, int64) {
	grace := int64(s.pool.cfg.ReplyGrace)
	for id, c := range s.pending {
		if due := c.deadline + grace; due > now {
			earliest = min(earliest, due)
			continue
		}
		delete(s.pending, id)
		c.state = callDone
		s.overdue++
		err := &ReplyTimeoutError{Backend: s.key.id, After: time.Duration(now - c.writtenAt)}
		buf = append(buf, completion{c, Reply{Status: Failed, Err: err}})
	}
	if s.head < len(s.queue) {
		s.wakeWriter()
	}
	return buf, earliest
}

// connected sets the session that writes the queued sub-requests.
func (s *stream) connected(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link, s.session = linkUp, session
	s.draining.Store(false)
	s.wakeWriter()
}

// disconnected ends all calls. Queued calls provably did not run.
func (s *stream) disconnected(err error) {
	s.mu.Lock()
	s.link, s.session, s.lastErr = linkDown, nil, err
	buf := s.completeQueued(nil, s.unavailableReply())
	buf = s.completeWritten(buf, Reply{Status: StreamBroken, Err: &StreamError{Backend: s.key.id, Err: err}})
	s.mu.Unlock()
	s.pool.deliverAll(buf)
}

// retireIfUnused stops a stream that has no calls and whose backend server has not
// been declared for UndeclaredGrace. It reports whether the stream is retired and
// must be removed from the pool.
func (s *stream) retireIfUnused(now int64) bool {
	since := s.undeclaredAt.Load()
	if since == 0 || now-since < int64(s.pool.cfg.UndeclaredGrace) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired || len(s.pending) > 0 || len(s.queue) > s.head {
		return s.retired
	}
	s.retired = true
	s.cancel()
	return true
}

// retire stops the stream permanently and ends its calls.
func (s *stream) retire(err error) {
	s.mu.Lock()
	s.retired = true
	s.mu.Unlock()
	s.cancel()
	s.disconnected(err)
}
