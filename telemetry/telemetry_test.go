package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
)

// Guards against log lines that are not JSON or lack the daemon's fields.
func TestLogLinesAreJSON(t *testing.T) {
	c := qt.New(t)
	var buf bytes.Buffer
	logger := NewLogger(&buf, log.InfoLevel, FieldVM, "attica-1")
	logger.Debug("not logged")
	logger.Warn("two\nlines", FieldService, "siteapp", FieldRevision, 7, FieldRequestID, "r\"1")
	var line map[string]any
	c.Assert(json.Unmarshal(buf.Bytes(), &line), qt.IsNil)
	delete(line, "time")
	c.Assert(line, qt.DeepEquals, map[string]any{
		"level": "warn", "msg": "two\nlines", "vm": "attica-1", "service": "siteapp", "revision": 7.0, "request_id": "r\"1",
	})
}

// Checks that a leaving daemon is reported as not ready but still as running.
func TestAdminHandler(t *testing.T) {
	c := qt.New(t)
	set := metrics.NewSet()
	set.NewCounter("briarstand_test_total").Inc()
	var reason error
	h := NewAdminHandler(AdminConfig{Metrics: set, Ready: func() error { return reason }})
	get := func(path string) (int, string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code, w.Body.String()
	}
	code, body := get("/readyz")
	c.Assert([]any{code, body}, qt.DeepEquals, []any{200, "ready\n"})
	reason = errors.New("the VM is leaving")
	code, body = get("/readyz")
	c.Assert([]any{code, body}, qt.DeepEquals, []any{503, "the VM is leaving\n"})
	code, _ = get("/healthz")
	c.Assert(code, qt.Equals, 200)
	_, body = get("/metrics")
	c.Assert(body, qt.Equals, "briarstand_test_total 1\n")
}
