package query

import (
	"cmp"
	"slices"

	"github.com/briarstand/briarstand/config"
)

// plan is the immutable view of a service that queries are bound to, computed
// once for each revision.
type plan struct {
	service  *config.Service
	versions []*versionPlan // newest first
	backends []string       // ids of all candidates, each once
}

// versionPlan lists the candidate backend servers of each shard of one index
// version. Backend servers that the configuration marks as draining are not
// candidates.
type versionPlan struct {
	name   string
	shards [][]*config.Backend
	// available counts the shards with at least one candidate.
	available int
}

func newPlan(svc *config.Service) *plan {
	p := &plan{service: svc}
	usable := make(map[string]*config.Backend, len(svc.Backends))
	for i := range svc.Backends {
		if b := &svc.Backends[i]; !b.Draining {
			usable[b.ID] = b
			p.backends = append(p.backends, b.ID)
		}
	}
	for i := range svc.Versions {
		p.versions = append(p.versions, newVersionPlan(&svc.Versions[i], usable))
	}
	sequence := func(name string) int64 {
		v, _ := svc.Version(name)
		return v.Sequence
	}
	slices.SortStableFunc(p.versions, func(a, b *versionPlan) int {
		return cmp.Compare(sequence(b.name), sequence(a.name))
	})
	return p
}

func newVersionPlan(v *config.IndexVersion, usable map[string]*config.Backend) *versionPlan {
	vp := &versionPlan{name: v.Name, shards: make([][]*config.Backend, len(v.Shards))}
	for shard, ids := range v.Shards {
		for _, id := range ids {
			if b, ok := usable[id]; ok && !slices.Contains(vp.shards[shard], b) {
				vp.shards[shard] = append(vp.shards[shard], b)
			}
		}
		if len(vp.shards[shard]) > 0 {
			vp.available++
		}
	}
	return vp
}

// hasShards reports whether every shard of a subset exists in the version. An
// empty subset means all shards.
func (v *versionPlan) hasShards(subset []int32) bool {
	for _, shard := range subset {
		if int(shard) >= len(v.shards) {
			return false
		}
	}
	return true
}

// binding is the choice of an index version for one query, with the
// candidates of each of the query's shards.
type binding struct {
	version    *versionPlan
	candidates [][]*config.Backend // by position in the query's shards
	available  int                 // shards of the query with at least one candidate
	// probing is set if the version is on probation (see missingTable) and this is
	// the one query that may use it now.
	probing bool
}

func (p *plan) has(version string) bool {
	return slices.ContainsFunc(p.versions, func(v *versionPlan) bool { return v.name == version })
}

// bind chooses an index version, in this order:
//   - the newest version with full coverage that acquireVersion allows,
//   - the newest version with full coverage, although acquireVersion refuses it,
//   - with preference coverage, the version with the largest fraction of shards
//     available; with preference latency, the newest one with any shard available.
//
// It returns nil if no version contains the requested shards.
func (p *plan) bind(subset []int32, ex *exclusions, restartable bool) *binding {
	var best, fallback *binding
	for _, v := range p.versions {
		if len(v.shards) == 0 || !v.hasShards(subset) {
			continue
		}
		b := v.candidatesFor(subset, ex)
		if b.available == len(b.candidates) {
			var ok bool
			if ok, b.probing = ex.acquireVersion(v.name, restartable); ok {
				return b
			}
			if fallback == nil {
				fallback = b
			}
			continue
		}
		if best == nil || p.prefers(b, best) {
			best = b
		}
	}
	if fallback != nil {
		return fallback
	}
	return best
}

// prefers reports whether an older version replaces the best one so far. A version
// without any shard available is replaced under either preference.
func (p *plan) prefers(older, best *binding) bool {
	coverage := p.service.Policy.Preference == config.PreferCoverage
	return older.availableFraction() > best.availableFraction() && (coverage || best.available == 0)
}

// availableFraction returns the fraction of the query's shards that have a
// candidate.
func (b *binding) availableFraction() float64 {
	return float64(b.available) / float64(len(b.candidates))
}

func (v *versionPlan) candidatesFor(subset []int32, ex *exclusions) *binding {
	if len(subset) == 0 && !ex.excluding() {
		return &binding{version: v, candidates: v.shards, available: v.available}
	}
	n := len(subset)
	if n == 0 {
		n = len(v.shards)
	}
	b := &binding{version: v, candidates: make([][]*config.Backend, n)}
	for pos := range n {
		shard := pos
		if len(subset) > 0 {
			shard = int(subset[pos])
		}
		b.candidates[pos] = v.usable(shard, ex)
		if len(b.candidates[pos]) > 0 {
			b.available++
		}
	}
	return b
}

func (v *versionPlan) usable(shard int, ex *exclusions) []*config.Backend {
	all := v.shards[shard]
	if !ex.excluding() {
		return all
	}
	excluded := func(b *config.Backend) bool { return ex.excludes(v.name, shard, b.ID) }
	if !slices.ContainsFunc(all, excluded) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), excluded)
}
