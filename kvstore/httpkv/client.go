// Package httpkv is the client of the platform's key-value service and VM
// list, which use the published Consul HTTP protocol.
package httpkv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/briarstand/briarstand/kvstore"
)

// Defaults of Config.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultServiceName  = "briarstand"
	DefaultMaxListBytes = 64 << 20
	// maxEntryBytes limits the reply to a read of one key. It has room for a value
	// of 1 MB in base64 and the other fields of the row.
	maxEntryBytes = 2 << 20
	// maxReplyBytes limits replies that contain no values of keys.
	maxReplyBytes = 64 << 10
	// maxErrorBytes limits the part of an error reply that is quoted in an error.
	maxErrorBytes = 256
	indexHeader   = "X-Consul-Index"
)

// Config holds the settings of a Client.
type Config struct {
	// BaseURL is the address of the platform, such as http://10.0.0.2:8500.
	BaseURL string
	// Transport sends the calls; nil means a new transport that the client owns.
	Transport http.RoundTripper
	// Timeout limits each call; the waiting time of a watch is added to it.
	// 0 means DefaultTimeout.
	Timeout time.Duration
	// ServiceName is the name under which VMs are listed. Empty means
	// DefaultServiceName.
	ServiceName string
	// MaxListBytes limits the reply to a listing. 0 means DefaultMaxListBytes.
	MaxListBytes int64
	// Logger receives a warning for each invalid row of the VM list. May be nil.
	Logger *log.Logger
}

// Client implements kvstore.Store and kvstore.VMLister. It is safe for
// concurrent use.
type Client struct {
	base         *url.URL
	http         *http.Client
	ownTransport *http.Transport
	timeout      time.Duration
	serviceName  string
	maxListBytes int64
	log          *log.Logger
}

var (
	_ kvstore.Store    = (*Client)(nil)
	_ kvstore.VMLister = (*Client)(nil)
)

// BaseURLError reports an invalid platform address.
type BaseURLError struct {
	URL string
	Err error
}

func (e *BaseURLError) Error() string {
	return fmt.Sprintf("platform address %q: %v", e.URL, e.Err)
}

func (e *BaseURLError) Unwrap() error { return e.Err }

// ProtocolError reports a reply that violates the protocol, or a call that the
// platform rejected as invalid. A retry will not help.
type ProtocolError struct {
	Op     string
	Reason string
}

func (e *ProtocolError) Error() string { return fmt.Sprintf("platform: %s: %s", e.Op, e.Reason) }

// New returns a client, or a *BaseURLError. It does not call the platform.
func New(cfg Config) (*Client, error) {
	base, err := url.Parse(cfg.BaseURL)
	if err != nil {
		return nil, &BaseURLError{URL: cfg.BaseURL, Err: err}
	}
	if (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		return nil, &BaseURLError{URL: cfg.BaseURL, Err: errors.New("not of the form http://host:port")}
	}
	c := &Client{
		base: base, timeout: cfg.Timeout, serviceName: cfg.ServiceName,
		maxListBytes: cfg.MaxListBytes, log: cfg.Logger,
	}
	c.setDefaults()
	transport := cfg.Transport
	if transport == nil {
		c.ownTransport = newTransport(c.timeout)
		transport = c.ownTransport
	}
	c.http = &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return c, nil
}

func (c *Client) setDefaults() {
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	if c.serviceName == "" {
		c.serviceName = DefaultServiceName
	}
	if c.maxListBytes <= 0 {
		c.maxListBytes = DefaultMaxListBytes
	}
	if c.log == nil {
		c.log = log.New(io.Discard)
	}
}

func newTransport(timeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost:    8,
		IdleConnTimeout:        90 * time.Second,
		MaxResponseHeaderBytes: maxReplyBytes,
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections of a transport that the client owns.
func (c *Client) Close() {
	if c.ownTransport != nil {
		c.ownTransport.CloseIdleConnections()
	}
}

// call describes an HTTP request to the platform.
type call struct {
	op     string
	method string
	path   string
	query  url.Values
	body   []byte
	// wait is how long a watch may wait; it is added to the timeout.
	wait time.Duration
	// limit is the maximum size of the reply body, in bytes.
	limit int64
}

// reply is the platform's reply to a call.
type reply struct {
	status int
	index  int64
	body   []byte
}

// callError reports a call without a usable reply.
type callError struct {
	op string
	// maybeSent is false if the call certainly did not reach the platform.
	maybeSent bool
	err       error
}

func (e *callError) Error() string { return e.op + ": " + e.err.Error() }

func (e *callError) Unwrap() error { return e.err }

// do performs a call. Its error is always a *callError.
func (c *Client) do(ctx context.Context, cl call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+cl.wait)
	defer cancel()
	var trace connTrace
	req, err := c.newRequest(trace.attach(ctx), cl)
	if err != nil {
		return reply{}, &callError{op: cl.op, err: err}
	}
	if err := ctx.Err(); err != nil {
		return reply{}, &callError{op: cl.op, err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, &callError{op: cl.op, maybeSent: trace.maybeSent(err), err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, cl.limit+1))
	if err != nil {
		return reply{}, &callError{op: cl.op, maybeSent: true, err: err}
	}
	if int64(len(body)) > cl.limit {
		return reply{}, &callError{op: cl.op, maybeSent: true, err: &ProtocolError{Op: cl.op, Reason: fmt.Sprintf("the reply exceeds the limit of %d bytes", cl.limit)}}
	}
	index, _ := strconv.ParseInt(resp.Header.Get(indexHeader), 10, 64)
	return reply{status: resp.StatusCode, index: index, body: body}, nil
}

func (c *Client) newRequest(ctx context.Context, cl call) (*http.Request, error) {
	u := c.base.JoinPath(cl.path)
	u.RawQuery = cl.query.Encode()
	return http.NewRequestWithContext(ctx, cl.method, u.String(), bytes.NewReader(cl.body))
}

// connTrace records whether a call may have reached the platform. A call that
// requested a connection and never obtained one was certainly not sent.
type connTrace struct {
	requested, obtained atomic.Bool
}

func (t *connTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.requested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.obtained.Store(true) },
	})
}

func (t *connTrace) maybeSent(err error) bool {
	if t.obtained.Load() {
		return true
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	return !t.requested.Load()
}

// read performs a read-only call. Any failure is an *UnavailableError, or a
// *ProtocolError if a retry will not help.
func (c *Client) read(ctx context.Context, cl call) (reply, error) {
	r, err := c.do(ctx, cl)
	if err != nil {
		var protocol *ProtocolError
		if errors.As(err, &protocol) {
			return reply{}, protocol
		}
		return reply{}, &kvstore.UnavailableError{Op: cl.op, Err: err}
	}
	if r.status == http.StatusOK || r.status == http.StatusNotFound {
		return r, nil
	}
	if retryable(r.status) {
		return reply{}, &kvstore.UnavailableError{Op: cl.op, Err: statusError(cl.op, r)}
	}
	return reply{}, statusError(cl.op, r)
}

// write performs a call that changes state. A failure after which the change
// may have taken effect is an *UnknownResultError for the key.
func (c *Client) write(ctx context.Context, key string, cl call) (reply, error) {
	r, err := c.do(ctx, cl)
	var failed *callError
	if errors.As(err, &failed) {
		if failed.maybeSent {
			return reply{}, &kvstore.UnknownResultError{Key: key, Err: err}
		}
		return reply{}, &kvstore.UnavailableError{Op: cl.op, Err: err}
	}
	switch {
	case r.status == http.StatusOK:
		return r, nil
	case r.status == http.StatusTooManyRequests:
		return reply{}, &kvstore.UnavailableError{Op: cl.op, Err: statusError(cl.op, r)}
	case r.status >= http.StatusInternalServerError:
		// A server error may come after the write was committed.
		return reply{}, &kvstore.UnknownResultError{Key: key, Err: statusError(cl.op, r)}
	case r.status == http.StatusRequestEntityTooLarge:
		return reply{}, &kvstore.TooLargeError{Key: key, Size: len(cl.body)}
	}
	return r, statusError(cl.op, r)
}

func retryable(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

func statusError(op string, r reply) error {
	text := r.body
	if len(text) > maxErrorBytes {
		text = text[:maxErrorBytes]
	}
	return &ProtocolError{Op: op, Reason: fmt.Sprintf("status %d: %s", r.status, bytes.TrimSpace(text))}
}

// decode parses a JSON reply. It ignores unknown fields, which the protocol
// allows.
func decode(op string, r reply, into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return &ProtocolError{Op: op, Reason: err.Error()}
	}
	return nil
}
