package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// Always makes a counted fault last until it is changed.
const Always = -1

// Faults are the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	// Down drops every call without an effect and without a reply, also those
	// that wait.
	Down bool
	// Slow is how long each call waits before it takes effect. A write takes
	// effect even if its caller has given up by then.
	Slow time.Duration
	// DropReplies is how many of the next writes lose their reply after they
	// took effect; Always means all.
	DropReplies int
	// Reject is how many of the next calls are refused with status 429 and
	// without an effect; Always means all.
	Reject int
	// ListLag is how old the VM list is, at most 10 minutes.
	ListLag time.Duration
}

// faultsJSON is the HTTP form of Faults, with times in milliseconds.
type faultsJSON struct {
	Down        bool  `json:"down"`
	SlowMS      int64 `json:"slow_ms"`
	DropReplies int   `json:"drop_replies"`
	Reject      int   `json:"reject"`
	ListLagMS   int64 `json:"list_lag_ms"`
}

func (f Faults) toJSON() faultsJSON {
	return faultsJSON{f.Down, f.Slow.Milliseconds(), f.DropReplies, f.Reject, f.ListLag.Milliseconds()}
}

func (j faultsJSON) faults() Faults {
	return Faults{
		Down: j.Down, Slow: time.Duration(j.SlowMS) * time.Millisecond, DropReplies: j.DropReplies,
		Reject: j.Reject, ListLag: time.Duration(j.ListLagMS) * time.Millisecond,
	}
}

// Faults returns the faults in force. Counted faults show what is left.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) { s.updateFaults(func(now *Faults) { *now = f }) }

// SetDown makes the stand-in drop every call, or ends that.
func (s *Server) SetDown(down bool) { s.updateFaults(func(f *Faults) { f.Down = down }) }

// SetSlow delays every call.
func (s *Server) SetSlow(delay time.Duration) { s.updateFaults(func(f *Faults) { f.Slow = delay }) }

// SetDropReplies drops the replies of the next n writes after they took effect.
func (s *Server) SetDropReplies(n int) { s.updateFaults(func(f *Faults) { f.DropReplies = n }) }

// SetReject refuses the next n calls with status 429.
func (s *Server) SetReject(n int) { s.updateFaults(func(f *Faults) { f.Reject = n }) }

// SetListLag makes the VM list show its state of some time ago.
func (s *Server) SetListLag(lag time.Duration) { s.updateFaults(func(f *Faults) { f.ListLag = lag }) }

func (s *Server) updateFaults(f func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.faults)
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
	s.log.Info("faults changed", "faults", s.faults.toJSON())
}

// consume consumes one of a counted fault.
func consume(n *int) bool {
	switch {
	case *n == 0:
		return false
	case *n > 0:
		*n--
	}
	return true
}

// kindFunc tells the kind of a call.
type kindFunc func(*http.Request) Kind

func fixedKind(k Kind) kindFunc { return func(*http.Request) Kind { return k } }

func (k Kind) readOnly() bool {
	return k == KindGet || k == KindList || k == KindWatch || k == KindCatalog
}

// platformCall counts a call and applies the faults around its handler.
func (s *Server) platformCall(kind kindFunc, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		k := kind(r)
		// The body is read before the delay, because it may not be readable
		// any more once the caller has given up.
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

// beginCall counts a call. It drops the call while the stand-in is down, and
// returns true when the call is rejected.
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

// delay waits for the slowness in force. A change of the faults ends it.
func (s *Server) delay() {
	s.mu.Lock()
	slow, faultsChanged := s.faults.Slow, s.faultsChanged
	s.mu.Unlock()
	if slow <= 0 {
		return
	}
	timer := time.NewTimer(slow)
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

// serveWrite runs a handler that changes something, and drops its reply if a fault
// says so. A refused serveWrite does not use up the fault.
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

// controlRoutes serves the fault controls and the records, without faults.
func (s *Server) controlRoutes(r chi.Router) {
	r.Get("/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults().toJSON()) })
	r.Put("/faults", s.putFaults(func() faultsJSON { return faultsJSON{} }))
	r.Patch("/faults", s.putFaults(func() faultsJSON { return s.Faults().toJSON() }))
	r.Post("/lapse-leases", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.ExpireLeases()) })
	r.Get("/writes", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Writes()) })
	r.Get("/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	r.Delete("/calls", func(w http.ResponseWriter, _ *http.Request) { s.ResetCalls(); w.WriteHeader(http.StatusNoContent) })
}

// putFaults sets the faults from a JSON body that is laid over a base.
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
