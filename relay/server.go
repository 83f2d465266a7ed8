package relay

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/briarstand/briarstand/internal/disconnect"
	"github.com/briarstand/briarstand/limit"
	"github.com/briarstand/briarstand/telemetry"
	"github.com/briarstand/briarstand/topk"
	"github.com/briarstand/briarstand/upstream"
)

// maxRequestBytes limits the size in bytes of a relay request, whose JSON carries a
// caller's body in base64.
const maxRequestBytes = 1 << 20

// Handler serves the relay requests of other VMs.
type Handler struct {
	Transport Transport
	Backends  Backends
	Logger    *log.Logger
	// Memory limits the total size of the relay requests that are held at once;
	// nil means no limit.
	Memory *limit.Memory
	// Abandoned receives, for each attempt that is running when the origin
	// disconnects, the time in seconds until its end; nil if not recorded.
	Abandoned *metrics.Histogram
}

// ServeHTTP makes one attempt at each backend server of the request and streams
// the outcomes in batches.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	var req request
	body := &limit.MemoryReader{Reader: http.MaxBytesReader(w, r.Body, maxRequestBytes), Memory: h.Memory}
	defer body.Release()
	if err := json.NewDecoder(body).Decode(&req); err != nil {
		h.Logger.Warn("cannot decode relay request", "from", r.RemoteAddr, telemetry.FieldError, err.Error())
		http.Error(w, "the request could not be read", http.StatusBadRequest)
		return
	}
	if disconnect.Disconnected(r.Context()) {
		h.Logger.Debug("relay request dropped, the origin has disconnected", telemetry.FieldRequestID, req.ID, "from", r.RemoteAddr)
		panic(http.ErrAbortHandler)
	}
	s := &session{handler: h, req: &req, start: start, results: make(chan upstream.Result, len(req.Backends)), out: json.NewEncoder(w)}
	s.flusher, _ = w.(http.Flusher)
	w.Header().Set("Content-Type", "application/json")
	defer s.abandon()
	s.startAttempts()
	flush := time.NewTimer(time.Duration(req.FlushMS) * time.Millisecond)
	defer flush.Stop()
	// A failed part is sent at once, so that the origin can retry elsewhere.
	flushNow := len(s.pending.Parts) > 0
	flushElapsed := false
	for {
		if (flushNow || flushElapsed || s.running == 0) && len(s.pending.Parts) > 0 && !s.write() {
			return // the origin has disconnected
		}
		if s.running == 0 {
			return
		}
		flushNow = false
		select {
		case res := <-s.results:
			flushNow = !s.addResult(res)
		case <-flush.C:
			flushElapsed = true
		case <-r.Context().Done():
			return
		}
	}
}

// session is a relay request in flight.
type session struct {
	handler  *Handler
	req      *request
	start    time.Time
	attempts []upstream.Attempt
	ended    []bool
	running  int
	results  chan upstream.Result
	pending  batch
	bodies   [][]byte
	out      *json.Encoder
	flusher  http.Flusher
}

// startAttempts starts an attempt at each backend server that requests may be
// sent to; the others fail as not sent.
func (s *session) startAttempts() {
	deadline := s.start.Add(time.Duration(s.req.RemainingMS) * time.Millisecond)
	req := &upstream.Request{Method: s.req.Method, Head: s.req.Head, Body: s.req.Body, ID: s.req.ID, MaxReplyBytes: topk.MaxPartBytes(s.req.Limit)}
	s.attempts, s.ended = make([]upstream.Attempt, len(s.req.Backends)), make([]bool, len(s.req.Backends))
	for i, id := range s.req.Backends {
		b, ok := s.handler.Backends.Usable(id, s.start)
		if !ok {
			// This VM may learn before the origin that a server is leaving.
			s.ended[i] = true
			s.pending.Parts = append(s.pending.Parts, part{Index: i, Error: "backend server is not usable here", Unsent: true})
			continue
		}
		s.running++
		s.attempts[i] = s.handler.Transport.Send(b, req, deadline, i, s.results)
	}
}

// addResult adds the outcome of an attempt to the pending batch and reports
// whether the attempt was served. If not, the batch has to be sent at once.
func (s *session) addResult(res upstream.Result) bool {
	s.running--
	s.ended[res.Tag] = true
	if res.Reply != nil {
		defer res.Reply.Release()
	}
	p := part{Index: res.Tag}
	switch {
	case res.Err != nil:
		p.Error, p.Unsent = res.Err.Error(), upstream.NotSent(res.Err)
		p.Unreachable = upstream.Unreachable(res.Err)
		var withheld *upstream.WithheldError
		if errors.As(res.Err, &withheld) {
			p.setNotice(withheld.Notice)
		}
		s.handler.Logger.Debug("relayed attempt failed", telemetry.FieldRequestID, s.req.ID, "backend", s.req.Backends[res.Tag], telemetry.FieldError, p.Error)
	case res.Reply.Verdict == upstream.Served:
		p.Verdict, p.Signature = res.Reply.Verdict, res.Reply.Signature
		s.bodies = append(s.bodies, topk.ShrinkPart(res.Reply.Body, s.req.Limit))
	default:
		p.Verdict = res.Reply.Verdict
	}
	// The load of a server without waiting requests is omitted to keep parts
	// short.
	if res.Reply != nil && res.Reply.Load.Known && res.Reply.Load.Waiting > 0 {
		p.Load = []int{res.Reply.Load.Running, res.Reply.Load.Waiting, res.Reply.Load.Slots}
	}
	if res.Reply != nil {
		p.setNotice(res.Reply.Notice)
	}
	s.pending.Parts = append(s.pending.Parts, p)
	return p.Verdict == upstream.Served
}

// write sends the pending batch. It returns false if the origin has
// disconnected.
func (s *session) write() bool {
	s.pending.Records = topk.MergeRecords(s.bodies, s.req.Limit)
	s.pending.ElapsedUS = time.Since(s.start).Microseconds()
	err := s.out.Encode(s.pending)
	if s.flusher != nil && s.running > 0 {
		s.flusher.Flush()
	}
	s.pending, s.bodies = batch{}, nil
	return err == nil
}

// abandon ends the attempts that are still running. The origin has already
// awaited their replies for its grace, so no further grace is added here.
func (s *session) abandon() {
	for i, c := range s.attempts {
		if !s.ended[i] && c != nil {
			c.Abandon(0)
		}
	}
	if s.running == 0 {
		return
	}
	abandoned := time.Now()
	go func() { // release the memory of replies that still arrive
		for range s.running {
			if res := <-s.results; res.Reply != nil {
				res.Reply.Release()
			}
			if h := s.handler.Abandoned; h != nil {
				h.Update(time.Since(abandoned).Seconds())
			}
		}
	}()
}
