package entry

// KnowsFleet reports whether the daemon shares the budget with the VMs that it
// knows, and no longer as at its start.
func (d *Daemon) KnowsFleet() bool { return d.engine.Share().Burst > startBurst }
