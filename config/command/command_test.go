package command_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/config/command"
	"github.com/briarstand/briarstand/config/query"
	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/kvstore/httpkv"
	"github.com/briarstand/briarstand/kvstore/standin"
)

// fixture holds a stand-in of the platform's store, and a Writer that uses it.
type fixture struct {
	server *standin.Server
	store  *httpkv.Client
	writer *command.Writer
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	server := standin.New(standin.Config{})
	store, err := httpkv.New(httpkv.Config{BaseURL: "http://standin", Transport: server.Transport()})
	if err != nil {
		t.Fatal(err)
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &fixture{server: server, store: store, writer: command.New(store, func() time.Time { return start })}
}

func declaration() *config.Service {
	return &config.Service{
		Name: "tickets",
		Backends: []config.Backend{
			{ID: "b1", Address: "10.0.0.1:9000", Zone: "z1", Slots: 2, MaxConnections: 55},
			{ID: "b2", Address: "10.0.0.2:9000", Zone: "z2", Slots: 2, MaxConnections: 55},
		},
		Versions: []config.IndexVersion{{Name: "v1", Sequence: 1, Shards: [][]string{{"b1", "b2"}, {"b2"}}}},
		Policy:   config.DefaultPolicy(),
	}
}

func change(id string, expected int64) command.Change {
	return command.Change{ID: id, Operator: "asha", Reason: "test", ExpectedRevision: expected}
}

// TestLifeCycle checks that every change writes the declared document and an audit
// record.
func TestLifeCycle(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	defer f.server.Close()
	ctx := context.Background()
	created, err := f.writer.Create(ctx, declaration(), change("c1", 0))
	c.Assert(err, qt.IsNil)
	c.Assert(created.Versions, qt.DeepEquals, declaration().Versions)
	drained, err := f.writer.Drain(ctx, "tickets", "b1", change("c2", 0))
	c.Assert(err, qt.IsNil)
	c.Assert(drained.Backends[0].Draining, qt.IsTrue)
	c.Assert(drained.Audit[1].Before, qt.Equals, `{"backends":{"b1":{"draining":false}}}`)
	c.Assert(drained.Audit[1].After, qt.Equals, `{"backends":{"b1":{"draining":true}}}`)
	deleted, err := f.writer.Delete(ctx, "tickets", change("c3", drained.Revision))
	c.Assert(err, qt.IsNil)
	c.Assert(deleted.Deleted, qt.IsTrue)
	c.Assert(deleted.Audit, qt.HasLen, 3)
	repeated, err := f.writer.Create(ctx, declaration(), change("c1", 0))
	c.Assert(err, qt.IsNil)
	c.Assert(repeated.Revision, qt.Equals, created.Revision)
	c.Assert(repeated.Backends, qt.DeepEquals, created.Backends)
	c.Assert(f.server.Writes(), qt.HasLen, 3)
}

// TestArchive checks that archiving embedded records neither loses nor duplicates
// one, and that all can still be found, also when the reply to the archive write is
// lost or another VM already wrote the chunk.
func TestArchive(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFixture(t)
	defer f.server.Close()
	ctx := context.Background()
	first, err := f.writer.Create(ctx, declaration(), change("c0", 0))
	c.Assert(err, qt.IsNil)
	const changes = 100
	for i := 1; i <= changes; i++ {
		f.server.SetDropReplies(i % 2)
		svc, err := f.writer.Drain(ctx, "tickets", "b1", change(fmt.Sprintf("c%d", i), 0))
		c.Assert(err, qt.IsNil)
		c.Assert(len(svc.Audit) <= 64, qt.IsTrue)
	}
	records, err := query.New(f.store).Audit(ctx, "tickets", changes+10)
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.HasLen, changes+1)
	for i, r := range records {
		c.Assert(r.ChangeID, qt.Equals, fmt.Sprintf("c%d", changes-i))
	}
	writes := len(f.server.Writes())
	for _, id := range []string{"c100", "c60"} {
		_, err := f.writer.Drain(ctx, "tickets", "b1", change(id, 0))
		c.Assert(err, qt.IsNil)
	}
	second, err := f.writer.Drain(ctx, "tickets", "b1", change("c1", first.Revision))
	c.Assert(err, qt.IsNil)
	c.Assert(second.Revision, qt.Equals, first.Revision+1)
	c.Assert(f.server.Writes(), qt.HasLen, writes)
}

// TestOrphanedChunk checks that a record is removed from the document only if the
// stored chunk contains it. A chunk holds fewer records than expected if a VM wrote
// the chunk and then failed to write the document because of a conflict.
func TestOrphanedChunk(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	defer f.server.Close()
	ctx := context.Background()
	svc, err := f.writer.Create(ctx, declaration(), change("c0", 0))
	c.Assert(err, qt.IsNil)
	value, err := config.EncodeChunk(&config.AuditChunk{Service: "tickets", Records: svc.Audit})
	c.Assert(err, qt.IsNil)
	_, err = f.store.CompareAndSwap(ctx, config.AuditKey("tickets", svc.Revision), 0, value)
	c.Assert(err, qt.IsNil)
	f.writer.SetMaxEmbedded(8)
	for i := 1; i <= 20; i++ {
		_, err := f.writer.Restore(ctx, "tickets", "b1", change(fmt.Sprintf("c%d", i), 0))
		c.Assert(err, qt.IsNil)
	}
	records, err := query.New(f.store).Audit(ctx, "tickets", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.HasLen, 21)
}

// TestForeignChunk checks that no record is dropped when the key for the new chunk
// already holds a chunk with other records.
func TestForeignChunk(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	defer f.server.Close()
	ctx := context.Background()
	svc, err := f.writer.Create(ctx, declaration(), change("c0", 0))
	c.Assert(err, qt.IsNil)
	foreign := svc.Audit[0]
	foreign.ChangeID = "other"
	value, err := config.EncodeChunk(&config.AuditChunk{Service: "tickets", Records: []config.AuditRecord{foreign}})
	c.Assert(err, qt.IsNil)
	_, err = f.store.CompareAndSwap(ctx, config.AuditKey("tickets", svc.Revision), 0, value)
	c.Assert(err, qt.IsNil)
	f.writer.SetMaxEmbedded(1)
	_, err = f.writer.Drain(ctx, "tickets", "b1", change("c1", 0))
	c.Assert(err, qt.ErrorAs, new(*config.DocumentError))
	c.Assert(f.server.Writes(), qt.HasLen, 2)
}

// TestErrors checks that each failure is reported with the right error type. A wrong
// one would mislead operators about the state of the service.
func TestErrors(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	defer f.server.Close()
	ctx := context.Background()
	svc, err := f.writer.Create(ctx, declaration(), change("c1", 0))
	c.Assert(err, qt.IsNil)
	_, err = f.writer.Update(ctx, declaration(), change("c2", svc.Revision+5))
	var conflict *command.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(*conflict, qt.Equals, command.ConflictError{Service: "tickets", Expected: svc.Revision + 5, Actual: svc.Revision})
	_, err = f.writer.Create(ctx, declaration(), change("c3", 0))
	c.Assert(err, qt.ErrorAs, new(*command.ExistsError))
	_, err = f.writer.Drain(ctx, "tickets", "b9", change("c4", 0))
	c.Assert(err, qt.ErrorAs, new(*command.NotFoundError))
	_, err = f.writer.Delete(ctx, "absent", change("c5", 3))
	c.Assert(err, qt.ErrorAs, new(*command.NotFoundError))
	_, err = f.writer.Drain(ctx, "tickets", "b1", change("c1", 0))
	c.Assert(err, qt.ErrorAs, new(*command.ChangeIDReusedError))
	_, err = f.writer.Create(ctx, declaration(), command.Change{ID: "c\x00", ExpectedRevision: 4})
	var invalid *config.ValidationError
	c.Assert(errors.As(err, &invalid), qt.IsTrue)
	c.Assert(invalid.Fields, qt.HasLen, 3)
	f.server.SetDown(true)
	_, err = f.writer.Drain(ctx, "tickets", "b1", change("c6", 0))
	c.Assert(err, qt.ErrorAs, new(*kvstore.UnavailableError))
	f.server.SetDown(false)
	_, err = f.store.CompareAndSwap(ctx, config.ServiceKey("tickets"), svc.Revision, []byte("{"))
	c.Assert(err, qt.IsNil)
	_, err = f.writer.Drain(ctx, "tickets", "b1", change("c7", 0))
	c.Assert(err, qt.ErrorAs, new(*config.DocumentError))
}

// TestTargetSize checks that a service of the target size (2,100 backend servers,
// 990 shards, 2 replicas, 2 index versions) can be declared and changed within the
// limit of 1 MB, audit records included.
func TestTargetSize(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFixture(t)
	defer f.server.Close()
	ctx := context.Background()
	svc := &config.Service{Name: "site", Policy: config.DefaultPolicy()}
	for i := range 2100 {
		svc.Backends = append(svc.Backends, config.Backend{
			ID: fmt.Sprintf("searcher-attica-a-%04d", i), Address: fmt.Sprintf("10.20.%d.%d:9000", i/250, i%250+1),
			Zone: "attica-availability-zone-a", Region: "attica", Slots: 2, MaxConnections: 60,
		})
	}
	version := func(sequence int64) config.IndexVersion {
		v := config.IndexVersion{Name: fmt.Sprintf("v%d", sequence), Sequence: sequence}
		for shard := range 990 {
			v.Shards = append(v.Shards, []string{svc.Backends[shard].ID, svc.Backends[shard+990].ID})
		}
		return v
	}
	svc.Versions = []config.IndexVersion{version(1)}
	now, err := f.writer.Create(ctx, svc, change("create", 0))
	c.Assert(err, qt.IsNil)
	for b := range svc.Backends {
		svc.Backends[b].Slots, svc.Backends[b].MaxConnections = 3, 61
	}
	svc.Versions = append(svc.Versions, version(2))
	now, err = f.writer.Update(ctx, svc, change("update", now.Revision))
	c.Assert(err, qt.IsNil)
	c.Assert(now.NewestChunk, qt.Not(qt.Equals), int64(0))
	_, err = f.writer.Delete(ctx, "site", change("delete", now.Revision))
	c.Assert(err, qt.IsNil)
	records, err := query.New(f.store).Audit(ctx, "site", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.HasLen, 3)
}
