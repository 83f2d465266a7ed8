package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/standin"
)

// Guards against a status that HTTP does not define, such as 000 or 999, that reaches callers or counts as a part.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	f := newFixture(t)
	faulty := f.backend("q1", "quotes", "bytes")
	f.backend("a1", "shard-a", record('a'))
	shard := f.backend("b1", "shard-b", record('b'))
	f.store.Configure(1, single("quote", "quotes", "idempotent"), single("book", "quotes", "non_idempotent"),
		scattered("find", 0.5, "shard-a", "shard-b"), scattered("all", 1, "shard-a", "shard-b"))
	near, far := f.start("vm2", true), f.startIn("attica-b", "vm1", true, 600*time.Millisecond)
	f.eventually(10*time.Second, "relayed", func() bool {
		f.ask(far, "GET", "/find/x", "probe", "", time.Second)
		return strings.Contains(f.logs.String(), `"relayed":2`)
	})
	for i, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 0 OK"} {
		faulty.SetBehavior(standin.Behavior{StatusLine: line})
		shard.SetBehavior(standin.Behavior{StatusLine: line})
		for _, vm := range []*vm{near, far} {
			id := func(kind string) string { return fmt.Sprint(kind, "-", vm.settings.VMID, "-", i) }
			for kind, method := range map[string]string{"quote": "GET", "book": "POST", "all": "GET"} {
				a := f.ask(vm, method, "/"+kind+"/x", id(kind), "", 500*time.Millisecond)
				f.Check(a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout, qt.IsTrue, qt.Commentf("%s, %s at %s: status %d", line, kind, vm.settings.VMID, a.status))
				f.Check(a.header.Get("X-Server-Seal"), qt.Equals, "")
			}
			a := f.ask(vm, "GET", "/find/x", id("find"), "", 500*time.Millisecond)
			f.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s at %s", line, vm.settings.VMID))
			f.Check(a.header.Get("X-Missing-Parts"), qt.Equals, "1")
			f.Check(a.body, qt.Equals, record('a'))
		}
	}
}
