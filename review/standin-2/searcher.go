package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// searcher is a backend server with slots and a queue. It turns away a request whose
// time budget ends in the queue, and drops one whose connection is closed.
type searcher struct {
	id, service string
	slots       chan struct{}
	queue       int
	pause       time.Duration // that it asks for when it turns a request away
	web         *httptest.Server

	mu       sync.Mutex
	work     time.Duration
	waiting  int
	arrivals []arrival
	runs     []arrival
	refusals []arrival
}

// arrival is a request, or its refusal, at a backend server. vm is the VM that the
// client sent it to.
type arrival struct {
	id, vm string
	at     time.Time
}

func newSearcher(id, service string, slots, queue int, work, pause time.Duration) *searcher {
	s := &searcher{id: id, service: service, slots: make(chan struct{}, slots), queue: queue, work: work, pause: pause}
	s.web = httptest.NewServer(s)
	return s
}

func (s *searcher) address() string { return s.web.Listener.Addr().String() }

func (s *searcher) setWork(work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = work
}

func (s *searcher) close() {
	s.web.CloseClientConnections()
	s.web.Close()
}

// turnAway answers that the request has not run.
func (s *searcher) turnAway(w http.ResponseWriter, a arrival) {
	a.at = time.Now()
	s.mu.Lock()
	s.refusals = append(s.refusals, a)
	s.mu.Unlock()
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(s.pause.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	id := r.Header.Get("X-Request-Id")
	vm, _, _ := strings.Cut(id, "/")
	a := arrival{id: id, vm: vm, at: start}
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	budget, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	timeout := time.NewTimer(time.Duration(budget) * time.Millisecond)
	defer timeout.Stop()
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	full := s.waiting >= s.queue
	if !full {
		s.waiting++
	}
	work := s.work
	s.mu.Unlock()
	if full {
		s.turnAway(w, a)
		return
	}
	leaveQueue := func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}
	select {
	case s.slots <- struct{}{}:
		leaveQueue()
		s.mu.Lock()
		s.runs = append(s.runs, arrival{id: id, vm: vm, at: time.Now()})
		s.mu.Unlock()
	case <-timeout.C:
		leaveQueue()
		s.turnAway(w, a)
		return
	case <-r.Context().Done():
		leaveQueue()
		return
	}
	defer func() { <-s.slots }()
	w.Header().Set("X-Server-Seal", s.id+"/"+id)
	select {
	case <-time.After(work):
		fmt.Fprintf(w, "body of %s", s.service)
	case <-timeout.C:
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-r.Context().Done():
	}
}
