package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/entry"
	"github.com/briarstand/briarstand/platform"
	"github.com/briarstand/briarstand/telemetry"
)

// blockingWriter blocks until it is released.
type blockingWriter struct {
	release chan struct{}
	text    strings.Builder
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.text.Write(p)
}

// Checks that a log writer that blocks does not delay requests, and that the
// log lines of ordinary requests are limited while those of failed requests are
// all kept.
func TestLogVolumeUnderLoad(t *testing.T) {
	f := newFixture(t)
	f.backend("q1", "quotes", "bytes")
	f.store.Configure(1, single("quote", "quotes", "idempotent"), single("dead", "absent", "idempotent"))
	w := &blockingWriter{release: make(chan struct{})}
	const queue = 1000
	lines := telemetry.NewAsyncWriter(w, queue)
	var s platform.Settings
	s.Store.Address = f.store.Address()
	d := entry.New(entry.Settings{
		VMID: "vm1", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", ResolveAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		DrainBound: 3 * time.Second, MinLease: time.Second,
		Bounds: entry.Bounds{
			StopGrace: 600 * time.Millisecond, MaxAddressTTL: time.Second,
			BudgetPermille: 200, BudgetSlack: 100, BudgetWindow: 10 * time.Second,
		},
	}, platform.New(&s), telemetry.NewLogger(lines, log.InfoLevel))
	f.Assert(d.Listen(), qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	v := &vm{daemon: d, settings: d.Settings()}
	f.eventually(5*time.Second, "ready", func() bool { return f.status(v, v.settings.ReadyAddress, "/readiness") == http.StatusOK })

	const (
		requests, failing = 1500, 100
		goal              = 300 * time.Millisecond // of the route
	)
	start := time.Now()
	var wg sync.WaitGroup
	for worker := range 10 {
		wg.Go(func() {
			for i := range requests / 10 {
				f.Check(f.ask(v, "GET", "/quote/x", fmt.Sprint("ok-", worker, "-", i), "", 5*time.Second).status, qt.Equals, http.StatusOK)
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start)
	for i := range failing {
		f.Check(f.ask(v, "GET", "/dead/x", fmt.Sprint("dead-", i), "", time.Second).status, qt.Equals, http.StatusServiceUnavailable)
	}
	stop()
	f.Assert(<-done, qt.IsNil)
	close(w.release)
	lines.Close()
	ordinary, late, kept := 0, 0, 0
	for line := range strings.SplitSeq(w.text.String(), "\n") {
		var l struct {
			Message string `json:"msg"`
			ID      string `json:"request_id"`
			Late    bool   `json:"late"`
			Millis  int64  `json:"ms"`
		}
		if json.Unmarshal([]byte(line), &l) != nil || l.Message != "request" {
			continue
		}
		switch {
		case !strings.HasPrefix(l.ID, "ok-"):
			kept++
		case l.Late && l.Millis >= goal.Milliseconds():
			late++ // always logged
		default:
			ordinary++
		}
	}
	f.Check(kept, qt.Equals, failing)
	// The rate limit is 20 lines a second with a burst of 20.
	f.Check(ordinary <= 20*(2+int(elapsed.Seconds())), qt.IsTrue, qt.Commentf("%d lines in %v, and %d of late requests", ordinary, elapsed, late))
	f.Check(lines.Dropped(), qt.Equals, uint64(0))
}
