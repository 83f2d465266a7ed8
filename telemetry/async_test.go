package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.text.Write(p)
}

// Checks that a writer that blocks does not block the goroutines that log, and that
// dropped lines are reported.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	c := qt.New(t)
	w := &blockedWriter{release: make(chan struct{})}
	a := NewAsyncWriter(w, 10)
	start := time.Now()
	for i := range 10000 {
		n, err := a.Write(fmt.Appendf(nil, "line %d\n", i))
		c.Assert(err, qt.IsNil)
		c.Assert(n > 0, qt.IsTrue)
	}
	c.Assert(time.Since(start) < time.Second, qt.IsTrue)
	close(w.release)
	a.Close()
	lines := strings.Split(strings.TrimSpace(w.text.String()), "\n")
	c.Assert(len(lines) <= 12, qt.IsTrue)
	c.Assert(lines[len(lines)-1], qt.Equals, fmt.Sprintf(`{"level":"warn","msg":"log lines dropped","total":%d}`, a.Dropped()))
	c.Assert(a.Dropped() >= 10000-11, qt.IsTrue)
}
