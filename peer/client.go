package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/internal/defaults"
	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/rollout"
	"google.golang.org/protobuf/encoding/protojson"
)

// Default values of the fields of ClientConfig.
const (
	DefaultCallTimeout  = 5 * time.Second
	DefaultRelayTimeout = 30 * time.Second
	DefaultMaxCalls     = 64
)

const (
	dialTimeout          = 2 * time.Second
	relayIdleTimeout     = 30 * time.Second
	relayMaxIdleConns    = 32
	relayMaxConnsPerHost = 8
)

// ClientConfig holds the dependencies and settings of a Client. Durations and
// counts of zero are replaced by the defaults.
type ClientConfig struct {
	// View returns the member table, in which RelayQuery looks up addresses.
	// Without it, RelayQuery finds no VM.
	View func() *membership.View
	// Metrics is the set in which counters are registered; nil stands for a
	// private set.
	Metrics *metrics.Set
	// CallTimeout bounds a control call, including the wait for a free slot.
	CallTimeout time.Duration
	// RelayTimeout bounds a relayed query.
	RelayTimeout time.Duration
	// MaxCalls is the maximum number of concurrent control calls; others wait.
	MaxCalls int
}

// Client calls the peer API of other VMs. It implements membership.Transport and
// rollout.Transport by control calls, and relays queries. Its calls fail with a
// *RemoteError if the peer returned an error and with a *CallError if there is no
// valid reply.
type Client struct {
	cfg       ClientConfig
	counters  *counters
	control   *http.Client
	relay     *http.Client
	callSlots chan struct{} // one element for each running control call
}

var (
	_ membership.Transport = (*Client)(nil)
	_ rollout.Transport    = (*Client)(nil)
)

// NewClient returns a Client. Each control call uses a new connection: a VM probes
// a different member every second, so a kept connection would stay idle until the
// VM has probed the whole fleet.
func NewClient(cfg ClientConfig) *Client {
	defaults.Set(&cfg.CallTimeout, DefaultCallTimeout)
	defaults.Set(&cfg.RelayTimeout, DefaultRelayTimeout)
	defaults.Set(&cfg.MaxCalls, DefaultMaxCalls)
	c := &Client{cfg: cfg, counters: newCounters(cfg.Metrics), callSlots: make(chan struct{}, cfg.MaxCalls)}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	c.control = &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, counters: c.counters}, nil
		},
		DisableKeepAlives:  true,
		DisableCompression: true,
		ReadBufferSize:     2 << 10,
		WriteBufferSize:    2 << 10,
	}}
	c.relay = &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        relayMaxIdleConns,
		MaxIdleConnsPerHost: relayMaxConnsPerHost,
		MaxConnsPerHost:     relayMaxConnsPerHost,
		IdleConnTimeout:     relayIdleTimeout,
		DisableCompression:  true,
	}}
	return c
}

// noRedirect makes an http.Client return redirects as they are.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() {
	c.control.CloseIdleConnections()
	c.relay.CloseIdleConnections()
}

// Probe implements membership.Transport.
func (c *Client) Probe(ctx context.Context, address string, req *membership.ProbeRequest) (*membership.ProbeReply, error) {
	return post[membership.ProbeReply](ctx, c, address, PathProbe, req, maxProbeBytes)
}

// IndirectProbe implements membership.Transport.
func (c *Client) IndirectProbe(ctx context.Context, address string, req *membership.IndirectProbeRequest) (*membership.IndirectProbeReply, error) {
	return post[membership.IndirectProbeReply](ctx, c, address, PathIndirectProbe, req, maxProbeBytes)
}

// Sync implements membership.Transport.
func (c *Client) Sync(ctx context.Context, address string, req *membership.SyncRequest) (*membership.SyncReply, error) {
	return post[membership.SyncReply](ctx, c, address, PathSync, req, maxSyncBytes)
}

// Push implements rollout.Transport.
func (c *Client) Push(ctx context.Context, address string, req *rollout.PushRequest) (*rollout.PushReply, error) {
	return post[rollout.PushReply](ctx, c, address, PathPush, req, maxPushBytes)
}

// Pull implements rollout.Transport.
func (c *Client) Pull(ctx context.Context, address string, req *rollout.PullRequest) (*rollout.PullReply, error) {
	reply := new(rollout.PullReply)
	target := "http://" + address + PathConfig + "?" + pullQuery(req).Encode()
	return reply, c.call(ctx, http.MethodGet, address, PathConfig, target, nil, maxPullBytes, reply)
}

// pullQuery encodes a pull request as query parameters.
func pullQuery(req *rollout.PullRequest) url.Values {
	q := url.Values{}
	q.Set("since", strconv.FormatInt(req.Since, 10))
	q.Set("vm", req.From.ID)
	q.Set("n", strconv.FormatInt(req.From.Incarnation, 10))
	for name, revision := range req.Have {
		q.Add("have", name+":"+strconv.FormatInt(revision, 10))
	}
	return q
}

// post sends a JSON request by a control call and returns the decoded reply.
func post[R any](ctx context.Context, c *Client, address, path string, req any, limit int64) (*R, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", path, err)
	}
	reply := new(R)
	if err := c.call(ctx, http.MethodPost, address, path, "http://"+address+path, body, limit, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// call makes a control call and decodes the JSON reply.
func (c *Client) call(ctx context.Context, method, address, path, target string, body []byte, limit int64, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	select {
	case c.callSlots <- struct{}{}:
		defer func() { <-c.callSlots }()
	case <-ctx.Done():
		return &CallError{path, address, ctx.Err()}
	}
	c.counters.messages("client", path).Inc()
	b, err := send(ctx, c.control, method, path, address, target, body, limit)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, reply); err != nil {
		return &CallError{path, address, err}
	}
	return nil
}

// send sends an HTTP request and returns the body of a response with status 200.
// It fails with a *RemoteError for any other status, and with a *CallError if
// there is no response or it is larger than limit.
func send(ctx context.Context, client *http.Client, method, path, address, target string, body []byte, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, &CallError{path, address, err}
	}
	req.Header["User-Agent"] = []string{""} // omits the header
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, &CallError{path, address, err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, remoteError(resp)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(b)) > limit {
		err = &RemoteError{resp.StatusCode, codeMalformed, "reply too large"}
	}
	if err != nil {
		return nil, &CallError{path, address, err}
	}
	return b, nil
}

func remoteError(resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var body errorBody
	if json.Unmarshal(b, &body) != nil {
		body.Message = string(b)
	}
	return &RemoteError{resp.StatusCode, body.Code, body.Message}
}

// RelayQuery sends a query to the VM that issued its ticket. It fails with an
// *UnknownVMError if the VM is not in the member table and with an
// *IncarnationError if the incarnation that issued the ticket has ended. After any
// other error the query may have run.
func (c *Client) RelayQuery(ctx context.Context, vmID string, incarnation int64, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.RelayTimeout)
	defer cancel()
	if c.cfg.View == nil {
		return nil, &UnknownVMError{vmID}
	}
	m, ok := c.cfg.View().Member(vmID)
	switch {
	case !ok:
		return nil, &UnknownVMError{vmID}
	case m.Incarnation != incarnation:
		return nil, &IncarnationError{vmID, incarnation}
	}
	body, err := protojson.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode query: %w", err)
	}
	target := fmt.Sprintf("http://%s%s?vm=%s&n=%d", m.PeerAddress, PathQuery, url.QueryEscape(vmID), incarnation)
	c.counters.messages("client", PathQuery).Inc()
	b, err := send(ctx, c.relay, http.MethodPost, PathQuery, m.PeerAddress, target, body, maxQueryBytes)
	var remote *RemoteError
	if errors.As(err, &remote) && remote.Code == codeIncarnation {
		return nil, &IncarnationError{vmID, incarnation}
	}
	if err != nil {
		return nil, err
	}
	resp := &briarstandv1.QueryResponse{}
	if err := protojson.Unmarshal(b, resp); err != nil {
		return nil, &CallError{PathQuery, m.PeerAddress, err}
	}
	return resp, nil
}

// countingConn adds the bytes read and written to the counters of control traffic.
type countingConn struct {
	net.Conn
	counters *counters
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.receivedBytes.Add(n)
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.sentBytes.Add(n)
	return n, err
}
