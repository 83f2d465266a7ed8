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
	received  bool // a message was received; set by the reader, and used by others only after it returned
	// ready is closed once the stream uses the session. Until then the reader
	// handles no message.
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
	sess, err := s.openSession(ctx)
	if err != nil {
		s.pool.counters.connectFailed.Inc()
		err = &ConnectError{Backend: s.key.id, Address: s.key.address, Err: err}
		s.pool.cfg.Logger.Debug("connect failed", "backend", s.key.id, "err", err)
		return err
	}
	s.pool.counters.connects.Inc()
	s.pool.counters.connectedCount.Add(1)
	defer s.pool.counters.connectedCount.Add(-1)
	s.connected(sess)
	s.pool.cfg.OnConnect(s.key.id)
	err = sess.serve()
	if sess.received || time.Since(sess.opened) >= s.pool.cfg.BackoffMax {
		wait.reset()
	}
	if ctx.Err() == nil {
		s.pool.counters.breaks.Inc()
		s.pool.cfg.Logger.Warn("stream to backend server broke", "backend", s.key.id, "err", err)
	}
	return err
}

// openSession connects and opens the stream. It returns only after the first byte
// from the backend server, which HTTP/2 servers send at once. Until then no
// sub-request is written. So if the connection is closed right after it was accepted,
// or no process serves it, the queued sub-requests provably did not run.
func (s *stream) openSession(ctx context.Context) (*session, error) {
	timeout, done := context.WithTimeout(ctx, s.pool.cfg.ConnectTimeout)
	defer done()
	raw, err := s.pool.cfg.Dial(timeout, "tcp", s.key.address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	sess := s.newSession(ctx, raw)
	select {
	case <-sess.conn.firstByte:
		return sess, nil
	case <-sess.ctx.Done():
	case <-timeout.Done():
		sess.abort(timeout.Err())
	}
	return nil, fmt.Errorf("open stream: %w", sess.close())
}

// newSession opens the stream on a connection and starts the reader.
func (s *stream) newSession(ctx context.Context, raw net.Conn) *session {
	sess := &session{stream: s, opened: time.Now(), ready: make(chan struct{}), readerDone: make(chan struct{})}
	sess.ctx, sess.cancel = context.WithCancelCause(ctx)
	sess.guard = &writeGuard{now: s.pool.now, slack: int64(s.pool.cfg.ReplyGrace), onLate: sess.abort}
	sess.conn = newGuardedConn(raw, sess.guard)
	sess.transport = newTransport(&s.pool.cfg, sess.conn)
	client := briarstandv1connect.NewBackendServiceClient(
		&guardedClient{transport: sess.transport, guard: sess.guard},
		"http://"+s.key.address,
		connect.WithGRPC(),
		connect.WithReadMaxBytes(s.pool.cfg.MaxReceiveBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
	)
	sess.exchange = client.Exchange(sess.ctx)
	if err := sess.exchange.Send(nil); err != nil { // sends the headers
		sess.abort(err)
	}
	go sess.read()
	return sess
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

// abort closes the connection of the session. It does not wait. Only the first
// cause is kept.
func (sess *session) abort(cause error) {
	sess.cancel(cause)
	sess.conn.Close()
}

// close closes the connection, waits for the reader to return, and returns the
// cause of the end. The context of the session must have ended.
func (sess *session) close() error {
	sess.conn.Close()
	<-sess.readerDone
	sess.transport.CloseIdleConnections()
	return context.Cause(sess.ctx)
}

// serve writes queued sub-requests and cancellations until the session ends, and
// returns the cause.
func (sess *session) serve() error {
	close(sess.ready)
	var b batch
	for {
		select {
		case <-sess.ctx.Done():
			return sess.close()
		case <-sess.stream.wake:
			sess.writeQueued(&b)
		}
	}
}

// writeQueued writes messages until nothing can be written. Sub-requests that
// are queued while a message is being written are batched in the next one.
func (sess *session) writeQueued(b *batch) {
	for sess.ctx.Err() == nil {
		sess.stream.fillBatch(b, sess.stream.pool.now())
		sess.stream.pool.deliverAll(b.expired)
		if b.empty() {
			return
		}
		sess.guard.messageDeadline.Store(b.deadline)
		if err := sess.exchange.Send(&b.message); err != nil {
			sess.abort(fmt.Errorf("write: %w", err))
			return
		}
		sess.stream.pool.counters.messages.Inc()
		sess.stream.pool.counters.written.Add(len(b.message.Requests))
		if !b.more {
			return
		}
	}
}

// read passes received messages to the stream until the session ends.
func (sess *session) read() {
	defer close(sess.readerDone)
	var buf []completion
	for {
		m, err := sess.exchange.Receive()
		if err != nil {
			sess.abort(fmt.Errorf("read: %w", err))
			return
		}
		select {
		case <-sess.ready:
		case <-sess.ctx.Done():
			return
		}
		sess.received = true
		buf = sess.stream.receive(m, buf[:0])
		sess.stream.pool.deliverAll(buf)
	}
}
