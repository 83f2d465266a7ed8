// Package standin is an in-memory stand-in for the platform's key-value service
// and VM list, for development and tests. It implements the published Consul
// HTTP protocol and injects faults on demand. Package server uses this platform;
// package entry uses that of package standin at the root. Package backend/standin is
// a backend server.
package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"

	"github.com/briarstand/briarstand/kvstore"
)

// Defaults of Config.
const (
	DefaultMaxWait          = 10 * time.Minute
	DefaultMaxRecordedBytes = 256 << 20
	// maxListLag limits the lag of the VM list.
	maxListLag  = 10 * time.Minute
	indexHeader = "X-Consul-Index"
)

// Kind is the kind of a call, by which calls are counted.
type Kind string

// Kinds of calls. A waiting watch counts as one call, when it arrives.
const (
	KindGet            Kind = "get"
	KindList           Kind = "list"
	KindWatch          Kind = "watch"
	KindPut            Kind = "put"
	KindDelete         Kind = "delete"
	KindSessionCreate  Kind = "session_create"
	KindSessionRenew   Kind = "session_renew"
	KindSessionDestroy Kind = "session_destroy"
	KindCatalog        Kind = "catalog"
	KindRegister       Kind = "register"
	KindDeregister     Kind = "deregister"
)

// Write is a write of a key that took effect, whether or not its reply arrived.
type Write struct {
	Key   string `json:"key"`
	Index int64  `json:"index"`
	// Value is nil for a deletion.
	Value   []byte    `json:"value,omitempty"`
	Deleted bool      `json:"deleted,omitempty"`
	Time    time.Time `json:"time"`
}

// Config holds the settings of a Server.
type Config struct {
	// MaxWait limits how long a watch waits. 0 means DefaultMaxWait.
	MaxWait time.Duration
	// MaxRecordedBytes limits the total size of the recorded values; above it
	// the oldest writes are dropped. 0 means DefaultMaxRecordedBytes.
	MaxRecordedBytes int
	// Logger receives a line for each change of the faults. May be nil.
	Logger *log.Logger
}

// Server is the in-memory stand-in. It is safe for concurrent use.
type Server struct {
	router  http.Handler
	maxWait time.Duration
	log     *log.Logger

	mu            sync.Mutex
	index         int64
	keys          map[string]*item
	deleted       map[string]int64 // index of the last deletion of a key
	sessions      map[string]*session
	sessionSeq    int64 // makes session ids unique
	services      map[string]service
	listVersions  []listVersion
	changed       chan struct{} // closed and replaced at every change
	faults        Faults
	faultsChanged chan struct{} // closed and replaced when the faults change
	calls         map[Kind]int64
	writes        writeLog
	closed        chan struct{}
	isClosed      bool
}

// New returns a running stand-in without keys and VMs.
func New(cfg Config) *Server {
	s := &Server{
		maxWait: cfg.MaxWait, log: cfg.Logger, index: 1,
		keys: map[string]*item{}, deleted: map[string]int64{}, sessions: map[string]*session{},
		services: map[string]service{}, calls: map[Kind]int64{},
		changed: make(chan struct{}), faultsChanged: make(chan struct{}), closed: make(chan struct{}),
	}
	if s.maxWait <= 0 {
		s.maxWait = DefaultMaxWait
	}
	if s.log == nil {
		s.log = log.New(io.Discard)
	}
	s.writes.limit = cfg.MaxRecordedBytes
	if s.writes.limit <= 0 {
		s.writes.limit = DefaultMaxRecordedBytes
	}
	s.router = s.routes()
	return s
}

func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/kv/*", s.platformCall(readKind, s.getKey))
	r.Put("/v1/kv/*", s.platformCall(fixedKind(KindPut), s.putKey))
	r.Delete("/v1/kv/*", s.platformCall(fixedKind(KindDelete), s.deleteKey))
	r.Put("/v1/session/create", s.platformCall(fixedKind(KindSessionCreate), s.createSession))
	r.Put("/v1/session/renew/{id}", s.platformCall(fixedKind(KindSessionRenew), s.renewSession))
	r.Put("/v1/session/destroy/{id}", s.platformCall(fixedKind(KindSessionDestroy), s.destroySession))
	r.Get("/v1/catalog/service/{name}", s.platformCall(fixedKind(KindCatalog), s.listServices))
	r.Put("/v1/agent/service/register", s.platformCall(fixedKind(KindRegister), s.register))
	r.Put("/v1/agent/service/deregister/{id}", s.platformCall(fixedKind(KindDeregister), s.deregister))
	r.Route("/standin", s.controlRoutes)
	return r
}

// ServeHTTP serves the platform's protocol, and the fault controls and records
// below /standin/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Close ends all waiting calls and stops the timers of all leases. Further
// calls are dropped without a reply.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return
	}
	s.isClosed = true
	close(s.closed)
	for _, sess := range s.sessions {
		sess.timer.Stop()
	}
}

// Writes returns the recorded writes that took effect, oldest first.
func (s *Server) Writes() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Write(nil), s.writes.records...)
}

// Calls returns how many calls arrived, by kind.
func (s *Server) Calls() map[Kind]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// ResetCalls sets the counts of calls to zero.
func (s *Server) ResetCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.calls)
}

// nextIndex increments the index, wakes the waiting watches and returns the new
// index. The caller holds mu.
func (s *Server) nextIndex() int64 {
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.index
}

// writeLog holds the latest writes whose values fit into limit bytes, and at
// least the last write.
type writeLog struct {
	records []Write
	bytes   int
	limit   int
}

func (l *writeLog) add(w Write) {
	l.records = append(l.records, w)
	l.bytes += len(w.Value)
	for l.bytes > l.limit && len(l.records) > 1 {
		l.bytes -= len(l.records[0].Value)
		l.records = l.records[1:]
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error is ignored: it means that the client disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// readBody returns the body, or replies with status 413 if it exceeds the limit
// or cannot be read.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return body, true
}

const (
	maxValueBytes   = kvstore.MaxValueBytes
	maxControlBytes = 64 << 10
)
