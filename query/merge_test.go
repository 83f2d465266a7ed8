package query

import (
	"fmt"
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// The merged hits must equal the first ones of all hits sorted, also with equal
// scores and scores that are not numbers.
func TestMerge(t *testing.T) {
	c, rng := qt.New(t), newRand(7)
	for range 500 {
		r := &run{shards: make([]shardRun, 1+rng.IntN(8)), limit: 1 + rng.IntN(20)}
		var want []*briarstandv1.Hit
		for i := range r.shards {
			s := &r.shards[i]
			s.shard, s.state = int32(i), shardAnswered
			for n := range rng.IntN(12) {
				h := &briarstandv1.Hit{Id: fmt.Sprint(n), Score: float64(rng.IntN(5)), Shard: s.shard}
				if rng.IntN(10) == 0 {
					h.Score = math.NaN()
				}
				s.hits = append(s.hits, h)
			}
			want = append(want, s.hits...)
		}
		slices.SortFunc(want, compareHits)
		got := r.merge()
		c.Assert(slices.Equal(got, want[:min(len(want), r.limit)]), qt.IsTrue)
	}
}
