// Package contain keeps a panic from ending the process: it ends only the piece
// of work that it comes from.
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

// Panics logs and counts panics. A nil Panics lets them pass.
type Panics struct {
	logger *log.Logger
	count  *metrics.Counter
}

// PanicError reports work that ended in a panic.
type PanicError struct {
	Task  string
	Value any
}

func (e *PanicError) Error() string { return fmt.Sprintf("%s: panic: %v", e.Task, e.Value) }

// New returns Panics that log to logger and add to count.
func New(logger *log.Logger, count *metrics.Counter) *Panics {
	return &Panics{logger: logger, count: count}
}

// Recover is deferred by a piece of work. After a panic it calls then, unless it
// is nil.
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

// restartDelay is the pause before a loop that panicked starts again: it may panic
// at once.
const restartDelay = time.Second

// Loop runs work that ends with the context, and starts it again after a panic.
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

// Handler ends the connection of a request that panics, as an answer may have
// begun.
func (p *Panics) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if err, ok := value.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				_ = p.record("request from "+r.RemoteAddr, value) // ended below
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}
