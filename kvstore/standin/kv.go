package standin

import (
	"context"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"
)

// item is a key and its value.
type item struct {
	value       []byte
	flags       uint64
	createIndex int64
	modifyIndex int64
	lockIndex   int64
	session     string
}

// kvRow is the protocol's form of an item.
type kvRow struct {
	LockIndex   int64
	Key         string
	Flags       uint64
	Value       []byte // base64 in JSON, null if empty
	Session     string `json:",omitempty"`
	CreateIndex int64
	ModifyIndex int64
}

func (i *item) row(key string) kvRow {
	return kvRow{
		LockIndex: i.lockIndex, Key: key, Flags: i.flags, Value: i.value,
		Session: i.session, CreateIndex: i.createIndex, ModifyIndex: i.modifyIndex,
	}
}

func readKind(r *http.Request) Kind {
	q := r.URL.Query()
	switch {
	case q.Has("index"):
		return KindWatch
	case q.Has("recurse"):
		return KindList
	}
	return KindGet
}

func keyOf(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, "/v1/kv/")
}

// getKey serves a read of one key or, with the query parameter recurse, of a prefix.
// With the parameter index, it waits until the store's index for these keys is
// greater than that, or the waiting time has passed.
func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	key, q := keyOf(r), r.URL.Query()
	match := func(k string) bool { return k == key }
	if q.Has("recurse") {
		match = func(k string) bool { return strings.HasPrefix(k, key) }
	}
	after, err := strconv.ParseInt(q.Get("index"), 10, 64)
	if q.Has("index") && (err != nil || after < 0) {
		http.Error(w, "invalid index", http.StatusBadRequest)
		return
	}
	wait, err := s.waitTime(q)
	if err != nil {
		http.Error(w, "invalid wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	rows, index := s.waitForChange(r.Context(), match, after, wait)
	w.Header().Set(indexHeader, strconv.FormatInt(index, 10))
	if len(rows) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, rows)
}

func (s *Server) waitTime(q url.Values) (time.Duration, error) {
	if q.Get("wait") == "" {
		// The protocol's default is 5 minutes.
		return min(5*time.Minute, s.maxWait), nil
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	return min(wait, s.maxWait), err
}

// waitForChange returns the matching rows and their index as soon as the index
// is greater than after, or when wait has passed. With after 0 it returns
// immediately.
func (s *Server) waitForChange(ctx context.Context, match func(string) bool, after int64, wait time.Duration) ([]kvRow, int64) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		rows, index, changed, faultsChanged := s.read(match)
		if after == 0 || index > after {
			return rows, index
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-s.closed:
		case <-deadline.C:
			return rows, index
		case <-ctx.Done():
			return rows, index
		}
	}
}

// read returns the matching rows, their index, and two channels: the first is closed
// at the next change of the store's index, the second at the next change of the
// faults.
func (s *Server) read(match func(string) bool) ([]kvRow, int64, <-chan struct{}, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropIfDown()
	rows := []kvRow{}
	index := int64(1)
	for key, it := range s.keys {
		if match(key) {
			rows = append(rows, it.row(key))
			index = max(index, it.modifyIndex)
		}
	}
	for key, at := range s.deleted {
		if match(key) {
			index = max(index, at)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, index, s.changed, s.faultsChanged
}

// putKey serves a write. The query parameters cas, acquire and release make it
// conditional.
func (s *Server) putKey(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxValueBytes)
	if !ok {
		return
	}
	key, q := keyOf(r), r.URL.Query()
	cas, err := strconv.ParseInt(q.Get("cas"), 10, 64)
	if key == "" || (q.Has("cas") && (err != nil || cas < 0)) {
		http.Error(w, "missing key or invalid cas index", http.StatusBadRequest)
		return
	}
	flags, _ := strconv.ParseUint(q.Get("flags"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.keys[key]
	switch {
	case q.Has("cas") && !casHolds(it, cas):
		writeJSON(w, false)
	case q.Has("acquire"):
		s.acquire(w, key, body, flags, q.Get("acquire"))
	case q.Has("release"):
		s.release(w, key, q.Get("release"))
	default:
		s.put(key, body, flags)
		writeJSON(w, true)
	}
}

func casHolds(it *item, cas int64) bool {
	if it == nil {
		return cas == 0
	}
	return cas == it.modifyIndex
}

// put stores a value. The caller holds mu.
func (s *Server) put(key string, value []byte, flags uint64) *item {
	index := s.nextIndex()
	it := s.keys[key]
	if it == nil {
		it = &item{createIndex: index}
		s.keys[key] = it
	}
	it.value, it.flags, it.modifyIndex = value, flags, index
	s.writes.add(Write{Key: key, Index: index, Value: value, Time: time.Now()})
	return it
}

func (s *Server) acquire(w http.ResponseWriter, key string, value []byte, flags uint64, id string) {
	sess := s.sessions[id]
	if sess == nil {
		http.Error(w, "invalid session "+strconv.Quote(id), http.StatusInternalServerError)
		return
	}
	if it := s.keys[key]; it != nil && it.session != "" && it.session != id {
		writeJSON(w, false)
		return
	}
	it := s.put(key, value, flags)
	if it.session == "" {
		it.lockIndex++
	}
	it.session = id
	sess.keys[key] = true
	writeJSON(w, true)
}

func (s *Server) release(w http.ResponseWriter, key, id string) {
	it := s.keys[key]
	if it == nil || it.session != id {
		writeJSON(w, false)
		return
	}
	s.unlock(key, it)
	writeJSON(w, true)
}

// unlock releases a session's lock of a key. The caller holds mu.
func (s *Server) unlock(key string, it *item) {
	if sess := s.sessions[it.session]; sess != nil {
		delete(sess.keys, key)
	}
	it.session = ""
	it.modifyIndex = s.nextIndex()
	s.writes.add(Write{Key: key, Index: it.modifyIndex, Value: it.value, Time: time.Now()})
}

// deleteKey serves a deletion of a key or, with the query parameter recurse, of a
// prefix.
func (s *Server) deleteKey(w http.ResponseWriter, r *http.Request) {
	key, q := keyOf(r), r.URL.Query()
	cas, err := strconv.ParseInt(q.Get("cas"), 10, 64)
	if q.Has("cas") && err != nil {
		http.Error(w, "invalid cas index", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Has("cas") && !casHolds(s.keys[key], cas) {
		writeJSON(w, false)
		return
	}
	for k := range s.keys {
		if k == key || (q.Has("recurse") && strings.HasPrefix(k, key)) {
			s.remove(k)
		}
	}
	writeJSON(w, true)
}

// remove deletes a key. The caller holds mu.
func (s *Server) remove(key string) {
	if sess := s.sessions[s.keys[key].session]; sess != nil {
		delete(sess.keys, key)
	}
	delete(s.keys, key)
	index := s.nextIndex()
	s.deleted[key] = index
	s.writes.add(Write{Key: key, Index: index, Deleted: true, Time: time.Now()})
}
