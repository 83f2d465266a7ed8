package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/briarstand/briarstand/limit"
)

const (
	// readBufferSize is the size in bytes of the read buffer of a connection in
	// use. It holds the head of a typical reply, and most replies completely.
	readBufferSize = 4 << 10
	// maxHeadBytes limits the bytes of a reply's status line and headers, and
	// maxHeadLines the number of lines. The bytes alone do not limit the memory,
	// since a decoded header takes many times its size on the wire.
	maxHeadBytes = 32 << 10
	maxHeadLines = 128
	// maxStatus is the highest status of a reply that HTTP defines.
	maxStatus = 599
	// maxInterimReplies limits the interim replies (status 1xx, such as
	// 100 Continue) before the final one.
	maxInterimReplies = 5
	// initialBodyBytes is the maximum initial size of a body's buffer, however
	// long the Content-Length says that the body is.
	initialBodyBytes = 4 << 10
	// maxWriteAheadBytes is the size of the largest body that is written
	// completely before the reply is read; it fits into the socket buffer of any
	// connection.
	maxWriteAheadBytes = 8 << 10
)

// errStale reports an idle connection that the backend server has closed or
// written to, so that it cannot be reused.
var errStale = errors.New("connection was closed or written to while idle")

// conn is a connection to a backend server. One request uses it at a time.
type conn struct {
	net.Conn
	idleSince time.Time
	// idleFor is how long the connection may stay idle before the backend server
	// might close it; 0 means no limit.
	idleFor time.Duration
	// identified is set if the last reply on this connection carried a request
	// id.
	identified bool
}

// checkIdle returns an error if the backend server has closed the idle
// connection or written to it: such bytes belong to no request.
func (c *conn) checkIdle() error {
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

// roundTrip writes a request and reads the complete reply. sent is false if
// nothing was written. reusable reports whether the connection may be reused.
func (c *conn) roundTrip(req *Request, head []byte, in *replyReader) (reply *Reply, reusable, sent bool, err error) {
	start := time.Now()
	var writeDone chan error
	if len(req.Body) <= maxWriteAheadBytes {
		n, err := c.Write(append(head, req.Body...))
		if err != nil {
			return nil, false, n > 0, err
		}
	} else {
		// The server may reply before it has read the body.
		writeDone = make(chan error, 1)
		go func() {
			_, err := c.Write(append(head, req.Body...))
			writeDone <- err
		}()
	}
	reply, reusable, err = in.read(req)
	if err != nil {
		return nil, false, true, err
	}
	reply.Latency = time.Since(start)
	if writeDone != nil {
		select {
		case err := <-writeDone:
			reusable = reusable && err == nil
		default:
			reusable = false // the server would parse the rest of the body as a request
		}
	}
	return reply, reusable, true, nil
}

// replyReader reads one reply with limits on its size: a faulty backend server
// may send an endless one.
type replyReader struct {
	r      *bufio.Reader
	memory *limit.Memory
}

// read returns the first reply that is not an interim one.
func (in *replyReader) read(req *Request) (reply *Reply, reusable bool, err error) {
	for range maxInterimReplies + 1 {
		if err := in.awaitHead(); err != nil {
			return nil, false, err
		}
		resp, err := http.ReadResponse(in.r, &http.Request{Method: req.Method})
		if err != nil {
			return nil, false, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
			return nil, false, &StatusError{Status: resp.StatusCode}
		}
		reply := &Reply{Status: resp.StatusCode, Header: resp.Header, memory: in.memory}
		if err := reply.readBody(resp, req); err != nil {
			return nil, false, err
		}
		// A connection is not reused if bytes follow the complete reply, since they
		// belong to no request. If awaitHead replaced the buffer by a larger one, the
		// old one may hold such bytes.
		reusable = !resp.Close && in.r.Buffered() == 0 && in.r.Size() == readBufferSize
		return reply, reusable, nil
	}
	return nil, false, &HeadTooLargeError{What: "interim replies", Limit: maxInterimReplies}
}

// awaitHead blocks until the read buffer holds the complete head of a reply, or
// as much of it as arrived before EOF. It returns a HeadTooLargeError if the
// head exceeds a limit.
func (in *replyReader) awaitHead() error {
	seen, lines := 0, 0
	for {
		data, err := in.r.Peek(in.r.Buffered())
		if err != nil {
			return err
		}
		for {
			end := bytes.IndexByte(data[seen:], '\n')
			if end < 0 {
				break
			}
			line := data[seen : seen+end]
			seen += end + 1
			if len(bytes.TrimSuffix(line, []byte{'\r'})) == 0 {
				return nil
			}
			if lines++; lines > maxHeadLines {
				return &HeadTooLargeError{What: "lines", Limit: maxHeadLines}
			}
		}
		if len(data) == in.r.Size() {
			if in.r.Size() >= maxHeadBytes {
				return &HeadTooLargeError{What: "bytes", Limit: maxHeadBytes}
			}
			in.r = bufio.NewReaderSize(in.r, maxHeadBytes) // reads the old buffer first
			seen, lines = 0, 0
			if _, err := in.r.Peek(len(data)); err != nil {
				return err
			}
			continue
		}
		if _, err := in.r.Peek(len(data) + 1); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// readBody reads the complete body. Memory is reserved as bytes arrive, whatever
// Content-Length the backend server sends. The body is not closed, because
// closing reads to the end of the body, which may never come. The reservation is
// released unless the body is complete.
func (r *Reply) readBody(resp *http.Response, req *Request) error {
	complete := false
	defer func() {
		if !complete {
			r.Release()
		}
	}()
	if err := r.readAll(resp, req); err != nil {
		return err
	}
	complete = true
	return nil
}

func (r *Reply) readAll(resp *http.Response, req *Request) error {
	if req.Method == http.MethodHead {
		return nil
	}
	maxBytes := req.MaxReplyBytes
	if maxBytes <= 0 {
		maxBytes = DefaultMaxReplyBytes
	}
	length := resp.ContentLength // -1 if unknown
	if length > maxBytes {
		return &BodyTooLargeError{Limit: maxBytes}
	}
	size := min(length, initialBodyBytes)
	if length < 0 {
		size = initialBodyBytes
	}
	if err := r.reserve(size); err != nil {
		return err
	}
	r.Body = make([]byte, 0, size)
	for int64(len(r.Body)) != length {
		if len(r.Body) == cap(r.Body) {
			if int64(len(r.Body)) > maxBytes {
				return &BodyTooLargeError{Limit: maxBytes}
			}
			size := min(2*int64(cap(r.Body)), maxBytes+1)
			if length >= 0 {
				size = min(size, length)
			}
			if err := r.grow(size); err != nil {
				return err
			}
		}
		n, err := resp.Body.Read(r.Body[len(r.Body):cap(r.Body)])
		r.Body = r.Body[:len(r.Body)+n]
		if err == io.EOF && (length < 0 || int64(len(r.Body)) == length) {
			break
		}
		if err != nil {
			return err
		}
	}
	if int64(len(r.Body)) > maxBytes {
		return &BodyTooLargeError{Limit: maxBytes}
	}
	return nil
}

// grow moves the body to a buffer of size bytes.
func (r *Reply) grow(size int64) error {
	if err := r.reserve(size - int64(cap(r.Body))); err != nil {
		return err
	}
	larger := make([]byte, len(r.Body), size)
	copy(larger, r.Body)
	r.Body = larger
	return nil
}

// reserve reserves n bytes until Release.
func (r *Reply) reserve(n int64) error {
	if err := r.memory.Reserve(n); err != nil {
		return err
	}
	r.reserved += n
	return nil
}

// Release returns the reply's reservation to the memory limit that all replies
// share. The reply must not be forwarded afterwards.
func (r *Reply) Release() {
	r.memory.Release(r.reserved)
	r.reserved = 0
}
