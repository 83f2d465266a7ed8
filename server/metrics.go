package server

import (
	"fmt"

	"github.com/briarstand/briarstand/membership"
)

// registerMetrics registers the gauges of the daemon as a whole. Each component
// registers its own.
func (s *Server) registerMetrics() {
	set := s.cfg.Metrics
	set.NewGauge("briarstand_ready", func() float64 { return boolToFloat(s.Ready() == nil) })
	set.NewGauge("briarstand_fresh", func() float64 { return boolToFloat(s.rollout.Admit() == nil) })
	set.NewGauge("briarstand_queries_in_flight", func() float64 { return float64(s.engine.InFlight()) })
	set.NewGauge("briarstand_config_index", func() float64 { return float64(s.registry.Snapshot().Index) })
	for _, p := range []Phase{PhaseStarting, PhaseReady, PhaseLeaving, PhaseRefusing} {
		set.NewGauge(fmt.Sprintf("briarstand_phase{phase=%q}", p), func() float64 { return boolToFloat(s.Phase() == p) })
	}
	for _, state := range []membership.State{
		membership.Joining, membership.Alive, membership.Suspect, membership.Leaving, membership.Dead,
	} {
		set.NewGauge(fmt.Sprintf("briarstand_members{state=%q}", state), func() float64 { return s.countMembers(state) })
	}
}

func (s *Server) countMembers(state membership.State) float64 {
	n := 0
	for _, m := range knownMembers(s.membership) {
		if m.State == state {
			n++
		}
	}
	return float64(n)
}

// AliveMembers returns the number of alive VMs in this VM's member table, itself
// included.
func (s *Server) AliveMembers() int { return int(s.countMembers(membership.Alive)) }

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
