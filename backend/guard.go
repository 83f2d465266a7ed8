package backend

import (
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// writeGuard prevents a message from reaching the network later than slack after
// the earliest deadline of its sub-requests. A message carries the time that remained
// until each deadline when the message was built.
// If the process is paused or flow control blocks the message, the backend server
// would use an outdated remaining time and run sub-requests that nobody waits for.
// A message that was passed to the transport can be withdrawn only by closing the
// connection. All times are in nanoseconds since the pool's epoch, and slack is in
// nanoseconds.
type writeGuard struct {
	now   func() int64
	slack int64
	// messageDeadline is the earliest deadline in the message being sent.
	// writeDeadline is that of the message whose bytes the transport has read
	// from the request body but not yet fully written. 0 means none.
	messageDeadline, writeDeadline atomic.Int64
	// onLate ends the session with the error.
	onLate func(error)
}

// check ends the session and returns an error if the deadline passed longer ago than
// the slack. A deadline of 0 never passes.
func (g *writeGuard) check(deadline int64) error {
	if deadline == 0 {
		return nil
	}
	late := g.now() - deadline
	if late <= g.slack {
		return nil
	}
	err := &StaleWriteError{Late: time.Duration(late)}
	g.onLate(err)
	return err
}

// guardedConn is the connection of a session. It signals the first byte
// received, which proves that the backend server serves the connection.
type guardedConn struct {
	net.Conn
	guard     *writeGuard
	once      sync.Once
	firstByte chan struct{}
}

func newGuardedConn(conn net.Conn, guard *writeGuard) *guardedConn {
	return &guardedConn{Conn: conn, guard: guard, firstByte: make(chan struct{})}
}

func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.once.Do(func() { close(c.firstByte) })
	}
	return n, err
}

func (c *guardedConn) Write(p []byte) (int, error) {
	if err := c.guard.check(c.guard.writeDeadline.Load()); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// guardedClient is the connect.HTTPClient of a session.
type guardedClient struct {
	transport *http.Transport
	guard     *writeGuard
}

func (c *guardedClient) Do(req *http.Request) (*http.Response, error) {
	req.Body = &guardedBody{ReadCloser: req.Body, guard: c.guard}
	return c.transport.RoundTrip(req)
}

// grpcPrefixBytes is the length of the prefix of a gRPC message: a flag byte
// and the length of the message as a 32-bit number.
const grpcPrefixBytes = 5

// guardedBody is the request body of the stream. The prefix of a message and the
// message arrive in separate writes; guardedBody joins them, so that both are sent in
// one frame and one system call.
type guardedBody struct {
	io.ReadCloser
	guard     *writeGuard
	remaining int // bytes of the current message not yet read
}

// Read returns bytes of one message. The HTTP/2 transport calls it again only
// after it has written and flushed the bytes of the last call.
func (b *guardedBody) Read(p []byte) (int, error) {
	b.guard.writeDeadline.Store(0)
	n, err := b.ReadCloser.Read(p)
	if err != nil || n == 0 {
		return n, err
	}
	if b.remaining > 0 {
		b.remaining = max(0, b.remaining-n)
	} else if n >= grpcPrefixBytes {
		b.remaining = max(0, int(binary.BigEndian.Uint32(p[1:]))-(n-grpcPrefixBytes))
	}
	for b.remaining > 0 && n < len(p) && err == nil {
		var m int
		m, err = b.ReadCloser.Read(p[n:])
		n, b.remaining = n+m, max(0, b.remaining-m)
	}
	deadline := b.guard.messageDeadline.Load()
	if err := b.guard.check(deadline); err != nil {
		return 0, err
	}
	b.guard.writeDeadline.Store(deadline)
	return n, err
}
