package entry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/standin"
)

// waitingRequest is a request that waits for the only connection to a backend server.
type waitingRequest struct {
	fixture    *fixture
	vm         *vm
	server     *standin.Backend
	drainedAt  time.Time
	answer     chan answer
	answeredAt time.Time
}

// drainWithWaiter starts a VM that may open one connection to the only server of a
// service. The server begins to drain, and then gets a request that takes longer than
// the drain bound; a second one waits for the connection.
func drainWithWaiter(t *testing.T) *waitingRequest {
	const longWork, patience = 2400 * time.Millisecond, 5 * time.Second
	f := newFixture(t)
	f.store.SetMaxConnections(1)
	w := &waitingRequest{fixture: f, server: f.backend("q1", "quotes", "bytes"), answer: make(chan answer, 1)}
	route := single("quote", "quotes", "idempotent")
	route.TimeoutMS, route.MaxAttempts = patience.Milliseconds(), 1
	f.store.Configure(1, route)
	w.vm = f.start("vm1", true)
	w.server.Register(f.store, "draining")
	w.drainedAt = time.Now()
	time.Sleep(drainBound / 3)
	w.server.SetBehavior(standin.Behavior{ServiceTime: longWork})
	first := make(chan answer, 1)
	go func() { first <- f.ask(w.vm, "GET", "/quote/x", "works", "", patience) }()
	f.Cleanup(func() { <-first })
	f.eventually(time.Second, "the first request runs", func() bool { return len(w.server.Runs()) == 1 })
	w.server.SetBehavior(standin.Behavior{})
	go func() {
		a := f.ask(w.vm, "GET", "/quote/x", "waits", "", patience)
		w.answeredAt = time.Now()
		w.answer <- a
	}()
	return w
}

// Guards against requests that are chosen for a leaving server in time, wait for a
// connection, and are sent after the drain bound (incident of 2026-12-05).
func TestWaitingRequestIsNotSentAfterDrainBound(t *testing.T) {
	w := drainWithWaiter(t)
	a := <-w.answer
	w.fixture.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
	w.fixture.Check(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	w.fixture.Check(w.answeredAt.Sub(w.drainedAt) <= drainBound, qt.IsTrue, qt.Commentf("refused %v after the drain", w.answeredAt.Sub(w.drainedAt)))
	time.Sleep(time.Until(w.drainedAt.Add(drainBound + time.Second)))
	w.fixture.Check(w.server.Runs(), qt.HasLen, 1, qt.Commentf("%v", w.fixture.linesOf("waits")))
}

// Guards against requests that wait for a connection to a leaving server while its
// service has a new one that is idle.
func TestWaitingRequestMovesToNewServer(t *testing.T) {
	w := drainWithWaiter(t)
	time.Sleep(100 * time.Millisecond)
	registered := time.Now()
	fresh := w.fixture.backend("q2", "quotes", "fresh bytes")
	a := <-w.answer
	w.fixture.Check(a.status, qt.Equals, http.StatusOK)
	w.fixture.Check(a.body, qt.Equals, "fresh bytes")
	w.fixture.Check(fresh.Runs(), qt.HasLen, 1)
	// The batch delay, a quarter of the bound, and what the machine adds.
	w.fixture.Check(w.answeredAt.Sub(registered) <= drainBound/2, qt.IsTrue, qt.Commentf("answered %v after the new server came", w.answeredAt.Sub(registered)))
}
