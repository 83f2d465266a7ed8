package balance

import (
	"sync"
	"time"
)

// Queues estimates how long a new request takes at a backend server, from the
// load that the server reports with its replies. It answers servers that get more
// work than they can do: all VMs together fill their queues, of which each sees
// only its own part. All methods are safe for concurrent use.
type Queues struct {
	now     func() time.Time
	servers sync.Map // backend id to *queue
}

// queue is what a backend server last reported.
type serverQueue struct {
	mu         sync.Mutex
	slots      int
	waiting    int
	reportedAt time.Time
	// work is the average time of a request without the wait for a slot.
	serviceTime time.Duration
}

// serviceTimeWeight is the weight of the newest request in the average of work.
const serviceTimeWeight = 0.2

// NewQueues returns Queues without observations.
func NewQueues() *Queues { return &Queues{now: time.Now} }

// Observe takes over the load that came with a reply after a latency; 0 for the
// reply of a server that did not run the request.
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
		// The request waited behind about as many as wait now.
		serviceTime := latency * time.Duration(slots) / time.Duration(slots+waiting)
		if s.serviceTime == 0 {
			s.serviceTime = serviceTime
		}
		s.serviceTime += time.Duration(serviceTimeWeight * float64(serviceTime-s.serviceTime))
	}
	s.slots, s.waiting, s.reportedAt = slots, waiting, q.now()
}

// Expected returns how long a request would take that is sent now, and whether
// it would wait for a slot. It is 0 if nothing is known. A reported queue counts in
// full until it would be worked off, as other VMs go on sending; then the server
// is tried again.
func (q *Queues) Expected(backendID string) (total time.Duration, queued bool) {
	v, ok := q.servers.Load(backendID)
	if !ok {
		return 0, false
	}
	s := v.(*serverQueue)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots == 0 {
		return 0, false // just added
	}
	backlog := time.Duration(s.waiting) * s.serviceTime / time.Duration(s.slots)
	if q.now().Sub(s.reportedAt) >= backlog {
		return s.serviceTime, false
	}
	return s.serviceTime + backlog, true
}

// Keep forgets all backend servers but those with the ids.
func (q *Queues) Keep(ids map[string]bool) {
	q.servers.Range(func(id, _ any) bool {
		if !ids[id.(string)] {
			q.servers.Delete(id)
		}
		return true
	})
}
