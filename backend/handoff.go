package backend

import "sync"

// handoff delivers replies that Send and Cancel produce themselves, since they
// must not call Deliver. Its goroutine runs only while replies are pending, so
// that a Send after Close also gets its reply without leaking a goroutine.
type handoff struct {
	deliver func(*call, Reply)

	mu      sync.Mutex
	idle    *sync.Cond
	running bool
	pending []ended
}

func (h *handoff) add(c *call, r Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, ended{c, r})
	if !h.running {
		h.running = true
		go h.run()
	}
}

func (h *handoff) run() {
	var batch []ended
	for {
		h.mu.Lock()
		if len(h.pending) == 0 {
			h.running = false
			if h.idle != nil {
				h.idle.Broadcast()
			}
			h.mu.Unlock()
			return
		}
		batch, h.pending = h.pending, batch[:0]
		h.mu.Unlock()
		for i := range batch {
			h.deliver(batch[i].call, batch[i].reply)
			batch[i] = endedZero
		}
	}
}

// wait returns when all replies have been delivered.
func (h *handoff) wait() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.idle == nil {
		h.idle = sync.NewCond(&h.mu)
	}
	for h.running {
		h.idle.Wait()
	}
}
