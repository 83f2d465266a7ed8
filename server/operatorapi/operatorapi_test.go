package operatorapi_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/config/command"
	"github.com/briarstand/briarstand/config/query"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
	"github.com/briarstand/briarstand/kvstore/httpkv"
	"github.com/briarstand/briarstand/kvstore/standin"
	"github.com/briarstand/briarstand/server/operatorapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeRollouts accepts a revision after a delay.
type fakeRollouts struct {
	delay     time.Duration
	started   []int64
	statusErr error
}

func (f *fakeRollouts) StartRollout(svc *config.Service) {
	f.started = append(f.started, svc.Revision)
}

func (f *fakeRollouts) Status(_ context.Context, service string, revision int64) (*briarstandv1.Rollout, error) {
	if f.statusErr != nil {
		return nil, f.statusErr
	}
	return &briarstandv1.Rollout{
		Service: service, Revision: revision, State: briarstandv1.RolloutState_ROLLOUT_STATE_RECORDED,
		VmsInForce: 1, VmsTotal: 2, WaitingFor: []string{"vm2"},
	}, nil
}

func (f *fakeRollouts) Wait(ctx context.Context, service string, revision int64) (*briarstandv1.Rollout, error) {
	select {
	case <-time.After(f.delay):
		return &briarstandv1.Rollout{Service: service, Revision: revision, State: briarstandv1.RolloutState_ROLLOUT_STATE_ACCEPTED}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type fakeVMs struct{}

func (fakeVMs) ListVMs(context.Context) ([]*briarstandv1.VM, error) {
	return []*briarstandv1.VM{{Id: "vm1"}}, nil
}

// fixture runs the handler against a stand-in for the platform.
type fixture struct {
	server   *standin.Server
	rollouts *fakeRollouts
	handler  http.Handler
	client   briarstandv1connect.OperatorServiceClient
}

// handlerTransport calls a handler without sockets.
type handlerTransport struct{ handler http.Handler }

func (t handlerTransport) Do(req *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	t.handler.ServeHTTP(rec, req)
	resp := rec.Result()
	resp.Request = req
	return resp, nil
}

func newFixture(t testing.TB, cfg operatorapi.Config) *fixture {
	server := standin.New(standin.Config{})
	store, err := httpkv.New(httpkv.Config{BaseURL: "http://standin", Transport: server.Transport()})
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{server: server, rollouts: &fakeRollouts{}}
	cfg.ConfigWriter = command.New(store, time.Now)
	cfg.ConfigReader = query.New(store)
	cfg.Rollouts, cfg.VMs = f.rollouts, fakeVMs{}
	_, f.handler = operatorapi.New(cfg)
	f.client = briarstandv1connect.NewOperatorServiceClient(handlerTransport{f.handler}, "http://operator")
	return f
}

func spec() *briarstandv1.ServiceSpec {
	return &briarstandv1.ServiceSpec{
		Backends:      []*briarstandv1.Backend{{Id: "b1", Address: "10.0.0.1:1", Zone: "z", Slots: 2, MaxConnections: 9}},
		IndexVersions: []*briarstandv1.IndexVersion{{Name: "v1", Sequence: 1, Shards: []*briarstandv1.ShardReplicas{{BackendIds: []string{"b1"}}}}},
	}
}

func change(id string, expected int64) *briarstandv1.Change {
	return &briarstandv1.Change{ChangeId: id, Operator: "asha", Reason: "test", ExpectedRevision: expected}
}

func (f *fixture) create(id string) (*briarstandv1.ChangeResponse, error) {
	resp, err := f.client.CreateService(context.Background(), connect.NewRequest(&briarstandv1.CreateServiceRequest{
		Name: "tickets", Spec: spec(), Change: change(id, 0),
	}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// TestSession calls every RPC in a typical order and checks what it returns and
// changes.
func TestSession(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, operatorapi.Config{})
	defer f.server.Close()
	ctx := context.Background()
	created, err := f.create("c1")
	c.Assert(err, qt.IsNil)
	c.Assert(created.Rollout.State, qt.Equals, briarstandv1.RolloutState_ROLLOUT_STATE_ACCEPTED)
	repeated, err := f.create("c1")
	c.Assert(err, qt.IsNil)
	c.Assert(repeated.Service.Revision, qt.Equals, created.Service.Revision)
	drained, err := f.client.DrainBackend(ctx, connect.NewRequest(&briarstandv1.DrainBackendRequest{Service: "tickets", BackendId: "b1", Change: change("c2", 0)}))
	c.Assert(err, qt.IsNil)
	c.Assert(drained.Msg.Service.Spec.Backends[0].Draining, qt.IsTrue)
	restored, err := f.client.RestoreBackend(ctx, connect.NewRequest(&briarstandv1.RestoreBackendRequest{Service: "tickets", BackendId: "b1", Change: change("c3", 0)}))
	c.Assert(err, qt.IsNil)
	c.Assert(restored.Msg.Service.Spec.Backends[0].Draining, qt.IsFalse)
	updated, err := f.client.UpdateService(ctx, connect.NewRequest(&briarstandv1.UpdateServiceRequest{
		Name: "tickets", Spec: &briarstandv1.ServiceSpec{}, Change: change("c4", restored.Msg.Service.Revision),
	}))
	c.Assert(err, qt.IsNil)
	got, err := f.client.GetService(ctx, connect.NewRequest(&briarstandv1.GetServiceRequest{Name: "tickets"}))
	c.Assert(err, qt.IsNil)
	c.Assert(got.Msg.Service.Revision, qt.Equals, updated.Msg.Service.Revision)
	c.Assert(got.Msg.Service.Spec.Backends, qt.HasLen, 0)
	list, err := f.client.ListServices(ctx, connect.NewRequest(&briarstandv1.ListServicesRequest{}))
	c.Assert(err, qt.IsNil)
	c.Assert(list.Msg.Services, qt.HasLen, 1)
	rollout, err := f.client.GetRollout(ctx, connect.NewRequest(&briarstandv1.GetRolloutRequest{Service: "tickets"}))
	c.Assert(err, qt.IsNil)
	c.Assert(rollout.Msg.Rollout.Revision, qt.Equals, updated.Msg.Service.Revision)
	_, err = f.client.DeleteService(ctx, connect.NewRequest(&briarstandv1.DeleteServiceRequest{Name: "tickets", Change: change("c5", updated.Msg.Service.Revision)}))
	c.Assert(err, qt.IsNil)
	audit, err := f.client.ListAudit(ctx, connect.NewRequest(&briarstandv1.ListAuditRequest{Service: "tickets", Limit: 2}))
	c.Assert(err, qt.IsNil)
	c.Assert(audit.Msg.Records, qt.HasLen, 2)
	c.Assert(audit.Msg.Records[0].Action, qt.Equals, "delete")
	vms, err := f.client.ListVMs(ctx, connect.NewRequest(&briarstandv1.ListVMsRequest{}))
	c.Assert(err, qt.IsNil)
	c.Assert(vms.Msg.Vms, qt.HasLen, 1)
	c.Assert(f.rollouts.started, qt.HasLen, 6)
	c.Assert(f.server.Writes(), qt.HasLen, 5)
}

// TestAcceptWait checks that a change waits for unreachable VMs no longer than
// AcceptWait, and that it succeeds even if the progress of its rollout cannot be
// read.
func TestAcceptWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(t, operatorapi.Config{})
		defer f.server.Close()
		f.rollouts.delay = time.Hour
		start := time.Now()
		resp, err := f.create("c1")
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(start), qt.Equals, operatorapi.DefaultAcceptWait)
		c.Assert(resp.Rollout.WaitingFor, qt.DeepEquals, []string{"vm2"})
		f.rollouts.statusErr = errors.New("unreachable")
		resp, err = f.create("c1")
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Rollout.State, qt.Equals, briarstandv1.RolloutState_ROLLOUT_STATE_RECORDED)
	})
}

// TestCodes checks the codes and messages of errors, which tell the operator whether
// the change took effect and what to do.
func TestCodes(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, operatorapi.Config{MaxRequestBytes: 1 << 20, MaxConcurrent: 4})
	defer f.server.Close()
	ctx := context.Background()
	created, err := f.create("c1")
	c.Assert(err, qt.IsNil)
	check := func(err error, code connect.Code, text string) {
		t.Helper()
		c.Check(connect.CodeOf(err), qt.Equals, code)
		c.Check(err, qt.ErrorMatches, "(?s).*"+text+".*")
	}
	update := func(spec *briarstandv1.ServiceSpec, ch *briarstandv1.Change) error {
		_, err := f.client.UpdateService(ctx, connect.NewRequest(&briarstandv1.UpdateServiceRequest{Name: "tickets", Spec: spec, Change: ch}))
		return err
	}
	err = update(spec(), change("c2", 1))
	check(err, connect.CodeAborted, "is at revision 2, the change expects revision 1; read the service again")
	var failed *connect.Error
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Assert(failed.Details(), qt.HasLen, 1)
	detail, err := failed.Details()[0].Value()
	c.Assert(err, qt.IsNil)
	c.Assert(detail.(*briarstandv1.Conflict).ActualRevision, qt.Equals, created.Service.Revision)
	_, err = f.create("c3")
	check(err, connect.CodeAlreadyExists, "update it instead")
	check(update(nil, change("c4", 2)), connect.CodeInvalidArgument, "spec is missing")
	check(update(spec(), nil), connect.CodeInvalidArgument, "change is missing")
	bad := spec()
	bad.Backends[0].Slots = 0
	check(update(bad, change("c5", 2)), connect.CodeInvalidArgument, `backends\[0\].slots: 0 is not allowed`)
	check(update(spec(), change("c1", 2)), connect.CodeFailedPrecondition, "use a new change id")
	large := spec()
	large.Backends[0].Id = strings.Repeat("x", 1<<20)
	check(update(large, change("c6", 2)), connect.CodeResourceExhausted, "larger than")
	_, err = f.client.GetService(ctx, connect.NewRequest(&briarstandv1.GetServiceRequest{Name: "absent"}))
	check(err, connect.CodeNotFound, "does not exist")
	f.server.SetDown(true)
	check(update(spec(), change("c7", 2)), connect.CodeUnavailable, "this call changed nothing")
	f.server.SetDown(false)
}

// TestUnknownResult checks that a change whose reply is lost in an outage of the
// store is reported as having an unknown result, not as having had no effect.
func TestUnknownResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(t, operatorapi.Config{})
		defer f.server.Close()
		f.server.SetDelay(1500 * time.Millisecond)
		go func() {
			time.Sleep(2 * time.Second) // the write is in flight
			f.server.SetDown(true)
		}()
		_, err := f.create("c1")
		c.Assert(connect.CodeOf(err), qt.Equals, connect.CodeUnknown)
		c.Assert(err, qt.ErrorMatches, ".*send it again with the same change id.*")
		f.server.SetFaults(standin.Faults{})
		resp, err := f.create("c1")
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Service.Revision, qt.Equals, f.server.Writes()[0].Index)
		c.Assert(f.server.Writes(), qt.HasLen, 1)
	})
}

// TestBusy checks that a request above the limit on concurrent requests is refused.
func TestBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(t, operatorapi.Config{MaxConcurrent: 1})
		defer f.server.Close()
		f.rollouts.delay = time.Second
		go func() { _, _ = f.create("c1") }()
		synctest.Wait()
		_, err := f.create("c2")
		c.Assert(connect.CodeOf(err), qt.Equals, connect.CodeResourceExhausted)
		time.Sleep(2 * time.Second)
		_, err = f.create("c1")
		c.Assert(err, qt.IsNil)
	})
}

// FuzzMessages guards against a request body that makes an RPC panic, fail
// with an internal error, or write a document that cannot be read again.
func FuzzMessages(f *testing.F) {
	procedures := []string{
		briarstandv1connect.OperatorServiceCreateServiceProcedure,
		briarstandv1connect.OperatorServiceUpdateServiceProcedure,
		briarstandv1connect.OperatorServiceDeleteServiceProcedure,
		briarstandv1connect.OperatorServiceDrainBackendProcedure,
		briarstandv1connect.OperatorServiceGetServiceProcedure,
		briarstandv1connect.OperatorServiceListAuditProcedure,
		briarstandv1connect.OperatorServiceGetRolloutProcedure,
	}
	const changeText = `"change":{"changeId":"c","operator":"o","expectedRevision":"2"}`
	f.Add(uint8(0), []byte(`{"name":"t","spec":{"backends":[{"id":"b","address":"10.0.0.1:1","zone":"z","slots":1,"maxConnections":1}],"indexVersions":[{"name":"v","sequence":1,"shards":[{"backendIds":["b"]}]}],"policy":{"deadlineMs":5,"maxConcurrent":1,"defaultLimit":1,"preference":"PREFERENCE_COVERAGE"}},"change":{"changeId":"c","operator":"o"}}`))
	f.Add(uint8(1), []byte(`{"name":"tickets","spec":{},`+changeText+`}`))
	f.Add(uint8(2), []byte(`{"name":"tickets",`+changeText+`}`))
	f.Add(uint8(3), []byte(`{"service":"tickets","backendId":"b1","change":{"changeId":"c2","operator":"o"}}`))
	f.Add(uint8(4), []byte(`{"name":"../accepted/x"}`))
	f.Add(uint8(5), []byte(`{"service":"tickets","limit":-1}`))
	f.Add(uint8(6), []byte(`{"service":"tickets","revision":"-9"}`))
	f.Fuzz(func(t *testing.T, procedure uint8, body []byte) {
		fix := newFixture(t, operatorapi.Config{})
		defer fix.server.Close()
		if _, err := fix.create("c1"); err != nil {
			t.Fatal(err)
		}
		req := httptest.NewRequest(http.MethodPost, procedures[int(procedure)%len(procedures)], bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		rec := httptest.NewRecorder()
		fix.handler.ServeHTTP(rec, req)
		reply, err := io.ReadAll(rec.Body)
		if err != nil || bytes.Contains(reply, []byte(`"code":"internal"`)) || bytes.Contains(reply, []byte(`"code":"data_loss"`)) {
			t.Fatalf("status %d: %s", rec.Code, reply)
		}
		list, err := fix.client.ListServices(context.Background(), connect.NewRequest(&briarstandv1.ListServicesRequest{}))
		if err != nil {
			t.Fatal(err)
		}
		for _, svc := range list.Msg.Services {
			if _, err := config.FromProto(svc); err != nil {
				t.Fatalf("a stored service is not valid: %v", err)
			}
		}
	})
}
