// Command briarstandd is the daemon that runs on every entry VM.
package main

import (
	"context"
	"os"

	"github.com/briarstand/briarstand/cli"
)

func main() {
	os.Exit(cli.RunDaemon(context.Background(), os.Args, cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
