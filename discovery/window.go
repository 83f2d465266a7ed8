package discovery

import "time"

// Window derives until when a server may be used whose record says that it leaves, or is
// gone. Nothing else does, for records: whatever a VM learns late or keeps for a time, the
// end counts from the earliest moment at which the store can have acknowledged the change.
type Window struct {
	// LastUse is the time from the acknowledgement until the last request may be sent.
	LastUse time.Duration
	// AfterOutage is the time from the end of an outage of the store for which the bound
	// of LastUse does not apply, and ReturnTime how long after an outage servers whose
	// leases ended may take to register again, both less the time to send a request.
	AfterOutage, ReturnTime time.Duration
}

// Origin is what a VM knows about when the store acknowledged the changes of an Update.
type Origin struct {
	// After is a moment after which the store acknowledged them, the zero time if none is
	// known.
	After time.Time
	// Away is the last moment at which the store is known to have been away for all VMs,
	// if records went while it was; else the zero time.
	Away time.Time
}

// Until says until when servers may get requests, while their service has no ready one,
// that an Update finds to be no longer ready.
type Until struct {
	// Leaving applies to servers that begin to drain, Expired to those that are no
	// longer listed.
	Leaving, Expired time.Time
}

// Until returns until when servers may be used that are found to be no longer ready now.
func (w Window) Until(o Origin, now time.Time) Until {
	until := Until{Leaving: o.After.Add(w.LastUse)}
	until.Expired = until.Leaving
	if o.Away.After(o.After) {
		returned, bounded := now.Add(w.ReturnTime), o.Away.Add(w.AfterOutage)
		if bounded.Before(returned) {
			returned = bounded
		}
		if returned.After(until.Expired) {
			until.Expired = returned
		}
	}
	return until
}
