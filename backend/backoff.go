package backend

import "time"

// backoff computes the wait before a reconnect. It doubles with each failure
// and is jittered, so that VMs do not reconnect to a restarted backend server
// at the same moment.
type backoff struct {
	base, max time.Duration
	random    func() float64
	failures  int
}

func (b *backoff) reset() { b.failures = 0 }

// next returns a random wait between half the current step and the full step.
func (b *backoff) next() time.Duration {
	step := b.max
	if b.failures < 16 { // 2^16 times any reasonable base exceeds the maximum
		step = min(b.max, b.base<<b.failures)
	}
	b.failures++
	half := step / 2
	return half + time.Duration(b.random()*float64(step-half))
}
