// Package heaptest measures the heap in tests of bounds on memory.
package heaptest

import (
	"runtime"
	"time"
)

// sampleEvery is the pause between two readings; the heap of a reader without
// bound grows by megabytes in this time.
const sampleEvery = 2 * time.Millisecond

// Peak returns by how many bytes the heap grew at most while work ran.
func Peak(work func()) int64 {
	runtime.GC()
	base, peak := alloc(), int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return max(peak, alloc()-base)
		case <-ticker.C:
			peak = max(peak, alloc()-base)
		}
	}
}

func alloc() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
