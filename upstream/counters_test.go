package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/internal/contain"
	"github.com/briarstand/briarstand/limit"
)

// replies are the raw replies of a server that may be faulty. The server closes the
// connection after each of those without "keep" in the name.
var replies = map[string]string{
	"keep":            "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000),
	"keep, refused":   "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
	"keep, interim":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"no reply":        "",
	"status 000":      "HTTP/1.1 000 OK\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000),
	"status 099":      "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 101":      "HTTP/1.1 101 Switching\r\nContent-Length: 2\r\n\r\nok",
	"status 999":      "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
	"no status":       "garbage\r\n\r\n",
	"truncated":       "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 30000),
	"unframed":        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 9000),
	"too large":       "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 70000),
	"bad chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5000\r\n" + strings.Repeat("x", 9000) + "\r\nzz\r\n",
	"second reply":    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"endless head":    "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 1000),
	"interim replies": strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 20),
}

// panicSteps are the steps of an attempt at which a panic can be put in.
var panicSteps = []string{"", "dial", "usable", "sent", "append", "classify", "noticed", "pause ended"}

// faultyHooks is the Protocol and the hooks of a Client, which panic at one step.
type faultyHooks struct {
	mu   sync.Mutex
	step string
}

func (h *faultyHooks) set(step string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.step = step
}

func (h *faultyHooks) at(step string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.step == step {
		panic(step)
	}
}

func (h *faultyHooks) AppendAttempt(head []byte, _ time.Duration, _ string) []byte {
	h.at("append")
	return head
}

func (h *faultyHooks) Classify(reply *Reply, req *Request) {
	statusProtocol{}.Classify(reply, req)
	reply.Notice.Pause = time.Millisecond
	h.at("classify")
}

// Guards against memory, connections and places in a queue that are not given back on
// one of the ways out of an attempt: good and bad replies, requests that are given up
// or withdrawn, and a panic at any step.
func TestCountersReturnToStart(t *testing.T) {
	s := newRawServer(t, func(_ int, c net.Conn, req *http.Request) bool {
		name := strings.ReplaceAll(strings.TrimPrefix(req.URL.Path, "/"), "_", " ")
		_, err := io.WriteString(c, replies[name])
		return err == nil && strings.HasPrefix(name, "keep")
	})
	var names []string
	for name := range replies {
		names = append(names, name)
	}
	rapid.Check(t, func(t *rapid.T) {
		hooks, memory := &faultyHooks{}, limit.NewMemory(1<<17)
		set := metrics.NewSet()
		c := NewClient(Config{
			Protocol: hooks, Memory: memory, Panics: contain.New(log.New(io.Discard), set.NewCounter("panics")),
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				hooks.at("dial")
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			},
			UsableUntil: func(*config.Backend) (time.Time, bool) { hooks.at("usable"); return time.Time{}, true },
			Sent:        func(*config.Backend, string, time.Duration) { hooks.at("sent") },
			Noticed:     func(*config.Backend, string, Notice) { hooks.at("noticed") },
			PauseEnded:  func(*config.Backend) { hooks.at("pause ended") },
		})
		b := s.backend()
		c.Update(map[*config.Backend]int{b: rapid.IntRange(1, 3).Draw(t, "connections")})
		defer c.Update(nil)
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			hooks.set(rapid.SampledFrom(panicSteps).Draw(t, "panic"))
			n := rapid.IntRange(1, 6).Draw(t, "requests")
			results := make(chan Result, n)
			for i := range n {
				name := strings.ReplaceAll(rapid.SampledFrom(names).Draw(t, "reply"), " ", "_")
				req := &Request{Method: http.MethodGet, Head: fmt.Appendf(nil, "GET /%s HTTP/1.1\r\nHost: a\r\n", name), ID: "1", MaxReplyBytes: 1 << 16}
				call := c.Send(b, req, time.Now().Add(2*time.Second), i, results)
				switch rapid.IntRange(0, 5).Draw(t, "end") {
				case 0:
					call.Abandon(0)
				case 1:
					c.WithdrawWaiting(func(*config.Backend) bool { return false })
				}
			}
			for range n {
				r := <-results
				if r.Reply != nil {
					r.Reply.Release()
				}
			}
			hooks.set("")
		}
		p := c.pool(b)
		p.mu.Lock()
		defer p.mu.Unlock()
		if memory.Used() != 0 || p.open != len(p.idle) || len(p.waiters) != 0 {
			t.Fatalf("%d bytes held, %d connections open and %d of them idle, %d waiters", memory.Used(), p.open, len(p.idle), len(p.waiters))
		}
	})
}

// Guards against replies that would end a request with a status that cannot be passed on.
func TestStatusThatEndsNothing(t *testing.T) {
	s := newRawServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, replies["status 000"])
		return err == nil
	})
	c := newTestClient(t, s.backend(), 1)
	err := do(c, s.backend(), newRequest(""), time.Second).Err
	var status *StatusError
	qt.Check(t, errors.As(err, &status) && status.Status == 0, qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, NotSent(err), qt.IsFalse)
}
