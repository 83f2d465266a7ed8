package membership

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarstand/briarstand/internal/defaults"
	"github.com/briarstand/briarstand/kvstore"
)

// Default values of the fields of Config.
const (
	DefaultProbeInterval  = time.Second
	DefaultProbeTimeout   = 500 * time.Millisecond
	DefaultSuspicionTime  = 5 * time.Second
	DefaultTombstoneTime  = 60 * time.Second
	DefaultSyncInterval   = 30 * time.Second
	DefaultListInterval   = 60 * time.Second
	DefaultSeedInterval   = 2 * time.Second
	DefaultIndirectProbes = 3
	DefaultMaxUpdates     = 32
)

// Config holds the dependencies and settings of a Membership. Durations and
// counts of zero are replaced by the defaults.
type Config struct {
	// Self is this VM's own entry. An empty state is replaced by Joining.
	Self      Member
	Transport Transport
	// VMLister reads the platform's list of VMs. If it is nil, only Seeds are
	// used to find other VMs.
	VMLister kvstore.VMLister
	// Seeds are peer addresses that are probed while no live member has them.
	Seeds    []string
	Delegate Delegate
	Rand     *rand.Rand
	Logger   *slog.Logger

	ProbeInterval time.Duration
	// ProbeTimeout bounds a direct probe, and separately the indirect probes
	// that follow it.
	ProbeTimeout time.Duration
	// SuspicionTime is how long a suspect may refute the suspicion before it is
	// declared dead.
	SuspicionTime time.Duration
	// TombstoneTime is the minimum time for which a dead member is kept. It is
	// kept longer while the platform's list still has it.
	TombstoneTime time.Duration
	// SyncInterval is the minimum time between the last sync and one that is
	// started because digests differ.
	SyncInterval time.Duration
	// ListInterval is the time between two reads of the platform's list.
	ListInterval time.Duration
	// SeedInterval is the time between two probes of addresses that no live
	// member has.
	SeedInterval time.Duration
	// IndirectProbes is the number of members that are asked to probe a member
	// that did not answer. It is also the number of members that probe a new
	// suspect immediately.
	IndirectProbes int
	// MaxUpdates is the maximum number of updates in a probe or a reply.
	MaxUpdates int
}

func (c *Config) setDefaults() {
	defaults.Set(&c.ProbeInterval, DefaultProbeInterval)
	defaults.Set(&c.ProbeTimeout, DefaultProbeTimeout)
	defaults.Set(&c.SuspicionTime, DefaultSuspicionTime)
	defaults.Set(&c.TombstoneTime, DefaultTombstoneTime)
	defaults.Set(&c.SyncInterval, DefaultSyncInterval)
	defaults.Set(&c.ListInterval, DefaultListInterval)
	defaults.Set(&c.SeedInterval, DefaultSeedInterval)
	defaults.Set(&c.IndirectProbes, DefaultIndirectProbes)
	defaults.Set(&c.MaxUpdates, DefaultMaxUpdates)
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

// Membership is the member table of one VM together with its failure detector.
type Membership struct {
	cfg  Config
	view atomic.Pointer[View]

	mu                 sync.Mutex // guards the fields below
	table              *table
	delegate           Delegate
	rand               *rand.Rand
	probeOrder         []string // ids left to probe in this round
	urgent             []string // ids of suspects, probed before those of probeOrder
	seeds              seedList
	digestsDifferSince time.Time // first reply with another digest since the last equal one or sync; zero if none
	lastSync           time.Time

	knownHosts  atomic.Pointer[map[string]struct{}]
	listRefresh chan struct{} // requests a read of the platform's list
}

// New returns a Membership whose table has only this VM, or a *ConfigError. Run
// starts the failure detector.
func New(cfg Config) (*Membership, error) {
	cfg.setDefaults()
	if cfg.Self.State == "" {
		cfg.Self.State = Joining
	}
	if cfg.Transport == nil {
		return nil, &ConfigError{"Transport", "is required"}
	}
	if err := cfg.Self.Validate(); err != nil {
		return nil, &ConfigError{"Self", err.Error()}
	}
	m := &Membership{
		cfg:         cfg,
		table:       newTable(cfg.Self),
		delegate:    cfg.Delegate,
		rand:        cfg.Rand,
		seeds:       newSeedList(cfg.Seeds, cfg.VMLister != nil),
		listRefresh: make(chan struct{}, 1),
	}
	m.publish()
	return m, nil
}

// SetDelegate sets the delegate. It must be called before Run and before the
// first message is handled.
func (m *Membership) SetDelegate(d Delegate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delegate = d
}

// View returns the latest snapshot of the table.
func (m *Membership) View() *View { return m.view.Load() }

// Self returns this VM's own entry.
func (m *Membership) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.entries[m.table.self].Member
}

// SetState sets the state that this VM reports about itself: Joining, Alive or
// Leaving.
func (m *Membership) SetState(s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.table.entries[m.table.self].Member
	if self.State == s {
		return
	}
	self.State = s
	self.Sequence++
	m.table.put(self, time.Now())
	m.publish()
}

// ProbeInterval returns the time between two probes of this VM.
func (m *Membership) ProbeInterval() time.Duration { return m.cfg.ProbeInterval }

// Contact is a member with the information that is local to this VM.
type Contact struct {
	Member
	// LastHeard is the time of the last message from the VM itself, not about
	// it; zero if there was none.
	LastHeard time.Time
	// Listed says that the VM was on the platform's list in at least one read.
	Listed bool
}

// Contacts returns all entries of the table other than this VM, tombstones
// included, ordered by id.
func (m *Membership) Contacts() []Contact {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.contacts()
}

// KnownHost reports whether an IP address belongs to a member (dead ones included),
// a VM on the platform's list or a seed.
func (m *Membership) KnownHost(ip string) bool {
	_, ok := (*m.knownHosts.Load())[ip]
	return ok
}

// RefreshList requests a read of the platform's list. Run serves such requests at
// most once every few seconds. It is called for a message from an unknown address.
func (m *Membership) RefreshList() {
	select {
	case m.listRefresh <- struct{}{}:
	default:
	}
}

// publish replaces the view and the known hosts. The caller holds mu or is New.
func (m *Membership) publish() {
	m.view.Store(m.table.view())
	hosts := make(map[string]struct{}, len(m.table.entries))
	for _, e := range m.table.entries {
		addHost(hosts, e.PeerAddress)
	}
	for _, s := range m.seeds.addresses() {
		addHost(hosts, s)
	}
	m.knownHosts.Store(&hosts)
}

func addHost(hosts map[string]struct{}, address string) {
	if host, _, err := net.SplitHostPort(address); err == nil {
		hosts[host] = struct{}{}
	}
}

// configState returns the delegate's state. The caller does not hold mu.
func (m *Membership) configState() ConfigState {
	m.mu.Lock()
	d := m.delegate
	m.mu.Unlock()
	if d == nil {
		return ConfigState{}
	}
	return d.ConfigState()
}

// setConfigState copies the configuration state into this VM's own entry. A change
// of Fresh is sent as an update, because callers must not be directed to a VM that
// is not fresh. The caller holds mu.
func (m *Membership) setConfigState(state ConfigState) {
	self := m.table.entries[m.table.self]
	self.ConfigIndex = state.Index
	if self.Fresh == state.Fresh {
		return
	}
	next := self.Member
	next.Fresh = state.Fresh
	next.Sequence++
	m.table.put(next, time.Now())
	m.publish()
}

// UnknownMemberError reports a message from a VM that is not in the table.
type UnknownMemberError struct{ ID string }

func (e *UnknownMemberError) Error() string {
	return "VM " + e.ID + " is not a known member; it has to announce itself first"
}

// RecordMessage records the time of a message from a VM. It fails with an
// *UnknownMemberError if the table lacks the VM or has an older incarnation, and
// with a *SupersededError if the table has a newer one.
func (m *Membership) RecordMessage(id string, incarnation int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table.entries[id]
	switch {
	case e == nil || incarnation > e.Incarnation:
		return &UnknownMemberError{ID: id}
	case incarnation < e.Incarnation:
		return &SupersededError{ID: id, Incarnation: incarnation, Known: e.Incarnation}
	}
	e.lastHeard = time.Now()
	return nil
}

// HasNoOtherVMs reports whether no other VM is in the table (tombstones
// included), on the platform's list or among the seeds. It is false until the
// list has been read.
func (m *Membership) HasNoOtherVMs() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cfg.VMLister != nil && m.seeds.readAt.IsZero() {
		return false
	}
	self := m.table.entries[m.table.self]
	for _, address := range m.seeds.static {
		if address != self.PeerAddress {
			return false
		}
	}
	for _, vm := range m.seeds.vms {
		if vm.ID != self.ID {
			return false
		}
	}
	return len(m.table.entries) == 1
}
