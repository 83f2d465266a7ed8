package entry_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/internal/nettest"
)

// Guards against work for callers that left before a slow VM read their requests.
func TestCallerLeftBeforeItsRequestWasRead(t *testing.T) {
	const requests = 20
	f := newFixture(t)
	for _, shard := range []string{"a", "b"} {
		f.backend(shard+"1", "shard-"+shard, record('a'))
	}
	f.backend("q1", "quotes", "bytes")
	f.store.Configure(1, single("quote", "quotes", "idempotent"), scattered("find", 1, "shard-a", "shard-b"))
	v := f.start("vm1", true)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	gate := nettest.NewGatedListener(socket)
	server := v.daemon.NewCallerServer()
	go func() { _ = server.Serve(gate) }()
	defer server.Close()
	for i := range requests {
		conn, err := net.Dial("tcp", socket.Addr().String())
		f.Assert(err, qt.IsNil)
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: left-%d\r\nX-Deadline-Ms: 1000\r\n\r\n", []string{"/find/x", "/quote/x"}[i%2], host, i)
		conn.Close()
	}
	time.Sleep(100 * time.Millisecond)
	close(gate.Open)
	f.eventually(5*time.Second, "all requests are over", func() bool {
		for i := range requests {
			if f.linesOf(fmt.Sprintf("left-%d", i)) == "" {
				return false
			}
		}
		return true
	})
	for i := range requests {
		id := fmt.Sprintf("left-%d", i)
		f.Check(f.runsOf(id), qt.HasLen, 0, qt.Commentf("%s", f.linesOf(id)))
	}
}
