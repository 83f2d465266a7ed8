package entry

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/briarstand/briarstand/limit"
	"github.com/briarstand/briarstand/route"
)

// callerListener enforces the idle and header timeouts of callers' connections.
// The timeouts of the http.Server are fixed at its start; these follow the
// configuration in force.
type callerListener struct {
	net.Listener
	limits func() route.Limits
	// memory limits the request headers that are being read.
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

// initialTimer is the duration that a timer is created with; it is reset at
// once.
const initialTimer = time.Hour

// callerConn is a caller's connection with its timeouts and reserved memory.
type callerConn struct {
	net.Conn
	limits func() route.Limits
	memory *limit.Memory
	timer  *time.Timer
	// reserved is the memory in bytes reserved for the headers of a request
	// until they have been read.
	reserved atomic.Int64
	// idle is set while no byte of the next request has been read.
	idle atomic.Bool
	// readingHeader is set while the headers of a request are being read.
	readingHeader atomic.Bool
	// closeAt is when the connection is closed, as a time of monotonicNanos; 0
	// while a request is answered. expire compares it with the current time, to
	// ignore a timer that fires although the timeout was changed or stopped.
	closeAt atomic.Int64
}

// startIdle starts the idle timeout.
func (c *callerConn) startIdle() {
	c.idle.Store(true)
	c.closeAfter(c.limits().IdleTimeout)
}

// finishHeader stops the timeouts until the request is answered, and releases
// the memory of its headers.
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

// Read implements net.Conn. The first byte of a request starts the header
// timeout.
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

// headerOverheadBytes is the memory that a decoded header line takes besides
// its text.
const headerOverheadBytes = 200

// CloseWrite lets the server half-close a connection whose last answer the
// caller may still be reading.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn for package disconnect.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

var processStart = time.Now()

// monotonicNanos returns the time since the start of the process, which clock
// adjustments do not change. It is above 0.
func monotonicNanos() int64 { return int64(time.Since(processStart)) + 1 }

// onCallerConnState is the server's ConnState hook: it is called when the
// headers of a request have been read, and when the request has been answered.
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

// callerLimits returns the limits of the configuration in force, with defaults
// for the timeouts that it lacks.
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
