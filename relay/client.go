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
	// dialTimeout bounds a connection to another VM: a few round trips.
	dialTimeout = 300 * time.Millisecond
	// warmTimeout bounds the request that opens a connection ahead of its use,
	// and warmSpread spreads those of one VM. They are short since a VM relays
	// only after that.
	warmTimeout = 500 * time.Millisecond
	warmSpread  = 200 * time.Millisecond
	// idleTimeout closes connections that were not used, sooner than the other
	// VM does.
	idleTimeout = 50 * time.Second
	// overheadWeight is the weight of the newest time between regions in the
	// average, and firstOverhead the time that is assumed before the first.
	overheadWeight = 0.2
	firstOverhead  = 20 * time.Millisecond
	// suspectFor is how long a VM that failed as a relay is not used again.
	suspectFor = 3 * time.Second
	// maxAnswerHead bounds the head of another VM's answer in bytes, and
	// maxPartText what it says of one part besides records: its signature or why
	// there is none.
	maxAnswerHead = 16 << 10
	maxPartText   = 2 << 10
)

// Client sends sub-requests through VMs in other regions.
type Client struct {
	// Panics contains panics of groups; nil lets them pass.
	Panics *contain.Panics

	self   string // id of this VM
	zones  map[string]string
	region string
	http   *http.Client
	picker *balance.Picker

	mu       sync.Mutex
	near     map[string][]*config.Backend // region to its VMs, as relays
	suspects map[string]time.Time         // VM id to when it failed
	overhead map[string]time.Duration     // region to the time that a relay adds
	warmed   map[string]warmState         // VM address to its first connection
	warming  sync.WaitGroup
}

// NewClient returns a Client of a VM in a region. zones maps each zone to its
// region.
func NewClient(vmID, region string, zones map[string]string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}}
	return &Client{
		self: vmID, region: region, zones: zones,
		http: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout, DisableCompression: true,
			MaxResponseHeaderBytes: maxAnswerHead,
		}},
		picker: balance.NewPicker(balance.Config{}), suspects: map[string]time.Time{}, overhead: map[string]time.Duration{},
		warmed: map[string]warmState{},
	}
}

// SetMembers takes over the VMs, and opens a connection to each new one: a first
// request on a new connection comes a round trip later, by when its parts would
// be hedged. The context ends that.
func (c *Client) SetMembers(ctx context.Context, members []membership.Member) {
	near := map[string][]*config.Backend{}
	addresses := map[string]bool{}
	for _, m := range members {
		if m.State == membership.Alive && m.ID != c.self && m.Region != c.region && m.PeerAddress != "" {
			near[m.Region] = append(near[m.Region], &config.Backend{ID: m.ID, Address: m.PeerAddress})
			addresses[m.PeerAddress] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.near = near
	for address := range c.warmed {
		if !addresses[address] {
			delete(c.warmed, address)
		}
	}
	for address := range addresses {
		if c.warmed[address] == cold {
			c.warmed[address] = warming
			c.warming.Go(func() { c.warmOne(ctx, address) })
		}
	}
}

// warmState says whether a VM has answered on a connection of this one.
type warmState int

const (
	cold warmState = iota
	warming
	warm
)

// warmOne opens a connection to a VM, which is tried again with the next change
// or sweep of the members if it fails.
func (c *Client) warmOne(ctx context.Context, address string) {
	defer c.Panics.Recover("connection to a VM", nil)
	ok := c.open(ctx, address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.warmed[address]; !known {
		return
	}
	c.warmed[address] = cold
	if ok {
		c.warmed[address] = warm
	}
}

// open opens a connection to a VM and reports whether the VM answered.
func (c *Client) open(ctx context.Context, address string) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(rand.N(warmSpread)):
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

// Close closes idle connections, after the context of SetMembers has ended.
func (c *Client) Close() {
	c.warming.Wait()
	c.http.CloseIdleConnections()
}

// Distant reports whether a backend server is in another region.
func (c *Client) Distant(b *config.Backend) bool {
	region := c.zones[b.Zone]
	return region != "" && region != c.region
}

// Region returns the region of a backend server if it is another one with VMs
// that can relay, and "" otherwise.
func (c *Client) Region(b *config.Backend) string {
	if !c.Distant(b) {
		return ""
	}
	region := c.zones[b.Zone]
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.usable(region)) == 0 {
		return ""
	}
	return region
}

// usable returns the VMs of a region that have answered and did not fail lately.
// The record of a VM that has died stays for some time.
func (c *Client) usable(region string) []*config.Backend {
	var usable []*config.Backend
	for _, vm := range c.near[region] {
		if c.warmed[vm.Address] == warm && time.Since(c.suspects[vm.ID]) > suspectFor {
			usable = append(usable, vm)
		}
	}
	return usable
}

// Overhead returns how much time a relay in a region adds to its own work.
func (c *Client) Overhead(region string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d, ok := c.overhead[region]; ok {
		return d
	}
	return firstOverhead
}

// Group is a request to several backend servers of one region. Tags number the
// attempts in results, one for each backend server.
type Group struct {
	Request  *upstream.Request
	Backends []*config.Backend
	Tags     []int
	Limit    int
	Deadline time.Time
	// Flush is when the relay sends the parts that are in.
	Flush time.Duration
}

// call is a group in progress.
type call struct {
	cancel context.CancelFunc
	grace  time.Duration
	once   sync.Once
}

// Abandon implements upstream.Attempt for all attempts of the group.
func (c *call) Abandon() { c.once.Do(func() { time.AfterFunc(c.grace, c.cancel) }) }

// Send starts a group through some VM of the region. Each attempt ends with
// exactly one result.
func (c *Client) Send(region string, g *Group, results chan<- upstream.Result) upstream.Attempt {
	ctx, cancel := context.WithDeadline(context.Background(), g.Deadline)
	a := &call{cancel: cancel, grace: upstream.DefaultReplyGrace}
	go func() {
		defer cancel()
		left := newRest(g)
		defer c.Panics.Recover("relayed group", func(err error) {
			left.fail(results, &upstream.BrokenError{Backend: region, Err: err})
		})
		c.run(ctx, region, g, left, results)
	}()
	return a
}

func (c *Client) run(ctx context.Context, region string, g *Group, left *rest, results chan<- upstream.Result) {
	c.mu.Lock()
	vms := c.usable(region)
	c.mu.Unlock()
	vm, ok := c.picker.Pick(config.ChoiceAdaptive, vms, nil)
	if !ok {
		left.fail(results, &upstream.UnsentError{Backend: region, Err: ErrNoRelay})
		return
	}
	start := time.Now()
	c.picker.Started(vm.ID)
	err := c.exchange(ctx, region, vm, g, start, left, results)
	if len(left.tags) > 0 {
		left.fail(results, err)
	}
	status := backend.OK
	if err != nil {
		status = backend.Failed
		if ctx.Err() != nil {
			status = backend.Cancelled
		}
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.suspect(vm.ID)
		}
	}
	c.picker.Finished(vm.ID, time.Since(start), status)
}

// ErrNoRelay reports a region without a VM that can relay.
var ErrNoRelay = errors.New("no VM in the region can relay")

func (c *Client) suspect(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[id] = time.Now()
}

func (c *Client) exchange(ctx context.Context, region string, vm *config.Backend, g *Group, start time.Time, left *rest, results chan<- upstream.Result) error {
	req := request{
		ID: g.Request.ID, Method: g.Request.Method, Head: g.Request.Head, Body: g.Request.Body, Limit: g.Limit,
		LeftMS: time.Until(g.Deadline).Milliseconds(), FlushMS: g.Flush.Milliseconds(),
	}
	for _, b := range g.Backends {
		req.Backends = append(req.Backends, b.ID)
	}
	data, err := json.Marshal(req)
	if err != nil {
		return &upstream.UnsentError{Backend: vm.ID, Err: err}
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.Address+Path, bytes.NewReader(data))
	if err != nil {
		return &upstream.UnsentError{Backend: vm.ID, Err: err}
	}
	hr.GetBody = nil // never sent twice by the client itself
	resp, err := c.http.Do(hr)
	if err != nil {
		if upstream.DialFailed(err) {
			return &upstream.UnsentError{Backend: vm.ID, Err: err}
		}
		return &upstream.BrokenError{Backend: vm.ID, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &upstream.UnsentError{Backend: vm.ID, Err: &StatusError{Address: vm.Address, Status: resp.StatusCode}}
	}
	answer := io.LimitReader(resp.Body, maxAnswer(g))
	decoder := json.NewDecoder(answer)
	for first := true; len(left.tags) > 0; first = false {
		var b batch
		if err := decoder.Decode(&b); err != nil {
			if errors.Is(err, io.EOF) {
				err = &IncompleteError{Address: vm.Address}
			}
			return &upstream.BrokenError{Backend: vm.ID, Err: err}
		}
		if first {
			c.observe(region, time.Since(start)-time.Duration(b.ElapsedUS)*time.Microsecond)
		}
		left.deliver(&b, time.Since(start), results)
	}
	// Reading to the end lets the connection be used again.
	_, err = io.Copy(io.Discard, answer)
	return err
}

// maxAnswer returns the most bytes that a relay's answer to a group can have:
// a batch for each part, with as many records as are wanted.
func maxAnswer(g *Group) int64 {
	batch := int64(base64.StdEncoding.EncodedLen(g.Limit*topk.RecordSize)) + maxPartText
	return int64(len(g.Tags)) * batch
}

func (c *Client) observe(region string, overhead time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.overhead[region]
	if !ok {
		old = overhead
	}
	c.overhead[region] = old + time.Duration(overheadWeight*float64(overhead-old))
}

// rest are the attempts of a group that have not ended, by index in the group.
type rest struct{ tags map[int]int }

func newRest(g *Group) *rest {
	r := &rest{tags: make(map[int]int, len(g.Tags))}
	for i, tag := range g.Tags {
		r.tags[i] = tag
	}
	return r
}

// deliver passes on a batch as one result, so that its merged records stay with
// all of its parts.
func (r *rest) deliver(b *batch, latency time.Duration, results chan<- upstream.Result) {
	var group []upstream.Result
	records := b.Records
	for _, p := range b.Parts {
		tag, ok := r.tags[p.Index]
		if !ok {
			continue
		}
		delete(r.tags, p.Index)
		res := upstream.Result{Tag: tag}
		switch {
		case p.Unsent:
			res.Err = &upstream.UnsentError{Backend: "relayed", Err: &PartError{Text: p.Error}, Down: p.Down}
		case p.Error != "" || p.Verdict == 0:
			res.Err = &upstream.BrokenError{Backend: "relayed", Err: &PartError{Text: p.Error}}
		default:
			res.Reply = &upstream.Reply{Verdict: p.Verdict, Signature: p.Signature, Latency: latency}
			if len(p.Load) == 3 {
				res.Reply.Load = upstream.Load{Running: p.Load[0], Waiting: p.Load[1], Slots: p.Load[2], Known: true}
			}
			if p.Verdict == upstream.Served {
				res.Reply.Body, records = records, nil
			}
		}
		group = append(group, res)
	}
	if len(group) > 0 {
		group[0].Group = group[1:]
		results <- group[0]
	}
}

// fail ends the attempts that are left.
func (r *rest) fail(results chan<- upstream.Result, err error) {
	for _, tag := range r.tags {
		results <- upstream.Result{Tag: tag, Err: err}
	}
	r.tags = nil
}
