package command_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/config/command"
	"github.com/briarstand/briarstand/config/query"
	"github.com/briarstand/briarstand/kvstore"
)

// TestMain fixes the seed of the property tests; a -rapid.seed flag overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// storeCall is a store call that is blocked until the test executes it.
type storeCall struct {
	write       bool
	run         func()
	fail        func(error)
	executeLate func() // executes a write whose caller already got an error
	done        chan struct{}
}

// scheduledStore is the store client of one VM. The test controls the order in
// which the calls of all VMs are executed, and their faults.
type scheduledStore struct {
	kvstore.Store
	pending atomic.Pointer[storeCall]
}

func (s *scheduledStore) wait(call *storeCall) {
	call.done = make(chan struct{})
	s.pending.Store(call)
	<-call.done
}

func (s *scheduledStore) Get(ctx context.Context, key string) (entry kvstore.Entry, err error) {
	s.wait(&storeCall{
		run:  func() { entry, err = s.Store.Get(ctx, key) },
		fail: func(failure error) { err = &kvstore.UnavailableError{Op: "get", Err: failure} },
	})
	return entry, err
}

func (s *scheduledStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (entry kvstore.Entry, err error) {
	s.wait(&storeCall{
		write:       true,
		run:         func() { entry, err = s.Store.CompareAndSwap(ctx, key, expected, value) },
		fail:        func(failure error) { err = &kvstore.UnknownResultError{Key: key, Err: failure} },
		executeLate: func() { _, _ = s.Store.CompareAndSwap(ctx, key, expected, value) },
	})
	return entry, err
}

// operation is a change that an operator requests; a retry repeats it.
type operation struct {
	name   string
	change command.Change
	run    func(*command.Writer, command.Change) (*config.Service, error)
	// unknownResult is set once a call returned an unknown result.
	unknownResult bool
	// refused is set if the last call returned an error which proves that the
	// operation had no effect.
	refused  bool
	inFlight int
	result   *config.Service
}

// call is one call of an operation. A separate VM makes each call.
type call struct {
	op     *operation
	store  *scheduledStore
	done   bool
	result *config.Service
	err    error
}

// machine is the state machine of the property test, in which several VMs change
// one service in one store.
type machine struct {
	*fixture
	calls      []*call
	finished   []*operation
	lateWrites []func()
	lastID     int

	operations    map[string]*operation // by change id
	docs          []*config.Service
	decodedWrites int // writes already in docs
	checkedDocs   int // docs already checked against the one before
}

const serviceName = "tickets"

// documents returns the documents written so far, oldest first.
func (m *machine) documents(t *rapid.T) []*config.Service {
	writes := m.server.Writes()
	for _, w := range writes[m.decodedWrites:] {
		if !strings.HasPrefix(w.Key, config.ServicesPrefix) {
			continue
		}
		doc, err := config.Decode(kvstore.Entry{Key: w.Key, Value: w.Value, Index: w.Index})
		if err != nil {
			t.Fatalf("a write is not a valid document: %v", err)
		}
		m.docs = append(m.docs, doc)
	}
	m.decodedWrites = len(writes)
	return m.docs
}

func (m *machine) revision(t *rapid.T) int64 {
	if docs := m.documents(t); len(docs) > 0 {
		return docs[len(docs)-1].Revision
	}
	return 0
}

// Start starts a new change on a separate VM.
func (m *machine) Start(t *rapid.T) {
	if len(m.calls) >= 4 {
		t.Skip("enough calls")
	}
	m.lastID++
	op := &operation{
		name:   rapid.SampledFrom([]string{"create", "update", "update", "delete", "drain", "drain", "restore"}).Draw(t, "operation"),
		change: change(fmt.Sprintf("c%d", m.lastID), 0),
	}
	expected := max(m.revision(t)-int64(rapid.IntRange(0, 5).Draw(t, "stale")/5), 0)
	backend := rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "backend")
	ctx := context.Background()
	switch op.name {
	case "create", "update":
		svc := declaration()
		svc.Policy.DeadlineMS = int64(rapid.IntRange(100, 103).Draw(t, "deadline"))
		if rapid.Bool().Draw(t, "without b1") {
			svc.Backends, svc.Versions = svc.Backends[1:], nil
		}
		op.run = func(w *command.Writer, ch command.Change) (*config.Service, error) { return w.Create(ctx, svc, ch) }
		if op.name == "update" {
			op.change.ExpectedRevision = expected
			op.run = func(w *command.Writer, ch command.Change) (*config.Service, error) { return w.Update(ctx, svc, ch) }
		}
	case "delete":
		op.change.ExpectedRevision = expected
		op.run = func(w *command.Writer, ch command.Change) (*config.Service, error) {
			return w.Delete(ctx, serviceName, ch)
		}
	case "drain":
		op.run = func(w *command.Writer, ch command.Change) (*config.Service, error) {
			return w.Drain(ctx, serviceName, backend, ch)
		}
	case "restore":
		op.run = func(w *command.Writer, ch command.Change) (*config.Service, error) {
			return w.Restore(ctx, serviceName, backend, ch)
		}
	}
	m.start(op)
}

// Retry repeats an operation whose call ended, whatever its result was.
func (m *machine) Retry(t *rapid.T) {
	if len(m.finished) == 0 || len(m.calls) >= 4 {
		t.Skip("nothing to retry")
	}
	m.start(rapid.SampledFrom(m.finished).Draw(t, "retried"))
}

func (m *machine) start(op *operation) {
	c := &call{op: op, store: &scheduledStore{Store: m.store}}
	op.inFlight++
	op.refused = false
	m.operations[op.change.ID] = op
	writer := command.New(c.store, func() time.Time { return time.Unix(1_700_000_000, 0) })
	writer.SetMaxEmbedded(4)
	m.calls = append(m.calls, c)
	go func() {
		c.result, c.err = op.run(writer, op.change)
		c.done = true
	}()
	synctest.Wait()
}

// Step executes one pending store call, or makes it fail.
func (m *machine) Step(t *rapid.T) {
	if len(m.calls) == 0 {
		t.Skip("no calls")
	}
	i := rapid.IntRange(0, len(m.calls)-1).Draw(t, "call")
	fault := rapid.SampledFrom([]string{"", "", "", "", "drop reply", "down", "reject", "lose request", "late"}).Draw(t, "fault")
	m.step(t, i, fault)
}

func (m *machine) step(t *rapid.T, i int, fault string) {
	c := m.calls[i]
	if c.store.pending.Load() == nil { // in the backoff between two attempts
		time.Sleep(time.Second)
		synctest.Wait()
	}
	if pending := c.store.pending.Swap(nil); pending != nil {
		m.execute(pending, fault)
		close(pending.done)
		synctest.Wait()
	}
	if c.done {
		m.calls = append(m.calls[:i], m.calls[i+1:]...)
		m.finish(t, c)
	}
}

// drainCalls ends the calls that are still in flight after a failed check.
// Otherwise the synctest bubble would report a deadlock instead of the failure.
func (m *machine) drainCalls() {
	for _, c := range m.calls {
		for !c.done {
			if pending := c.store.pending.Swap(nil); pending != nil {
				pending.run()
				close(pending.done)
			}
			time.Sleep(time.Second)
			synctest.Wait()
		}
	}
}

func (m *machine) execute(pending *storeCall, fault string) {
	switch fault {
	case "drop reply":
		m.server.SetDropReplies(1)
	case "down":
		m.server.SetDown(true)
	case "reject":
		m.server.SetReject(1)
	case "lose request", "late":
		pending.fail(errors.New(fault))
		if pending.write && fault == "late" {
			m.lateWrites = append(m.lateWrites, pending.executeLate)
		}
		return
	}
	pending.run()
	m.server.SetDropReplies(0)
	m.server.SetDown(false)
	m.server.SetReject(0)
}

// DeliverLate executes a write long after its caller got an error, as a delayed
// request would.
func (m *machine) DeliverLate(t *rapid.T) {
	if len(m.lateWrites) == 0 {
		t.Skip("no late writes")
	}
	m.lateWrites[0]()
	m.lateWrites = m.lateWrites[1:]
}

// finish compares the result of a call with the stand-in's log of writes.
func (m *machine) finish(t *rapid.T, c *call) {
	op := c.op
	op.inFlight--
	m.finished = append(m.finished, op)
	var unknown *kvstore.UnknownResultError
	var unavailable *kvstore.UnavailableError
	var reused *command.ChangeIDReusedError
	switch {
	case c.err == nil:
		m.checkResult(t, op, c.result)
	case errors.As(c.err, &reused):
		t.Fatalf("%s %s was taken for another change: %v", op.name, op.change.ID, c.err)
	case errors.As(c.err, &unknown):
		op.unknownResult = true
	case errors.As(c.err, &unavailable):
		op.refused = op.inFlight == 0 && !op.unknownResult && op.result == nil
	default:
		op.refused = op.inFlight == 0
		if op.result != nil {
			t.Fatalf("%s %s succeeded before and now fails: %v", op.name, op.change.ID, c.err)
		}
	}
}

func (m *machine) checkResult(t *rapid.T, op *operation, result *config.Service) {
	op.result = result
	for _, doc := range m.documents(t) {
		if doc.ChangeID == op.change.ID {
			if result.Revision != doc.Revision {
				t.Fatalf("%s %s reports revision %d, written was %d", op.name, op.change.ID, result.Revision, doc.Revision)
			}
			requireSameState(t, result, doc)
			return
		}
	}
	t.Fatalf("%s %s reports success, but was not written", op.name, op.change.ID)
}

func requireSameState(t *rapid.T, a, b *config.Service) {
	before, after, err := config.Diff(a, b)
	if err != nil || before != "{}" || after != "{}" {
		t.Fatalf("revisions %d and %d differ: %s, %s, %v", a.Revision, b.Revision, before, after, err)
	}
}

// Check verifies the log of writes: revisions increase, every write is based on
// the previous one and has one audit record of exactly its change, no change id was
// written twice, and no refused operation was written.
func (m *machine) Check(t *rapid.T) {
	docs := m.documents(t)
	for i := m.checkedDocs; i < len(docs); i++ {
		m.checkWrite(t, docs[:i], docs[i])
	}
	m.checkedDocs = len(docs)
	for _, op := range m.finished {
		if op.refused && op.inFlight == 0 && written(docs, op.change.ID) {
			t.Fatalf("%s %s was reported as refused, but was written", op.name, op.change.ID)
		}
	}
}

func written(docs []*config.Service, changeID string) bool {
	return slices.ContainsFunc(docs, func(doc *config.Service) bool { return doc.ChangeID == changeID })
}

func (m *machine) checkWrite(t *rapid.T, older []*config.Service, doc *config.Service) {
	record := doc.Audit[len(doc.Audit)-1]
	if record.ChangeID != doc.ChangeID || written(older, doc.ChangeID) {
		t.Fatalf("change %s was written twice, or with the record of %s", doc.ChangeID, record.ChangeID)
	}
	if len(older) == 0 {
		return
	}
	last := older[len(older)-1]
	if expected := m.operations[doc.ChangeID].change.ExpectedRevision; expected > 0 && record.Base != expected {
		t.Fatalf("change %s expects revision %d, but was written on %d", doc.ChangeID, expected, record.Base)
	}
	if doc.Revision <= last.Revision || record.Base != last.Revision {
		t.Fatalf("revision %d is based on revision %d, the last one is %d", doc.Revision, record.Base, last.Revision)
	}
	before, err := config.Rewind(doc, record)
	if err != nil {
		t.Fatalf("rewind revision %d: %v", doc.Revision, err)
	}
	requireSameState(t, before, last)
}

// checkTrail verifies that the embedded and archived audit records together list
// every write once and in order.
func (m *machine) checkTrail(t *rapid.T, docs []*config.Service) {
	if len(docs) == 0 {
		return
	}
	records, err := query.New(m.store).Audit(context.Background(), serviceName, query.MaxAuditLimit)
	if err != nil || len(records) != len(docs) {
		t.Fatalf("%d audit records for %d writes: %v", len(records), len(docs), err)
	}
	for i, r := range records {
		doc := docs[len(docs)-1-i]
		if r.ChangeID != doc.ChangeID || r.Revision != doc.Revision {
			t.Fatalf("audit record %s at %d, write %s at %d", r.ChangeID, r.Revision, doc.ChangeID, doc.Revision)
		}
	}
}

// TestConcurrentChanges checks that no update is lost, no change is applied twice,
// no result contradicts what was written and no audit record is missing, when
// several VMs change one service while store calls are lost, delayed or rejected.
func TestConcurrentChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			m := &machine{fixture: newFixture(t), operations: map[string]*operation{}}
			defer m.server.Close()
			defer m.drainCalls()
			rt.Repeat(rapid.StateMachineActions(m))
			for len(m.calls) > 0 {
				m.step(rt, 0, "")
			}
			for len(m.lateWrites) > 0 {
				m.DeliverLate(rt)
			}
			m.Check(rt)
			m.checkTrail(rt, m.documents(rt))
		})
	})
}
