package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// maxTTL is the longest session TTL that the protocol allows.
const maxTTL = 24 * time.Hour

// session is what package kvstore calls a lease: it expires unless it is renewed
// within its TTL.
type session struct {
	id       string
	ttl      time.Duration
	behavior string // what happens to its keys at its end: "release" or "delete"
	keys     map[string]bool
	timer    *time.Timer
	deadline time.Time
	index    int64
}

// sessionRow is the protocol's form of a session.
type sessionRow struct {
	ID          string
	TTL         string
	Behavior    string
	CreateIndex int64
}

func (sess *session) row() sessionRow {
	return sessionRow{ID: sess.id, TTL: sess.ttl.String(), Behavior: sess.behavior, CreateIndex: sess.index}
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxControlBytes)
	if !ok {
		return
	}
	var req struct{ TTL, Behavior string }
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(req.TTL)
	if err != nil || ttl <= 0 || ttl > maxTTL {
		http.Error(w, "invalid TTL", http.StatusBadRequest)
		return
	}
	if req.Behavior == "" {
		req.Behavior = "release"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, map[string]string{"ID": s.newSession(ttl, req.Behavior).id})
}

// newSession creates a session. The caller holds mu.
func (s *Server) newSession(ttl time.Duration, behavior string) *session {
	s.sessionSeq++
	id := fmt.Sprintf("00000000-0000-4000-8000-%012d", s.sessionSeq)
	sess := &session{
		id: id, ttl: ttl, behavior: behavior, keys: map[string]bool{},
		deadline: time.Now().Add(ttl), index: s.nextIndex(),
	}
	sess.timer = time.AfterFunc(ttl, func() { s.expireSession(id) })
	s.sessions[id] = sess
	return sess
}

// expireSession ends a session whose TTL has passed. It checks the deadline
// again, because a renewal may have come before the timer's function acquired
// the lock.
func (s *Server) expireSession(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sess := s.sessions[id]; sess != nil && !time.Now().Before(sess.deadline) && !s.isClosed {
		s.endSession(sess)
	}
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sess := s.sessions[chi.URLParam(r, "id")]
	if sess == nil {
		http.Error(w, "session not found", http.StatusNotFound)
		return
	}
	sess.deadline = time.Now().Add(sess.ttl)
	sess.timer.Reset(sess.ttl)
	writeJSON(w, []sessionRow{sess.row()})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sess := s.sessions[chi.URLParam(r, "id")]; sess != nil {
		s.endSession(sess)
	}
	writeJSON(w, true)
}

// endSession removes a session and releases or deletes its keys. The caller
// holds mu.
func (s *Server) endSession(sess *session) {
	sess.timer.Stop()
	delete(s.sessions, sess.id)
	s.nextIndex()
	for key := range sess.keys {
		if sess.behavior == "delete" {
			s.remove(key)
		} else {
			s.unlock(key, s.keys[key])
		}
	}
}

// ExpireLeases ends all leases at once, as if their holders had been paused for
// longer than the TTL. It returns how many leases there were.
func (s *Server) ExpireLeases() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.sessions)
	for _, sess := range s.sessions {
		s.endSession(sess)
	}
	return n
}
