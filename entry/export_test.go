package entry

import "net/http"

// KnowsFleet reports whether the daemon shares the budget with the VMs that it
// knows, and no longer uses the limits of its start.
func (d *Daemon) KnowsFleet() bool { return d.engine.Share().Burst > startupMaxBurst }

// HeldBytes returns the memory held by requests and replies.
func (d *Daemon) HeldBytes() int64 { return d.requestMemory.Used() + d.replyMemory.Used() }

// NewCallerServer returns a server like the one that serves callers.
func (d *Daemon) NewCallerServer() *http.Server { return d.newServer(d) }
