package limit

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Memory limits the total number of bytes that are reserved at the same time. A nil
// Memory has no limit.
type Memory struct{ limit, used atomic.Int64 }

// MemoryError reports a reservation that would exceed the limit.
type MemoryError struct {
	Requested, Limit int64 // bytes
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("%d bytes more would exceed the %d bytes that may be held at once", e.Requested, e.Limit)
}

// NewMemory returns a Memory with a limit in bytes.
func NewMemory(limit int64) *Memory {
	m := &Memory{}
	m.limit.Store(limit)
	return m
}

// SetLimit changes the limit. Bytes that are already reserved stay reserved.
func (m *Memory) SetLimit(limit int64) { m.limit.Store(limit) }

// Reserve reserves n bytes, or fails with a MemoryError and reserves none.
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

// Release releases n reserved bytes.
func (m *Memory) Release(n int64) {
	if m != nil {
		m.used.Add(-n)
	}
}

// Used returns the number of reserved bytes.
func (m *Memory) Used() int64 { return m.used.Load() }

// MemoryReader reserves the bytes that it reads, until Release.
type MemoryReader struct {
	io.Reader
	Memory   *Memory
	reserved int64
}

// Read implements io.Reader. It fails with a MemoryError if the bytes read would
// exceed the limit.
func (r *MemoryReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err := r.Memory.Reserve(int64(n)); err != nil {
		return 0, err
	}
	r.reserved += int64(n)
	return n, err
}

// Release releases the reservation of the bytes that were read.
func (r *MemoryReader) Release() {
	r.Memory.Release(r.reserved)
	r.reserved = 0
}
