package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// Always, as the count of a fault, keeps it in effect until it is changed.
const Always = -1

// Faults are the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	// Down drops every call without effect and without a reply, including
	// delayed calls and waiting watches.
	Down bool
	// Delay is the time before each call takes effect. A write takes effect
	// even if its client has timed out by then.
	Delay time.Duration
	// DropReplies is the number of next writes that take effect but lose their
	// reply; Always means all.
	DropReplies int
	// Reject is the number of next calls that are rejected with status 429 and
	// without effect; Always means all.
	Reject int
	// ListLag is how old the returned VM list is, at most 10 minutes.
	ListLag time.Duration
}

// faultsJSON is the JSON form of Faults, with durations in milliseconds.
type faultsJSON struct {
	Down        bool  `json:"down"`
	DelayMS     int64 `json:"slow_ms"`
	DropReplies int   `json:"drop_replies"`
	Reject      int   `json:"reject"`
	ListLagMS   int64 `json:"list_lag_ms"`
}

func (f Faults) toJSON() faultsJSON {
	return faultsJSON{f.Down, f.Delay.Milliseconds(), f.DropReplies, f.Reject, f.ListLag.Milliseconds()}
}

func (j faultsJSON) faults() Faults {
	return Faults{
		Down: j.Down, Delay: time.Duration(j.DelayMS) * time.Millisecond, DropReplies: j.DropReplies,
		Reject: j.Reject, ListLag: time.Duration(j.ListLagMS) * time.Millisecond,
	}
}

// Faults returns the active faults. Counted faults show the remaining count.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) { s.updateFaults(func(now *Faults) { *now = f }) }

// SetDown starts or ends an outage, during which every call is dropped.
func (s *Server) SetDown(down bool) { s.updateFaults(func(f *Faults) { f.Down = down }) }

// SetDelay sets the delay of every call.
func (s *Server) SetDelay(delay time.Duration) { s.updateFaults(func(f *Faults) { f.Delay = delay }) }

// SetDropReplies drops the replies of the next n writes after they took effect.
func (s *Server) SetDropReplies(n int) { s.updateFaults(func(f *Faults) { f.DropReplies = n }) }

// SetReject rejects the next n calls with status 429.
func (s *Server) SetReject(n int) { s.updateFaults(func(f *Faults) { f.Reject = n }) }

// SetListLag makes the VM list show its state as it was lag ago.
func (s *Server) SetListLag(lag time.Duration) { s.updateFaults(func(f *Faults) { f.ListLag = lag }) }

func (s *Server) updateFaults(f func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.faults)
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
	s.log.Info("faults changed", "faults", s.faults.toJSON())
}

// consume reports whether a counted fault is active, and decrements its count
// unless that is Always.
func consume(n *int) bool {
	switch {
	case *n == 0:
		return false
	case *n > 0:
		*n--
	}
	return true
}

// kindFunc returns the kind of a call.
type kindFunc func(*http.Request) Kind

func fixedKind(k Kind) kindFunc { return func(*http.Request) Kind { return k } }

func (k Kind) readOnly() bool {
	return k == KindGet || k == KindList || k == KindWatch || k == KindCatalog
}

// platformCall counts a call and applies the faults around its handler.
func (s *Server) platformCall(kind kindFunc, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		k := kind(r)
		// The body is read before the delay, because it may no longer be
		// readable once the client has disconnected.
		body, ok := readBody(w, r, maxValueBytes)
		if !ok {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if s.beginCall(k) {
			http.Error(w, "rejected by a fault of the stand-in", http.StatusTooManyRequests)
			return
		}
		s.delay()
		if k.readOnly() {
			handle(w, r)
			return
		}
		s.serveWrite(w, r, handle)
	}
}

// beginCall counts a call and drops it if the stand-in is down. It reports
// whether the call is rejected.
func (s *Server) beginCall(k Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[k]++
	s.dropIfDown()
	return consume(&s.faults.Reject)
}

// dropIfDown ends the call without a reply while the stand-in is down or
// closed. The caller holds mu.
func (s *Server) dropIfDown() {
	if s.faults.Down || s.isClosed {
		panic(http.ErrAbortHandler)
	}
}

// delay waits for the injected delay, which a change of the faults ends early.
func (s *Server) delay() {
	s.mu.Lock()
	delay, faultsChanged := s.faults.Delay, s.faultsChanged
	s.mu.Unlock()
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-faultsChanged:
	case <-s.closed:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropIfDown()
}

// serveWrite runs a handler that changes state, and drops its reply while
// Faults.DropReplies is active. A write that is not accepted keeps its reply and
// does not reduce the remaining count.
func (s *Server) serveWrite(w http.ResponseWriter, r *http.Request, handle http.HandlerFunc) {
	reply := newRecorder()
	handle(reply, r)
	if reply.accepted() && s.consumeReplyDrop() {
		panic(http.ErrAbortHandler)
	}
	reply.copyTo(w)
}

func (s *Server) consumeReplyDrop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return consume(&s.faults.DropReplies)
}

// controlRoutes registers the fault controls and the records, to which no fault
// applies.
func (s *Server) controlRoutes(r chi.Router) {
	r.Get("/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults().toJSON()) })
	r.Put("/faults", s.putFaults(func() faultsJSON { return faultsJSON{} }))
	r.Patch("/faults", s.putFaults(func() faultsJSON { return s.Faults().toJSON() }))
	r.Post("/lapse-leases", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.ExpireLeases()) })
	r.Get("/writes", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Writes()) })
	r.Get("/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	r.Delete("/calls", func(w http.ResponseWriter, _ *http.Request) { s.ResetCalls(); w.WriteHeader(http.StatusNoContent) })
}

// putFaults sets the faults from a JSON body. Fields that the body lacks are taken
// from base.
func (s *Server) putFaults(base func() faultsJSON) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, ok := readBody(w, r, maxControlBytes)
		if !ok {
			return
		}
		faults := base()
		dec := json.NewDecoder(bytes.NewReader(body))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&faults); err != nil {
			http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults.faults())
		writeJSON(w, s.Faults().toJSON())
	}
}
