package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
)

// fleet is a set of fake VMs that record the requests they get.
type fleet struct {
	mu    sync.Mutex
	urls  []string
	calls []string // "VM call ticket"
}

func (f *fleet) record(vm, call, ticket string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, strings.TrimSpace(vm+" "+call+" "+ticket))
}

func (f *fleet) recorded() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// fakeVM responds to queries with its answers, in order. A nil answer closes the
// connection after the request is read.
type fakeVM struct {
	briarstandv1connect.UnimplementedCallerServiceHandler
	name    string
	fleet   *fleet
	mu      sync.Mutex
	answers []any // briarstandv1.Outcome, error or nil
}

func (v *fakeVM) Resolve(context.Context, *connect.Request[briarstandv1.ResolveRequest]) (*connect.Response[briarstandv1.ResolveResponse], error) {
	resp := &briarstandv1.ResolveResponse{TtlMs: 1000}
	for _, url := range v.fleet.urls {
		resp.Endpoints = append(resp.Endpoints, &briarstandv1.Endpoint{Address: strings.TrimPrefix(url, "http://")})
	}
	return connect.NewResponse(resp), nil
}

func (v *fakeVM) BeginRequest(context.Context, *connect.Request[briarstandv1.BeginRequestRequest]) (*connect.Response[briarstandv1.BeginRequestResponse], error) {
	v.fleet.record(v.name, "begin", "")
	return connect.NewResponse(&briarstandv1.BeginRequestResponse{Ticket: "ticket-" + v.name}), nil
}

func (v *fakeVM) Query(_ context.Context, req *connect.Request[briarstandv1.QueryRequest]) (*connect.Response[briarstandv1.QueryResponse], error) {
	v.fleet.record(v.name, "query", req.Msg.Ticket)
	v.mu.Lock()
	answer := v.answers[0]
	v.answers = v.answers[1:]
	v.mu.Unlock()
	switch a := answer.(type) {
	case briarstandv1.Outcome:
		return connect.NewResponse(&briarstandv1.QueryResponse{Outcome: a, VmId: v.name}), nil
	case error:
		return nil, a
	}
	panic(http.ErrAbortHandler) // closes the connection without an answer
}

const (
	complete = briarstandv1.Outcome_OUTCOME_COMPLETE
	notRun   = briarstandv1.Outcome_OUTCOME_NOT_RUN
	unknown  = briarstandv1.Outcome_OUTCOME_UNKNOWN
)

func startFleet(t *testing.T, answers ...[]any) *fleet {
	f := &fleet{}
	for i, a := range answers {
		vm := &fakeVM{name: string(rune('a' + i)), fleet: f, answers: a}
		_, h := briarstandv1connect.NewCallerServiceHandler(vm)
		srv := httptest.NewServer(h)
		t.Cleanup(srv.Close)
		f.urls = append(f.urls, srv.URL)
	}
	return f
}

// Checks what the client does after a refusal or a lost answer. It sends an idempotent
// request to the next VM; a non-idempotent one gets a new ticket only if it is known
// not to have run.
func TestQueryFailover(t *testing.T) {
	bad := connect.NewError(connect.CodeInvalidArgument, http.ErrNotSupported)
	busy := connect.NewError(connect.CodeUnavailable, http.ErrNotSupported)
	for _, test := range []struct {
		name          string
		nonIdempotent bool
		answers       [][]any
		calls         []string
		exit          int
	}{
		{"first VM answers", false, [][]any{{complete}, {}}, []string{"a query"}, ExitOK},
		{"not run tries the next VM", false, [][]any{{notRun}, {complete}}, []string{"a query", "b query"}, ExitOK},
		{"broken connection tries the next VM", false, [][]any{{nil}, {complete}}, []string{"a query", "b query"}, ExitOK},
		{"unavailable VM tries the next VM", false, [][]any{{busy}, {complete}}, []string{"a query", "b query"}, ExitOK},
		{"malformed request is final", false, [][]any{{bad}, {complete}}, []string{"a query"}, ExitUsage},
		{"all refuse", false, [][]any{{notRun}, {notRun}}, []string{"a query", "b query"}, ExitNotRun},
		{"refused and unreachable", false, [][]any{{notRun}, {nil}}, []string{"a query", "b query"}, ExitNotRun},
		{"ticket runs", true, [][]any{{complete}, {}}, []string{"a begin", "a query ticket-a"}, ExitOK},
		{"lost answer retries with the same ticket", true, [][]any{{nil, complete}, {}},
			[]string{"a begin", "a query ticket-a", "a query ticket-a"}, ExitOK},
		{"lost VM retries with the same ticket at another VM", true, [][]any{{nil, nil}, {unknown}},
			[]string{"a begin", "a query ticket-a", "a query ticket-a", "b query ticket-a"}, ExitUnknown},
		{"not run takes a new ticket", true, [][]any{{notRun}, {complete}},
			[]string{"a begin", "a query ticket-a", "b begin", "b query ticket-b"}, ExitOK},
		{"unknown is final", true, [][]any{{unknown}, {complete}}, []string{"a begin", "a query ticket-a"}, ExitUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := startFleet(t, test.answers...)
			args := []string{"briarstand", "query", "--caller-address", f.urls[0]}
			if test.nonIdempotent {
				args = append(args, "--non-idempotent")
			}
			var out, errOut bytes.Buffer
			exit := Run(context.Background(), append(args, "siteapp", "x"), Streams{Out: &out, Err: &errOut})
			c.Assert(f.recorded(), qt.DeepEquals, test.calls)
			c.Assert(exit, qt.Equals, test.exit, qt.Commentf("stderr: %s", &errOut))
		})
	}
}
