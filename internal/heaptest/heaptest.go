// Package heaptest measures the heap in tests of bounds on memory.
package heaptest

import (
	"runtime"
	"time"
)

// sampleInterval is the pause between two readings; the heap of a reader without
// bound grows by megabytes in this time.
const sampleInterval = 2 * time.Millisecond

// Peak returns by how many bytes the heap grew at most while work ran.
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
