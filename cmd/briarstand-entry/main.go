// Command briarstand-entry is the daemon of an entry VM on the users' platform.
package main

import (
	"context"
	"os"

	"github.com/briarstand/briarstand/cli/entrycli"
)

func main() {
	os.Exit(entrycli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
