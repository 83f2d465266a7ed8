package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/briarstand/briarstand/forward"
	"github.com/briarstand/briarstand/internal/disconnect"
	"github.com/briarstand/briarstand/limit"
	"github.com/briarstand/briarstand/route"
	"github.com/briarstand/briarstand/telemetry"
	"github.com/briarstand/briarstand/topk"
	"github.com/briarstand/briarstand/upstream"
)

// startRetryAfter is the Retry-After sent while no configuration is known. A
// daemon usually reads the configuration within milliseconds of its start.
const startRetryAfter = 300 * time.Millisecond

// stopRetryAfter is the Retry-After sent by a VM that no longer forwards requests:
// the other VMs can serve the caller at once.
const stopRetryAfter = 10 * time.Millisecond

// ServeHTTP answers a caller's request.
func (d *Daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id, wait := d.platform.RequestInfo(r)
	if d.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	table := d.state.table.Load()
	if table == nil || !d.state.synced.Load() {
		d.finishRequest(w, r, id, arrived, "", 0, forward.Answer{Outcome: forward.Refused, RetryAfter: startRetryAfter, Reason: "no configuration is known yet"})
		return
	}
	if d.refusing.Load() {
		d.refuseByStop(w, r, id, arrived, "", table.Version)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	rt, ok := table.Match(r.Host, path)
	if !ok {
		d.logger.Info("request", telemetry.FieldRequestID, id, "outcome", "no_route", "host", r.Host, "path", path, "version", table.Version)
		http.Error(w, "no route for this host and path", http.StatusNotFound)
		return
	}
	if limit := table.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		d.logger.Warn("request", telemetry.FieldRequestID, id, "outcome", "headers_too_large", "bytes", headerBytes(r), "limit", limit, "version", table.Version)
		w.Header().Set("Connection", "close")
		http.Error(w, "the headers are too large", http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	bodyReader := &limit.MemoryReader{Reader: r.Body, Memory: d.requestMemory}
	defer bodyReader.Release()
	body, err := readBody(w, r, bodyReader, table.Limits.BodyBytes)
	var memoryErr *limit.MemoryError
	if errors.As(err, &memoryErr) {
		w.Header().Set("Connection", "close")
		d.finishRequest(w, r, id, arrived, rt.Name, table.Version, forward.Answer{Outcome: forward.Refused, RetryAfter: memoryRetryAfter, Reason: err.Error()})
		return
	}
	if err != nil {
		d.rejectBody(w, id, err)
		return
	}
	if !d.beginForwarding() { // the body was complete only after the VM began to refuse requests
		d.refuseByStop(w, r, id, arrived, rt.Name, table.Version)
		return
	}
	defer d.endForwarding()
	answer := d.engine.Run(r.Context(), forward.Job{
		Route:        rt,
		Request:      &upstream.Request{Method: r.Method, Head: d.platform.EncodeHead(r, len(body)), Body: body, ID: id, MaxReplyBytes: maxReplyBytes(rt)},
		Wait:         wait,
		Arrived:      arrived,
		Stopping:     d.stopping,
		Disconnected: func() bool { return disconnect.Disconnected(r.Context()) },
	})
	d.finishRequest(w, r, id, arrived, rt.Name, table.Version, answer)
}

// refuseByStop refuses a request that arrives late in a planned stop: if it were
// forwarded, it might not be answered before the process ends.
func (d *Daemon) refuseByStop(w http.ResponseWriter, r *http.Request, id string, arrived time.Time, routeName string, version int64) {
	w.Header().Set("Connection", "close")
	d.finishRequest(w, r, id, arrived, routeName, version, forward.Answer{Outcome: forward.Refused, RetryAfter: stopRetryAfter, Reason: "the VM is stopping"})
}

// maxReplyBytes returns the largest reply allowed on a route, in bytes.
func maxReplyBytes(rt *route.Route) int64 {
	if rt.Scattered() {
		return topk.MaxPartBytes(rt.Limit)
	}
	return upstream.DefaultMaxReplyBytes
}

// readBody reads a body of at most maxBytes within bodyReadTimeout.
func readBody(w http.ResponseWriter, r *http.Request, bodyReader io.Reader, maxBytes int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	r.Body = http.MaxBytesReader(w, io.NopCloser(bodyReader), maxBytes)
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	return body, controller.SetReadDeadline(time.Time{})
}

const (
	// memoryRetryAfter is the Retry-After sent while requests hold all the
	// memory allowed to them. Some is free again soon, since a body is read for
	// at most a few seconds.
	memoryRetryAfter = time.Second
	// defaultMaxBodyBytes limits a caller's body where the configuration does
	// not.
	defaultMaxBodyBytes = 1 << 20
)

// bodyReadTimeout limits the time to read a caller's body; even the largest
// takes only a fraction of a second on any link.
const bodyReadTimeout = 5 * time.Second

func (d *Daemon) rejectBody(w http.ResponseWriter, id string, err error) {
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		status = http.StatusRequestTimeout // the request was not forwarded
		w.Header().Set("Connection", "close")
	}
	d.logger.Warn("request", telemetry.FieldRequestID, id, "outcome", "body_not_read", "status", status, telemetry.FieldError, err.Error())
	http.Error(w, "the body could not be read", status)
}

// finishRequest writes the answer and logs the request.
func (d *Daemon) finishRequest(w http.ResponseWriter, r *http.Request, id string, arrived time.Time, routeName string, version int64, a forward.Answer) {
	if a.Reply != nil {
		defer a.Reply.Release()
	}
	if a.Outcome == forward.CallerDisconnected {
		// The caller has disconnected. Aborting the handler keeps the server from
		// sending an empty success response.
		d.logRequest(id, arrived, routeName, version, &a)
		panic(http.ErrAbortHandler)
	}
	if d.leaving.Load() { // perhaps only since the request began
		w.Header().Set("Connection", "close")
	}
	if err := d.platform.WriteAnswer(w, &a, id); err != nil {
		d.logger.Info("answer not delivered", telemetry.FieldRequestID, id, telemetry.FieldError, err.Error())
	}
	d.logRequest(id, arrived, routeName, version, &a)
}

// logRequest logs the outcome of a request. Requests that failed, were late or
// lack parts are always logged, with the decisions about hedges and retries;
// others only up to maxRequestLogsPerSecond.
func (d *Daemon) logRequest(id string, arrived time.Time, routeName string, version int64, a *forward.Answer) {
	unusual := a.Outcome != forward.Answered || a.Late || a.Reason != ""
	if !unusual && !d.requestLogLimiter.Allow() {
		return
	}
	if unusual {
		for _, dec := range a.Decisions {
			d.logger.Info("decision", telemetry.FieldRequestID, id, "decision", dec.Kind, "at_ms", dec.At.Milliseconds(),
				telemetry.FieldService, dec.Service, "backend", dec.Backend, "reason", dec.Reason)
		}
	}
	d.logger.Info("request", telemetry.FieldRequestID, id, "outcome", a.Outcome.String(), "late", a.Late, "reason", a.Reason, "route", routeName,
		"version", version, "records_age_ms", d.state.age(time.Now()).Milliseconds(), "ms", time.Since(arrived).Milliseconds(),
		"attempts", a.Attempts, "relayed", a.Relayed, "hedges", a.Hedges, "retries", a.Retries, "missing", a.Missing)
}

// maxRequestLogsPerSecond limits the log lines of ordinary requests: those that
// were answered in time and in full.
const maxRequestLogsPerSecond = 20
