// Package contain recovers from panics, so that a panic ends only the task in
// which it occurs and not the process.
package contain

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// Panics recovers from panics, logs and counts them. A nil Panics lets them
// propagate in Recover and Loop.
type Panics struct {
	logger *log.Logger
	count  *metrics.Counter
}

// PanicError reports a task that panicked.
type PanicError struct {
	Task  string
	Value any
}

func (e *PanicError) Error() string { return fmt.Sprintf("%s: panic: %v", e.Task, e.Value) }

// New returns a Panics that logs to logger and increments count.
func New(logger *log.Logger, count *metrics.Counter) *Panics {
	return &Panics{logger: logger, count: count}
}

// Recover, called with defer, recovers from a panic of the task and then calls
// onPanic unless it is nil.
func (p *Panics) Recover(task string, onPanic func(err error)) {
	if p == nil {
		return
	}
	value := recover()
	if value == nil {
		return
	}
	err := p.record(task, value)
	if onPanic != nil {
		onPanic(err)
	}
}

func (p *Panics) record(task string, value any) error {
	p.count.Inc()
	p.logger.Error("panic", "work", task, "value", fmt.Sprint(value), "stack", string(debug.Stack()))
	return &PanicError{Task: task, Value: value}
}

// restartDelay is the pause before Loop restarts a task. It prevents a busy loop if
// the task panics at once after each restart.
const restartDelay = time.Second

// Loop runs a task that returns when the context ends, and restarts it after a
// panic.
func (p *Panics) Loop(ctx context.Context, task string, run func(ctx context.Context)) {
	for p.runOnce(ctx, task, run) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartDelay):
		}
	}
}

func (p *Panics) runOnce(ctx context.Context, task string, run func(ctx context.Context)) (panicked bool) {
	defer p.Recover(task, func(error) { panicked = true })
	run(ctx)
	return false
}

// Handler returns a handler that runs h and closes the connection if h panics,
// because part of the answer may have been sent. It logs and counts panics other
// than http.ErrAbortHandler.
func (p *Panics) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if err, ok := value.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				_ = p.record("request from "+r.RemoteAddr, value) // the connection is closed below
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}
