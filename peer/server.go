package peer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/internal/disconnect"
	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/rollout"
	"github.com/briarstand/briarstand/telemetry"
	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/encoding/protojson"
)

const (
	// maxControlRequests and maxQueryRequests limit the requests that are
	// handled concurrently.
	maxControlRequests = 256
	maxQueryRequests   = 1024
	// refusalLogInterval is the minimum time between two log lines about refused
	// messages. The counter of refused messages includes those that are not
	// logged.
	refusalLogInterval = time.Second
)

// Members is the part of membership.Membership that the server uses.
type Members interface {
	HandleProbe(req *membership.ProbeRequest) (*membership.ProbeReply, error)
	HandleIndirectProbe(ctx context.Context, req *membership.IndirectProbeRequest) (*membership.IndirectProbeReply, error)
	HandleSync(req *membership.SyncRequest) (*membership.SyncReply, error)
	KnownHost(ip string) bool
	RefreshList()
}

// Rollout is the part of rollout.Controller that the server uses.
type Rollout interface {
	HandlePush(ctx context.Context, req *rollout.PushRequest) (*rollout.PushReply, error)
	HandlePull(req *rollout.PullRequest) (*rollout.PullReply, error)
}

// ServerConfig holds the dependencies and settings of the peer API.
type ServerConfig struct {
	// VMID and Incarnation identify this VM and this run of its daemon.
	VMID        string
	Incarnation int64
	Membership  Members
	Rollout     Rollout
	// Query runs a relayed query at this VM and must not relay it again. It is
	// called with a context for which Relayed returns true.
	Query   func(ctx context.Context, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error)
	Logger  *slog.Logger
	Metrics *metrics.Set
	// AllowLoopback accepts messages from loopback addresses.
	AllowLoopback bool
	// Allowed lists networks from which messages are accepted even if the
	// sender is not known yet.
	Allowed []netip.Prefix
}

// relayedKey is the context key that marks a relayed query.
type relayedKey struct{}

// Relayed reports whether ctx belongs to a query that another VM relayed, which
// must not be relayed again.
func Relayed(ctx context.Context) bool {
	relayed, _ := ctx.Value(relayedKey{}).(bool)
	return relayed
}

// server handles the requests of the peer API.
type server struct {
	cfg        ServerConfig
	counters   *counters
	refusalLog rate.Sometimes // limits the log lines about refused messages
}

// NewServer returns the HTTP handler of the peer API.
func NewServer(cfg ServerConfig) http.Handler {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	s := &server{
		cfg:        cfg,
		counters:   newCounters(cfg.Metrics),
		refusalLog: rate.Sometimes{Interval: refusalLogInterval},
	}
	r := chi.NewRouter()
	r.Use(s.checkSource)
	r.Group(func(r chi.Router) {
		r.Use(middleware.Throttle(maxControlRequests), s.countTraffic)
		r.Post(PathProbe, handle(s, maxProbeBytes, func(_ context.Context, req *membership.ProbeRequest) (*membership.ProbeReply, error) {
			return cfg.Membership.HandleProbe(req)
		}))
		r.Post(PathIndirectProbe, handle(s, maxProbeBytes, cfg.Membership.HandleIndirectProbe))
		r.Post(PathSync, handle(s, maxSyncBytes, func(_ context.Context, req *membership.SyncRequest) (*membership.SyncReply, error) {
			return cfg.Membership.HandleSync(req)
		}))
		r.Post(PathPush, handle(s, maxPushBytes, cfg.Rollout.HandlePush))
		r.Get(PathConfig, s.handlePull)
	})
	r.With(middleware.Throttle(maxQueryRequests)).Post(PathQuery, s.handleQuery)
	return r
}

// checkSource refuses messages from addresses that allowedSource rejects. After a
// refusal it requests a read of the platform's list, which may by then include the
// sender.
func (s *server) checkSource(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.allowedSource(r.RemoteAddr) {
			next.ServeHTTP(w, r)
			return
		}
		s.counters.refused.Inc()
		s.refusalLog.Do(func() {
			s.cfg.Logger.Warn("peer message refused: unknown source", "remote", r.RemoteAddr, "path", r.URL.Path)
		})
		s.cfg.Membership.RefreshList()
		writeError(w, http.StatusForbidden, codeRefused, "source address is not that of a known VM")
	})
}

// allowedSource reports whether an address belongs to a known VM or to a network
// that the configuration allows.
func (s *server) allowedSource(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	if s.cfg.Membership.KnownHost(host) {
		return true
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return false
	}
	ip = ip.Unmap()
	if s.cfg.AllowLoopback && ip.IsLoopback() || s.cfg.Membership.KnownHost(ip.String()) {
		return true
	}
	for _, p := range s.cfg.Allowed {
		if p.Contains(ip) {
			return true
		}
	}
	return false
}

// handle returns a handler that decodes a JSON request of at most limit bytes,
// calls f and writes its reply.
func handle[Q, R any](s *server, limit int64, f func(context.Context, *Q) (*R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := new(Q)
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(req); err != nil {
			writeError(w, http.StatusBadRequest, codeMalformed, err.Error())
			return
		}
		reply, err := f(r.Context(), req)
		s.writeReply(w, reply, err)
	}
}

// writeReply writes a reply as JSON, or the error if there is one.
func (s *server) writeReply(w http.ResponseWriter, reply any, err error) {
	if err != nil {
		status, code := classify(err)
		s.cfg.Logger.Debug("peer message not served", "code", code, "error", err)
		writeError(w, status, code, err.Error())
		return
	}
	b, err := json.Marshal(reply)
	if err != nil {
		writeError(w, http.StatusInternalServerError, codeInternal, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, b)
}

// classify maps an error of a handler to an HTTP status and an error code.
func classify(err error) (int, string) {
	var (
		malformed        *membership.MessageError
		malformedRollout *rollout.MessageError
		superseded       *membership.SupersededError
		unknown          *membership.UnknownMemberError
	)
	switch {
	case errors.As(err, &malformed), errors.As(err, &malformedRollout):
		return http.StatusBadRequest, codeMalformed
	case errors.As(err, &superseded):
		return http.StatusConflict, codeSuperseded
	case errors.As(err, &unknown):
		return http.StatusConflict, codeUnknownMember
	}
	return http.StatusInternalServerError, codeInternal
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	b, _ := json.Marshal(errorBody{code, message}) // encoding two strings cannot fail
	writeJSON(w, status, b)
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	h := w.Header()
	h["Date"] = nil // omits the header, which no client uses
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // the client notices a broken connection
}

// handlePull handles GET /peer/v1/config.
func (s *server) handlePull(w http.ResponseWriter, r *http.Request) {
	req, err := parsePullQuery(r.URL.Query())
	if err != nil {
		s.writeReply(w, nil, err)
		return
	}
	reply, err := s.cfg.Rollout.HandlePull(req)
	s.writeReply(w, reply, err)
}

// maxHaveRevisions is the maximum number of revisions in a pull request.
const maxHaveRevisions = 4096

// parsePullQuery decodes a pull request that pullQuery encoded.
func parsePullQuery(q map[string][]string) (*rollout.PullRequest, error) {
	first := func(name string) string {
		if v := q[name]; len(v) > 0 {
			return v[0]
		}
		return ""
	}
	req := &rollout.PullRequest{Have: map[string]int64{}}
	var err error
	if req.Since, err = strconv.ParseInt(first("since"), 10, 64); err != nil || req.Since < 0 {
		return nil, &rollout.MessageError{Field: "since", Reason: "must be a number of 0 or more"}
	}
	req.From.ID = first("vm")
	if req.From.Incarnation, err = strconv.ParseInt(first("n"), 10, 64); err != nil || req.From.ID == "" {
		return nil, &rollout.MessageError{Field: "vm", Reason: "sender is missing"}
	}
	if len(q["have"]) > maxHaveRevisions {
		return nil, &rollout.MessageError{Field: "have", Reason: "too many"}
	}
	for _, h := range q["have"] {
		i := strings.LastIndexByte(h, ':')
		if i < 0 {
			return nil, &rollout.MessageError{Field: "have", Reason: "must be name:revision"}
		}
		revision, err := strconv.ParseInt(h[i+1:], 10, 64)
		if err != nil {
			return nil, &rollout.MessageError{Field: "have", Reason: "must be name:revision"}
		}
		req.Have[h[:i]] = revision
	}
	return req, nil
}

// handleQuery runs a relayed query. It refuses a query whose ticket was issued by
// another VM or another incarnation.
func (s *server) handleQuery(w http.ResponseWriter, r *http.Request) {
	s.counters.messages("server", PathQuery).Inc()
	q := r.URL.Query()
	n, err := strconv.ParseInt(q.Get("n"), 10, 64)
	if err != nil || q.Get("vm") != s.cfg.VMID || n != s.cfg.Incarnation {
		writeError(w, http.StatusConflict, codeIncarnation, "the query is for another run of this daemon")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxQueryBytes))
	req := &briarstandv1.QueryRequest{}
	if err == nil {
		err = protojson.Unmarshal(body, req)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, codeMalformed, err.Error())
		return
	}
	if disconnect.Disconnected(r.Context()) {
		s.cfg.Logger.Debug("query dropped, the origin has disconnected", telemetry.FieldRequestID, req.GetRequestId(), "from", r.RemoteAddr)
		panic(http.ErrAbortHandler)
	}
	resp, err := s.cfg.Query(context.WithValue(r.Context(), relayedKey{}, true), req)
	if err != nil {
		writeError(w, http.StatusBadRequest, codeMalformed, err.Error())
		return
	}
	b, err := protojson.Marshal(resp)
	if err != nil {
		writeError(w, http.StatusInternalServerError, codeInternal, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, b)
}

// countTraffic counts control messages and adds the bytes of their HTTP requests
// and responses to the counters.
func (s *server) countTraffic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.counters.messages("server", r.URL.Path).Inc()
		body := &countingBody{ReadCloser: r.Body}
		r.Body = body
		ww := &countingWriter{ResponseWriter: w}
		next.ServeHTTP(ww, r)
		headBytes := len(r.Method) + len(r.URL.RequestURI()) + len("  HTTP/1.1\r\n\r\n") + len("Host: \r\n") + len(r.Host)
		s.counters.receivedBytes.Add(headBytes + headerBytes(r.Header) + body.n)
		s.counters.sentBytes.Add(len("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n") + headerBytes(ww.Header()) + ww.n)
	})
}

// countingBody counts the bytes read from a request body.
type countingBody struct {
	io.ReadCloser
	n int
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.n += n
	return n, err
}

// countingWriter counts the bytes written to a response body.
type countingWriter struct {
	http.ResponseWriter
	n int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.n += n
	return n, err
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
