package topk

import (
	"bytes"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Checks that merging gives the same records as sorting all records and taking the
// first ones up to the limit, also with equal records, incomplete last records and
// parts without records.
func TestMergeRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parts [][]byte
		var all [][]byte
		for range rapid.IntRange(0, 6).Draw(t, "parts") {
			// Few different bytes make equal records likely.
			part := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 255}), 0, 80).Draw(t, "part")
			parts = append(parts, part)
			for ; len(part) >= RecordSize; part = part[RecordSize:] {
				all = append(all, part[:RecordSize])
			}
		}
		limit := rapid.IntRange(0, 8).Draw(t, "limit")
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(limit, len(all))], nil)
		if got := MergeRecords(parts, limit); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

// A relay sends parts that are already merged. Merging them again must give the same
// records as merging the original parts.
func TestMergeOfMerged(t *testing.T) {
	c := qt.New(t)
	record := func(b byte) []byte { return bytes.Repeat([]byte{b}, RecordSize) }
	a, b, d := slices.Concat(record(5), record(1)), record(7), slices.Concat(record(5), record(9))
	direct := MergeRecords([][]byte{a, b, d}, 3)
	c.Assert(MergeRecords([][]byte{MergeRecords([][]byte{a, d}, 3), b}, 3), qt.DeepEquals, direct)
}
