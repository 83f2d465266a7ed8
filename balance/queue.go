package balance

import (
	"sync"
	"time"
)

// Queues estimates the latency of a new request at a backend server from the load
// that the server reports with its replies. Unlike a VM's own observations, the
// reported queue includes the requests of all VMs, so it shows when a server is
// overloaded. All methods are safe for concurrent use.
type Queues struct {
	now     func() time.Time
	servers sync.Map // backend id to *serverQueue
}

// serverQueue is the load that a backend server last reported.
type serverQueue struct {
	mu         sync.Mutex
	slots      int
	waiting    int
	reportedAt time.Time
	// serviceTime is the EWMA of the time of a request without the wait for a
	// slot.
	serviceTime time.Duration
}

// serviceTimeWeight is the EWMA weight of the newest request in the service time.
const serviceTimeWeight = 0.2

// NewQueues returns Queues without observations.
func NewQueues() *Queues { return &Queues{now: time.Now} }

// Observe records the load reported with a reply and the latency of the request. The
// latency is 0 if the server did not run the request.
func (q *Queues) Observe(backendID string, waiting, slots int, latency time.Duration) {
	if slots <= 0 || waiting < 0 {
		return
	}
	v, ok := q.servers.Load(backendID)
	if !ok {
		v, _ = q.servers.LoadOrStore(backendID, &serverQueue{})
	}
	s := v.(*serverQueue)
	s.mu.Lock()
	defer s.mu.Unlock()
	if latency > 0 {
		// Assumes that the request waited behind about as many requests as are queued
		// now.
		serviceTime := latency * time.Duration(slots) / time.Duration(slots+waiting)
		if s.serviceTime == 0 {
			s.serviceTime = serviceTime
		}
		s.serviceTime += time.Duration(serviceTimeWeight * float64(serviceTime-s.serviceTime))
	}
	s.slots, s.waiting, s.reportedAt = slots, waiting, q.now()
}

// ExpectedLatency returns the estimated latency of a request sent now, or 0 if
// nothing is known. queued reports whether the request would wait for a slot. A
// reported queue counts in full for as long as it takes to drain, because other VMs
// go on sending. After that it counts as empty, so that the server is tried again.
func (q *Queues) ExpectedLatency(backendID string) (total time.Duration, queued bool) {
	v, ok := q.servers.Load(backendID)
	if !ok {
		return 0, false
	}
	s := v.(*serverQueue)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots == 0 {
		return 0, false // added by a concurrent Observe
	}
	backlog := time.Duration(s.waiting) * s.serviceTime / time.Duration(s.slots)
	if q.now().Sub(s.reportedAt) >= backlog {
		return s.serviceTime, false
	}
	return s.serviceTime + backlog, true
}

// Retain removes all backend servers except those with the given ids.
func (q *Queues) Retain(ids map[string]bool) {
	q.servers.Range(func(id, _ any) bool {
		if !ids[id.(string)] {
			q.servers.Delete(id)
		}
		return true
	})
}
