package limit

import "time"

const (
	// minAdaptiveLimit keeps some work running, so that there are signs from which
	// the ceiling can grow again, and lets a few requests that arrive close
	// together start at once.
	minAdaptiveLimit = 3
	// decreaseFactor is applied to the ceiling for each sign of congestion.
	decreaseFactor = 0.9
	// fastIncreaseDelay is the time without a cut after which the ceiling doubles with
	// each round of requests, instead of growing by one.
	fastIncreaseDelay = 500 * time.Millisecond
	// congestionWeight is the share of the newest request in the part of requests
	// that met congestion, and congestionThreshold the part above which the ceiling
	// shrinks: a pause of a single process is no congestion.
	congestionWeight    = 0.25
	congestionThreshold = 0.5
)

// ceiling adapts the number of requests that run at once to what the backend
// servers can take: it grows by one with each round of requests while it is in
// use, and shrinks by a factor while most requests meet congestion (additive
// increase, multiplicative decrease).
type adaptiveLimit struct {
	value          float64 // 0 before the first cut: no ceiling
	congestedRatio float64 // part of recent requests that met congestion
	lastDecrease   time.Time
}

// bound returns how many requests may run under a fixed limit.
func (l *adaptiveLimit) effective(limit int) int {
	if l.value == 0 {
		return limit
	}
	return min(limit, int(l.value))
}

// observe takes a request into account and reports whether the backend servers
// are congested.
func (l *adaptiveLimit) observe(congested bool) bool {
	sample := 0.0
	if congested {
		sample = 1
	}
	l.congestedRatio += congestionWeight * (sample - l.congestedRatio)
	return l.congestedRatio > congestionThreshold
}

// cut lowers the ceiling below the running requests, at most once in the time
// that a request takes, since later signs stem from the same excess.
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

// grow raises the ceiling after a request while there is no congestion and the
// ceiling is in use.
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
