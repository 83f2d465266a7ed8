package cli

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
)

// fakeOperator answers every change with err or an accepted rollout, or closes the
// connection without an answer.
type fakeOperator struct {
	briarstandv1connect.UnimplementedOperatorServiceHandler
	err        error
	dropAnswer bool

	mu    sync.Mutex
	calls []string // change ids
}

func (o *fakeOperator) DeleteService(_ context.Context, req *connect.Request[briarstandv1.DeleteServiceRequest]) (*connect.Response[briarstandv1.ChangeResponse], error) {
	o.mu.Lock()
	o.calls = append(o.calls, req.Msg.GetChange().GetChangeId())
	o.mu.Unlock()
	if o.dropAnswer {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	if o.err != nil {
		return nil, o.err
	}
	return connect.NewResponse(&briarstandv1.ChangeResponse{Rollout: &briarstandv1.Rollout{
		Service: "siteapp", Revision: 7, State: briarstandv1.RolloutState_ROLLOUT_STATE_ACCEPTED,
	}}), nil
}

// Checks that the outcome of a change is reported as unknown if an answer of a VM or
// a reply of the store was lost and no later VM reports the outcome. If the change was
// never sent, the outcome is not unknown. All attempts must have the same change id.
func TestOutcomeOfChanges(t *testing.T) {
	storeDown := connect.NewError(connect.CodeUnavailable, errors.New("store down"))
	conflict := connect.NewError(connect.CodeAborted, errors.New("conflict"))
	replyLost := connect.NewError(connect.CodeUnknown, errors.New("reply lost"))
	for _, test := range []struct {
		name string
		vms  []*fakeOperator // nil is a VM that does not run
		exit int
	}{
		{"made", []*fakeOperator{{}}, ExitOK},
		{"first VM down", []*fakeOperator{nil, {}}, ExitOK},
		{"answer lost, then made", []*fakeOperator{{dropAnswer: true}, {}}, ExitOK},
		{"no VM runs", []*fakeOperator{nil, nil}, ExitUnavailable},
		{"store down", []*fakeOperator{{err: storeDown}, {}}, ExitUnavailable},
		{"first VM down, store down", []*fakeOperator{nil, {err: storeDown}}, ExitUnavailable},
		{"answer lost", []*fakeOperator{{dropAnswer: true}}, ExitUnknown},
		{"answer lost, then store down", []*fakeOperator{{dropAnswer: true}, {err: storeDown}}, ExitUnknown},
		{"answer lost, then no VM", []*fakeOperator{{dropAnswer: true}, nil}, ExitUnknown},
		{"answer lost, then conflict", []*fakeOperator{{dropAnswer: true}, {err: conflict}}, ExitConflict},
		{"store's reply lost", []*fakeOperator{{err: replyLost}}, ExitUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			args := []string{"briarstand", "service", "delete", "siteapp", "--revision", "6", "--operator", "eleni"}
			for _, vm := range test.vms {
				srv := httptest.NewUnstartedServer(nil)
				if vm != nil {
					_, srv.Config.Handler = briarstandv1connect.NewOperatorServiceHandler(vm)
				}
				srv.Start()
				defer srv.Close()
				if vm == nil {
					srv.Close()
				}
				args = append(args, "--operator-address", srv.URL)
			}
			var out, errOut bytes.Buffer
			exit := Run(context.Background(), args, Streams{Out: &out, Err: &errOut})
			c.Assert(exit, qt.Equals, test.exit, qt.Commentf("stderr: %s", &errOut))
			ids := map[string]bool{}
			for _, vm := range test.vms {
				if vm == nil {
					continue
				}
				vm.mu.Lock()
				for _, id := range vm.calls {
					ids[id] = true
				}
				vm.mu.Unlock()
			}
			c.Assert(len(ids) <= 1, qt.IsTrue, qt.Commentf("change ids %v", ids))
		})
	}
}
