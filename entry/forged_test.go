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

// record returns the server's record in the store.
func (f *fixture) record(b *standin.Backend) string {
	items := f.store.Items("servers/" + b.ID)
	f.Assert(items, qt.HasLen, 1)
	return string(items[0].Value)
}

// Guards against the key of another writer's record that changes requests or adds one (review/6).
func TestForgedKeyLeavesRequestsUnchanged(t *testing.T) {
	f := newFixture(t)
	q := f.backend("q1", "quotes", "bytes")
	f.store.Configure(1, single("quote", "quotes", "non_idempotent"))
	v := f.start("vm1", true)
	sound := f.record(q)
	for _, key := range []string{
		"servers/q1\n", "servers/q1\r\n", "servers/x\r\n\r\nGET /quote/smuggled HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: smuggled\r\nX-Target-Instance: q1",
	} {
		f.store.Put(key, []byte(sound))
	}
	f.eventually(5*time.Second, "the records are read", func() bool { return strings.Count(f.logs.String(), "record ignored") == 3 })
	sent := map[string]bool{}
	for i := range 30 {
		id := fmt.Sprint("id-", i)
		sent[id] = true
		f.Check(f.ask(v, "POST", "/quote/x", id, "one seat", time.Second).status, qt.Equals, http.StatusOK)
	}
	f.Check(q.Runs(), qt.HasLen, len(sent))
	for _, r := range q.Runs() {
		f.Check(sent[r.ID] && r.Method == "POST" && r.Target == "/quote/x" && r.Body == "one seat", qt.IsTrue, qt.Commentf("%+v", r))
	}
}

// Guards against another writer's record that takes a server into another service (review/7).
func TestForgedRecordNamesNoServer(t *testing.T) {
	f := newFixture(t)
	f.backend("q1", "quotes", "bytes")
	stock := f.backend("s1", "stock", "bytes")
	f.backend("s2", "stock", "bytes")
	f.store.Configure(1, single("quote", "quotes", "idempotent"))
	v := f.start("vm1", true)
	sound := f.record(stock)
	for _, change := range [][]string{
		{`"service":"stock"`, `"service":"quotes"`, `"born"`, `"borne"`},
		{`"service":"stock"`, `"service":"quotes"`, `"born"`, `"BORN"`},
		{`"service":"stock"`, `"service":"quotes"`, `"v1"`, "\"v\xff\xfe\""},
	} {
		forged := strings.NewReplacer(change...).Replace(sound)
		f.Assert(forged, qt.Not(qt.Equals), sound)
		ignored := strings.Count(f.logs.String(), "record ignored")
		f.store.Put("servers/s1", []byte(forged))
		f.eventually(5*time.Second, "the record is read", func() bool { return strings.Count(f.logs.String(), "record ignored") > ignored })
		f.Check(v.daemon.Report().Services["quotes"].Ready, qt.DeepEquals, []string{"q1"})
		f.Check(v.daemon.Report().Services["stock"].Ready, qt.DeepEquals, []string{"s2"})
		f.store.Put("servers/s1", []byte(sound)) // the server writes its own record again
		f.eventually(5*time.Second, "the server is in use again", func() bool { return len(v.daemon.Report().Services["stock"].Ready) == 2 })
	}
}
