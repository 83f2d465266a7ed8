package balance

import (
	"math"
	"sync/atomic"
	"time"
)

// tickLength is the resolution of the timestamp in a decayingValue. At this
// resolution a 32-bit tick count lasts for two years of uptime.
const tickLength = 16 * time.Millisecond

// decayingValue holds a number and the time of its last update, from which
// readers compute the exponential decay. Both share one 64-bit word, so that an
// update is a single compare-and-swap.
type decayingValue struct{ packed atomic.Uint64 }

func (d *decayingValue) load() (value float64, tick uint32) { return unpack(d.packed.Load()) }

func unpack(word uint64) (value float64, tick uint32) {
	return float64(math.Float32frombits(uint32(word >> 32))), uint32(word)
}

func pack(value float64, tick uint32) uint64 {
	return uint64(math.Float32bits(float32(value)))<<32 | uint64(tick)
}

// update replaces the number with f(old, age). It calls f again if another
// goroutine updates the number at the same time.
func (d *decayingValue) update(now uint32, f func(old float64, age time.Duration) float64) {
	for {
		word := d.packed.Load()
		old, tick := unpack(word)
		if d.packed.CompareAndSwap(word, pack(f(old, age(now, tick)), now)) {
			return
		}
	}
}

// age returns the time from tick to now.
func age(now, tick uint32) time.Duration {
	if now <= tick { // the value was updated by a goroutine that read the clock later
		return 0
	}
	return time.Duration(now-tick) * tickLength
}

// decayFactor returns the fraction of a number that remains at the given age. At
// the time constant it is 1/e.
func decayFactor(age, timeConstant time.Duration) float64 {
	if age == 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}
