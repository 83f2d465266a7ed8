package topk

import "bytes"

// RecordSize is the size in bytes of one record of a part.
const RecordSize = 16

const (
	// minPart is the size in bytes that any part may have, and partFactor how many
	// times the wanted records a part may hold.
	minPart    = 16 << 10
	partFactor = 16
	// shrinkFactor is how many times the wanted records a part holds before its
	// rest is dropped, which costs time for each part.
	shrinkFactor = 4
)

// MaxPart returns the most bytes that a part may have of which so many records
// are wanted. A backend server in trouble may send bytes without end.
func MaxPart(limit int) int64 { return max(minPart, partFactor*int64(limit)*RecordSize) }

// ShrinkPart returns what an answer with so many records needs of a part, so that
// large parts do not stay in memory until the answer is complete.
func ShrinkPart(part []byte, limit int) []byte {
	if len(part) <= shrinkFactor*limit*RecordSize {
		return part
	}
	return MergeRecords([][]byte{part}, limit)
}

// MergeRecords returns the greatest records of all parts, greatest first,
// compared byte by byte. A rest shorter than a record is left out.
func MergeRecords(parts [][]byte, limit int) []byte {
	total := 0
	for _, p := range parts {
		total += len(p) / RecordSize
	}
	best := New(limit, total, func(a, b []byte) int { return bytes.Compare(b, a) })
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			best.Add(p[:RecordSize])
		}
	}
	merged := make([]byte, 0, min(total, limit)*RecordSize)
	for _, r := range best.Sorted() {
		merged = append(merged, r...)
	}
	return merged
}
