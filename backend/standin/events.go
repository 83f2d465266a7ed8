package standin

import "time"

// event is an action of the server that is scheduled for a time.
type event struct {
	at     int64  // nanoseconds since the server's epoch
	order  uint64 // orders events of the same time by when they were scheduled
	kind   eventKind
	job    *job
	stream *stream
	reply  reply
}

type eventKind uint8

const (
	eventArrive eventKind = iota
	eventCancel
	eventFinish
	eventReply
)

func (e *event) before(o *event) bool {
	return e.at < o.at || e.at == o.at && e.order < o.order
}

// eventHeap is a binary min-heap ordered by time. It holds values, so that an
// event needs no allocation.
type eventHeap []event

func (h *eventHeap) push(e event) {
	*h = append(*h, e)
	a := *h
	i := len(a) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if a[parent].before(&a[i]) {
			break
		}
		a[parent], a[i] = a[i], a[parent]
		i = parent
	}
}

func (h *eventHeap) pop() event {
	a := *h
	top := a[0]
	last := len(a) - 1
	a[0], a[last] = a[last], event{}
	a = a[:last]
	*h = a
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(a) {
			break
		}
		if child+1 < len(a) && a[child+1].before(&a[child]) {
			child++
		}
		if a[i].before(&a[child]) {
			break
		}
		a[i], a[child] = a[child], a[i]
		i = child
	}
	return top
}

// schedule adds an event. The caller holds the server's lock.
func (s *Server) schedule(e event) {
	s.scheduled++
	e.order = s.scheduled
	s.events.push(e)
	if e.at < s.nextEvent {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// loop runs due events. One goroutine and one timer serve all sub-requests.
func (s *Server) loop() {
	const idle = time.Hour
	timer := time.NewTimer(idle)
	defer timer.Stop()
	for {
		s.mu.Lock()
		now := s.now()
		for len(s.events) > 0 && s.events[0].at <= now {
			s.handle(s.events.pop(), now)
		}
		s.nextEvent = now + int64(idle)
		if len(s.events) > 0 {
			s.nextEvent = s.events[0].at
		}
		wait := time.Duration(s.nextEvent - now)
		s.mu.Unlock()
		timer.Reset(wait)
		select {
		case <-s.stop:
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

func (s *Server) handle(e event, now int64) {
	switch e.kind {
	case eventArrive:
		s.admit(e.job, now)
	case eventCancel:
		s.cancel(e.job, now)
	case eventFinish:
		s.finish(e.job, now)
	case eventReply:
		e.stream.push(e.reply)
	}
}
