package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
)

// errSecondDial prevents the HTTP transport of a session from opening a second
// connection.
var errSecondDial = errors.New("a session uses only one connection")

// session is one connection to a backend server with its stream.
type session struct {
	stream    *stream
	guard     *writeGuard
	conn      *guardedConn
	transport *http.Transport
	exchange  *connect.BidiStreamForClient[briarstandv1.ExchangeRequest, briarstandv1.ExchangeResponse]
	ctx       context.Context
	cancel    context.CancelCauseFunc
	opened    time.Time
	received  bool // a message was received; written by the reader, read after it returned
	// ready is closed when the stream has published the session.
	ready      chan struct{}
	readerDone chan struct{}
}

// run keeps a session open until the stream is retired or the pool closed.
func (s *stream) run() {
	ctx := s.ctx
	cfg := &s.pool.cfg
	wait := backoff{base: cfg.BackoffBase, max: cfg.BackoffMax, random: cfg.Random}
	for ctx.Err() == nil {
		err := s.runSession(ctx, &wait)
		if ctx.Err() != nil {
			break
		}
		s.disconnected(err)
		sleep(ctx, wait.next())
	}
	s.retire(ErrClosed)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// runSession opens a session and serves it until it breaks.
func (s *stream) runSession(ctx context.Context, wait *backoff) error {
	session, err := s.openSession(ctx)
	if err != nil {
		s.pool.counters.connectFailed.Inc()
		err = &ConnectError{Backend: s.key.id, Address: s.key.address, Err: err}
		s.pool.cfg.Logger.Debug("connect failed", "backend", s.key.id, "err", err)
		return err
	}
	s.pool.counters.connects.Inc()
	s.pool.counters.connectedCount.Add(1)
	defer s.pool.counters.connectedCount.Add(-1)
	s.connected(session)
	s.pool.cfg.OnConnect(s.key.id)
	err = session.serve()
	if session.received || time.Since(session.opened) >= s.pool.cfg.BackoffMax {
		wait.reset()
	}
	if ctx.Err() == nil {
		s.pool.counters.breaks.Inc()
		s.pool.cfg.Logger.Warn("stream to backend server broke", "backend", s.key.id, "err", err)
	}
	return err
}

// openSession connects and opens the stream. It waits for the first byte from
// the backend server, which HTTP/2 servers send at once. Until then no
// sub-request is written, so that sub-requests provably did not run if the
// connection is closed right after it was accepted or no process serves it.
func (s *stream) openSession(ctx context.Context) (*session, error) {
	timeout, done := context.WithTimeout(ctx, s.pool.cfg.ConnectTimeout)
	defer done()
	raw, err := s.pool.cfg.Dial(timeout, "tcp", s.key.address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	n := s.newSession(ctx, raw)
	select {
	case <-n.conn.alive:
		return n, nil
	case <-n.ctx.Done():
	case <-timeout.Done():
		n.end(timeout.Err())
	}
	return nil, fmt.Errorf("open stream: %w", n.close())
}

// newSession opens the stream on a connection and starts the reader.
func (s *stream) newSession(ctx context.Context, raw net.Conn) *session {
	n := &session{stream: s, opened: time.Now(), ready: make(chan struct{}), readerDone: make(chan struct{})}
	n.ctx, n.cancel = context.WithCancelCause(ctx)
	n.guard = &writeGuard{now: s.pool.now, slack: int64(s.pool.cfg.ReplyGrace), onLate: n.end}
	n.conn = newGuardedConn(raw, n.guard)
	n.transport = newTransport(&s.pool.cfg, n.conn)
	client := briarstandv1connect.NewBackendServiceClient(
		&guardedClient{transport: n.transport, guard: n.guard},
		"http://"+s.key.address,
		connect.WithGRPC(),
		connect.WithReadMaxBytes(s.pool.cfg.MaxReceiveBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
	)
	n.exchange = client.Exchange(n.ctx)
	if err := n.exchange.Send(nil); err != nil { // sends the headers
		n.end(err)
	}
	go n.read()
	return n
}

// newTransport returns an HTTP/2 transport that uses only the given connection.
func newTransport(cfg *PoolConfig, conn net.Conn) *http.Transport {
	var used atomic.Bool
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:          &protocols,
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  cfg.PingInterval,
			PingTimeout:      cfg.PingTimeout,
			WriteByteTimeout: cfg.PingTimeout,
		},
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used.Swap(true) {
				return nil, errSecondDial
			}
			return conn, nil
		},
	}
}

// end closes the connection of the session. It does not wait. Only the first
// cause is kept.
func (n *session) end(cause error) {
	n.cancel(cause)
	n.conn.Close()
}

// close closes the connection, waits for the reader to return, and returns the
// cause of the end. The context of the session must have ended.
func (n *session) close() error {
	n.conn.Close()
	<-n.readerDone
	n.transport.CloseIdleConnections()
	return context.Cause(n.ctx)
}

// serve writes queued sub-requests and cancellations until the session ends, and
// returns the cause.
func (n *session) serve() error {
	close(n.ready)
	var b batch
	for {
		select {
		case <-n.ctx.Done():
			return n.close()
		case <-n.stream.wake:
			n.writeQueued(&b)
		}
	}
}

// writeQueued writes messages until nothing can be written. Sub-requests that
// are queued while a message is being written are batched in the next one.
func (n *session) writeQueued(b *batch) {
	for n.ctx.Err() == nil {
		n.stream.take(b, n.stream.pool.now())
		n.stream.pool.deliverAll(b.ended)
		if b.empty() {
			return
		}
		n.guard.message.Store(b.deadline)
		if err := n.exchange.Send(&b.message); err != nil {
			n.end(fmt.Errorf("write: %w", err))
			return
		}
		n.stream.pool.counters.messages.Inc()
		n.stream.pool.counters.written.Add(len(b.message.Requests))
		if !b.more {
			return
		}
	}
}

// read passes received messages to the stream until the session ends.
func (n *session) read() {
	defer close(n.readerDone)
	var buf []ended
	for {
		m, err := n.exchange.Receive()
		if err != nil {
			n.end(fmt.Errorf("read: %w", err))
			return
		}
		select {
		case <-n.ready:
		case <-n.ctx.Done():
			return
		}
		n.received = true
		buf = n.stream.receive(m, buf[:0])
		n.stream.pool.deliverAll(buf)
	}
}
