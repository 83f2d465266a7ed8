package command_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/config/command"
	"github.com/briarstand/briarstand/platform/httpkv"
	"github.com/briarstand/briarstand/platform/standin"
)

// fixture is a stand-in of the platform with the commands on it.
type fixture struct {
	server   *standin.Server
	store    *httpkv.Client
	commands *command.Commands
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	server := standin.New(standin.Config{})
	store, err := httpkv.New(httpkv.Config{BaseURL: "http://standin", Transport: server.Transport()})
	if err != nil {
		t.Fatal(err)
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &fixture{server: server, store: store, commands: command.New(store, func() time.Time { return start })}
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

// TestLifeCycle guards against a change that writes another document than the
// one declared, or no audit record.
func TestLifeCycle(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	defer f.server.Close()
	ctx := context.Background()
	created, err := f.commands.Create(ctx, declaration(), change("c1", 0))
	c.Assert(err, qt.IsNil)
	c.Assert(created.Versions, qt.DeepEquals, declaration().Versions)
	drained, err := f.commands.Drain(ctx, "tickets", "b1", change("c2", 0))
	c.Assert(err, qt.IsNil)
	c.Assert(drained.Backends[0].Draining, qt.IsTrue)
	c.Assert(drained.Audit[1].Before, qt.Equals, `{"backends":{"b1":{"draining":false}}}`)
	c.Assert(drained.Audit[1].After, qt.Equals, `{"backends":{"b1":{"draining":true}}}`)
	deleted, err := f.commands.Delete(ctx, "tickets", change("c3", drained.Revision))
	c.Assert(err, qt.IsNil)
	c.Assert(deleted.Deleted, qt.IsTrue)
	c.Assert(deleted.Audit, qt.HasLen, 3)
	repeated, err := f.commands.Create(ctx, declaration(), change("c1", 0))
	c.Assert(err, qt.IsNil)
	c.Assert(repeated.Revision, qt.Equals, created.Revision)
	c.Assert(repeated.Backends, qt.DeepEquals, created.Backends)
	c.Assert(f.server.Writes(), qt.HasLen, 3)
}
