package explain

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const logLines = `{"time":"2026-01-01T00:00:00Z","level":"info","msg":"leaving","vm":"vm1"}
{"time":"2026-01-01T00:00:00.5Z","level":"info","msg":"started","vm":"vm1"}
  1.2 front-1 {"time":"2026-01-01T00:00:01Z","level":"info","msg":"configuration in force","vm":"vm1","version":7,"revision":30}
{"time":"2026-01-01T00:00:02Z","level":"warn","msg":"store does not answer","vm":"vm1","revision":31}
{"time":"2026-01-01T00:00:02.5Z","level":"info","msg":"backend server","vm":"vm1","backend":"b1","service":"s","from":"unknown","to":"ready"}
{"time":"2026-01-01T00:00:02.6Z","level":"info","msg":"backend server","vm":"vm1","backend":"b2","service":"s","from":"unknown","to":"ready"}
{"time":"2026-01-01T00:00:02.7Z","level":"info","msg":"backend server","vm":"vm2","backend":"b1","service":"s","from":"unknown","to":"ready"}
not a log line
{"time":"2026-01-01T00:00:03.01Z","level":"info","msg":"request","vm":"vm1","request_id":"id-1","outcome":"broken","late":false,"reason":"no other backend server","ms":12}
{"time":"2026-01-01T00:00:03Z","level":"info","msg":"decision","vm":"vm1","request_id":"id-1","decision":"attempt_failed","backend":"b1","reason":"no whole reply"}
{"time":"2026-01-01T00:00:04Z","level":"info","msg":"request","vm":"vm1","request_id":"id-2","outcome":"answered","late":false,"reason":""}
{"time":"2026-01-01T00:00:05Z","level":"info","msg":"request","vm":"vm1","request_id":"id-3","outcome":"answered","late":true,"reason":"parts left out"}
{"time":"2026-01-01T00:00:05Z","level":"info","msg":"request","vm":"vm2","request_id":"id-4","outcome":"answered","late":true,"reason":"parts left out"}
`

// Checks the report on a request: its lines and those on the state of its VM, in
// order of time, without the lines of other VMs or of an earlier process.
func TestRequest(t *testing.T) {
	c := qt.New(t)
	log, err := Read(strings.NewReader(logLines))
	c.Assert(err, qt.IsNil)
	c.Assert(log.Skipped, qt.Equals, 1)
	var b strings.Builder
	c.Assert(log.WriteRequest(&b, "id-1"), qt.IsNil)
	c.Assert(b.String(), qt.Equals, strings.Join([]string{
		`-2510.0 ms  vm1                  started`,
		`-2010.0 ms  vm1                  configuration in force revision=30 version=7`,
		`-1010.0 ms  vm1                  store does not answer revision=31`,
		` -510.0 ms  vm1                  backend server backend=b1 from=unknown service=s to=ready`,
		`  -10.0 ms  vm1                  decision backend=b1 decision=attempt_failed reason="no whole reply"`,
		`    0.0 ms  vm1                  request late=false ms=12 outcome=broken reason="no other backend server"`,
		``,
	}, "\n"))
	var missing *NotFoundError
	c.Assert(errors.As(log.WriteRequest(&b, "id-9"), &missing), qt.IsTrue)
}

// Checks the counts of causes, which exclude requests that succeeded in time.
func TestCauses(t *testing.T) {
	c := qt.New(t)
	log, err := Read(strings.NewReader(logLines))
	c.Assert(err, qt.IsNil)
	c.Assert(log.Causes(), qt.DeepEquals, []Cause{
		{Outcome: "answered, late", Reason: "parts left out", Requests: 2, Example: "id-3"},
		{Outcome: "broken", Reason: "no other backend server", Requests: 1, Example: "id-1"},
	})
}
