// Package hangup catches SIGHUP, which terminates a process that does not catch it, from
// the initialization of the program on.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// The platform may send SIGHUP as soon as a process exists. Packages are initialized
// before main, and this one has few dependencies and so comes early.
var signals = catch()

func catch() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals receives SIGHUP, for as long as the process lives.
func Signals() <-chan os.Signal { return signals }
