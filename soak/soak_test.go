package soak

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/cli/entrycli"
)

// daemonEnv is the environment variable that makes the test binary run as the
// entry daemon.
const daemonEnv = "BRIARSTAND_SOAK_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonEnv) != "" {
		os.Exit(entrycli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// regressions maps seeds that have failed before to the cause.
var regressions = map[uint64]string{}

// Checks the guarantees to callers and backend servers under consecutive and
// overlapping faults, in a short run with a fixed seed and in one for each seed that
// has failed before.
func TestSoak(t *testing.T) {
	t.Setenv(daemonEnv, "1")
	seeds := map[uint64]string{20261204: "the run in CI"}
	for seed, cause := range regressions {
		seeds[seed] = cause
	}
	for seed, cause := range seeds {
		dir := t.TempDir()
		r, err := Run(context.Background(), Config{
			Binary: os.Args[0], Dir: dir, Seed: seed, VMs: 4, Duration: 8 * time.Second, Log: t.Logf,
		})
		qt.Assert(t, err, qt.IsNil)
		t.Logf("seed %d (%s): %d requests, %d served", seed, cause, r.Requests, r.Served)
		qt.Check(t, r.Served > 0, qt.IsTrue)
		if !qt.Check(t, r.Violations, qt.HasLen, 0, qt.Commentf("seed %d", seed)) {
			logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
			qt.Assert(t, err, qt.IsNil)
			for _, path := range logs {
				text, err := os.ReadFile(path)
				qt.Assert(t, err, qt.IsNil)
				t.Logf("%s:\n%s", filepath.Base(path), text[max(0, len(text)-4000):])
			}
		}
	}
}
