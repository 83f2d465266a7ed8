// Command briarstandd runs the daemon of package server, which serves the caller
// and operator APIs on an entry VM.
package main

import (
	"context"
	"os"

	"github.com/briarstand/briarstand/cli"
)

func main() {
	os.Exit(cli.RunDaemon(context.Background(), os.Args, cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
