// Package telemetry provides the logger of a daemon and its admin handler, which
// serves metrics and health checks.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"
)

// Keys of the log fields that several packages use.
const (
	FieldVM        = "vm"
	FieldService   = "service"
	FieldRevision  = "revision"
	FieldRequestID = "request_id"
	FieldError     = "error"
)

// NewLogger returns a logger that writes one JSON object per line. The fields,
// alternating keys and values, are added to every line.
func NewLogger(w io.Writer, level log.Level, fields ...any) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		Level:           level,
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		TimeFunction:    log.NowUTC,
		Fields:          fields,
	})
}

// AdminConfig configures the admin handler.
type AdminConfig struct {
	// Metrics is the set that /metrics reports.
	Metrics *metrics.Set
	// Process adds metrics of the process (CPU, memory, goroutines) to /metrics.
	Process bool
	// Ready returns nil while the daemon accepts new queries, and otherwise the
	// reason why it does not.
	Ready func() error
}

// NewAdminHandler returns a handler for /metrics (Prometheus text), /healthz (the
// process runs) and /readyz (the daemon accepts new queries).
func NewAdminHandler(cfg AdminConfig) http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { writeMetrics(w, cfg) })
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := cfg.Ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		writeText(w, http.StatusOK, "ready")
	})
	return r
}

func writeMetrics(w http.ResponseWriter, cfg AdminConfig) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	cfg.Metrics.WritePrometheus(w)
	if cfg.Process {
		metrics.WriteProcessMetrics(w)
	}
}

func writeText(w http.ResponseWriter, code int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	// The write fails only if the client has disconnected.
	_, _ = io.WriteString(w, text+"\n")
}
