package entry

import (
	"bytes"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/briarstand/briarstand/limit"
	"github.com/briarstand/briarstand/route"
)

// callerListener bounds how long callers' connections stay idle and how long a
// caller takes to send the headers of a request. The server's own bounds are
// fixed at its start; these follow the configuration in force.
type callerListener struct {
	net.Listener
	limits func() route.Limits
	// memory bounds the heads of requests that are being read.
	memory *limit.Memory
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, limits: l.limits, memory: l.memory}
	c.timer = time.AfterFunc(initialTimer, c.expire)
	c.startIdle()
	return c, nil
}

// initialTimer is the first setting of a timer that is set again at once.
const initialTimer = time.Hour

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	limits func() route.Limits
	memory *limit.Memory
	timer  *time.Timer
	// reserved are the bytes of memory that the head of a request holds until it
	// has been read.
	reserved atomic.Int64
	// idle says that no byte of the next request has been read.
	idle atomic.Bool
	// readingHeader says that the head of a request is being read.
	readingHeader atomic.Bool
	// until is when the connection is closed, as a time of monotonic; 0 while a
	// request is answered. A timer that fires late is told apart by it.
	closeAt atomic.Int64
}

// startIdle starts the time in which a connection may be idle.
func (c *callerConn) startIdle() {
	c.idle.Store(true)
	c.closeAfter(c.limits().IdleTimeout)
}

// answering ends the bounds until the request in progress is answered.
func (c *callerConn) finishHeader() {
	c.idle.Store(false)
	c.closeAt.Store(0)
	c.timer.Stop()
	c.readingHeader.Store(false)
	c.memory.Release(c.reserved.Swap(0))
}

func (c *callerConn) closeAfter(d time.Duration) {
	c.closeAt.Store(monotonicNanos() + int64(d))
	c.timer.Reset(d)
}

func (c *callerConn) expire() {
	closeAt := c.closeAt.Load()
	if closeAt != 0 && monotonicNanos() >= closeAt && c.closeAt.CompareAndSwap(closeAt, 0) {
		c.Conn.Close()
	}
}

// Read implements net.Conn. The first byte of a request starts the time for its
// headers.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.idle.CompareAndSwap(true, false) {
		c.closeAfter(c.limits().HeaderTimeout)
		c.readingHeader.Store(true)
	}
	if n > 0 && c.readingHeader.Load() {
		need := int64(n + headerOverheadBytes*bytes.Count(p[:n], []byte{'\n'}))
		if err := c.memory.Reserve(need); err != nil {
			c.Conn.Close()
			return 0, err
		}
		c.reserved.Add(need)
	}
	return n, err
}

// headerOverheadBytes is the memory in bytes that a decoded header takes besides its
// text.
const headerOverheadBytes = 200

// CloseWrite lets the server end a connection whose last answer the caller may
// still be reading.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

var processStart = time.Now()

// monotonic is a time that steps of the time of day do not change.
func monotonicNanos() int64 { return int64(time.Since(processStart)) + 1 }

// onCallerConnState is told by the server when a request has been read, and when
// it has been answered.
func onCallerConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive, http.StateClosed:
		c.finishHeader()
	case http.StateIdle:
		c.startIdle()
	}
}

// callerLimits returns the limits of the configuration in force, and the ones
// that apply where it has none.
func (d *Daemon) callerLimits() route.Limits {
	var l route.Limits
	if t := d.state.table.Load(); t != nil {
		l = t.Limits
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = readHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = idleTimeout
	}
	return l
}

// headerBytes returns the size of a request's line and headers.
func headerBytes(r *http.Request) int {
	const perLine = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + perLine + len("Host") + len(r.Host) + perLine
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + perLine
		}
	}
	return n
}
