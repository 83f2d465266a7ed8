package limit

import "time"

const (
	// leastCeiling keeps some work running, so that there are signs from which
	// the ceiling can grow again, and lets a few requests that arrive close
	// together start at once.
	leastCeiling = 3
	// cutFactor is applied to the ceiling for each sign of congestion.
	cutFactor = 0.9
	// calmTime is the time without a cut after which the ceiling doubles with
	// each round of requests, instead of growing by one.
	calmTime = 500 * time.Millisecond
	// signWeight is the share of the newest request in the part of requests
	// that met congestion, and mostCongested the part above which the ceiling
	// shrinks: a pause of a single process is no congestion.
	signWeight    = 0.25
	mostCongested = 0.5
)

// ceiling adapts the number of requests that run at once to what the backend
// servers can take: it grows by one with each round of requests while it is in
// use, and shrinks by a factor while most requests meet congestion (additive
// increase, multiplicative decrease).
type ceiling struct {
	value     float64 // 0 before the first cut: no ceiling
	congested float64 // part of recent requests that met congestion
	lastCut   time.Time
}

// bound returns how many requests may run under a fixed limit.
func (c *ceiling) bound(limit int) int {
	if c.value == 0 {
		return limit
	}
	return min(limit, int(c.value))
}

// observe takes a request into account and reports whether the backend servers
// are congested.
func (c *ceiling) observe(congested bool) bool {
	sign := 0.0
	if congested {
		sign = 1
	}
	c.congested += signWeight * (sign - c.congested)
	return c.congested > mostCongested
}

// cut lowers the ceiling below the running requests, at most once in the time
// that a request takes, since later signs stem from the same excess.
func (c *ceiling) cut(now time.Time, running, limit int, serviceTime time.Duration) {
	if now.Sub(c.lastCut) < serviceTime {
		return
	}
	value := float64(min(running, limit))
	if c.value > 0 {
		value = min(value, c.value)
	}
	c.value = max(leastCeiling, value*cutFactor)
	c.lastCut = now
}

// grow raises the ceiling after a request while there is no congestion and the
// ceiling is in use.
func (c *ceiling) grow(now time.Time, limit int) {
	if c.value == 0 {
		return
	}
	step := 1 / c.value
	if now.Sub(c.lastCut) >= calmTime {
		step = 1
	}
	if c.value += step; c.value >= float64(limit) {
		c.value = 0
	}
}
