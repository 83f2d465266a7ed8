package limit

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Memory bounds the bytes that are held at once by everything that reserves
// from it. A nil Memory has no bound.
type Memory struct{ limit, used atomic.Int64 }

// MemoryError reports bytes that found no room.
type MemoryError struct {
	Requested, Limit int64 // bytes
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("%d bytes more would exceed the %d bytes that may be held at once", e.Requested, e.Limit)
}

// NewMemory returns a Memory for so many bytes.
func NewMemory(limit int64) *Memory {
	m := &Memory{}
	m.limit.Store(limit)
	return m
}

// SetMost changes the bound. What is held already stays reserved.
func (m *Memory) SetMost(limit int64) { m.limit.Store(limit) }

// Reserve takes n bytes, or fails with a MemoryError and takes none.
func (m *Memory) Reserve(n int64) error {
	if m == nil {
		return nil
	}
	if limit := m.limit.Load(); m.used.Add(n) > limit {
		m.used.Add(-n)
		return &MemoryError{Requested: n, Limit: limit}
	}
	return nil
}

// Release gives n reserved bytes back.
func (m *Memory) Release(n int64) {
	if m != nil {
		m.used.Add(-n)
	}
}

// Used returns the bytes that are reserved.
func (m *Memory) Used() int64 { return m.used.Load() }

// MemoryReader reserves the bytes that it reads, until Release.
type MemoryReader struct {
	io.Reader
	Memory   *Memory
	reserved int64
}

// Read implements io.Reader. It fails with a MemoryError where there is no room.
func (r *MemoryReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err := r.Memory.Reserve(int64(n)); err != nil {
		return 0, err
	}
	r.reserved += int64(n)
	return n, err
}

// Release gives the bytes that were read back.
func (r *MemoryReader) Release() {
	r.Memory.Release(r.reserved)
	r.reserved = 0
}
