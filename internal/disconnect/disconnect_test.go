package disconnect

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pair returns both ends of a TCP connection.
func pair(c *qt.C) (client, server *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	accepted, err := l.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { dialed.Close(); accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against clients that are taken for disconnected while they wait for their
// answer, and against disconnected ones that are not noticed.
func TestDisconnected(t *testing.T) {
	for name, test := range map[string]struct {
		do   func(client, server *net.TCPConn)
		want bool
	}{
		"open":             {func(client, server *net.TCPConn) {}, false},
		"closed":           {func(client, server *net.TCPConn) { client.Close() }, true},
		"reset":            {func(client, server *net.TCPConn) { _ = client.SetLinger(0); client.Close() }, true},
		"more sent":        {func(client, server *net.TCPConn) { _, _ = client.Write([]byte("GET")) }, false},
		"closed by server": {func(client, server *net.TCPConn) { server.Close() }, true},
		// The http.Server reads from the connection while a handler runs.
		"read blocks": {func(client, server *net.TCPConn) {
			go func() { _, _ = server.Read(make([]byte, 1)) }()
			time.Sleep(20 * time.Millisecond)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client, server := pair(c)
			test.do(client, server)
			time.Sleep(20 * time.Millisecond)
			c.Assert(Disconnected(ConnContext(context.Background(), server)), qt.Equals, test.want)
		})
	}
	c := qt.New(t)
	c.Assert(Disconnected(context.Background()), qt.IsFalse)
	left, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(Disconnected(left), qt.IsTrue)
}

// Guards against a Handler that drops requests on connections that are used again, or
// that have a body.
func TestHandler(t *testing.T) {
	c := qt.New(t)
	dropped := func(*http.Request) { t.Error("dropped") }
	web := httptest.NewUnstartedServer(Handler(dropped)(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	web.Config.ConnContext = ConnContext
	web.Start()
	defer web.Close()
	for range 3 {
		resp, err := web.Client().Post(web.URL, "text/plain", http.NoBody)
		c.Assert(err, qt.IsNil)
		resp.Body.Close()
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	}
}
