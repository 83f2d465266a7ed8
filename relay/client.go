package relay

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/balance"
	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/internal/contain"
	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/topk"
	"github.com/briarstand/briarstand/upstream"
)

const (
	// dialTimeout limits the time to open a connection to another VM, a few
	// round trips.
	dialTimeout = 300 * time.Millisecond
	// warmTimeout limits the request that opens a connection ahead of its use,
	// and warmJitter is the maximum random delay before it, which keeps a VM
	// from opening all connections at once. Both are short because a VM is used
	// as a relay only after it has answered that request.
	warmTimeout = 500 * time.Millisecond
	warmJitter  = 200 * time.Millisecond
	// idleTimeout is how long a connection may stay idle, less than the idle
	// timeout of the VM at the other end.
	idleTimeout = 50 * time.Second
	// overheadEWMAWeight is the weight of the newest sample in the EWMA of a
	// target's relay overhead (see Client.Overhead), and initialOverhead the
	// estimate before the first sample.
	overheadEWMAWeight = 0.2
	initialOverhead    = 20 * time.Millisecond
	// failureCooldown is how long a VM is not used as a relay after it has failed.
	failureCooldown = 3 * time.Second
	// maxResponseHeadBytes limits the headers of a relay's response in bytes, and
	// maxPartTextBytes the size of one part besides its records: mainly its
	// signature or error.
	maxResponseHeadBytes = 16 << 10
	maxPartTextBytes     = 2 << 10
)

// Target names the VMs of which one can relay to a backend server: those of its
// availability zone or, if none of these is usable, of its region.
type Target string

func zoneTarget(zone string) Target     { return Target("zone/" + zone) }
func regionTarget(region string) Target { return Target("region/" + region) }

// Client sends sub-requests through relays, VMs in other availability zones.
type Client struct {
	// Panics recovers from panics in groups and warm-ups; nil lets them propagate.
	Panics *contain.Panics
	// ReplyGrace is how long after the deadline of a group its parts are still read (see
	// upstream.Config). It must not be changed after the first Send.
	ReplyGrace time.Duration

	self   string            // id of this VM
	zones  map[string]string // availability zone to its region
	zone   string
	region string
	http   *http.Client
	picker *balance.Picker

	mu          sync.Mutex
	relays      map[Target][]*config.Backend // the possible relays
	lastFailure map[string]time.Time         // VM id to its last failure as a relay
	overhead    map[Target]time.Duration     // EWMA of the relay overhead
	warmStates  map[string]warmState         // VM address to the state of its warm-up
	warming     sync.WaitGroup
}

// NewClient returns a Client for the VM with id vmID in zone and region. zones maps
// each availability zone to its region.
func NewClient(vmID, zone, region string, zones map[string]string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}}
	return &Client{
		self: vmID, zone: zone, region: region, zones: zones,
		http: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout, DisableCompression: true,
			MaxResponseHeaderBytes: maxResponseHeadBytes,
		}},
		picker: balance.NewPicker(balance.Config{}), lastFailure: map[string]time.Time{}, overhead: map[Target]time.Duration{},
		warmStates: map[string]warmState{},
	}
}

// SetMembers replaces the list of VMs and opens a connection to each new one.
// Without that, the first request to a VM would wait a round trip for its
// connection, and its parts would be hedged meanwhile. Cancelling ctx stops the
// warm-ups.
func (c *Client) SetMembers(ctx context.Context, members []membership.Member) {
	relays := map[Target][]*config.Backend{}
	addresses := map[string]bool{}
	for _, m := range members {
		if m.State != membership.Alive || m.ID == c.self || m.PeerAddress == "" || m.Zone == c.zone {
			continue
		}
		vm := &config.Backend{ID: m.ID, Address: m.PeerAddress}
		relays[zoneTarget(m.Zone)] = append(relays[zoneTarget(m.Zone)], vm)
		if m.Region != c.region {
			relays[regionTarget(m.Region)] = append(relays[regionTarget(m.Region)], vm)
		}
		addresses[m.PeerAddress] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays = relays
	for address := range c.warmStates {
		if !addresses[address] {
			delete(c.warmStates, address)
		}
	}
	for address := range addresses {
		if c.warmStates[address] == cold {
			c.warmStates[address] = warming
			c.warming.Go(func() { c.warmUp(ctx, address) })
		}
	}
}

// warmState is the state of the warm-up of a VM: cold until it starts, and warm
// once the VM has answered.
type warmState int

const (
	cold warmState = iota
	warming
	warm
)

// warmUp opens a connection to a VM and marks the VM as warm. If it fails, the
// next call of SetMembers retries it; that call comes with a change of the
// members or the periodic sweep.
func (c *Client) warmUp(ctx context.Context, address string) {
	defer c.Panics.Recover("relay warm-up", nil)
	ok := c.connect(ctx, address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.warmStates[address]; !known {
		return
	}
	c.warmStates[address] = cold
	if ok {
		c.warmStates[address] = warm
	}
}

// connect opens a connection to a VM after a random delay and reports whether
// the VM answered.
func (c *Client) connect(ctx context.Context, address string) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(rand.N(warmJitter)):
	}
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}

// Close waits for running warm-ups and closes idle connections. Call it after
// cancelling the context of SetMembers.
func (c *Client) Close() {
	c.warming.Wait()
	c.http.CloseIdleConnections()
}

// InOtherRegion reports whether a backend server is in another region.
func (c *Client) InOtherRegion(b *config.Backend) bool {
	region := c.zones[b.Zone]
	return region != "" && region != c.region
}

// RelayTarget returns the VMs through which requests to a backend server of another
// availability zone can be relayed, or "" if there are none. A relay in the server's
// zone is preferred, so that only the merged response crosses zones. In this VM's
// region there is no other choice: a relay in a third zone would save nothing.
func (c *Client) RelayTarget(b *config.Backend) Target {
	if b.Zone == c.zone || c.zones[b.Zone] == "" {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, target := range []Target{zoneTarget(b.Zone), regionTarget(c.zones[b.Zone])} {
		if len(c.usable(target)) > 0 {
			return target
		}
	}
	return ""
}

// usable returns the VMs of a target that are warm and have not failed as a
// relay within failureCooldown. The cooldown is needed because a dead VM stays
// in the list of members for some time. c.mu must be held.
func (c *Client) usable(target Target) []*config.Backend {
	var usable []*config.Backend
	for _, vm := range c.relays[target] {
		if c.warmStates[vm.Address] == warm && time.Since(c.lastFailure[vm.ID]) > failureCooldown {
			usable = append(usable, vm)
		}
	}
	return usable
}

// Overhead returns the estimated time that a relayed attempt takes outside the
// relay: the network time between this VM and a relay of the target, and the
// processing at this VM.
func (c *Client) Overhead(target Target) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d, ok := c.overhead[target]; ok {
		return d
	}
	return initialOverhead
}

// Group is a request to several backend servers of one target. Tags holds, for
// each backend server, the Result.Tag of its attempt.
type Group struct {
	Request  *upstream.Request
	Backends []*config.Backend
	Tags     []int
	Limit    int // maximum number of records
	Deadline time.Time
	// FlushAfter is how long the relay waits for all parts before it sends
	// those that have arrived.
	FlushAfter time.Duration
}

// call is a group in flight.
type call struct {
	cancel context.CancelFunc
	mu     sync.Mutex
	timer  *time.Timer // calls cancel at the time end; nil until Abandon
	end    time.Time
}

// Abandon implements upstream.Attempt for all attempts of the group: it ends the
// exchange with the relay after the grace. The relay then ends its attempts at
// once.
func (c *call) Abandon(grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := time.Now().Add(grace)
	switch {
	case c.timer == nil:
		c.timer = time.AfterFunc(grace, c.cancel)
	case end.Before(c.end):
		c.timer.Reset(grace)
	default:
		return
	}
	c.end = end
}

// Send starts a group through a relay of the target. Each attempt yields exactly
// one result, alone or in the Batch of another. The channel must have buffer space
// for the results.
func (c *Client) Send(target Target, g *Group, results chan<- upstream.Result) upstream.Attempt {
	ctx, cancel := context.WithDeadline(context.Background(), g.Deadline.Add(c.ReplyGrace))
	a := &call{cancel: cancel}
	go func() {
		defer cancel()
		pending := newPendingParts(g)
		defer c.Panics.Recover("relayed group", func(err error) {
			pending.fail(results, &upstream.IncompleteReplyError{Backend: string(target), Err: err})
		})
		c.run(ctx, target, g, pending, results)
	}()
	return a
}

// run picks a relay, sends the group through it and reports the outcome to the
// picker.
func (c *Client) run(ctx context.Context, target Target, g *Group, pending *pendingParts, results chan<- upstream.Result) {
	c.mu.Lock()
	vms := c.usable(target)
	c.mu.Unlock()
	vm, ok := c.picker.Pick(config.ChoiceAdaptive, vms, nil)
	if !ok {
		pending.fail(results, &upstream.UnsentError{Backend: string(target), Err: ErrNoRelay})
		return
	}
	start := time.Now()
	c.picker.Started(vm.ID)
	err := c.exchange(ctx, target, vm, g, start, pending, results)
	if len(pending.tags) > 0 {
		pending.fail(results, err)
	}
	status := backend.OK
	if err != nil {
		status = backend.Failed
		if ctx.Err() != nil {
			status = backend.Cancelled
		}
		if !errors.Is(ctx.Err(), context.Canceled) || time.Now().After(g.Deadline) {
			c.markFailed(vm.ID)
		}
	}
	c.picker.Finished(vm.ID, time.Since(start), status)
}

// ErrNoRelay reports a target without a usable relay.
var ErrNoRelay = errors.New("no VM can relay")

// markFailed starts the failure cooldown of a VM.
func (c *Client) markFailed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFailure[id] = time.Now()
}

// exchange sends a group to a relay and delivers the batches of its response.
func (c *Client) exchange(ctx context.Context, target Target, vm *config.Backend, g *Group, start time.Time, pending *pendingParts, results chan<- upstream.Result) error {
	req := request{
		ID: g.Request.ID, Method: g.Request.Method, Head: g.Request.Head, Body: g.Request.Body, Limit: g.Limit,
		RemainingMS: time.Until(g.Deadline).Milliseconds(), FlushMS: g.FlushAfter.Milliseconds(),
	}
	for _, b := range g.Backends {
		req.Backends = append(req.Backends, b.ID)
	}
	data, err := json.Marshal(req)
	if err != nil {
		return &upstream.UnsentError{Backend: vm.ID, Err: err}
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.Address+Path, bytes.NewReader(data))
	if err != nil {
		return &upstream.UnsentError{Backend: vm.ID, Err: err}
	}
	httpReq.GetBody = nil // keeps net/http from retrying the request
	resp, err := c.http.Do(httpReq)
	if err != nil {
		if upstream.DialFailed(err) {
			return &upstream.UnsentError{Backend: vm.ID, Err: err}
		}
		return &upstream.IncompleteReplyError{Backend: vm.ID, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return rejection(vm, resp.StatusCode)
	}
	body := io.LimitReader(resp.Body, maxResponseBytes(g))
	decoder := json.NewDecoder(body)
	for first := true; len(pending.tags) > 0; first = false {
		var b batch
		if err := decoder.Decode(&b); err != nil {
			if errors.Is(err, io.EOF) {
				err = &IncompleteError{Address: vm.Address}
			}
			return &upstream.IncompleteReplyError{Backend: vm.ID, Err: err}
		}
		if first {
			c.observeOverhead(target, time.Since(start)-time.Duration(b.ElapsedUS)*time.Microsecond)
		}
		pending.deliver(&b, time.Since(start), results)
	}
	// Reading to EOF lets the connection be reused.
	_, err = io.Copy(io.Discard, body)
	return err
}

// rejection returns the error of a relay's response without parts. Only a status that
// rejects the request says that the relay has made no attempt.
func rejection(vm *config.Backend, status int) error {
	err := &StatusError{Address: vm.Address, Status: status}
	if status >= 400 && status < 500 || status == http.StatusServiceUnavailable {
		return &upstream.UnsentError{Backend: vm.ID, Err: err}
	}
	return &upstream.IncompleteReplyError{Backend: vm.ID, Err: err}
}

// maxResponseBytes returns the maximum size in bytes of a relay's response to a
// group: one batch for each part, each with the maximum number of records.
func maxResponseBytes(g *Group) int64 {
	batch := int64(base64.StdEncoding.EncodedLen(g.Limit*topk.RecordSize)) + maxPartTextBytes
	return int64(len(g.Tags)) * batch
}

// observeOverhead adds a sample to the EWMA of a target's relay overhead.
func (c *Client) observeOverhead(target Target, overhead time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.overhead[target]
	if !ok {
		old = overhead
	}
	c.overhead[target] = old + time.Duration(overheadEWMAWeight*float64(overhead-old))
}

// pendingParts maps the index of each attempt of a group that has no result yet
// to the attempt's tag.
type pendingParts struct{ tags map[int]int }

func newPendingParts(g *Group) *pendingParts {
	pending := &pendingParts{tags: make(map[int]int, len(g.Tags))}
	for i, tag := range g.Tags {
		pending.tags[i] = tag
	}
	return pending
}

// deliver sends a batch as one result, because its merged records belong to all
// of its parts.
func (pending *pendingParts) deliver(b *batch, latency time.Duration, results chan<- upstream.Result) {
	var delivered []upstream.Result
	records := b.Records
	for _, p := range b.Parts {
		tag, ok := pending.tags[p.Index]
		if !ok {
			continue
		}
		delete(pending.tags, p.Index)
		res := upstream.Result{Tag: tag}
		switch {
		case p.Unsent && p.notice() != upstream.Notice{}:
			res.Err = &upstream.UnsentError{Backend: "relayed", Err: &upstream.WithheldError{Notice: p.notice()}}
		case p.Unsent:
			res.Err = &upstream.UnsentError{Backend: "relayed", Err: &PartError{Text: p.Error}, Unreachable: p.Unreachable}
		case p.Error != "" || !p.Verdict.Valid():
			res.Err = &upstream.IncompleteReplyError{Backend: "relayed", Err: &PartError{Text: p.Error}}
		default:
			res.Reply = &upstream.Reply{Verdict: p.Verdict, Signature: p.Signature, Latency: latency}
			res.Reply.Notice = p.notice()
			if len(p.Load) == 3 {
				res.Reply.Load = upstream.Load{Running: p.Load[0], Waiting: p.Load[1], Slots: p.Load[2], Known: true}
			}
			if p.Verdict == upstream.Served {
				res.Reply.Body, records = records, nil
			}
		}
		delivered = append(delivered, res)
	}
	if len(delivered) > 0 {
		delivered[0].Batch = delivered[1:]
		results <- delivered[0]
	}
}

// fail sends err as the result of every attempt that is still running.
func (pending *pendingParts) fail(results chan<- upstream.Result, err error) {
	for _, tag := range pending.tags {
		results <- upstream.Result{Tag: tag, Err: err}
	}
	pending.tags = nil
}
