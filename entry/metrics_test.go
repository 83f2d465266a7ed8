package entry_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/entry"
	"github.com/briarstand/briarstand/platform"
	"github.com/briarstand/briarstand/telemetry"
)

// Guards against undocumented metrics.
func TestMetricsAreDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/metrics-entry.md")
	c.Assert(err, qt.IsNil)
	d := entry.New(entry.Settings{VMID: "vm1"}, platform.New(&platform.Settings{}), telemetry.NewLogger(&syncBuffer{}, 0))
	names := d.Metrics().ListMetricNames()
	c.Assert(len(names) > 10, qt.IsTrue)
	for _, name := range names {
		name, _, _ = strings.Cut(name, "{")
		c.Check(strings.Contains(string(page), "`"+name+"`") || strings.Contains(string(page), "`"+name+"{"), qt.IsTrue, qt.Commentf(name))
	}
}
