package standin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
)

// recorder is an http.ResponseWriter that buffers a reply in memory.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newRecorder() *recorder { return &recorder{header: http.Header{}} }

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

func (r *recorder) Write(data []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(data)
}

// accepted reports whether the reply confirms a write. The reply to a write
// whose condition did not hold has status 200 and the body false.
func (r *recorder) accepted() bool {
	return r.status <= http.StatusOK && strings.TrimSpace(r.body.String()) != "false"
}

func (r *recorder) copyTo(w http.ResponseWriter) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	r.WriteHeader(http.StatusOK)
	w.WriteHeader(r.status)
	// A write error is ignored: it means that the client disconnected.
	_, _ = w.Write(r.body.Bytes())
}

// Transport returns an http.RoundTripper that calls the stand-in directly,
// without sockets, so that tests with testing/synctest can use it. While the
// stand-in is down or closed, calls fail as with a refused connection.
func (s *Server) Transport() http.RoundTripper { return transport{s} }

type transport struct{ server *Server }

// result is a reply, or the error of a call without one.
type result struct {
	reply *recorder
	err   error
}

// RoundTrip runs the handler in a separate goroutine. As over a network, the
// handler continues when the client times out, and the client does not wait for
// it.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.server.unavailable() {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	body, err := requestBody(req)
	if err != nil {
		return nil, err
	}
	clone := req.Clone(req.Context())
	clone.Body = io.NopCloser(bytes.NewReader(body))
	done := make(chan result, 1)
	go func() { done <- t.serve(clone) }()
	select {
	case <-req.Context().Done():
		return nil, context.Cause(req.Context())
	case res := <-done:
		if res.err != nil {
			return nil, res.err
		}
		return res.reply.response(req), nil
	}
}

func requestBody(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	defer req.Body.Close()
	return io.ReadAll(req.Body)
}

func (s *Server) unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down || s.isClosed
}

// serve runs the handler and reports an aborted one as a broken connection.
func (t transport) serve(req *http.Request) (res result) {
	defer func() {
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			res = result{err: io.ErrUnexpectedEOF}
		}
	}()
	reply := newRecorder()
	t.server.ServeHTTP(reply, req)
	return result{reply: reply}
}

func (r *recorder) response(req *http.Request) *http.Response {
	r.WriteHeader(http.StatusOK)
	return &http.Response{
		Status: http.StatusText(r.status), StatusCode: r.status, Header: r.header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(r.body.Bytes())), ContentLength: int64(r.body.Len()), Request: req,
	}
}
