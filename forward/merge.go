package forward

import (
	"bytes"

	"github.com/briarstand/briarstand/topk"
)

// recordSize is the size in bytes of one record of a part.
const recordSize = 16

// mergeRecords returns the greatest records of all parts, greatest first,
// compared byte by byte. A rest shorter than a record is left out.
func mergeRecords(parts [][]byte, limit int) []byte {
	total := 0
	for _, p := range parts {
		total += len(p) / recordSize
	}
	best := topk.New(limit, total, func(a, b []byte) int { return bytes.Compare(b, a) })
	for _, p := range parts {
		for ; len(p) >= recordSize; p = p[recordSize:] {
			best.Add(p[:recordSize])
		}
	}
	merged := make([]byte, 0, min(total, limit)*recordSize)
	for _, r := range best.Sorted() {
		merged = append(merged, r...)
	}
	return merged
}
