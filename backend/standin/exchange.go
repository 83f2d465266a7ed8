package standin

import (
	"context"
	"errors"
	"io"
	"time"

	"connectrpc.com/connect"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// maxReplies is the maximum number of replies in one message.
const maxReplies = 64

// inventedIDOffset is added to the ids of invented replies, so that they match
// no sub-request.
const inventedIDOffset = 1 << 40

// reply is the outcome of a job that is still to be written to the stream.
type reply struct {
	job                                               *job
	status                                            briarstandv1.SubStatus
	wrongVersion, wrongShard, invalidStatus, invented bool
}

// message encodes the reply. It needs no lock.
func (r reply) message(cache map[shardKey]*documents) *briarstandv1.SubResponse {
	req := r.job.request
	m := &briarstandv1.SubResponse{
		Id: req.GetId(), Status: r.status, IndexVersion: req.GetIndexVersion(), Shard: req.GetShard(),
	}
	if r.wrongVersion {
		m.IndexVersion += "-other"
	}
	if r.wrongShard {
		m.Shard++
	}
	if r.status == briarstandv1.SubStatus_SUB_STATUS_OK {
		key := shardKey{req.GetService(), m.IndexVersion, m.Shard}
		if cache[key] == nil {
			cache[key] = newDocuments(key)
		}
		m.Hits = cache[key].search(req.GetBody(), int(req.GetLimit()))
	} else {
		m.Error = r.status.String()
	}
	if r.invalidStatus {
		m.Status = briarstandv1.SubStatus_SUB_STATUS_UNSPECIFIED
	}
	if r.invented {
		m.Id += inventedIDOffset
	}
	return m
}

// stream is one Exchange call.
type stream struct {
	exchange      *connect.BidiStream[briarstandv1.ExchangeRequest, briarstandv1.ExchangeResponse]
	cancel        context.CancelFunc
	wake          chan struct{}
	documentCache map[shardKey]*documents // used by the writer only

	// Guarded by the server's lock.
	jobs   map[uint64]*job
	unsent []reply
	closed bool
}

func (st *stream) wakeWriter() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

func (st *stream) push(r reply) {
	if st.closed {
		return
	}
	st.unsent = append(st.unsent, r)
	st.wakeWriter()
}

// Exchange serves one stream.
func (s *Server) Exchange(
	ctx context.Context, x *connect.BidiStream[briarstandv1.ExchangeRequest, briarstandv1.ExchangeResponse],
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st := &stream{exchange: x, cancel: cancel, wake: make(chan struct{}, 1), jobs: map[uint64]*job{}, documentCache: map[shardKey]*documents{}}
	if !s.openStream(st) {
		return connect.NewError(connect.CodeUnavailable, errors.New("server is closed"))
	}
	defer s.wg.Done()
	written := make(chan struct{})
	go func() {
		defer close(written)
		s.writeReplies(ctx, st)
	}()
	err := s.readRequests(st)
	s.closeStream(st)
	cancel()
	<-written
	return err
}

func (s *Server) openStream(st *stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	s.streams[st] = struct{}{}
	if s.draining {
		st.wakeWriter()
	}
	return true
}

// closeStream cancels the sub-requests of a stream that ended.
func (s *Server) closeStream(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.closed = true
	delete(s.streams, st)
	now := s.now()
	for _, j := range st.jobs {
		s.cancel(j, now)
	}
}

func (s *Server) readRequests(st *stream) error {
	for {
		m, err := st.exchange.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		s.receive(st, m)
	}
}

// receive admits the sub-requests of a message and applies its cancellations,
// after the network latency.
func (s *Server) receive(st *stream, m *briarstandv1.ExchangeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	at := now + int64(s.settings.NetworkLatency)
	for _, r := range m.GetRequests() {
		j := &job{stream: st, request: r, deadline: now + r.GetTimeoutUs()*int64(time.Microsecond)}
		st.jobs[r.GetId()] = j
		if at > now {
			s.schedule(event{at: at, kind: eventArrive, job: j})
		} else {
			s.admit(j, now)
		}
	}
	for _, id := range m.GetCancelIds() {
		if j, ok := st.jobs[id]; ok && at > now {
			s.schedule(event{at: at, kind: eventCancel, job: j})
		} else if ok {
			s.cancel(j, now)
		}
	}
}

// writeReplies sends replies, and the announcement of a drain, until the stream
// ends.
func (s *Server) writeReplies(ctx context.Context, st *stream) {
	var replies []reply
	for {
		select {
		case <-ctx.Done():
			return
		case <-st.wake:
		}
		clear(replies)
		s.mu.Lock()
		replies, st.unsent = st.unsent, replies[:0]
		m := &briarstandv1.ExchangeResponse{Draining: s.draining, Load: s.load()}
		s.mu.Unlock()
		if err := st.sendAll(m, replies); err != nil {
			st.cancel()
			return
		}
	}
}

// sendAll sends replies in as many messages as needed, at least one.
func (st *stream) sendAll(m *briarstandv1.ExchangeResponse, replies []reply) error {
	for {
		n := min(len(replies), maxReplies)
		m.Responses = m.Responses[:0]
		for _, r := range replies[:n] {
			m.Responses = append(m.Responses, r.message(st.documentCache))
		}
		if err := st.exchange.Send(m); err != nil {
			return err
		}
		if replies = replies[n:]; len(replies) == 0 {
			return nil
		}
	}
}
