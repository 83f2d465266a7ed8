package gracelisten

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// request opens a connection and sends a request.
func request(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	return c
}

// Guards against requests that are reset in a planned stop, since their connections wait to be accepted.
func TestCloseResetsNoConnection(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	const waiting = 5
	var conns []net.Conn
	for range waiting {
		conns = append(conns, request(t, l.Addr().String()))
	}
	qt.Assert(t, l.Close(), qt.IsNil)
	_, err = net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.ErrorMatches, ".*connection refused")
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.Host) })}
	qt.Assert(t, errors.Is(server.Serve(l), net.ErrClosed), qt.IsTrue)
	for _, c := range conns {
		qt.Assert(t, c.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, server.Close(), qt.IsNil)
}

// Guards against an Accept that does not return after Close, and against descriptors that
// are used after a second Close.
func TestCloseTwice(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	time.Sleep(10 * time.Millisecond)
	qt.Assert(t, l.Close(), qt.IsNil)
	qt.Assert(t, errors.Is(<-accepted, net.ErrClosed), qt.IsTrue)
	qt.Assert(t, l.Close(), qt.IsNotNil)
}
