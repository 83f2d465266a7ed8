package load

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
)

// ResolveError reports that no address returned the endpoints to use.
type ResolveError struct {
	Addresses []string
	Err       error
}

func (e *ResolveError) Error() string {
	return fmt.Sprintf("load: resolve through %v: %v", e.Addresses, e.Err)
}

func (e *ResolveError) Unwrap() error { return e.Err }

// Resolve asks the addresses of cfg, one after the other, for the addresses that
// a caller should use and their time to live. It returns a *ResolveError if every
// request fails or returns no addresses.
func Resolve(ctx context.Context, cfg Config, callerID, zone string) ([]string, time.Duration, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, 0, err
	}
	transport := newTransport(cfg)
	defer transport.CloseIdleConnections()
	req := &briarstandv1.ResolveRequest{CallerId: callerID, Zone: zone}
	for _, address := range cfg.Addresses {
		client := briarstandv1connect.NewCallerServiceClient(
			&http.Client{Transport: transport}, "http://"+address, connect.WithGRPC())
		var resp *connect.Response[briarstandv1.ResolveResponse]
		if resp, err = client.Resolve(ctx, connect.NewRequest(req)); err != nil {
			continue
		}
		var found []string
		for _, e := range resp.Msg.GetEndpoints() {
			found = append(found, e.GetAddress())
		}
		if len(found) > 0 {
			return found, time.Duration(resp.Msg.GetTtlMs()) * time.Millisecond, nil
		}
		err = fmt.Errorf("no endpoints from %s", address)
	}
	return nil, 0, &ResolveError{Addresses: cfg.Addresses, Err: err}
}
