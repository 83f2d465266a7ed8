package entrycli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lockedBuffer is a log that can be read while it is written.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Checks that a changed settings file is applied with and without a signal, that an
// invalid one is not, and that SIGHUP does not terminate the daemon.
func TestReload(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(changes ...string) {
		c.Assert(os.WriteFile(path, []byte(strings.NewReplacer(changes...).Replace(settings)), 0o600), qt.IsNil)
	}
	write()
	var out lockedBuffer
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan int)
	go func() { done <- Run(ctx, []string{"briarstand-entry", "--settings", path}, &out, &out) }()
	logged := func(line string, times int) {
		t.Helper()
		for end := time.Now().Add(2 * reloadInterval); strings.Count(out.String(), line) < times; time.Sleep(20 * time.Millisecond) {
			c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%d times %s in\n%s", times, line, out.String()))
		}
		c.Assert(strings.Count(out.String(), line), qt.Equals, times)
	}
	logged(`"msg":"started"`, 1)

	write(`"ttl_max_s":5`, `"ttl_max_s":1`, `"drain_ms":3000`, `"drain_ms":4000`)
	logged(`"changed":true,"at_next_start":["DrainBound"]`, 1)
	write(`"ttl_max_s":5`, `"ttl_max_s":-1`)
	logged(`"msg":"settings not reloaded, the old ones stay"`, 1)
	c.Assert(out.String(), qt.Contains, "setting bounds.ttl_max_s is -1, allowed is above 0")
	c.Assert(syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	logged(`"msg":"settings not reloaded, the old ones stay"`, 2)
	write()
	c.Assert(syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	logged(`"changed":true,"at_next_start":[]`, 1)
	stop()
	c.Assert(<-done, qt.Equals, ExitOK)
}
