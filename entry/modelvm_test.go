package entry

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/mirror"
)

// modelVM is an entry VM, which may be restarted. It runs the parts of the daemon that
// decide until when a server may be used.
type modelVM struct {
	model    *drainModel
	id, zone string
	// toStore and toVMs are its links. Only faults of toStore, restarts and outages of
	// the store excuse it from the rule.
	toStore, toVMs *modelLink
	mu             sync.Mutex
	state          *state
	follower       *mirror.Follower
	stop           func()
	restarts       []span
}

func (v *modelVM) running() (*state, *mirror.Follower) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state, v.follower
}

func (v *modelVM) start() {
	platform := &modelPlatform{store: v.model.store, link: v.toStore}
	logger := log.New(io.Discard)
	bounds := v.model.bounds
	set := Settings{VMID: v.id, Zone: v.zone, DrainBound: bounds.drain, ConfigBound: bounds.config, StabilityPeriod: bounds.stability, HeartbeatInterval: modelBeat}
	s := newState(platform, &set, logger, nil)
	peers := &modelPeers{vm: v, state: s}
	cfg := followerConfig(&set)
	cfg.Mirror, cfg.Store, cfg.Logger, cfg.Peers, cfg.Source = s.mirror, platform, logger, peers, peers
	var reg *registration
	cfg.Changed = func(currentAt time.Time) {
		if s.refresh(time.Now(), currentAt) {
			reg.registerAgain()
		}
	}
	follower := mirror.NewFollower(cfg)
	s.follower.Store(follower)
	self := membership.Member{ID: v.id, Zone: v.zone, PeerAddress: v.id, Cores: 1, State: membership.Alive, Incarnation: time.Now().UnixNano()}
	reg = newRegistration(platform, logger, self, 0, follower.StoreAnswered, follower.StoreFailed)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { follower.Run(ctx) })
	wg.Go(func() { reg.run(ctx) })
	wg.Go(func() {
		for modelSleep(ctx, sweepInterval) == nil {
			s.sweep(time.Now())
		}
	})
	v.mu.Lock()
	defer v.mu.Unlock()
	v.state, v.follower = s, follower
	v.stop = func() { cancel(); wg.Wait() }
}

// restart kills the VM and starts it again after a time.
func (v *modelVM) restart(pause time.Duration) {
	v.mu.Lock()
	stop := v.stop
	v.state, v.follower, v.stop = nil, nil, nil
	v.mu.Unlock()
	if stop == nil {
		return
	}
	began := time.Now()
	stop()
	time.Sleep(pause)
	v.start()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.restarts = append(v.restarts, span{began, time.Now()})
}

// inTouch reports whether the rule applied to the VM at a time.
func (v *modelVM) inTouch(at time.Time) bool {
	v.toStore.mu.Lock()
	defer v.toStore.mu.Unlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	stability := v.model.bounds.stability
	return !overlaps(v.toStore.harmed, at, stability) && !overlaps(v.restarts, at, stability)
}

// modelPeers is how one VM reads the records of the others.
type modelPeers struct {
	vm    *modelVM
	state *state
}

func (p *modelPeers) call(ctx context.Context, other *modelVM, work func(s *state, f *mirror.Follower) error) error {
	return p.vm.toVMs.call(ctx, modelPeerLatency, func(ctx context.Context) error {
		return other.toVMs.call(ctx, 0, func(ctx context.Context) error {
			s, f := other.running()
			if f == nil {
				return errModelLink
			}
			return work(s, f)
		})
	})
}

func (p *modelPeers) Available() bool {
	_, ok := p.state.fleet.Load().source(p.vm.id, p.vm.zone)
	return ok
}

func (p *modelPeers) Follow(ctx context.Context, after mirror.Position, wait time.Duration) (u mirror.Update, ok bool, err error) {
	source, found := p.state.fleet.Load().source(p.vm.id, p.vm.zone)
	if !found {
		return u, false, nil
	}
	err = p.call(ctx, p.vm.model.vms[source.ID], func(_ *state, f *mirror.Follower) error {
		u, ok = f.Serve(ctx, after, wait)
		return nil
	})
	return u, ok && err == nil, err
}

func (p *modelPeers) Fetch(ctx context.Context, after mirror.Position) (l mirror.Listing, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	ids := slices.Sorted(maps.Keys(p.vm.model.vms))
	other := p.vm.model.vms[ids[rand.N(len(ids))]]
	if other == p.vm {
		return l, false, &NoPeerError{}
	}
	err = p.call(ctx, other, func(s *state, _ *mirror.Follower) error {
		if l = s.mirror.Listing(); after.Before(l.Position()) {
			ok = true
		}
		return nil
	})
	return l, ok && err == nil, err
}
