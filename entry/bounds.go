package entry

import (
	"time"

	"github.com/briarstand/briarstand/discovery"
	"github.com/briarstand/briarstand/mirror"
)

// The periods below follow from the bounds of the settings. The bounds are independent of
// each other: each period names those that it serves, and uses no other.

const (
	// sendTime is the time from the last check of a server's record until a request
	// reaches the server: the network between regions and a VM with little processor time.
	sendTime = 400 * time.Millisecond
	// storeCallTime is the time of a call to a slow store, from its start until the
	// records that it returns are in use.
	storeCallTime = 200 * time.Millisecond
	// serverReturnTime is the time after an outage of the store within which backend
	// servers whose leases ended register again, and VMs learn of it.
	serverReturnTime = 2300 * time.Millisecond
)

// useWindow returns the window in which a backend server that drains or is no longer listed
// may get requests while its service has no ready one.
func useWindow(set *Settings) discovery.Window {
	return discovery.Window{
		LastUse:     max(set.DrainBound/2, set.DrainBound-sendTime),
		AfterOutage: set.StabilityPeriod - sendTime, ReturnTime: serverReturnTime,
	}
}

// silentHeartbeats is the number of heartbeats without which the store removes the record
// of a backend server.
const silentHeartbeats = 3

// silencePeriod returns the time after which the record of a backend server that is gone is
// removed, and VMs have learned of it.
func silencePeriod(set *Settings) time.Duration {
	return silentHeartbeats*set.HeartbeatInterval + maxRecordsAge(set)
}

// leavingPeriod returns how long a server that says in an answer that it leaves may get
// requests while its service has no other. It counts from the answer.
func leavingPeriod(set *Settings) time.Duration { return set.DrainBound / 2 }

// maxRecordsAge returns the age of the records at which a VM calls the store itself,
// whatever its source says. Records hold servers and the configuration, so the shorter one
// of their bounds counts. The rest of it is left for a call to the store and for a request
// on its way to a server.
func maxRecordsAge(set *Settings) time.Duration {
	bound := set.DrainBound
	if set.ConfigBound > 0 {
		bound = min(bound, set.ConfigBound)
	}
	return max(minRecordsAge, bound/4, min(bound*3/4, bound-sendTime-storeCallTime))
}

// minRecordsAge keeps very short bounds, which no VM can meet, from flooding the store with
// calls.
const minRecordsAge = 100 * time.Millisecond

const (
	// maxWatchGrace is the longest time after which a watch that the store does not end
	// in time is given up. With the wait of the watch it is the time in which the source
	// of a zone (see mirror.Source) notices that the store no longer serves it.
	maxWatchGrace = 700 * time.Millisecond
	// retriesInStability is how many calls to the store a VM makes at least in the
	// stability period after the store, or its link to it, is back.
	retriesInStability = 4
)

// followerConfig returns the times with which a VM follows the store.
func followerConfig(set *Settings) mirror.FollowerConfig {
	age := maxRecordsAge(set)
	// Two watches and the pause between them, in which changes are batched to save billed
	// calls, end before age, so that a VM without a fault does not call the store itself.
	wait, pause := age/3, age*4/15
	cfg := mirror.FollowerConfig{
		BatchDelay: pause, WatchWait: wait, WatchGrace: min(maxWatchGrace, wait), MaxAge: age,
		RetryMax: mirror.DefaultRetryMax, PeerInterval: mirror.DefaultPeerInterval,
	}
	if set.StabilityPeriod > 0 {
		cfg.RetryMax = max(mirror.DefaultRetryMin, min(cfg.RetryMax, set.StabilityPeriod/retriesInStability))
		cfg.PeerInterval = min(cfg.PeerInterval, cfg.RetryMax)
	}
	return cfg
}
