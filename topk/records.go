package topk

import "bytes"

// RecordSize is the size in bytes of one record of a part.
const RecordSize = 16

const (
	// A part may have minPartBytes, or hold partFactor times the requested number
	// of records, whichever is larger.
	minPartBytes = 16 << 10
	partFactor   = 16
	// A part is shrunk if it holds more than shrinkFactor times the requested
	// number of records. Smaller parts are not worth the time that shrinking costs.
	shrinkFactor = 4
)

// MaxPartBytes returns the maximum size in bytes of a part of a query for limit
// records. It bounds what a faulty backend server can send, which may be endless.
func MaxPartBytes(limit int) int64 { return max(minPartBytes, partFactor*int64(limit)*RecordSize) }

// ShrinkPart returns the best records of a part, as many as an answer of limit
// records can contain, so that large parts do not stay in memory until the answer is
// complete. Small parts are returned as they are.
func ShrinkPart(part []byte, limit int) []byte {
	if len(part) <= shrinkFactor*limit*RecordSize {
		return part
	}
	return MergeRecords([][]byte{part}, limit)
}

// MergeRecords returns the greatest records of all parts, at most limit, greatest
// first, compared byte by byte. An incomplete record at the end of a part is
// ignored.
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
