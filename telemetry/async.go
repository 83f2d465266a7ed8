package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter forwards log lines to a writer without blocking the goroutine that
// logs. Lines written while the queue is full are dropped and counted.
type AsyncWriter struct {
	queue     chan []byte
	dropped   atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once
}

// NewAsyncWriter returns a writer that queues up to the given number of lines.
// Close stops it.
func NewAsyncWriter(w io.Writer, queue int) *AsyncWriter {
	a := &AsyncWriter{queue: make(chan []byte, queue), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write queues a copy of one line. It never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	reported := uint64(0)
	for line := range a.queue {
		// An error in writing the log cannot be reported anywhere.
		_, _ = w.Write(line)
		if n := a.dropped.Load(); n != reported && len(a.queue) == 0 {
			_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"total\":%d}\n", n)
			reported = n
		}
		if line == nil {
			return
		}
	}
}

// Close writes the queued lines and stops the writer. Later lines are lost.
func (a *AsyncWriter) Close() {
	a.closeOnce.Do(func() {
		a.queue <- nil
		<-a.done
	})
}
