package limit

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Memory bounds the bytes that are held at once by everything that reserves
// from it. A nil Memory has no bound.
type Memory struct{ most, used atomic.Int64 }

// MemoryError reports bytes that found no room.
type MemoryError struct {
	Wanted, Most int64 // bytes
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("%d bytes more would exceed the %d bytes that may be held at once", e.Wanted, e.Most)
}

// NewMemory returns a Memory for so many bytes.
func NewMemory(most int64) *Memory {
	m := &Memory{}
	m.most.Store(most)
	return m
}

// SetMost changes the bound. What is held already stays reserved.
func (m *Memory) SetMost(most int64) { m.most.Store(most) }

// Reserve takes n bytes, or fails with a MemoryError and takes none.
func (m *Memory) Reserve(n int64) error {
	if m == nil {
		return nil
	}
	if most := m.most.Load(); m.used.Add(n) > most {
		m.used.Add(-n)
		return &MemoryError{Wanted: n, Most: most}
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
