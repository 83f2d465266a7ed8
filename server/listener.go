package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
)

// ListenError reports an API whose address cannot be listened on.
type ListenError struct {
	API     string
	Address string
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("%s API: listen on %s: %v", e.API, e.Address, e.Err)
}

func (e *ListenError) Unwrap() error { return e.Err }

// listener is one API of the daemon on its own address.
type listener struct {
	api  string
	net  net.Listener
	http *http.Server
	// stopped says that the listener was closed on purpose.
	stopped atomic.Bool
}

// listenerConfig holds the bounds of one API.
type listenerConfig struct {
	API               string
	Address           string
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	MaxHeaderBytes    int
	// MaxBodyBytes bounds the body of a request, in bytes.
	MaxBodyBytes int64
	// MaxConcurrent bounds the requests that run at once.
	MaxConcurrent int
	Logger        *log.Logger
	Metrics       *metrics.Set
}

func listen(cfg listenerConfig) (*listener, error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, &ListenError{API: cfg.API, Address: cfg.Address, Err: err}
	}
	return &listener{api: cfg.API, net: l, http: newHTTPServer(cfg)}, nil
}

// newHTTPServer serves HTTP/1.1 and HTTP/2 without TLS; both are usual for
// callers on the platform's own network.
func newHTTPServer(cfg listenerConfig) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Protocols:         protocols,
		ReadHeaderTimeout: cfg.ReadHeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: min(cfg.MaxConcurrent, 1024)},
		ErrorLog:          cfg.Logger.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
	}
}

// serve runs until the listener is closed or shut down.
func (l *listener) serve(handler http.Handler) error {
	l.http.Handler = handler
	if err := l.http.Serve(l.net); !errors.Is(err, http.ErrServerClosed) && !l.stopped.Load() {
		return fmt.Errorf("%s API: serve: %w", l.api, err)
	}
	return nil
}

// stopAccepting refuses new connections and keeps serving those that are open.
func (l *listener) stopAccepting() {
	l.stopped.Store(true)
	_ = l.net.Close()
}

// shutdown waits for running requests until the context ends and then closes
// their connections.
func (l *listener) shutdown(ctx context.Context) error {
	if err := l.http.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("%s API: shut down: %w", l.api, err), l.http.Close())
	}
	return nil
}

func (l *listener) address() string { return l.net.Addr().String() }

// newRouter returns a router that bounds bodies and concurrent requests.
func newRouter(cfg listenerConfig) *chi.Mux {
	r := chi.NewRouter()
	r.Use(middleware.RequestSize(cfg.MaxBodyBytes))
	r.Use(concurrencyLimit(cfg))
	return r
}

// concurrencyLimit refuses requests above the limit at once, in the protocol of
// the caller. A request that is refused here did not run.
func concurrencyLimit(cfg listenerConfig) func(http.Handler) http.Handler {
	slots := make(chan struct{}, cfg.MaxConcurrent)
	refused := cfg.Metrics.NewCounter(fmt.Sprintf(`briarstand_http_refused_total{api=%q}`, cfg.API))
	running := func() float64 { return float64(len(slots)) }
	cfg.Metrics.NewGauge(fmt.Sprintf(`briarstand_http_running{api=%q}`, cfg.API), running)
	errorWriter := connect.NewErrorWriter()
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
				next.ServeHTTP(w, r)
			default:
				refused.Inc()
				refuse(errorWriter, w, r)
			}
		})
	}
}

// errBusy is the answer to a request above the limit on concurrent requests.
var errBusy = errors.New("too many concurrent requests at this VM; the request was not run, try another VM")

func refuse(errorWriter *connect.ErrorWriter, w http.ResponseWriter, r *http.Request) {
	if !errorWriter.IsSupported(r) {
		http.Error(w, errBusy.Error(), http.StatusServiceUnavailable)
		return
	}
	// A failed write means that the client has gone; there is nobody to tell.
	_ = errorWriter.Write(w, r, connect.NewError(connect.CodeUnavailable, errBusy))
}
