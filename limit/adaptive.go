package limit

import "time"

const (
	// minAdaptiveLimit keeps enough requests running to observe when the limit can
	// increase again, and lets a few requests that arrive close together start
	// immediately.
	minAdaptiveLimit = 3
	// decreaseFactor is applied to the limit for each decrease.
	decreaseFactor = 0.9
	// fastIncreaseDelay is the time without a decrease after which the limit
	// doubles with each round of requests, instead of growing by one.
	fastIncreaseDelay = 500 * time.Millisecond
	// congestionWeight is the EWMA weight of the newest request in the fraction of
	// requests that met congestion. The limit decreases only while this fraction is
	// above congestionThreshold, so that a pause of a single process does not count
	// as congestion.
	congestionWeight    = 0.25
	congestionThreshold = 0.5
)

// adaptiveLimit adapts the concurrency limit to the capacity of the backend
// servers by additive increase, multiplicative decrease (AIMD): it grows by one
// with each round of requests while it is reached, and shrinks by a factor while
// most requests meet congestion.
type adaptiveLimit struct {
	value          float64 // 0 while only the configured limit applies, as before the first decrease
	congestedRatio float64 // EWMA of the fraction of requests that met congestion
	lastDecrease   time.Time
}

// effective returns the lower of the adaptive and the configured limit.
func (l *adaptiveLimit) effective(limit int) int {
	if l.value == 0 {
		return limit
	}
	return min(limit, int(l.value))
}

// observe records a request and reports whether the backend servers are congested.
func (l *adaptiveLimit) observe(congested bool) bool {
	sample := 0.0
	if congested {
		sample = 1
	}
	l.congestedRatio += congestionWeight * (sample - l.congestedRatio)
	return l.congestedRatio > congestionThreshold
}

// decrease sets the limit below the number of running requests. It does so at most
// once per service time, since signs of congestion within that time have the same
// cause.
func (l *adaptiveLimit) decrease(now time.Time, running, limit int, serviceTime time.Duration) {
	if now.Sub(l.lastDecrease) < serviceTime {
		return
	}
	value := float64(min(running, limit))
	if l.value > 0 {
		value = min(value, l.value)
	}
	l.value = max(minAdaptiveLimit, value*decreaseFactor)
	l.lastDecrease = now
}

// increase raises the limit. It is called after a request if the backend servers are
// not congested and as many requests run as the limit allows.
func (l *adaptiveLimit) increase(now time.Time, limit int) {
	if l.value == 0 {
		return
	}
	step := 1 / l.value
	if now.Sub(l.lastDecrease) >= fastIncreaseDelay {
		step = 1
	}
	if l.value += step; l.value >= float64(limit) {
		l.value = 0
	}
}
