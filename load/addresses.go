package load

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
)

const (
	// minRefresh is the minimum time between two refreshes, even if the time to
	// live of the addresses is shorter.
	minRefresh = 100 * time.Millisecond
	// refreshRetry is the wait before the retry of a failed refresh. The old
	// addresses stay in use meanwhile.
	refreshRetry = 500 * time.Millisecond
)

// Refresher returns the caller API addresses to use from now on and their time to
// live.
type Refresher func(ctx context.Context) (addresses []string, ttl time.Duration, err error)

// ResolveWith returns a Refresher that resolves through the addresses of cfg.
func ResolveWith(cfg Config, callerID, zone string) Refresher {
	return func(ctx context.Context) ([]string, time.Duration, error) {
		return Resolve(ctx, cfg, callerID, zone)
	}
}

type client = briarstandv1connect.CallerServiceClient

// clientSet holds a client for each address in use. The list is swapped
// atomically, so that a query sees a consistent one.
type clientSet struct {
	transport http.RoundTripper
	list      atomic.Pointer[[]client]
	current   []string // only accessed by the goroutine that calls set
}

func newClientSet(transport http.RoundTripper, addresses []string) *clientSet {
	s := &clientSet{transport: transport}
	s.set(addresses)
	return s
}

func (s *clientSet) set(addresses []string) {
	if slices.Equal(addresses, s.current) {
		return
	}
	var clients []client
	for _, address := range addresses {
		clients = append(clients, briarstandv1connect.NewCallerServiceClient(
			&http.Client{Transport: s.transport}, "http://"+address, connect.WithGRPC()))
	}
	s.current = addresses
	s.list.Store(&clients)
}

// refreshLoop replaces the addresses whenever their time to live ends, until ctx
// is done.
func (s *clientSet) refreshLoop(ctx context.Context, refresh Refresher) {
	for wait := time.Duration(0); sleepUntil(ctx, time.Now().Add(wait)); {
		addresses, ttl, err := refresh(ctx)
		if err != nil || len(addresses) == 0 {
			wait = refreshRetry
			continue
		}
		s.set(addresses)
		wait = max(ttl, minRefresh)
	}
}
