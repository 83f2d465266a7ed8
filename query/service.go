package query

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/limit"
)

// service is the state that a VM keeps for one service across revisions of its
// configuration.
type service struct {
	name      string
	admission *limit.Admission
	budget    *limit.Budget
	missing   *missingTable
	plan      atomic.Pointer[plan]
	mu        sync.Mutex // serializes changes of plan
	metrics   serviceMetrics
}

// serviceMetrics holds the metrics of one service.
type serviceMetrics struct {
	set      *metrics.Set
	names    []string // of all metrics, for their removal
	outcomes [briarstandv1.Outcome_OUTCOME_DEADLINE_EXCEEDED + 1]*metrics.Counter
	duration *metrics.Histogram
	primary  *metrics.Counter
	hedges   *metrics.Counter
	retries  *metrics.Counter
	restarts *metrics.Counter
	denied   *metrics.Counter
}

func newService(svc *config.Service, set *metrics.Set, missingVersionTTL time.Duration) *service {
	s := &service{
		name:      svc.Name,
		admission: limit.NewAdmission(limitsOf(svc)),
		budget:    limit.NewBudget(svc.Policy.ExtraLoadPermille),
		missing:   newMissingTable(missingVersionTTL),
		metrics:   newServiceMetrics(svc.Name, set),
	}
	s.plan.Store(newPlan(svc))
	s.metrics.gauge("briarstand_admission_running", svc.Name, s.admission.Running)
	s.metrics.gauge("briarstand_admission_queued", svc.Name, s.admission.Queued)
	s.metrics.gauge("briarstand_admission_limit", svc.Name, s.admission.Limit)
	return s
}

// idle reports whether no query of the service is running or queued.
func (s *service) idle() bool { return s.admission.Running() == 0 && s.admission.Queued() == 0 }

func newServiceMetrics(service string, set *metrics.Set) serviceMetrics {
	m := serviceMetrics{set: set}
	for i := range m.outcomes {
		outcome := outcomeName(briarstandv1.Outcome(i))
		m.outcomes[i] = m.counter(fmt.Sprintf("briarstand_queries_total{service=%q,outcome=%q}", service, outcome))
	}
	subRequests := func(kind string) *metrics.Counter {
		return m.counter(fmt.Sprintf("briarstand_sub_requests_total{service=%q,kind=%q}", service, kind))
	}
	m.primary, m.hedges = subRequests("primary"), subRequests("hedge")
	m.retries, m.restarts = subRequests("retry"), subRequests("restart")
	m.denied = m.counter(fmt.Sprintf("briarstand_extra_denied_total{service=%q}", service))
	duration := fmt.Sprintf("briarstand_query_duration_seconds{service=%q}", service)
	m.names = append(m.names, duration)
	m.duration = set.GetOrCreateHistogram(duration)
	return m
}

func (m *serviceMetrics) counter(name string) *metrics.Counter {
	m.names = append(m.names, name)
	return m.set.GetOrCreateCounter(name)
}

func (m *serviceMetrics) gauge(name, service string, value func() int) {
	name = fmt.Sprintf("%s{service=%q}", name, service)
	m.names = append(m.names, name)
	m.set.GetOrCreateGauge(name, func() float64 { return float64(value()) })
}

// unregister removes the metrics from their set. Otherwise the gauges of a later
// service of the same name would report the values of the removed one.
func (m *serviceMetrics) unregister() {
	for _, name := range m.names {
		m.set.UnregisterMetric(name)
	}
}

func limitsOf(svc *config.Service) limit.Limits {
	return limit.Limits{MaxConcurrent: svc.Policy.MaxConcurrent, MaxQueued: svc.Policy.MaxQueued}
}

// currentPlan returns the plan of the given revision of the service, or of a newer
// one that another query has already seen. The first query that sees a new revision
// updates the plan and the limits.
func (s *service) currentPlan(svc *config.Service) *plan {
	p := s.plan.Load()
	if p.service.Revision >= svc.Revision {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p = s.plan.Load(); p.service.Revision >= svc.Revision {
		return p
	}
	old := p
	p = newPlan(svc)
	s.missing.updatePlan(old, p)
	s.plan.Store(p)
	s.admission.SetLimits(limitsOf(svc))
	s.budget.SetRate(svc.Policy.ExtraLoadPermille)
	return p
}

// exclusions decides which backend servers and index versions a query must not use
// when it is bound.
type exclusions struct {
	draining []string      // announced by the backend servers themselves
	missing  *missingTable // nil if it was empty
}

func (s *service) exclusions(p *plan, t backend.Transport) *exclusions {
	ex := &exclusions{}
	if !s.missing.empty() {
		ex.missing = s.missing
	}
	for _, id := range p.backends {
		if t.Draining(id) {
			ex.draining = append(ex.draining, id)
		}
	}
	return ex
}

func (ex *exclusions) excluding() bool { return ex.missing != nil || len(ex.draining) > 0 }

func (ex *exclusions) excludes(version string, shard int, backendID string) bool {
	for _, id := range ex.draining {
		if id == backendID {
			return true
		}
	}
	return ex.missing != nil && ex.missing.has(missingKey{version, shard, backendID})
}

// acquireVersion is missingTable.acquireVersion. Without a table every version may
// be used.
func (ex *exclusions) acquireVersion(version string, restartable bool) (ok, probing bool) {
	if ex.missing == nil {
		return true, false
	}
	return ex.missing.acquireVersion(version, restartable)
}
