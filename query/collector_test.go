package query

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
)

// statusPicker records how sub-requests ended.
type statusPicker struct {
	Picker
	ended []backend.Status
}

func (p *statusPicker) Finished(_ string, _ time.Duration, status backend.Status) {
	p.ended = append(p.ended, status)
}

// A backend server may report Failed for a sub-request that the query cancelled. The
// picker must see Cancelled, or it would avoid the replica; the query must see
// Failed, because the sub-request ran.
func TestCancelledIsNoFailure(t *testing.T) {
	c := qt.New(t)
	picker := &statusPicker{}
	col := newCollector(picker, 3)
	for range 3 {
		col.add(attempt{backend: &config.Backend{ID: "b"}, start: time.Now()})
	}
	c.Assert(col.markCancelled(0), qt.IsTrue)
	col.Deliver(0, backend.Reply{Status: backend.Failed})
	col.Deliver(1, backend.Reply{Status: backend.Failed})
	col.Deliver(2, backend.Reply{Status: backend.OK})
	c.Assert(col.markCancelled(2), qt.IsFalse)
	c.Assert(picker.ended, qt.DeepEquals, []backend.Status{backend.Cancelled, backend.Failed, backend.OK})
	c.Assert(col.swapInbox(nil)[0].reply.Status, qt.Equals, backend.Failed)
}
