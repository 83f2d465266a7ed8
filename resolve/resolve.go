// Package resolve chooses the addresses that a caller is told to use.
package resolve

import (
	"time"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/membership"
)

// Defaults of Config.
const (
	DefaultTTL = 30 * time.Second
	DefaultMax = 6
)

// Config holds the settings of address selection. Zero values take the
// defaults.
type Config struct {
	// TTL is how long a caller may cache an answer.
	TTL time.Duration
	// Max is the maximum number of addresses in an answer.
	Max int
}

func (c *Config) setDefaults() {
	if c.TTL <= 0 {
		c.TTL = DefaultTTL
	}
	if c.Max <= 0 {
		c.Max = DefaultMax
	}
}

// Select returns the addresses for a caller: those in its zone first, and at
// least one in another zone if there is one. The order within each group is
// the rendezvous hash of the caller's id, so callers spread evenly, and only the
// callers of a VM that leaves move to others.
func Select(view *membership.View, req *briarstandv1.ResolveRequest, cfg Config) *briarstandv1.ResolveResponse {
	cfg.setDefaults()
	sameZone, others := usable(view, req)
	chosen := append(sameZone[:min(len(sameZone), sameZoneLimit(cfg.Max, len(others)))], others...)
	chosen = chosen[:min(len(chosen), cfg.Max)]
	resp := &briarstandv1.ResolveResponse{TtlMs: cfg.TTL.Milliseconds()}
	for _, m := range chosen {
		resp.Endpoints = append(resp.Endpoints, &briarstandv1.Endpoint{
			VmId: m.ID, Address: m.CallerAddress, Zone: m.Zone,
		})
	}
	return resp
}

// sameZoneLimit returns how many VMs of the caller's zone an answer may hold: one
// fewer than the maximum if another zone has a VM.
func sameZoneLimit(limit, others int) int {
	if others > 0 && limit > 1 {
		return limit - 1
	}
	return limit
}

// usable returns the VMs whose addresses callers may get, ordered by the rendezvous
// hash of the caller's id: those in its zone, and the others.
func usable(view *membership.View, req *briarstandv1.ResolveRequest) (sameZone, others []membership.Member) {
	var candidates []membership.Member
	for _, m := range view.Members {
		if m.State == membership.Alive && m.Fresh && m.CallerAddress != "" {
			candidates = append(candidates, m)
		}
	}
	for _, m := range membership.Rendezvous(req.GetCallerId(), candidates) {
		if m.Zone == req.GetZone() && m.Zone != "" {
			sameZone = append(sameZone, m)
		} else {
			others = append(others, m)
		}
	}
	return sameZone, others
}

// Nearest returns the caller addresses of the VMs that are nearest to a caller:
// those in its zone, else in its region, else all. A caller spreads its
// connections evenly over them.
func Nearest(members []membership.Member, zone, region string, limit int) []string {
	var inZone, inRegion, all []string
	for _, m := range members {
		if m.State != membership.Alive || m.CallerAddress == "" {
			continue
		}
		all = append(all, m.CallerAddress)
		if m.Region == region {
			inRegion = append(inRegion, m.CallerAddress)
		}
		if m.Zone == zone {
			inZone = append(inZone, m.CallerAddress)
		}
	}
	for _, near := range [][]string{inZone, inRegion} {
		if len(near) >= minNearby {
			return near[:min(len(near), limit)]
		}
	}
	return all[:min(len(all), limit)]
}

// minNearby is the least number of nearby VMs for which VMs farther away are left
// out: one of the nearby VMs may have failed without being detected yet.
const minNearby = 2
