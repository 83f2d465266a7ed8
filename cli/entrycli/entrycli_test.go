package entrycli

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/platform"
)

const settings = `{"node_name":"vm1","ip":"127.0.0.1","zone":"z","region":"r","zones":{"z":"r"},
"listen_addrs":{"front":"127.0.0.1:0","ready":"127.0.0.1:0","control":"127.0.0.1:0","directory":"127.0.0.1:0"},
"bounds":{"drain_ms":3000,"grace_s":0.8,"retry_budget_ratio":0.2,"budget_window_s":10,"retry_budget_slack":126,"ttl_max_s":5},
"platform":{"address":"127.0.0.1:1","ttl_min_ms":1000}}`

func run(t *testing.T, ctx context.Context, text string, args ...string) (code int, out, errOut string) {
	path := filepath.Join(t.TempDir(), "settings.json")
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	var o, e strings.Builder
	code = Run(ctx, append([]string{"briarstand-entry", "--settings", path}, args...), &o, &e)
	return code, o.String(), e.String()
}

// Checks that --check names a setting that is not allowed.
func TestCheck(t *testing.T) {
	c := qt.New(t)
	code, out, _ := run(t, context.Background(), settings, "--check")
	c.Assert(code, qt.Equals, ExitOK)
	c.Assert(out, qt.Matches, ".*settings of VM vm1 are valid\n")
	code, _, errOut := run(t, context.Background(), strings.Replace(settings, `"drain_ms":3000`, `"drain_ms":-1`, 1), "--check")
	c.Assert(code, qt.Equals, ExitFailed)
	c.Assert(errOut, qt.Contains, "setting bounds.drain_ms is -1, allowed is above 0")
	t.Setenv(platform.SettingsVariable, "")
	var o, e strings.Builder
	c.Assert(Run(context.Background(), []string{"briarstand-entry"}, &o, &e), qt.Equals, ExitFailed)
}

// Checks that a daemon stops in time during an outage of the store, and that it logs
// its start and stop.
func TestRunWithoutStore(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	start := time.Now()
	code, out, errOut := run(t, ctx, settings)
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", errOut))
	c.Assert(time.Since(start) < 2*time.Second, qt.IsTrue)
	for _, line := range []string{`"msg":"started"`, `"msg":"store does not answer"`, `"msg":"leaving"`, `"msg":"stopped"`} {
		c.Check(strings.Contains(out, line), qt.IsTrue, qt.Commentf("%s in %s", line, out))
	}
}

// Guards against a process that ends by a SIGHUP before it has read its settings, or while
// it stops.
func TestHangupOutsideOfRun(t *testing.T) {
	hangUp := func() {
		qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
		time.Sleep(50 * time.Millisecond) // this process would be ended
	}
	hangUp()
	code, _, errOut := run(t, context.Background(), settings, "--check")
	qt.Assert(t, code, qt.Equals, ExitOK, qt.Commentf(errOut))
	hangUp()
}
