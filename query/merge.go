package query

import (
	"cmp"
	"strings"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/topk"
)

// merge returns the best hits of all answered shards, ordered by score, then
// by shard and document id.
func (r *run) merge() []*briarstandv1.Hit {
	total := 0
	for i := range r.shards {
		total += len(r.shards[i].hits)
	}
	best := topk.New(r.limit, total, compareHits)
	for i := range r.shards {
		s := &r.shards[i]
		if s.state != shardAnswered {
			continue
		}
		for _, h := range s.hits {
			if h == nil {
				continue
			}
			if h.Shard != s.shard {
				h.Shard = s.shard
			}
			best.Add(h)
		}
	}
	return best.Sorted()
}

// compareHits orders the better hit first. A score that is not a number is
// worse than any other.
func compareHits(a, b *briarstandv1.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Shard, b.Shard); c != 0 {
		return c
	}
	return strings.Compare(a.Id, b.Id)
}
