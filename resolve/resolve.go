// Package resolve chooses the addresses of VMs that callers get. Select serves
// the daemon of package server, and Nearest and Serving the daemon of package
// entry.
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
// least one in another zone if there is one and Max is above 1. Within each
// group the addresses are in the order of the rendezvous hash of the caller's
// id. So callers spread evenly over the VMs, and when a VM leaves, only its
// callers move to others.
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

// usable returns the VMs whose addresses callers may get, split into those in
// the caller's zone and the others, each ordered by the rendezvous hash of the
// caller's id. A VM that is not fresh (see membership.ConfigState) gets no
// callers.
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

// Nearest returns at most limit addresses of the VMs nearest to a caller: those
// in its zone if there are at least minNearby of them, else those in its region
// if there are at least minNearby of them, else all. A caller spreads its
// connections evenly over the addresses.
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

// minNearby is the minimum number of VMs in an answer that lists only one zone
// or region, since one of them may have failed without being detected yet.
const minNearby = 2
