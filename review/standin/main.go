package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the scripts by name. Each returns whether the rule held.
var cases = map[string]func(record string) (held bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		killProcesses()
		os.Exit(exitNotRun)
	}()
	held, err := cases[os.Args[1]](os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case !held:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
