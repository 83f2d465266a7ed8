// Command briarstand-entry runs the daemon of package entry, which serves callers
// over plain HTTP on an entry VM of the users' platform.
package main

import (
	"context"
	"os"

	"github.com/briarstand/briarstand/cli/entrycli"
)

func main() {
	os.Exit(entrycli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
