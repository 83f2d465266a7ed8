package balance

import (
	"math"
	"sync/atomic"
	"time"
)

// tickLength is the resolution of the times in a decayed value. At this
// resolution 32 bits last for two years of running.
const tickLength = 16 * time.Millisecond

// decayed is a number that shrinks with the time since its last update. Number
// and time share one word, so that an update is a single compare-and-swap.
type decayingValue struct{ packed atomic.Uint64 }

func (d *decayingValue) load() (value float64, tick uint32) { return unpack(d.packed.Load()) }

func unpack(word uint64) (value float64, tick uint32) {
	return float64(math.Float32frombits(uint32(word >> 32))), uint32(word)
}

func pack(value float64, tick uint32) uint64 {
	return uint64(math.Float32bits(float32(value)))<<32 | uint64(tick)
}

// update replaces the number by f of the old number and its age.
func (d *decayingValue) update(now uint32, f func(old float64, age time.Duration) float64) {
	for {
		word := d.packed.Load()
		old, tick := unpack(word)
		if d.packed.CompareAndSwap(word, pack(f(old, age(now, tick)), now)) {
			return
		}
	}
}

func age(now, tick uint32) time.Duration {
	if now <= tick { // another goroutine read the clock later
		return 0
	}
	return time.Duration(now-tick) * tickLength
}

// remaining returns the part of a number that is left after an age, when it
// shrinks to 1/e in the time constant.
func decayFactor(age, timeConstant time.Duration) float64 {
	if age == 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}
