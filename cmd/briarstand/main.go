// Command briarstand operates and queries a briarstand deployment.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/briarstand/briarstand/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args, cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
