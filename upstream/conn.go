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
	// readBuffer is the size of the read buffer in bytes of a connection in use;
	// the heads of usual replies fit, and most replies whole.
	readBuffer = 4 << 10
	// maxHead bounds the status line and headers of a reply in bytes, and
	// maxHeadLines their number: a header costs many times its bytes once it is
	// decoded.
	maxHead      = 32 << 10
	maxHeadLines = 128
	// maxInterim bounds the interim replies (100 Continue and the like) before
	// the reply itself.
	maxInterim = 5
	// firstBody is the most memory in bytes that the announced length of a body
	// gets before any of it has arrived.
	firstBody = 4 << 10
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
	idleSince time.Time
	// idleFor is how long the backend server keeps the connection open when idle.
	idleFor time.Duration
	// identified says that a reply on this connection named its request.
	identified bool
}

// checkIdle returns an error if the connection cannot be used again: bytes that
// arrive without a request belong to no request.
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

// roundTrip writes a request and reads the whole reply. sent is false if
// nothing was written. reusable tells whether the connection may be used again.
func (c *conn) roundTrip(req *Request, head []byte, in *replyReader) (reply *Reply, reusable, sent bool, err error) {
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
	reply, reusable, err = in.read(req)
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

// replyReader reads one reply within bounds: a backend server in trouble may
// send bytes without end.
type replyReader struct {
	r      *bufio.Reader
	memory *limit.Memory
}

func (in *replyReader) read(req *Request) (reply *Reply, reusable bool, err error) {
	for range maxInterim + 1 {
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
		reply := &Reply{Status: resp.StatusCode, Header: resp.Header, memory: in.memory}
		if err := reply.readBody(resp, req); err != nil {
			reply.Release()
			return nil, false, err
		}
		// The reply is whole; bytes that follow it belong to nothing. A buffer
		// that was exchanged for a larger one may hold some of them.
		reusable = !resp.Close && in.r.Buffered() == 0 && in.r.Size() == readBuffer
		return reply, reusable, nil
	}
	return nil, false, &HeadTooLargeError{What: "interim replies", Limit: maxInterim}
}

// awaitHead returns when the reader's buffer holds the whole head of a reply, or
// what there is of one that ends early. It fails for a head that is too large.
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
			if in.r.Size() >= maxHead {
				return &HeadTooLargeError{What: "bytes", Limit: maxHead}
			}
			in.r = bufio.NewReaderSize(in.r, maxHead) // reads on from the old buffer
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

// readBody reads the whole body. Memory is taken as bytes arrive, whatever
// length the backend server announces. The body is not closed: that would read
// on to an end that may never come.
func (r *Reply) readBody(resp *http.Response, req *Request) error {
	if req.Method == http.MethodHead {
		return nil
	}
	most := req.MaxReply
	if most <= 0 {
		most = DefaultMaxReply
	}
	length := resp.ContentLength // -1 if unknown
	if length > most {
		return &BodyTooLargeError{Limit: most}
	}
	size := min(length, firstBody)
	if length < 0 {
		size = firstBody
	}
	if err := r.reserve(size); err != nil {
		return err
	}
	r.Body = make([]byte, 0, size)
	for int64(len(r.Body)) != length {
		if len(r.Body) == cap(r.Body) {
			if int64(len(r.Body)) > most {
				return &BodyTooLargeError{Limit: most}
			}
			size := min(2*int64(cap(r.Body)), most+1)
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
	if int64(len(r.Body)) > most {
		return &BodyTooLargeError{Limit: most}
	}
	return nil
}

// grow moves the body to a larger buffer.
func (r *Reply) grow(size int64) error {
	if err := r.reserve(size - int64(cap(r.Body))); err != nil {
		return err
	}
	larger := make([]byte, len(r.Body), size)
	copy(larger, r.Body)
	r.Body = larger
	return nil
}

func (r *Reply) reserve(n int64) error {
	if err := r.memory.Reserve(n); err != nil {
		return err
	}
	r.reserved += n
	return nil
}

// Release gives the memory that the reply holds back to what all replies may
// hold at once. The reply must not be passed on afterwards.
func (r *Reply) Release() {
	r.memory.Release(r.reserved)
	r.reserved = 0
}
