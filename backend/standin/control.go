package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
)

// maxControlBytes limits the body of a control request.
const maxControlBytes = 1 << 20

// Handler serves BackendService and the control API below /standin/. POSTed
// settings and faults change only the fields they name.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	path, backend := briarstandv1connect.NewBackendServiceHandler(s)
	r.Mount(path, backend)
	r.Route("/standin", func(r chi.Router) {
		r.Get("/settings", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Settings()) })
		r.Post("/settings", func(w http.ResponseWriter, req *http.Request) {
			edit(w, req, s.Settings(), s.SetSettings)
		})
		r.Get("/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
		r.Post("/faults", func(w http.ResponseWriter, req *http.Request) {
			edit(w, req, s.Faults(), s.SetFaults)
		})
		r.Get("/record", func(w http.ResponseWriter, req *http.Request) {
			if req.URL.Query().Has("summary") {
				writeJSON(w, s.Summary())
				return
			}
			writeJSON(w, s.Record())
		})
		r.Post("/record/reset", s.actionHandler(s.ResetRecord))
		r.Post("/drain", s.actionHandler(s.Drain))
		r.Post("/restore", s.actionHandler(s.Restore))
		r.Post("/break", s.actionHandler(s.Break))
		r.Post("/restart", s.actionHandler(s.Restart))
	})
	return r
}

func (s *Server) actionHandler(f func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		f()
		writeJSON(w, s.Summary())
	}
}

// edit applies the fields named in a request body to a value.
func edit[T any](w http.ResponseWriter, req *http.Request, value T, set func(T)) {
	d := json.NewDecoder(io.LimitReader(req.Body, maxControlBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&value); err != nil {
		http.Error(w, fmt.Sprintf("decode body: %v", err), http.StatusBadRequest)
		return
	}
	set(value)
	writeJSON(w, value)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The status was already sent; a write error means that the client
	// disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
