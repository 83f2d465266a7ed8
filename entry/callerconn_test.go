package entry_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/standin"
)

// callerSocket is a caller's connection that a test writes to step by step.
type callerSocket struct {
	*fixture
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial(v *vm) *callerSocket {
	conn, err := net.Dial("tcp", v.settings.CallerAddress)
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { conn.Close() })
	return &callerSocket{fixture: f, Conn: conn, reader: bufio.NewReader(conn)}
}

// get sends a request and returns the status.
func (s *callerSocket) get(path string) int {
	_, err := fmt.Fprintf(s, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: id\r\nX-Deadline-Ms: 2000\r\n\r\n", path, host)
	s.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(s.reader, nil)
	s.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, resp.Body)
	s.Assert(err, qt.IsNil)
	return resp.StatusCode
}

// closedWithin reports whether the VM closes the connection within a time.
func (s *callerSocket) closedWithin(within time.Duration) bool {
	s.Assert(s.SetReadDeadline(time.Now().Add(within)), qt.IsNil)
	_, err := s.reader.ReadByte()
	s.Assert(s.SetReadDeadline(time.Time{}), qt.IsNil)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Checks that the current configuration's limits on idle connections, slow
// headers and large headers apply, also to connections that were opened under
// an older version, and that a request which takes longer than these limits is
// not aborted.
func TestCallerLimits(t *testing.T) {
	f := newFixture(t)
	b := f.backend("b1", "quotes", "ok")
	f.store.Configure(1, single("quote", "quotes", "idempotent"))
	v := f.start("vm1", true)
	old := f.dial(v)
	f.Assert(old.get("/quote/x"), qt.Equals, http.StatusOK)
	f.store.ConfigureLimits(2, standin.Limits{HeaderBytes: 400, BodyBytes: 1000, HeaderTimeoutMS: 300, IdleTimeoutMS: 800},
		single("quote", "quotes", "idempotent"), single("added", "quotes", "idempotent"))
	f.eventually(2*time.Second, "version 2", func() bool { return f.ask(v, "GET", "/added/x", "id", "", time.Second).status == http.StatusOK })

	// After four fifths of the idle timeout the connection is still open.
	f.Assert(old.get("/quote/x"), qt.Equals, http.StatusOK)
	f.Assert(old.closedWithin(640*time.Millisecond), qt.IsFalse)
	b.SetBehavior(standin.Behavior{ServiceTime: 1200 * time.Millisecond})
	f.Assert(old.get("/quote/x"), qt.Equals, http.StatusOK)
	b.SetBehavior(standin.Behavior{})
	f.Assert(old.closedWithin(2*time.Second), qt.IsTrue)

	unused := f.dial(v)
	f.Assert(unused.closedWithin(2*time.Second), qt.IsTrue)

	slow := f.dial(v)
	_, err := io.WriteString(slow, "GET /quote/x HTTP/1.1\r\nHost:")
	f.Assert(err, qt.IsNil)
	start := time.Now()
	f.Assert(slow.closedWithin(2*time.Second), qt.IsTrue)
	f.Assert(time.Since(start) < 700*time.Millisecond, qt.IsTrue)

	large := f.dial(v)
	f.Assert(large.get("/quote/"+strings.Repeat("x", 200)), qt.Equals, http.StatusOK)
	f.Assert(large.get("/quote/"+strings.Repeat("x", 400)), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
}
