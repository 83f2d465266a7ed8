// Package rollout brings configuration changes into force at every VM, decides
// when a change is accepted, and keeps track of whether this VM may admit
// queries.
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
	// scheduleInterval is how often due takeovers and freshness are checked.
	scheduleInterval = 250 * time.Millisecond
	minBackoff       = 500 * time.Millisecond
	maxBackoff       = 4 * time.Second
	maxStoreBackoff  = 15 * time.Second
	pullQueueSize    = 16
	pullWorkers      = 2
	// maxRefreshPeers is how many peers a VM asks when its freshness is half gone.
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
	// Decode turns an entry of the store below config.ServicesPrefix into a
	// service with its revision.
	Decode func(kvstore.Entry) (*config.Service, error)
	Rand   *rand.Rand
	Logger *slog.Logger

	FreshnessWindow time.Duration
	// SettleTime is how long no new member may appear before acceptance. The
	// default is two probe intervals.
	SettleTime   time.Duration
	PollInterval time.Duration
	TakeoverStep time.Duration
	WatcherStep  time.Duration
	// RoundTimeout bounds the tree of a round; repairs take up to two thirds
	// of it more. All must fit into the freshness window.
	RoundTimeout time.Duration
	// MaxListAge is how old a reading of the platform's list may be to accept
	// a revision by, when the list cannot be read.
	MaxListAge time.Duration
	Fanout     int
	Watchers   int
	// AnnouncePeers is to how many peers a starting VM makes itself known.
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

// Status is how far a revision is in force.
type Status struct {
	Service  string
	Revision int64
	Accepted bool
	// InForce of Total VMs in the responsible set confirmed the revision.
	InForce, Total int
	// WaitingFor lists the ids of the other VMs.
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

// NotReadyError reports a start that ended before the configuration was read.
type NotReadyError struct{ Err error }

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("no configuration was read: %v", e.Err)
}

func (e *NotReadyError) Unwrap() error { return e.Err }

// DecodeError reports a stored document that cannot be read.
type DecodeError struct {
	Key string
	Err error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("document %s: %v", e.Key, e.Err) }

func (e *DecodeError) Unwrap() error { return e.Err }

// Controller is the rollout of one VM.
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
	lastPush    time.Time // last message of another reporter
	coordinator string    // who sent it
	accepted    int64
	// forcedUntil is until when this VM drives because it made the change.
	forcedUntil time.Time
	// waiters counts the calls that wait for this VM's result.
	waiters int
	driving bool
	status  Status
	decided int64 // highest revision that this VM found to be accepted
	marked  int64 // highest revision known to be in the accepted mark
	marking bool
	changed chan struct{} // closed and replaced when accepted or status changes
}

// New returns a controller and registers it as the membership's delegate and
// as a hook of the registry, so it must be called before the first Apply.
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
// *NotAdmittedError otherwise. It costs one atomic load and a clock reading.
func (c *Controller) Admit() error { return c.freshness.admit() }

// Run drives rollouts, watches and polls the store as far as this VM has to,
// and keeps the VM fresh, until ctx ends.
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

// Recorded puts a change in force that this VM has written to the store and
// starts its rollout.
func (c *Controller) Recorded(svc *config.Service) {
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
// giving way to another reporter.
const forcedTime = 10 * time.Second

// forced reports whether this VM drives regardless of other reporters.
func (t *task) forced(now time.Time) bool {
	return t.waiters > 0 || now.Before(t.forcedUntil)
}

func (c *Controller) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// task returns the rollout of a service. The caller holds mu.
func (c *Controller) task(service string) *task {
	t := c.tasks[service]
	if t == nil {
		t = &task{service: service, changed: make(chan struct{})}
		c.tasks[service] = t
	}
	return t
}

// onApply notes a revision that was put in force.
func (c *Controller) onApply(svc *config.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(svc.Name)
	if svc.Revision > t.revision {
		t.revision, t.learned, t.lastPush, t.coordinator = svc.Revision, time.Now(), time.Time{}, ""
		if !c.freshness.loaded() {
			// What a starting VM reads is usually in the care of others.
			t.lastPush = t.learned
		}
		t.notify()
	}
	c.wakeRun()
}

// recordAccepted notes that a revision is accepted.
func (c *Controller) recordAccepted(service string, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(service)
	if revision > t.accepted {
		t.accepted = revision
		t.notify()
	}
}

// notify wakes those that wait for a change of the task. The caller holds mu.
func (t *task) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// claimDue returns the rollouts that this VM has to start driving.
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

// maxTakeovers is how many rollouts a VM takes over at once. Without a bound,
// a fleet that is too busy to answer in time takes all rollouts over at every
// VM and never recovers. Only VMs that are alive take over: a starting one
// knows too few members to find its rank.
const maxTakeovers = 2

// takeover returns this VM's place among those that may drive a rollout.
func (c *Controller) takeover(t *task, members []membership.Member) takeover {
	key := rolloutKey(t.service, t.revision)
	own, rank := membership.Score(key, c.self.ID), 0
	for _, m := range members {
		if m.State == membership.Alive && m.ID != c.self.ID && membership.Score(key, m.ID) > own {
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

func rolloutKey(service string, revision int64) string {
	return fmt.Sprintf("%s@%d", service, revision)
}

// jitter returns a time between half of d and d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.rand.Int64N(int64(d/2)+1))
}

// sleep waits and reports whether ctx is still valid.
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
