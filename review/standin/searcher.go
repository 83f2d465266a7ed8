package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/briarstand/briarstand/standin"
)

// arrival is a request that has reached a searcher.
type arrival struct {
	ID, Method, Target, Body string
	At                       time.Time
	Ran                      bool
}

// searcher is a stand-in for a searcher. It runs slots requests at once, keeps
// queue more waiting and rejects others. The work of a request is in its path:
// /PREFIX/w300/... takes 300 ms.
type searcher struct {
	d                 *deployment
	id, service, zone string
	slots, queue      int
	listener          net.Listener
	server            *http.Server
	born              time.Time

	mu       sync.Mutex
	leaving  bool
	sequence int
	accepted int
	free     chan struct{}
	arrivals []arrival
}

func (d *deployment) newSearcher(id, service, zone string, slots, queue int) (*searcher, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &searcher{d: d, id: id, service: service, zone: zone, slots: slots, queue: queue, listener: l, born: time.Now(), free: make(chan struct{}, slots)}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }() // ends with Close
	return s, nil
}

func (s *searcher) close() { s.server.Close() }

// report writes the searcher's entry to the store, whose answer is the
// acknowledgement, and returns when it came.
func (s *searcher) report(state string) time.Time {
	s.mu.Lock()
	s.leaving = state == "draining"
	s.sequence++
	value, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": state, "warmup_left_ms": 0, "sequence": s.sequence, "born": s.born.UnixMilli(),
	})
	s.mu.Unlock()
	if err != nil {
		panic(err) // cannot happen: the map has only plain values
	}
	s.d.store.Put("servers/"+s.id, value)
	acked := time.Now()
	s.d.logf("searcher %s of %s is %s: acknowledged by the store", s.id, s.service, state)
	return acked
}

// leave makes the searcher say in its answers that it leaves.
func (s *searcher) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// seen returns the requests that have reached the searcher.
func (s *searcher) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func (s *searcher) seal(id string) string { return fmt.Sprintf("seal.%s.%s", s.id, id) }

// ServeHTTP runs one request.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	if t := r.Header.Get("X-Target-Instance"); t != "" && t != s.id {
		h.Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	runs := s.accepted < s.slots+s.queue
	s.arrivals = append(s.arrivals, arrival{ID: id, Method: r.Method, Target: r.RequestURI, At: time.Now(), Ran: runs})
	if runs {
		s.accepted++
	}
	work := workOf(r.URL.Path)
	s.mu.Unlock()
	s.d.logf("request %s reaches searcher %s (deadline %s ms)", id, s.id, r.Header.Get("X-Deadline-Ms"))
	if !runs {
		s.announce(h)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.accepted--
		s.mu.Unlock()
	}()
	select {
	case s.free <- struct{}{}:
		defer func() { <-s.free }()
	case <-r.Context().Done():
		return
	}
	s.d.logf("searcher %s runs request %s", s.id, id)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		s.d.logf("searcher %s drops request %s, whose connection is closed", s.id, id)
		return
	}
	s.announce(h)
	h.Set("X-Server-Seal", s.seal(id))
	h.Set("X-Server-Load", fmt.Sprintf("1,0,%d", s.slots))
	h.Set("Content-Length", strconv.Itoa(len(s.body())))
	_, _ = w.Write(s.body()) // fails if the connection is closed
	s.d.logf("searcher %s has answered request %s", s.id, id)
}

func (s *searcher) body() []byte { return []byte("answer of " + s.id) }

// announce says in an answer that the searcher leaves, if it does.
func (s *searcher) announce(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
}

// workOf returns the work that a path asks for.
func workOf(path string) time.Duration {
	for part := range strings.SplitSeq(path, "/") {
		if ms, err := strconv.Atoi(strings.TrimPrefix(part, "w")); err == nil && strings.HasPrefix(part, "w") {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

// service is an entry of the configuration's services.
type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	MaxConns   int    `json:"max_conns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

// configure writes a configuration as the operator does, and returns when the
// store has acknowledged it.
func (d *deployment) configure(version int64, maxConns map[string]int, routes ...standin.Route) time.Time {
	services := []service{}
	for name, n := range maxConns {
		services = append(services, service{Name: name, HealthPath: "/health", MaxConns: n, Protocol: "h1"})
	}
	value, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "limits": standin.DefaultLimits})
	if err != nil {
		panic(err) // cannot happen: the document has only plain values
	}
	d.store.Put("op/config", value)
	acked := time.Now()
	d.logf("configuration %d: acknowledged by the store", version)
	return acked
}
