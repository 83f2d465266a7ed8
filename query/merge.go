package query

import (
	"cmp"
	"slices"
	"strings"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// merge returns the best hits of all answered shards, ordered by score, then
// by shard and document id.
func (r *run) merge() []*briarstandv1.Hit {
	total := 0
	for i := range r.shards {
		total += len(r.shards[i].hits)
	}
	best := bestHits{limit: r.limit, heap: make([]*briarstandv1.Hit, 0, min(total, r.limit))}
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
			best.add(h)
		}
	}
	slices.SortFunc(best.heap, compareHits)
	return best.heap
}

// bestHits selects the best hits, up to a limit, without sorting all: most
// hits of a query with many shards are dropped after one comparison.
type bestHits struct {
	limit int
	heap  []*briarstandv1.Hit // the worst selected hit is at the root
}

func (b *bestHits) add(h *briarstandv1.Hit) {
	switch {
	case len(b.heap) < b.limit:
		b.heap = append(b.heap, h)
		b.up(len(b.heap) - 1)
	case compareHits(h, b.heap[0]) < 0:
		b.heap[0] = h
		b.down()
	}
}

// up moves a new hit towards the root, past better ones.
func (b *bestHits) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if compareHits(b.heap[i], b.heap[parent]) <= 0 {
			return
		}
		b.heap[i], b.heap[parent] = b.heap[parent], b.heap[i]
		i = parent
	}
}

// down moves the hit at the root towards the leaves, past worse ones.
func (b *bestHits) down() {
	for i := 0; ; {
		worst := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(b.heap); child++ {
			if compareHits(b.heap[child], b.heap[worst]) > 0 {
				worst = child
			}
		}
		if worst == i {
			return
		}
		b.heap[i], b.heap[worst] = b.heap[worst], b.heap[i]
		i = worst
	}
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
