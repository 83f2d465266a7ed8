// Package process holds the signal handling that the daemons share.
package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
)

// UntilSignal returns a context that ends at the first SIGTERM or SIGINT. Later
// signals are only logged, so that a supervisor that repeats its signal does not
// abort requests.
func UntilSignal(ctx context.Context, logger *log.Logger) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 4)
	done := make(chan struct{})
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		for {
			select {
			case <-done:
				return
			case sig := <-signals:
				logger.Info("signal", "signal", sig.String(), "already_leaving", ctx.Err() != nil)
				cancel()
			}
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		close(done)
		cancel()
	}
}
