// Package balance chooses replicas for sub-requests by latency, load and failures,
// estimates latency quantiles and queueing times, and assigns backend servers to
// VMs.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/internal/defaults"
)

// Defaults of Config.
const (
	DefaultLatencyDecay = 5 * time.Second
	DefaultPenaltyDecay = 2 * time.Second
	DefaultSlowStart    = 10 * time.Second
	DefaultMaxHintAge   = 2 * time.Second
)

const (
	// minLatencyWeight is the EWMA weight of a new latency immediately after the
	// previous one.
	minLatencyWeight = 0.1
	// penaltyWeight is what one recent refusal or failure adds to the penalty
	// factor of a replica's score. Without the penalty, a replica that fails
	// immediately would attract work by its low latency.
	penaltyWeight = 4
	// maxPenalty limits the penalty, a decaying count of refusals and failures, so
	// that a replica that failed for a long time recovers as fast as one that
	// failed briefly.
	maxPenalty = 16
	// cancelRateWeight is the EWMA weight of one request in the cancel rate: the
	// fraction of recent requests that were cancelled because another replica
	// answered first. A rate above normalCancelRate multiplies the score by
	// 1 + cancelPenaltyWeight x (rate - normalCancelRate). Latency alone detects a
	// straggler poorly, since its requests are cancelled as soon as their hedges
	// are answered.
	cancelRateWeight    = 0.2
	normalCancelRate    = 0.25
	cancelPenaltyWeight = 16
	// minSlowStartShare is the share of work that a replica which has just
	// connected gets, relative to its full share.
	minSlowStartShare = 0.1
	// tieMargin is the relative difference of scores up to which they are tied.
	tieMargin = 0.1
	// nearPreference is the factor by which the score of a near replica may
	// exceed that of a far one before the far one is chosen. At equal latency, a
	// near replica with one request in flight is preferred to an idle far one; a
	// near replica with two is not.
	nearPreference = 2.5
	// hintMargin is the difference of reported loads (hints) above which the
	// lower one wins a tie of scores.
	hintMargin = 0.05
)

// LoadHints provides the loads that backend servers report; backend.Transport
// implements it.
type LoadHints interface {
	Load(backendID string) (load float64, age time.Duration, ok bool)
}

var _ LoadHints = backend.Transport(nil)

// Config configures a Picker. Zero fields take the defaults above.
type Config struct {
	// Random returns random bits. It must be safe for concurrent use.
	Random func() uint64
	// Hints may be nil.
	Hints LoadHints
	// LatencyDecay is the time in which an average latency or a cancel rate
	// without new observations decays to 1/e, so that a replica that was slow is
	// tried again.
	LatencyDecay time.Duration
	// PenaltyDecay is the time in which a penalty decays to 1/e.
	PenaltyDecay time.Duration
	// SlowStart is the time after connecting in which a replica's share of work
	// grows to the full one.
	SlowStart time.Duration
	// MaxHintAge is the age at which a reported load starts to be ignored.
	MaxHintAge time.Duration
}

// Picker chooses replicas based on the VM's own observations. All methods are
// safe for concurrent use.
type Picker struct {
	cfg    Config
	epoch  time.Time
	states atomic.Pointer[map[string]*state]
	mu     sync.Mutex // serializes writers of states
}

// state holds the VM's observations of one backend server.
type state struct {
	inFlight   atomic.Int64
	latency    decayingValue // EWMA in microseconds; 0 before the first observation
	penalty    decayingValue
	cancelRate decayingValue // fraction of recent requests that were cancelled late
	connected  atomic.Int64  // nanoseconds since the picker's epoch; 0 if unknown
	// lastProgress is when a request last ended, or when the first was sent while
	// none was in flight, in nanoseconds since the picker's epoch.
	lastProgress atomic.Int64
}

// NewPicker returns a Picker without observations.
func NewPicker(cfg Config) *Picker {
	if cfg.Random == nil {
		cfg.Random = rand.Uint64
	}
	defaults.Set(&cfg.LatencyDecay, DefaultLatencyDecay)
	defaults.Set(&cfg.PenaltyDecay, DefaultPenaltyDecay)
	defaults.Set(&cfg.SlowStart, DefaultSlowStart)
	defaults.Set(&cfg.MaxHintAge, DefaultMaxHintAge)
	p := &Picker{cfg: cfg, epoch: time.Now()}
	p.states.Store(&map[string]*state{})
	return p
}

func (p *Picker) now() time.Duration { return time.Since(p.epoch) }

func tickAt(now time.Duration) uint32 { return uint32(now / tickLength) }

// state returns the state of a backend server and creates it on first use. Only
// the first use of an id takes the lock.
func (p *Picker) state(id string) *state {
	if s, ok := (*p.states.Load())[id]; ok {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.states.Load()
	if s, ok := old[id]; ok {
		return s
	}
	next := make(map[string]*state, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	s := &state{}
	next[id] = s
	p.states.Store(&next)
	return s
}

// Update removes the state of backend servers that the snapshot does not declare
// and that have no request in flight.
func (p *Picker) Update(snapshot *config.Snapshot) {
	declared := map[string]bool{}
	for _, svc := range snapshot.All() {
		for i := range svc.Backends {
			declared[svc.Backends[i].ID] = true
		}
	}
	p.Retain(declared)
}

// Retain removes the state of all backend servers except those with the given
// ids and those with a request in flight.
func (p *Picker) Retain(ids map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := map[string]*state{}
	for id, s := range *p.states.Load() {
		if ids[id] || s.inFlight.Load() != 0 {
			next[id] = s
		}
	}
	p.states.Store(&next)
}

// Pick chooses one of the candidates that are not in tried: with ChoiceRandom a
// random one, otherwise the better of two random ones. It returns false if there
// is none.
func (p *Picker) Pick(choice config.ReplicaChoice, candidates []*config.Backend, tried []string) (*config.Backend, bool) {
	remaining := 0
	for _, b := range candidates {
		if !slices.Contains(tried, b.ID) {
			remaining++
		}
	}
	switch {
	case remaining == 0:
		return nil, false
	case remaining == 1:
		return untried(candidates, tried, 0), true
	}
	first := p.intN(remaining)
	a := untried(candidates, tried, first)
	if choice == config.ChoiceRandom {
		return a, true
	}
	second := p.intN(remaining - 1)
	if second >= first {
		second++
	}
	return p.better(a, untried(candidates, tried, second)), true
}

// PickNear is Pick with two groups of candidates. It chooses a near one unless a
// far one is much better, since a far one causes traffic between regions.
func (p *Picker) PickNear(choice config.ReplicaChoice, near, far []*config.Backend, tried []string) (*config.Backend, bool) {
	a, ok := p.Pick(choice, near, tried)
	if !ok {
		return p.Pick(choice, far, tried)
	}
	b, ok := p.Pick(choice, far, tried)
	if !ok {
		return a, true
	}
	scoreNear, scoreFar := p.scores(p.state(a.ID), p.state(b.ID), p.now())
	if scoreNear > nearPreference*scoreFar {
		return b, true
	}
	return a, true
}

func (p *Picker) intN(n int) int { return int(p.cfg.Random() % uint64(n)) }

// untried returns the candidate with the given index among those not tried.
func untried(candidates []*config.Backend, tried []string, index int) *config.Backend {
	for _, b := range candidates {
		if slices.Contains(tried, b.ID) {
			continue
		}
		if index == 0 {
			return b
		}
		index--
	}
	return nil
}

// better returns which of two backend servers should get the request.
func (p *Picker) better(a, b *config.Backend) *config.Backend {
	now := p.now()
	sa, sb := p.state(a.ID), p.state(b.ID)
	scoreA, scoreB := p.scores(sa, sb, now)
	tie := scoreA <= scoreB*(1+tieMargin) && scoreB <= scoreA*(1+tieMargin)
	if scoreA > scoreB*(1+tieMargin) || tie && p.hintPrefersSecond(a, b) {
		a, b, sa, sb = b, a, sb, sa
	}
	if p.skipForSlowStart(sa, sb, now) {
		return b
	}
	return a
}

// scores returns latency x loadFactor of two replicas; lower is better. The latency is
// the average one or stalledMicros, whichever is higher. A replica without an observed
// latency is assumed to be as fast as the other.
func (p *Picker) scores(a, b *state, now time.Duration) (scoreA, scoreB float64) {
	latencyA, latencyB := max(p.decayedLatency(a, now), a.stalledMicros(now)), max(p.decayedLatency(b, now), b.stalledMicros(now))
	if latencyA == 0 {
		latencyA = latencyB
	}
	if latencyB == 0 {
		latencyB = latencyA
	}
	if latencyA == 0 {
		latencyA, latencyB = 1, 1
	}
	return latencyA * p.loadFactor(a, now), latencyB * p.loadFactor(b, now)
}

// stalledMicros returns how long, in microseconds, requests have been in flight
// without any request ending, or 0 if none is in flight. Without this, a paused
// replica would attract work by its low latency until its first late reply.
func (s *state) stalledMicros(now time.Duration) float64 {
	if s.inFlight.Load() <= 0 {
		return 0
	}
	return float64(max(0, now-time.Duration(s.lastProgress.Load())) / time.Microsecond)
}

// decayedLatency returns the average latency in microseconds, decayed by its age,
// or 0 if none is known.
func (p *Picker) decayedLatency(s *state, now time.Duration) float64 {
	value, tick := s.latency.load()
	if value == 0 {
		return 0
	}
	// The lower bound keeps the latency of a replica that was idle for a long time
	// from decaying to 0, which means that no latency is known.
	return max(1, value*decayFactor(age(tickAt(now), tick), p.cfg.LatencyDecay))
}

// loadFactor returns the product of the factors of a score other than latency: those
// for requests in flight, penalty and cancel rate.
func (p *Picker) loadFactor(s *state, now time.Duration) float64 {
	penalty, tick := s.penalty.load()
	if penalty > 0 {
		penalty *= decayFactor(age(tickAt(now), tick), p.cfg.PenaltyDecay)
	}
	cancelRate, tick := s.cancelRate.load()
	if cancelRate > 0 {
		cancelRate *= decayFactor(age(tickAt(now), tick), p.cfg.LatencyDecay)
	}
	excess := max(0, cancelRate-normalCancelRate)
	return float64(max(0, s.inFlight.Load())+1) * (1 + penaltyWeight*penalty) * (1 + cancelPenaltyWeight*excess)
}

// skipForSlowStart reports whether the replica with the worse score (the loser) gets
// the request because the other one (the winner) connected more recently. The
// decision is random, so that the winner's share of work grows evenly.
func (p *Picker) skipForSlowStart(winner, loser *state, now time.Duration) bool {
	shareWinner, shareLoser := p.slowStartShare(winner, now), p.slowStartShare(loser, now)
	if shareWinner >= shareLoser {
		return false
	}
	const resolution = 1 << 20
	return float64(p.intN(resolution))/resolution >= shareWinner/shareLoser
}

// slowStartShare returns the fraction of its full share that a replica gets.
func (p *Picker) slowStartShare(s *state, now time.Duration) float64 {
	connected := s.connected.Load()
	if connected == 0 {
		return 1
	}
	return min(1, minSlowStartShare+(1-minSlowStartShare)*float64(int64(now)-connected)/float64(p.cfg.SlowStart))
}

// hintPrefersSecond reports whether b has the lower reported load by more than
// hintMargin. Reported loads only break ties between replicas with an observed
// latency: a replica without one that is avoided because of its hint would never be
// observed.
func (p *Picker) hintPrefersSecond(a, b *config.Backend) bool {
	if p.cfg.Hints == nil || !p.observed(a.ID) || !p.observed(b.ID) {
		return false
	}
	loadA, okA := p.hint(a.ID)
	loadB, okB := p.hint(b.ID)
	return okA && okB && loadA > loadB+hintMargin
}

func (p *Picker) observed(id string) bool {
	value, _ := p.state(id).latency.load()
	return value > 0
}

// hint returns the reported load of a backend server, reduced in proportion to
// its age, so that hints differ less the older they are.
func (p *Picker) hint(id string) (float64, bool) {
	load, age, ok := p.cfg.Hints.Load(id)
	if !ok || age >= p.cfg.MaxHintAge {
		return 0, false
	}
	return load * (1 - float64(age)/float64(p.cfg.MaxHintAge)), true
}

// Connected records that a stream to a backend server was opened, which begins
// its slow start. It can be used as backend.PoolConfig.OnConnect.
func (p *Picker) Connected(backendID string) {
	p.state(backendID).connected.Store(max(1, int64(p.now())))
}

// Started records that a sub-request was sent.
func (p *Picker) Started(backendID string) {
	s := p.state(backendID)
	if s.inFlight.Add(1) == 1 {
		s.lastProgress.Store(int64(p.now()))
	}
}

// Finished records how a sub-request ended, and how long after Started. It must
// be called once for each Started.
func (p *Picker) Finished(backendID string, latency time.Duration, status backend.Status) {
	s, ok := (*p.states.Load())[backendID]
	if !ok {
		return
	}
	s.inFlight.Add(-1)
	s.lastProgress.Store(int64(p.now()))
	now := tickAt(p.now())
	p.updateCancelRate(s, now, latency, status)
	switch status {
	case backend.OK:
		p.updateLatency(s, now, latency, false)
	case backend.Cancelled, backend.Expired, backend.Failed, backend.StreamBroken:
		// The request got no answer, so its latency is only a lower bound of the
		// time that an answer takes.
		p.updateLatency(s, now, latency, true)
	}
	switch status {
	case backend.Shed, backend.Draining, backend.VersionMissing, backend.Unsent, backend.Failed, backend.StreamBroken:
		s.penalty.update(now, func(old float64, age time.Duration) float64 {
			return min(maxPenalty, old*decayFactor(age, p.cfg.PenaltyDecay)+1)
		})
	}
}

// updateCancelRate updates the fraction of requests that were cancelled late. A
// request cancelled in less than half of the average latency is not counted: it was
// itself a hedge, cancelled because the original attempt was answered, which says
// nothing about this replica.
func (p *Picker) updateCancelRate(s *state, now uint32, latency time.Duration, status backend.Status) {
	sample := 0.0
	switch status {
	case backend.Cancelled:
		if average, _ := s.latency.load(); float64(latency.Microseconds()) < average/2 {
			return
		}
		sample = 1
	case backend.OK:
		if rate, _ := s.cancelRate.load(); rate == 0 {
			return
		}
	default:
		return
	}
	s.cancelRate.update(now, func(old float64, age time.Duration) float64 {
		old *= decayFactor(age, p.cfg.LatencyDecay)
		return old + cancelRateWeight*(sample-old)
	})
}

// updateLatency adds a latency to the EWMA. Its weight grows with the time since the
// previous update. If only a lower bound of the latency is known, it is added only if
// it is above the average.
func (p *Picker) updateLatency(s *state, now uint32, latency time.Duration, lowerBound bool) {
	micros := max(1, float64(latency)/float64(time.Microsecond))
	if average, tick := s.latency.load(); lowerBound && micros <= average*decayFactor(age(now, tick), p.cfg.LatencyDecay) {
		return
	}
	s.latency.update(now, func(old float64, age time.Duration) float64 {
		if old == 0 {
			return micros
		}
		weight := 1 - (1-minLatencyWeight)*decayFactor(age, p.cfg.LatencyDecay)
		return old + weight*(micros-old)
	})
}
