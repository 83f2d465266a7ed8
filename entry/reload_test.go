package entry

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/telemetry"
)

// Guards against reloaded bounds that do not reach the components that use
// them.
func TestReloadedBounds(t *testing.T) {
	c := qt.New(t)
	set := Settings{VMID: "vm1", Bounds: Bounds{BudgetPermille: 200, BudgetSlack: 1000, BudgetWindow: 10 * time.Second, MaxAddressTTL: 5 * time.Second}}
	d := New(set, nil, telemetry.NewLogger(io.Discard, log.ErrorLevel, telemetry.FieldVM, "vm1"))
	before := d.budgetShare(1)
	set.BudgetSlack, set.MaxAddressTTL, set.Zone = 500, time.Second, "moved"
	c.Assert(d.Reload(set), qt.DeepEquals, []string{"Zone"})
	c.Assert(d.budgetShare(1).Burst, qt.Equals, before.Burst/2)
	c.Assert(d.bounds.Load().MaxAddressTTL, qt.Equals, time.Second)
}
