package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/kvstore/httpkv"
	"github.com/briarstand/briarstand/settings"
	"github.com/briarstand/briarstand/telemetry"
)

// Platform is the client of the platform: its key-value service and VM list.
type Platform interface {
	kvstore.Store
	kvstore.VMLister
	// RegisterVM adds a VM to the platform's VM list, or replaces its entry.
	RegisterVM(ctx context.Context, vm kvstore.VM) error
	// DeregisterVM removes a VM from the platform's VM list.
	DeregisterVM(ctx context.Context, id string) error
}

// Config holds the settings and dependencies of a Server. Only Settings is
// required; settings.Parse returns it.
type Config struct {
	Settings settings.Settings
	// Platform is the platform client; nil means an HTTP client for
	// Settings.PlatformURL.
	Platform Platform
	// Logger receives the log lines; nil discards them.
	Logger *log.Logger
	// Metrics is the set that the daemon's metrics are registered in; nil means
	// a new set.
	Metrics *metrics.Set
	// ProcessMetrics adds metrics of the process to /metrics. A process that
	// embeds several daemons sets it for at most one.
	ProcessMetrics bool
	// Random seeds the random choices of the daemon; nil means a random seed.
	Random *rand.Rand
}

// PlatformError reports a platform client that cannot be created.
type PlatformError struct {
	URL string
	Err error
}

func (e *PlatformError) Error() string { return fmt.Sprintf("platform %s: %v", e.URL, e.Err) }

func (e *PlatformError) Unwrap() error { return e.Err }

func (c *Config) setDefaults() error {
	if c.Logger == nil {
		c.Logger = telemetry.NewLogger(io.Discard, log.InfoLevel)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.Platform != nil {
		return nil
	}
	client, err := httpkv.New(httpkv.Config{
		BaseURL: c.Settings.PlatformURL, Timeout: c.Settings.PlatformTimeout, Logger: c.Logger,
	})
	if err != nil {
		return &PlatformError{URL: c.Settings.PlatformURL, Err: err}
	}
	c.Platform = client
	return nil
}

// newRand returns a new random source that is seeded from Random. Each component
// gets its own, as sources are not safe for concurrent use.
func (c *Config) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64()))
}

func (c *Config) slog() *slog.Logger { return slog.New(c.Logger) }

// apiConfig returns the address and the limits of one API.
func (c *Config) apiConfig(api, address string, maxBody int) listenerConfig {
	return listenerConfig{
		API: api, Address: address,
		ReadHeaderTimeout: c.Settings.ReadHeaderTimeout,
		IdleTimeout:       c.Settings.IdleTimeout,
		MaxHeaderBytes:    c.Settings.MaxHeaderBytes,
		MaxBodyBytes:      int64(maxBody) + framingOverheadBytes,
		MaxConcurrent:     c.Settings.MaxConcurrentRequests,
		Logger:            c.Logger,
		Metrics:           c.Metrics,
	}
}

const (
	// framingOverheadBytes is added to the maximum message size to get the maximum
	// HTTP body size. It leaves room for the framing, and lets a slightly oversized
	// message reach the handler, whose own limit returns a typed error.
	framingOverheadBytes = 4096
	// maxAdminBodyBytes limits the body of a request to the admin API, whose
	// requests have none.
	maxAdminBodyBytes = 1024
	// registerRetryDelay is the delay between attempts to register with the
	// platform's VM list.
	registerRetryDelay = 2 * time.Second
	// refusalPeriod is how long a leaving VM answers new queries with the outcome
	// NOT_RUN before it stops accepting connections, so that a caller that is
	// about to send on an open connection gets an answer instead of a reset.
	refusalPeriod = time.Second
	// lingerPeriod is how long the caller API still refuses queries on open
	// connections after it has stopped accepting new ones and answered the last.
	lingerPeriod = 500 * time.Millisecond
)
