package standin

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener wraps accepted connections in conn.
type listener struct {
	net.Listener
	server *Server
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &conn{Conn: c, server: l.server}
	l.server.track(wrapped)
	return wrapped, nil
}

// http2Preface is the beginning of the preface of every HTTP/2 connection.
var http2Preface = []byte("PRI")

// conn counts towards the connection limit only once it is known to be HTTP/2,
// so that the control API does not use up the limit.
type conn struct {
	net.Conn
	server *Server
	sniff  sync.Once
	close  sync.Once
	// discarding is set once bytes were discarded. From then on all bytes are
	// discarded, because a gap would break the framing of HTTP/2.
	discarding atomic.Bool
	// counted is guarded by the server's lock.
	counted bool
}

// Read discards received bytes while the server is silent.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		c.sniff.Do(func() { err = c.admit(p[:n]) })
		if err != nil {
			return 0, err
		}
		if !c.discards() {
			return n, nil
		}
	}
}

func (c *conn) discards() bool {
	if c.server.silent.Load() {
		c.discarding.Store(true)
	}
	return c.discarding.Load()
}

// admit enforces the connection limit and waits for the setup time.
func (c *conn) admit(first []byte) error {
	if !bytes.HasPrefix(first, http2Preface) {
		return nil
	}
	setup, ok := c.server.admitConnection(c)
	if !ok {
		c.Close()
		return net.ErrClosed
	}
	time.Sleep(setup)
	return nil
}

// Write discards the bytes and reports success while the server is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.discards() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.close.Do(func() { c.server.untrack(c) })
	return c.Conn.Close()
}

func (s *Server) track(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.counted {
		s.record.Connections.Open--
	}
}

// admitConnection counts a connection and returns its setup time. ok is false if
// the connection limit is reached.
func (s *Server) admitConnection(c *conn) (setup time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := &s.record.Connections
	if limit := s.settings.MaxConnections; limit > 0 && count.Open >= limit {
		count.Refused++
		return 0, false
	}
	c.counted = true
	count.Accepted++
	count.Open++
	count.Peak = max(count.Peak, count.Open)
	return time.Duration(s.settings.ConnectionSetup), true
}
