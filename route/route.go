// Package route holds the routing table: which services answer a request, and
// within which limits. A Table is immutable; a new version replaces all of it.
package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Target is a service that receives a share of the requests of a route.
type Target struct {
	Service string
	// Weight is the share relative to the other targets of the route.
	Weight float64
}

// Route describes how requests under one path prefix of a host are answered.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Goal is the time within which an answer has its full value; 0 if none is set.
	Goal time.Duration
	// Priority ranks routes; 0 is the most important.
	Priority int
	// MaxAttempts is how many backend servers a request, or each sub-request
	// of a query over shards, may run on.
	MaxAttempts int
	// Targets share the requests of a route without shards.
	Targets []Target
	// Shards are the services that each hold one shard. The route is a query
	// over all of them if there are any.
	Shards []string
	// Limit is how many records the answer of a query over shards has at most.
	Limit int
	// MinCoverage is the minimum fraction of the shards, from 0 to 1, that must be
	// in the answer.
	MinCoverage float64
}

// Scattered reports whether requests of the route are queries over shards.
func (r *Route) Scattered() bool { return len(r.Shards) > 0 }

// MinShards returns the minimum number of shards that must be in the answer.
func (r *Route) MinShards() int {
	n := int(r.MinCoverage * float64(len(r.Shards)))
	if float64(n) < r.MinCoverage*float64(len(r.Shards))-1e-9 {
		n++
	}
	return min(max(n, 1), len(r.Shards))
}

// Target chooses the service of one request by weight. draw is in [0, 1).
func (r *Route) Target(draw float64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	remaining := draw * total
	for _, t := range r.Targets {
		if remaining -= max(0, t.Weight); remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// RandomTarget chooses the service of one request by weight.
func (r *Route) RandomTarget() string { return r.Target(rand.Float64()) }

// Service is the configuration of a service.
type Service struct {
	Name string
	// MaxConnections is how many connections each of its backend servers
	// accepts from all VMs together.
	MaxConnections int
}

// Limits bound what callers may send and how long they may take; 0 means not set.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routing configuration.
type Table struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]*Route // by host in lower case, longest prefix first
}

// NewTable returns a table of the routes.
func NewTable(version int64, routes []*Route, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Services: make(map[string]Service, len(services)), Limits: limits, hosts: map[string][]*Route{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route with the longest prefix of the path. host may carry
// a port, and path is the path as sent, without the query.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// InUse returns the set of services that the routes name.
func (t *Table) InUse() map[string]bool {
	used := map[string]bool{}
	for _, routes := range t.hosts {
		for _, r := range routes {
			for _, s := range r.Shards {
				used[s] = true
			}
			for _, target := range r.Targets {
				used[target.Service] = true
			}
		}
	}
	return used
}
