package query_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/config/command"
	"github.com/briarstand/briarstand/config/query"
	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/kvstore/httpkv"
	"github.com/briarstand/briarstand/kvstore/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestQueries checks that a deleted service is not returned but keeps its audit
// trail, that a corrupt document does not hide others, and that a missing archived
// chunk is an error.
func TestQueries(t *testing.T) {
	c := qt.New(t)
	server := standin.New(standin.Config{})
	defer server.Close()
	store, err := httpkv.New(httpkv.Config{BaseURL: "http://standin", Transport: server.Transport()})
	c.Assert(err, qt.IsNil)
	writer, reader := command.New(store, time.Now), query.New(store)
	ctx := context.Background()
	change := command.Change{ID: "c1", Operator: "asha"}
	for _, name := range []string{"b", "a", "gone"} {
		_, err := writer.Create(ctx, &config.Service{Name: name}, change)
		c.Assert(err, qt.IsNil)
	}
	revision, err := reader.Revision(ctx, "gone")
	c.Assert(err, qt.IsNil)
	tombstone, err := writer.Delete(ctx, "gone", command.Change{ID: "c2", Operator: "asha", ExpectedRevision: revision})
	c.Assert(err, qt.IsNil)
	_, err = reader.Get(ctx, "gone")
	var missing *query.NotFoundError
	c.Assert(errors.As(err, &missing), qt.IsTrue)
	c.Assert(missing.Revision, qt.Equals, tombstone.Revision)
	records, err := reader.Audit(ctx, "gone", 1)
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.HasLen, 1)
	c.Assert(records[0].ChangeID, qt.Equals, "c2")
	_, err = store.CompareAndSwap(ctx, config.ServiceKey("bad"), 0, []byte("{}"))
	c.Assert(err, qt.IsNil)
	services, corrupt, err := reader.List(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert([]string{services[0].Name, services[1].Name}, qt.DeepEquals, []string{"a", "b"})
	c.Assert(corrupt, qt.HasLen, 1)
	_, err = reader.Get(ctx, "../accepted/a")
	c.Assert(err, qt.ErrorAs, new(*config.FieldError))
	// The document refers to an archived chunk that does not exist.
	svc, err := reader.Get(ctx, "a")
	c.Assert(err, qt.IsNil)
	svc.NewestChunk = 1
	value, err := config.Encode(svc)
	c.Assert(err, qt.IsNil)
	_, err = store.CompareAndSwap(ctx, config.ServiceKey("a"), svc.Revision, value)
	c.Assert(err, qt.IsNil)
	_, err = reader.Audit(ctx, "a", 0)
	c.Assert(err, qt.ErrorAs, new(*config.DocumentError))
	server.SetDown(true)
	_, _, err = reader.List(ctx)
	c.Assert(err, qt.ErrorAs, new(*kvstore.UnavailableError))
}
