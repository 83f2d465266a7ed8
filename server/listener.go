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

	"github.com/briarstand/briarstand/internal/disconnect"
	"github.com/briarstand/briarstand/internal/gracelisten"
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

// listener serves one API of the daemon on its own address.
type listener struct {
	api  string
	net  net.Listener
	http *http.Server
	// stopped is set when the listener is closed on purpose.
	stopped atomic.Bool
}

// listenerConfig holds the address and the limits of one API.
type listenerConfig struct {
	API               string
	Address           string
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	MaxHeaderBytes    int
	// MaxBodyBytes limits the body of a request, in bytes.
	MaxBodyBytes int64
	// MaxConcurrent limits the number of concurrent requests.
	MaxConcurrent int
	Logger        *log.Logger
	Metrics       *metrics.Set
}

// maxStreamsPerConnection limits the concurrent requests of an HTTP/2 connection.
const maxStreamsPerConnection = 1024

func listen(cfg listenerConfig) (*listener, error) {
	l, err := gracelisten.Listen(cfg.Address)
	if err != nil {
		return nil, &ListenError{API: cfg.API, Address: cfg.Address, Err: err}
	}
	return &listener{api: cfg.API, net: l, http: newHTTPServer(cfg)}, nil
}

// newHTTPServer returns a server for HTTP/1.1 and HTTP/2 without TLS; callers on
// the platform's own network use both.
func newHTTPServer(cfg listenerConfig) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Protocols:         protocols,
		ReadHeaderTimeout: cfg.ReadHeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		ConnContext:       disconnect.ConnContext,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: min(cfg.MaxConcurrent, maxStreamsPerConnection)},
		ErrorLog:          cfg.Logger.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
	}
}

// serve accepts connections until the listener is closed or shut down.
func (l *listener) serve(handler http.Handler) error {
	l.http.Handler = handler
	if err := l.http.Serve(l.net); !errors.Is(err, http.ErrServerClosed) && !l.stopped.Load() {
		return fmt.Errorf("%s API: serve: %w", l.api, err)
	}
	return nil
}

// stopAccepting refuses new connections. It keeps serving open ones, also those that wait to
// be accepted.
func (l *listener) stopAccepting() {
	l.stopped.Store(true)
	_ = l.net.Close()
}

// shutdown stops accepting and waits for the requests in flight. If ctx ends
// first, it closes their connections.
func (l *listener) shutdown(ctx context.Context) error {
	if err := l.http.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("%s API: shut down: %w", l.api, err), l.http.Close())
	}
	return nil
}

func (l *listener) address() string { return l.net.Addr().String() }

// newRouter returns a router that limits body sizes and concurrent requests.
func newRouter(cfg listenerConfig) *chi.Mux {
	r := chi.NewRouter()
	r.Use(middleware.RequestSize(cfg.MaxBodyBytes))
	r.Use(concurrencyLimit(cfg))
	return r
}

// concurrencyLimit returns middleware that refuses requests above the limit
// without waiting, in the protocol of the client. A request that is refused here
// did not run.
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

// errBusy is the error for a request above the limit on concurrent requests.
var errBusy = errors.New("too many concurrent requests at this VM; the request was not run, try another VM")

func refuse(errorWriter *connect.ErrorWriter, w http.ResponseWriter, r *http.Request) {
	if !errorWriter.IsSupported(r) {
		http.Error(w, errBusy.Error(), http.StatusServiceUnavailable)
		return
	}
	// The write fails only if the client has disconnected.
	_ = errorWriter.Write(w, r, connect.NewError(connect.CodeUnavailable, errBusy))
}
