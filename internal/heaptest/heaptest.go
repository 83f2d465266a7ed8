// Package heaptest measures heap growth in tests of memory limits.
package heaptest

import (
	"runtime"
	"time"
)

// sampleInterval is the time between two samples of the heap. It is short enough
// to catch the faults that tests look for: a reader without a size limit allocates
// megabytes in this time.
const sampleInterval = 2 * time.Millisecond

// Peak runs work and returns the maximum growth of the heap meanwhile, in bytes.
func Peak(work func()) int64 {
	runtime.GC()
	base, peak := heapBytes(), int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return max(peak, heapBytes()-base)
		case <-ticker.C:
			peak = max(peak, heapBytes()-base)
		}
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
