package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/internal/heaptest"
	"github.com/briarstand/briarstand/limit"
)

const megabyte = 1 << 20

// endlessReplies holds replies that continue until the client closes the
// connection: their start and the text that is then repeated.
var endlessReplies = map[string]struct{ first, repeated string }{
	"status line":     {"HTTP/1.1 200 ", "O"},
	"header line":     {"HTTP/1.1 200 OK\r\nX-A: ", "b"},
	"header lines":    {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
	"short lines":     {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
	"interim replies": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"body to the end": {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("b", 0x400) + "\r\n"},
	"tiny chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=", "b"},
	"trailer":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "b"},
	"long body":       {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
}

// newEndlessServer starts a server that writes an endless reply to each request,
// after a delay. closed counts the connections that the client has closed.
func newEndlessServer(t *testing.T, delay time.Duration, first, repeated string) (s *rawServer, closed func() int) {
	var mu sync.Mutex
	n := 0
	block := bytes.Repeat([]byte(repeated), 64<<10/len(repeated))
	s = newRawServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		time.Sleep(delay)
		_, _ = io.WriteString(c, first)
		for {
			if _, err := c.Write(block); err != nil {
				mu.Lock()
				n++
				mu.Unlock()
				return false
			}
		}
	})
	return s, func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

// Guards against reading an endless reply without a limit, which grew the heap
// to 2.5 GB within three seconds.
func TestEndlessReplies(t *testing.T) {
	for name, reply := range endlessReplies {
		for _, abandoned := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/abandoned=%v", name, abandoned), func(t *testing.T) {
				c := qt.New(t)
				var delay time.Duration
				if abandoned {
					delay = 60 * time.Millisecond
				}
				s, closed := newEndlessServer(t, delay, reply.first, reply.repeated)
				b := s.backend()
				client := newTestClient(t, b, 1)
				start := time.Now()
				req := newRequest("")
				if name == "tiny chunks" {
					// Reading up to the default limit takes seconds under the race
					// detector.
					req.MaxReplyBytes = 64 << 10
				}
				grown := heaptest.Peak(func() {
					results := make(chan Result, 1)
					call := client.Send(b, req, time.Now().Add(3*time.Second), 0, results)
					if abandoned {
						time.Sleep(delay / 2)
						call.Abandon(abandonGrace)
					}
					res := <-results
					c.Check(res.Err, qt.IsNotNil)
				})
				c.Assert(grown < 12*megabyte, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", grown))
				c.Assert(time.Since(start) < 2*time.Second, qt.IsTrue, qt.Commentf("read until the deadline"))
				if _, conns := s.count(); conns > 0 {
					eventually(c, "the connection is closed", func() bool { return closed() == conns })
				}
			})
		}
	}
}

func eventually(c *qt.C, what string, ok func() bool) {
	for end := time.Now().Add(2 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("not within 2 s: %s", what)
		}
	}
}

// Guards against running out of memory on the smallest VM, which has 136 MB,
// when the backend servers of all shards of a query send endless replies at the
// same time, or announce long bodies in Content-Length.
func TestEndlessRepliesOfAllShards(t *testing.T) {
	c := qt.New(t)
	const shards = 250
	// The memory limit that a VM of this size sets at startup. Without it the
	// garbage collector lets unreferenced buffers accumulate.
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(95 * megabyte))
	for name, reply := range endlessReplies {
		s, _ := newEndlessServer(t, 0, reply.first, reply.repeated)
		b := s.backend()
		memory := limit.NewMemory(20 * megabyte)
		client := NewClient(Config{Protocol: statusProtocol{}, Memory: memory})
		client.Update(map[*config.Backend]int{b: shards})
		grown := heaptest.Peak(func() {
			results := make(chan Result, shards)
			for i := range shards {
				client.Send(b, newRequest(""), time.Now().Add(5*time.Second), i, results)
			}
			for range shards {
				res := <-results
				c.Check(res.Err, qt.IsNotNil)
			}
		})
		c.Check(grown < 95*megabyte, qt.IsTrue, qt.Commentf("%s: the heap grew by %d bytes", name, grown))
		c.Check(memory.Used(), qt.Equals, int64(0), qt.Commentf("%s", name))
		client.Update(nil)
	}
}

// Guards against reserving memory for body bytes that Content-Length announces
// but that have not arrived, and against rejecting replies that fit into the
// limits.
func TestReplyBounds(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	length, sent := 3*megabyte, 0
	s := newRawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
		_, _ = conn.Write(make([]byte, sent))
		<-release
		_, err := conn.Write(make([]byte, length-sent))
		return err == nil
	})
	b := s.backend()
	memory := limit.NewMemory(4 * megabyte)
	client := NewClient(Config{Protocol: statusProtocol{}, Memory: memory})
	client.Update(map[*config.Backend]int{b: 2})
	defer client.Update(nil)

	results := make(chan Result, 1)
	client.Send(b, newRequest(""), time.Now().Add(5*time.Second), 0, results)
	time.Sleep(50 * time.Millisecond)
	c.Assert(memory.Used() <= initialBodyBytes, qt.IsTrue, qt.Commentf("%d bytes are reserved although none have arrived", memory.Used()))
	close(release)
	res := <-results
	c.Assert(res.Err, qt.IsNil)
	c.Assert(res.Reply.Body, qt.HasLen, length)
	c.Assert(memory.Used() >= int64(length), qt.IsTrue)

	// Until the first reply is released, a second one of this size exceeds the
	// limit.
	var full *limit.MemoryError
	err := do(client, b, newRequest(""), time.Second).Err
	c.Assert(errors.As(err, &full), qt.IsTrue, qt.Commentf("%v", err))
	res.Reply.Release()
	c.Assert(memory.Used(), qt.Equals, int64(0))
	c.Assert(do(client, b, newRequest(""), time.Second).Err, qt.IsNil)

	part := newRequest("")
	part.MaxReplyBytes = 1000
	var tooLarge *BodyTooLargeError
	err = do(client, b, part, time.Second).Err
	c.Assert(errors.As(err, &tooLarge), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against rejecting heads that exceed the read buffer, and against
// reading the bytes after their bodies as the next reply.
func TestLargeHeads(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{100, readBufferSize - 40, readBufferSize, 5 * readBufferSize} {
		s := newRawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
			fmt.Fprintf(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: %s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", bytes.Repeat([]byte("b"), size))
			time.Sleep(20 * time.Millisecond)
			return true
		})
		b := s.backend()
		client := newTestClient(t, b, 1)
		for range 2 {
			res := do(client, b, newRequest(""), time.Second)
			c.Assert(res.Err, qt.IsNil, qt.Commentf("%d", size))
			c.Assert(string(res.Reply.Body), qt.Equals, "ok")
			c.Assert(res.Reply.Header.Get("X-A"), qt.HasLen, size)
		}
	}
}

// Guards against accepting a late duplicate of a reply as the reply to the next
// request. The duplicate lacks a request id, while earlier replies on the
// connection carried one.
func TestDuplicateWithoutID(t *testing.T) {
	c := qt.New(t)
	s := newRawServer(t, func(n int, conn net.Conn, _ *http.Request) bool {
		if n == 2 {
			// The duplicate, which arrives after the idle check and the write of
			// the second request.
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
			return true
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-ID: 1\r\nContent-Length: 5\r\n\r\nfirst")
		return true
	})
	b := s.backend()
	client := NewClient(Config{Protocol: idProtocol{}})
	client.Update(map[*config.Backend]int{b: 1})
	defer client.Update(nil)
	for i, want := range []Verdict{Served, Untrusted, Served} {
		res := do(client, b, newRequest(""), time.Second)
		c.Assert(res.Err, qt.IsNil)
		c.Assert(res.Reply.Verdict, qt.Equals, want, qt.Commentf("reply %d", i))
	}
	_, conns := s.count()
	c.Assert(conns, qt.Equals, 2, qt.Commentf("the connection with the duplicate must be closed"))
}

// idProtocol is like statusProtocol, for replies that carry a request id in X-ID.
type idProtocol struct{ statusProtocol }

func (idProtocol) Classify(reply *Reply, req *Request) {
	statusProtocol{}.Classify(reply, req)
	reply.Identified = reply.Header.Get("X-ID") != ""
}
