package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes; most
	// replies fit.
	readBuffer = 4 << 10
	// maxReply bounds the body of a reply in bytes, far above what a backend
	// server sends.
	maxReply = 16 << 20
	// writeAhead is the largest body in bytes that is written before the reply
	// is read; it fits the socket buffer of any connection.
	writeAhead = 8 << 10
)

// errStale reports an idle connection that the backend server has closed or
// written to.
var errStale = errors.New("connection was closed or written to while idle")

// conn is a connection to a backend server. One request uses it at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	// idleFor is how long the backend server keeps the connection open when idle.
	idleFor time.Duration
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)} }

// checkIdle returns an error if the connection cannot be used again: bytes that
// arrive without a request belong to no request.
func (c *conn) checkIdle() error {
	if c.reader.Buffered() > 0 {
		return errStale
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		if n >= 0 && err == nil || err != syscall.EAGAIN {
			result = errStale
		}
		return true
	})
	return errors.Join(err, result)
}

// roundTrip writes a request and reads the whole reply. sent is false if
// nothing was written. reusable tells whether the connection may be used again.
func (c *conn) roundTrip(req *Request, head []byte) (reply *Reply, reusable, sent bool, err error) {
	start := time.Now()
	var late chan error
	if len(req.Body) <= writeAhead {
		n, err := c.Write(append(head, req.Body...))
		if err != nil {
			return nil, false, n > 0, err
		}
	} else {
		// The reply may come before the body was read.
		late = make(chan error, 1)
		go func() {
			_, err := c.Write(append(head, req.Body...))
			late <- err
		}()
	}
	reply, reusable, err = c.readReply(req)
	if err != nil {
		return nil, false, true, err
	}
	reply.Latency = time.Since(start)
	if late != nil {
		select {
		case err := <-late:
			reusable = reusable && err == nil
		default:
			reusable = false // the rest of the body must not be taken for a request
		}
	}
	return reply, reusable, true, nil
}

func (c *conn) readReply(req *Request) (reply *Reply, reusable bool, err error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, false, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		body, err := readBody(resp, req.Method)
		if err != nil {
			return nil, false, err
		}
		// The reply is whole; bytes that follow it belong to nothing.
		reusable = !resp.Close && c.reader.Buffered() == 0
		return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, reusable, nil
	}
}

func readBody(resp *http.Response, method string) ([]byte, error) {
	defer resp.Body.Close()
	if method == http.MethodHead {
		return nil, nil
	}
	if n := resp.ContentLength; n >= 0 && n <= maxReply {
		body := make([]byte, n)
		if _, err := io.ReadFull(resp.Body, body); err != nil && !(n == 0 && err == io.EOF) {
			return nil, err
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	if err == nil && len(body) > maxReply {
		err = &BodyTooLargeError{Limit: maxReply}
	}
	return body, err
}
