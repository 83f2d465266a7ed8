package backend

import "sync"

// deliveryQueue delivers replies that Send and Cancel produce themselves, since
// these must not call Sink.Deliver. Its goroutine runs only while replies are
// pending, so that a Send after Close also gets its reply without leaking a goroutine.
type deliveryQueue struct {
	deliver func(*call, Reply)

	mu      sync.Mutex
	idle    *sync.Cond
	running bool
	pending []completion
}

func (q *deliveryQueue) add(c *call, r Reply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, completion{c, r})
	if !q.running {
		q.running = true
		go q.run()
	}
}

func (q *deliveryQueue) run() {
	var batch []completion
	for {
		q.mu.Lock()
		if len(q.pending) == 0 {
			q.running = false
			if q.idle != nil {
				q.idle.Broadcast()
			}
			q.mu.Unlock()
			return
		}
		batch, q.pending = q.pending, batch[:0]
		q.mu.Unlock()
		for i := range batch {
			q.deliver(batch[i].call, batch[i].reply)
			batch[i] = zeroCompletion
		}
	}
}

// wait returns when all replies have been delivered.
func (q *deliveryQueue) wait() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.idle == nil {
		q.idle = sync.NewCond(&q.mu)
	}
	for q.running {
		q.idle.Wait()
	}
}
