// Package standin provides small stand-ins for the users' platform, for tests and
// development of briarstand-entry: the platform's key-value store, backend servers,
// operator and callers. The stand-ins for briarstandd are in backend/standin and
// kvstore/standin.
package standin

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a failure mode of the store.
type Fault int

// Faults of the store.
const (
	// Healthy executes calls and answers them.
	Healthy Fault = iota
	// Busy answers 503 and executes nothing.
	Busy
	// Reset resets connections and executes nothing.
	Reset
	// Silent never answers and executes nothing.
	Silent
	// LostReplies executes calls and resets the connection instead of answering.
	LostReplies
)

// Item is a key of the store with its value, revisions and lease.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
}

type event struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Removed bool   `json:"removed,omitempty"`
}

// Store is a stand-in for the platform's key-value store.
type Store struct {
	server     *httptest.Server
	mu         sync.Mutex
	items      map[string]Item
	events     []event
	rev        int64
	compactRev int64         // events up to this revision are dropped
	era        int64         // 0 if the store has none
	lastLease  int64         // id of the last lease
	changed    chan struct{} // closed and replaced at each change
	leases     map[int64]*lease
	fault      func(remote string) Fault
	delay      time.Duration
	calls      map[string]int
	pageSize   int
	stop       chan struct{}
	// maxConnections is what configurations name as the connections that each
	// backend server accepts.
	maxConnections int
}

// defaultMaxConnections is the number of connections that each backend server accepts
// unless SetMaxConnections changes it.
const defaultMaxConnections = 58

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore starts a store on a loopback address.
func NewStore() *Store {
	s := &Store{
		items: map[string]Item{}, leases: map[int64]*lease{}, calls: map[string]int{}, rev: 100, compactRev: 100, era: 1, lastLease: 1000,
		changed: make(chan struct{}), pageSize: 500, stop: make(chan struct{}), maxConnections: defaultMaxConnections,
	}
	s.server = httptest.NewServer(s)
	return s
}

// Address returns the store's host:port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store and its leases.
func (s *Store) Close() {
	close(s.stop)
	s.mu.Lock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.mu.Unlock()
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault applies a fault to every call.
func (s *Store) SetFault(f Fault) { s.SetFaultFor(func(string) Fault { return f }) }

// SetFaultFor makes f choose the fault of each call by its remote address. A
// waiting watch for which f returns a fault is aborted.
func (s *Store) SetFaultFor(f func(remote string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notifyWatchers()
}

// SetDelay sets the delay of every call.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetPageSize sets the maximum number of items in a page of a listing.
func (s *Store) SetPageSize(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = n
}

// SetMaxConnections sets how many connections each backend server accepts in
// configurations that are written from now on.
func (s *Store) SetMaxConnections(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConnections = n
}

// Compact drops all events. A watch from an older revision gets 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactRev, s.events = s.rev, nil
	s.notifyWatchers()
}

// SetEra sets the store's era; 0 makes it a store without eras.
func (s *Store) SetEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Copy is what the store held at a moment.
type Copy struct {
	items          map[string]Item
	rev, lastLease int64
	leases         map[int64]time.Duration // TTL by id
}

// Copy returns what the store holds.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{items: maps.Clone(s.items), rev: s.rev, lastLease: s.lastLease, leases: map[int64]time.Duration{}}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// ComeBack makes the store come back from an older copy: what was written since is gone,
// leases too, and the next era begins. Revisions and the ids of leases are given out again.
// Waiting watches are aborted.
func (s *Store) ComeBack(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.items, s.rev, s.lastLease, s.leases = maps.Clone(c.items), c.rev, c.lastLease, map[int64]*lease{}
	for id, ttl := range c.leases {
		s.startLease(id, ttl)
	}
	s.events, s.compactRev = nil, c.rev
	s.era++
	s.notifyWatchers()
}

// startLease starts the time of a lease. mu must be held.
func (s *Store) startLease(id int64, ttl time.Duration) {
	l := &lease{ttl: ttl}
	l.timer = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == l { // not one of a later era
			s.revokeLease(id)
		}
	})
	s.leases[id] = l
}

// Calls returns the number of calls by the first element of their path, such as
// /kv-watch; ids that follow are ignored.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[string]int{}
	for k, v := range s.calls {
		calls[k] = v
	}
	return calls
}

// Put writes a key as the operator or a backend server does, and returns its
// revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value, 0)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// ExpireLeases expires all leases, as an outage of the store may do.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.revokeLease(id)
	}
}

// Items returns the keys with a prefix, sorted.
func (s *Store) Items(prefix string) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(prefix, "")
}

func (s *Store) put(key string, value []byte, leaseID int64) int64 {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = Item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: leaseID}
	s.events = append(s.events, event{Key: key, Value: value, Rev: s.rev})
	s.notifyWatchers()
	return s.rev
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.events = append(s.events, event{Key: key, Rev: s.rev, Removed: true})
	s.notifyWatchers()
}

func (s *Store) revokeLease(id int64) {
	if l := s.leases[id]; l != nil {
		l.timer.Stop()
	}
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) list(prefix, after string) []Item {
	var items []Item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// ServeHTTP serves the store's API.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := "/" + strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)[0]
	s.mu.Lock()
	s.calls[name]++
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	switch s.faultFor(r) {
	case Busy:
		s.mu.Lock()
		s.announceEra(w)
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Reset:
		abort(w)
		return
	case Silent:
		s.waitWhileSilent(r)
		abort(w)
		return
	case LostReplies:
		s.dispatch(httptest.NewRecorder(), r, name)
		abort(w)
		return
	}
	s.dispatch(w, r, name)
}

func (s *Store) faultFor(r *http.Request) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == nil {
		return Healthy
	}
	return s.fault(r.RemoteAddr)
}

func (s *Store) waitWhileSilent(r *http.Request) {
	for s.faultFor(r) == Silent {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
}

func abort(w http.ResponseWriter) {
	// Under LostReplies a watch passes a response recorder, which has no connection.
	// ServeHTTP then aborts the connection of the call.
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (s *Store) dispatch(w http.ResponseWriter, r *http.Request, name string) {
	s.mu.Lock()
	s.announceEra(w)
	s.mu.Unlock()
	id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, name+"/"), 10, 64)
	switch r.Method + " " + name {
	case "GET /kv-range":
		s.serveRange(w, r)
	case "GET /kv-watch":
		s.serveWatch(w, r)
	case "POST /kv-txn":
		s.serveTxn(w, r)
	case "POST /kv-lease":
		s.serveLease(w, r)
	case "POST /kv-keep":
		s.mu.Lock()
		defer s.mu.Unlock()
		l, ok := s.leases[id]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		l.timer.Reset(l.ttl)
		writeJSON(w, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case "DELETE /kv-lease-end":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revokeLease(id)
		writeJSON(w, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// announceEra sets the header with the store's era. mu must be held.
func (s *Store) announceEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := s.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	hasMore := len(items) > s.pageSize
	writeJSON(w, map[string]any{"items": items[:min(len(items), s.pageSize)], "has_more": hasMore, "store_revision": s.rev})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			abort(w)
			return
		}
		if after < s.compactRev || after > s.rev {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var events []event
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, r.URL.Query().Get("prefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-changed:
			if s.faultFor(r) != Healthy {
				abort(w)
				return
			}
		case <-timer.C:
			writeJSON(w, map[string]any{"events": []event{}, "store_revision": rev})
			return
		case <-r.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range body.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range body.Deletes {
		s.remove(k)
	}
	writeJSON(w, map[string]any{"rev": s.rev})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.startLease(s.lastLease, time.Duration(body.TTL)*time.Millisecond)
	writeJSON(w, map[string]any{"lease": s.lastLease, "ttl_ms": body.TTL})
}
