package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// send performs a request and returns its status and body. The status is 0 if
// the stand-in dropped the call.
func send(s *Server, method, path, body string) (status int, text string) {
	req, err := http.NewRequest(method, "http://standin"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	resp, err := s.Transport().RoundTrip(req)
	if err != nil {
		return 0, ""
	}
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// TestProtocol guards against a reply that differs from the published form.
func TestProtocol(t *testing.T) {
	s := New(Config{})
	defer s.Close()
	for _, step := range []struct {
		method, path, body string
		status             int
		reply              string
	}{
		{"GET", "/v1/kv/a", "", 404, ""},
		{"PUT", "/v1/kv/a?cas=1", "x", 200, "false"},
		{"PUT", "/v1/kv/a?cas=0", "x", 200, "true"},
		{"PUT", "/v1/kv/a?cas=0", "y", 200, "false"},
		{"PUT", "/v1/kv/a?cas=x", "y", 400, "missing key or invalid cas index"},
		{"PUT", "/v1/kv/a?flags=7", "y", 200, "true"},
		{"GET", "/v1/kv/a", "", 200, `[{"LockIndex":0,"Key":"a","Flags":7,"Value":"eQ==","CreateIndex":2,"ModifyIndex":3}]`},
		{"GET", "/v1/kv/?recurse&index=2&wait=1h", "", 200, `[{"LockIndex":0,"Key":"a","Flags":7,"Value":"eQ==","CreateIndex":2,"ModifyIndex":3}]`},
		{"GET", "/v1/kv/a?index=3&wait=x", "", 400, `invalid wait: time: invalid duration "x"`},
		{"PUT", "/v1/kv/b?acquire=none", "y", 500, `invalid session "none"`},
		{"DELETE", "/v1/kv/a?cas=2", "", 200, "false"},
		{"DELETE", "/v1/kv/a", "", 200, "true"},
		{"GET", "/v1/kv/a?index=3", "", 404, ""},
		{"PUT", "/v1/session/create", `{"TTL":"0s"}`, 400, "invalid TTL"},
		{"PUT", "/v1/session/renew/none", "", 404, "session not found"},
		{"GET", "/v1/catalog/service/briarstand", "", 200, "[]"},
		{"PUT", "/v1/agent/service/deregister/none", "", 404, `unknown service id "none"`},
		{"PUT", "/v1/kv/a", strings.Repeat("x", maxValueBytes+1), 413, "http: request body too large"},
	} {
		status, reply := send(s, step.method, step.path, step.body)
		qt.Check(t, fmt.Sprint(status, " ", reply), qt.Equals, fmt.Sprint(step.status, " ", step.reply), qt.Commentf("%s %s", step.method, step.path))
	}
}

// TestSession guards against a lease that keeps its keys locked after its end.
func TestSession(t *testing.T) {
	s := New(Config{})
	defer s.Close()
	_, reply := send(s, "PUT", "/v1/session/create", `{"TTL":"1h"}`)
	var created struct{ ID string }
	qt.Assert(t, json.Unmarshal([]byte(reply), &created), qt.IsNil)
	for _, step := range []struct{ path, reply string }{
		{"/v1/kv/k?acquire=" + created.ID, "true"},
		{"/v1/kv/k?release=other", "false"},
		{"/v1/kv/k?release=" + created.ID, "true"},
		{"/v1/kv/k?acquire=" + created.ID, "true"},
		{"/v1/session/destroy/" + created.ID, "true"},
		{"/v1/kv/k?release=" + created.ID, "false"},
	} {
		_, reply := send(s, "PUT", step.path, "")
		qt.Check(t, reply, qt.Equals, step.reply, qt.Commentf(step.path))
	}
}

// TestControls checks that faults can be set and ended over HTTP, also while a fault
// makes every other call fail.
func TestControls(t *testing.T) {
	c := qt.New(t)
	s := New(Config{})
	defer s.Close()
	listener := httptest.NewServer(s)
	defer listener.Close()
	client := listener.Client()
	do := func(method, path, body string) (string, error) {
		req, err := http.NewRequest(method, listener.URL+path, strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		resp, err := client.Do(req)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		return strings.TrimSpace(string(data)), err
	}
	_, err := do("PUT", "/standin/faults", `{"down":true,"slow_ms":5,"drop_replies":-1,"reject":2,"list_lag_ms":1000}`)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Faults(), qt.Equals, Faults{Down: true, Delay: 5 * time.Millisecond, DropReplies: Always, Reject: 2, ListLag: time.Second})
	_, err = do("PUT", "/v1/kv/a", "x")
	c.Assert(err, qt.IsNotNil)
	_, err = do("PATCH", "/standin/faults", `{"down":false,"slow_ms":0}`)
	c.Assert(err, qt.IsNil)
	reply, err := do("PUT", "/v1/kv/a", "x")
	c.Assert(reply, qt.Equals, "rejected by a fault of the stand-in", qt.Commentf("%v", err))
	_, _ = do("GET", "/v1/kv/a", "")
	_, err = do("PUT", "/v1/kv/a", "x")
	c.Assert(err, qt.IsNotNil)
	c.Assert(s.Writes(), qt.HasLen, 1)
	reply, _ = do("PUT", "/standin/faults", `{"unknown":1}`)
	c.Assert(reply, qt.Equals, `faults: json: unknown field "unknown"`)
	reply, _ = do("GET", "/standin/calls", "")
	c.Assert(reply, qt.Equals, `{"get":1,"put":3}`)
	_, _ = do("DELETE", "/standin/calls", "")
	c.Assert(s.Calls(), qt.HasLen, 0)
	reply, _ = do("POST", "/standin/lapse-leases", "")
	c.Assert(reply, qt.Equals, "0")
	reply, _ = do("GET", "/standin/writes", "")
	c.Assert(strings.HasPrefix(reply, `[{"key":"a","index":2,"value":"eA=="`), qt.IsTrue, qt.Commentf(reply))
}

// TestWriteLogBound guards against an unlimited record of writes.
func TestWriteLogBound(t *testing.T) {
	s := New(Config{MaxRecordedBytes: 10})
	defer s.Close()
	for range 5 {
		send(s, "PUT", "/v1/kv/a", "1234")
	}
	qt.Assert(t, s.Writes(), qt.HasLen, 2)
	qt.Assert(t, s.Writes()[1].Index, qt.Equals, int64(6))
}
