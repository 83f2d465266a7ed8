package entry

// KnowsFleet reports whether the daemon shares the budget with the VMs that it
// knows, and no longer as at its start.
func (d *Daemon) KnowsFleet() bool { return d.engine.Share().Burst > startupMaxBurst }

// HeldBytes returns what requests and replies hold of the VM's memory.
func (d *Daemon) HeldBytes() int64 { return d.requestMemory.Used() + d.replyMemory.Used() }
