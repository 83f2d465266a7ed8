// Package rollout distributes configuration changes to every VM, decides when a
// change is accepted, and tracks whether this VM is fresh enough to admit
// queries.
//
// The terms of a rollout:
//
//   - The coordinator is the VM that drives the rollout. Several VMs may drive
//     the same rollout concurrently.
//   - The tree distributes a push: the coordinator sends it to a few VMs, each of
//     which forwards it to its slice of the others.
//   - A confirmation reports the revision that a VM has in force.
//   - The required set holds the VMs whose confirmations acceptance waits for. It
//     includes every VM that may admit queries.
//   - A round is one pass in which the coordinator collects confirmations from
//     the required set.
//   - A revision is accepted when the whole required set has confirmed it in two
//     rounds that lie at least the settle time apart.
//   - The accepted mark of a service is the store key that holds its highest
//     accepted revision.
//   - A VM is fresh, and admits queries, while its configuration was confirmed as
//     up to date within the freshness window.
//   - A watcher is one of the few VMs that watch the store for changes.
package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/internal/defaults"
	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/membership"
)

// Defaults of Config.
const (
	DefaultFreshnessWindow = 5 * time.Second
	DefaultPollInterval    = 60 * time.Second
	DefaultTakeoverStep    = 5 * time.Second
	DefaultWatcherStep     = time.Second
	DefaultRoundTimeout    = 2400 * time.Millisecond
	DefaultMaxListAge      = 2 * time.Minute
	DefaultFanout          = 8
	DefaultWatchers        = 3
	DefaultAnnouncePeers   = 3
)

const (
	listTimeout  = time.Second
	storeTimeout = 5 * time.Second
	watchWait    = 30 * time.Second
	pullTimeout  = 2 * time.Second
	// scheduleInterval is the time between two checks for rollouts to take
	// over. Freshness is checked every one to two intervals.
	scheduleInterval = 250 * time.Millisecond
	minBackoff       = 500 * time.Millisecond
	maxBackoff       = 4 * time.Second
	maxStoreBackoff  = 15 * time.Second
	pullQueueSize    = 16
	pullWorkers      = 2
	// maxRefreshPeers is the maximum number of peers that a VM pulls from to
	// become or stay fresh. A fresh VM does so once half or less of its
	// freshness window remains.
	maxRefreshPeers = 3
)

// Config holds what a Controller needs. Zero durations and counts take the
// defaults.
type Config struct {
	Registry   *config.Registry
	Store      kvstore.Store
	VMLister   kvstore.VMLister // may be nil
	Membership *membership.Membership
	Transport  Transport
	// Decode decodes a store entry below config.ServicesPrefix into a service
	// with its revision.
	Decode func(kvstore.Entry) (*config.Service, error)
	Rand   *rand.Rand
	Logger *slog.Logger

	FreshnessWindow time.Duration
	// SettleTime is the minimum time from the end of the first to the start of
	// the second of the two rounds that accept a revision. It starts again if a
	// VM joins the required set. The default is two probe intervals.
	SettleTime   time.Duration
	PollInterval time.Duration
	// TakeoverStep is the delay per rank before a VM takes over a rollout. The
	// VM of rank n, by rendezvous hash and from 0, waits n steps after it
	// received the revision, or n+1 steps after the last push of another
	// coordinator.
	TakeoverStep time.Duration
	// WatcherStep is the delay per rank among the watchers. It replaces
	// TakeoverStep for a watcher that has received no push, if the watcher then
	// takes over earlier.
	WatcherStep time.Duration
	// RoundTimeout bounds the pushes through the tree in a round. The direct and
	// indirect pushes after them take up to another two thirds of it, and the
	// sum must fit into the freshness window.
	RoundTimeout time.Duration
	// MaxListAge is the maximum age of the last read of the platform's VM list.
	// If the list is older and cannot be read, no revision is accepted.
	MaxListAge time.Duration
	Fanout     int
	Watchers   int
	// AnnouncePeers is how many peers a starting VM announces itself to.
	AnnouncePeers int
}

func (c *Config) setDefaults() {
	defaults.Set(&c.FreshnessWindow, DefaultFreshnessWindow)
	defaults.Set(&c.SettleTime, 2*c.Membership.ProbeInterval())
	defaults.Set(&c.PollInterval, DefaultPollInterval)
	defaults.Set(&c.TakeoverStep, DefaultTakeoverStep)
	defaults.Set(&c.WatcherStep, DefaultWatcherStep)
	defaults.Set(&c.RoundTimeout, DefaultRoundTimeout)
	defaults.Set(&c.MaxListAge, DefaultMaxListAge)
	defaults.Set(&c.Fanout, DefaultFanout)
	defaults.Set(&c.Watchers, DefaultWatchers)
	defaults.Set(&c.AnnouncePeers, DefaultAnnouncePeers)
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

// Status is the progress of a revision's rollout.
type Status struct {
	Service  string
	Revision int64
	Accepted bool
	// InForce is how many of the Total VMs in the required set confirmed the
	// revision.
	InForce, Total int
	// WaitingFor lists the ids of the VMs that did not confirm it.
	WaitingFor []string
}

// UnknownRevisionError reports a revision that this VM has not seen and that
// the store does not have.
type UnknownRevisionError struct {
	Service  string
	Revision int64
	Newest   int64
}

func (e *UnknownRevisionError) Error() string {
	return fmt.Sprintf("service %s: revision %d is unknown; the newest known is %d", e.Service, e.Revision, e.Newest)
}

// NotReadyError reports that startup ended before the configuration was read.
type NotReadyError struct{ Err error }

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("no configuration was read: %v", e.Err)
}

func (e *NotReadyError) Unwrap() error { return e.Err }

// DecodeError reports a document or accepted mark in the store that cannot be
// decoded.
type DecodeError struct {
	Key string
	Err error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("document %s: %v", e.Key, e.Err) }

func (e *DecodeError) Unwrap() error { return e.Err }

// Controller runs the rollouts of one VM and tracks its freshness.
type Controller struct {
	cfg       Config
	self      Sender
	freshness *freshness
	inventory *inventory
	pulls     chan membership.Member
	wake      chan struct{}

	mu      sync.Mutex // guards the fields below
	rand    *rand.Rand
	tasks   map[string]*task
	pulling map[string]bool
}

// task is the rollout of the newest revision of one service.
type task struct {
	service     string
	revision    int64
	learned     time.Time
	lastPush    time.Time // last push of another coordinator
	coordinator string    // id of the VM that drove the last push
	accepted    int64
	// forcedUntil is set at the VM that made the change. Until then, the VM
	// drives the rollout even if a coordinator with a better rank is active.
	forcedUntil time.Time
	// waiters counts the calls of Wait in progress.
	waiters int
	driving bool
	status  Status
	decided int64 // highest revision that this VM itself found accepted
	marked  int64 // highest revision known to be in the store's accepted mark
	marking bool
	changed chan struct{} // closed and replaced when accepted or status changes
}

// New returns a controller and registers it as the membership's delegate and
// as a callback of the registry, so it must be called before the registry's first
// Apply.
func New(cfg Config) *Controller {
	cfg.setDefaults()
	self := cfg.Membership.Self()
	c := &Controller{
		cfg:       cfg,
		self:      Sender{self.ID, self.Incarnation},
		freshness: newFreshness(time.Now(), cfg.FreshnessWindow),
		inventory: newInventory(cfg.Registry),
		pulls:     make(chan membership.Member, pullQueueSize),
		wake:      make(chan struct{}, 1),
		rand:      cfg.Rand,
		tasks:     map[string]*task{},
		pulling:   map[string]bool{},
	}
	cfg.Registry.OnApply(c.onApply)
	cfg.Membership.SetDelegate(c)
	return c
}

// Admit returns nil while this VM may admit new queries and a
// *NotAdmittedError otherwise. It costs one atomic load and one clock read.
func (c *Controller) Admit() error { return c.freshness.admit() }

// Run drives the rollouts that are due at this VM, watches the store while the
// VM is a watcher, polls the store, and keeps the VM fresh, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.runWatch(ctx) })
	wg.Go(func() { c.runPoll(ctx) })
	wg.Go(func() { c.runRefresh(ctx) })
	for range pullWorkers {
		wg.Go(func() { c.runPulls(ctx) })
	}
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		for _, t := range c.claimDue(time.Now()) {
			wg.Go(func() { c.drive(ctx, t) })
		}
		for _, t := range c.claimUnmarked() {
			wg.Go(func() { c.persistMark(ctx, t) })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		case <-ticker.C:
		}
	}
}

// StartRollout puts a change that this VM has written to the store in force
// here and starts its rollout.
func (c *Controller) StartRollout(svc *config.Service) {
	c.cfg.Registry.Apply(svc)
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(svc.Name)
	if svc.Revision > t.accepted {
		t.forcedUntil = time.Now().Add(forcedTime)
	}
	c.wakeRun()
}

// forcedTime is how long the VM that made a change drives its rollout without
// yielding to another coordinator.
const forcedTime = 10 * time.Second

// forced reports whether this VM drives the rollout even if a coordinator with a
// better rank is active.
func (t *task) forced(now time.Time) bool {
	return t.waiters > 0 || now.Before(t.forcedUntil)
}

// wakeRun makes Run check for due work at once.
func (c *Controller) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// task returns the task of a service and creates it if needed. The caller holds
// mu.
func (c *Controller) task(service string) *task {
	t := c.tasks[service]
	if t == nil {
		t = &task{service: service, changed: make(chan struct{})}
		c.tasks[service] = t
	}
	return t
}

// onApply records a revision that was put in force at this VM.
func (c *Controller) onApply(svc *config.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(svc.Name)
	if svc.Revision > t.revision {
		t.revision, t.learned, t.lastPush, t.coordinator = svc.Revision, time.Now(), time.Time{}, ""
		if !c.freshness.loaded() {
			// Other VMs usually drive the rollouts of the revisions that a
			// starting VM reads. Setting lastPush as if one of them had just
			// pushed delays the takeover by this VM.
			t.lastPush = t.learned
		}
		t.notify()
	}
	c.wakeRun()
}

// recordAccepted records that a revision is accepted.
func (c *Controller) recordAccepted(service string, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(service)
	if revision > t.accepted {
		t.accepted = revision
		t.notify()
	}
}

// notify wakes the goroutines that wait for a change of the task. The caller
// holds mu.
func (t *task) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// claimDue returns the rollouts that this VM has to start driving, and sets their
// driving flag.
func (c *Controller) claimDue(now time.Time) []*task {
	view := c.cfg.Membership.View()
	self, _ := view.Member(c.self.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	takeovers := 0
	for _, t := range c.tasks {
		if t.driving && !t.forced(now) {
			takeovers++
		}
	}
	var out []*task
	for _, t := range c.tasks {
		if t.driving || t.revision <= t.accepted {
			continue
		}
		forced := t.forced(now)
		if !forced {
			if self.State != membership.Alive || takeovers >= maxTakeovers ||
				now.Before(c.takeover(t, view.Members).due(c.cfg.TakeoverStep, c.cfg.WatcherStep)) {
				continue
			}
			takeovers++
		}
		t.driving = true
		out = append(out, t)
	}
	return out
}

// maxTakeovers is the maximum number of concurrent rollouts that a VM drives
// because it took them over. Without this limit, if a fleet is too busy to answer
// in time, every VM takes over all rollouts, and the fleet never recovers. Only VMs
// in state Alive take over: a starting VM knows too few members to compute its
// rank.
const maxTakeovers = 2

// takeover returns what determines when this VM takes over a rollout, such as its
// rank among the VMs that may do so.
func (c *Controller) takeover(t *task, members []membership.Member) takeover {
	key := rolloutKey(t.service, t.revision)
	own, rank := membership.RendezvousScore(key, c.self.ID), 0
	for _, m := range members {
		if m.State == membership.Alive && m.ID != c.self.ID && membership.RendezvousScore(key, m.ID) > own {
			rank++
		}
	}
	return takeover{
		learned:     t.learned,
		lastPush:    t.lastPush,
		rank:        rank,
		watcherRank: indexByID(selectWatchers(members, c.cfg.Watchers), c.self.ID),
	}
}

// rolloutKey returns the rendezvous hash key of a rollout.
func rolloutKey(service string, revision int64) string {
	return fmt.Sprintf("%s@%d", service, revision)
}

// jitter returns a random duration between d/2 and d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.rand.Int64N(int64(d/2)+1))
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
