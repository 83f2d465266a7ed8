package standin

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// DocumentsPerShard is how many documents match any body in each shard.
const DocumentsPerShard = 16

// Documents returns the best hits of a shard for a body. They depend on nothing
// but the arguments, so that answers can be checked.
func Documents(service, version string, shard int, body []byte, limit int) []*briarstandv1.Hit {
	prefix := service + "/" + version + "/" + strconv.Itoa(shard) + "/"
	seed := xxhash.Sum64(body)
	docs := make([]briarstandv1.Hit, DocumentsPerShard)
	hits := make([]*briarstandv1.Hit, DocumentsPerShard)
	for i := range docs {
		id := prefix + strconv.Itoa(i)
		docs[i].Id, docs[i].Shard = id, int32(shard)
		docs[i].Score = score(xxhash.Sum64String(id) ^ seed)
		hits[i] = &docs[i]
	}
	return best(hits, limit)
}

// score maps a hash to a number in [0, 1). The multiplication spreads the
// hashes that differ only by the seed.
func score(hash uint64) float64 {
	hash *= 0x9E3779B97F4A7C15
	return float64(hash>>11) / (1 << 53)
}

// Expected returns the merged answer over shards for a body.
func Expected(service, version string, shards []int, body []byte, limit int) []*briarstandv1.Hit {
	var hits []*briarstandv1.Hit
	for _, shard := range shards {
		hits = append(hits, Documents(service, version, shard, body, limit)...)
	}
	return best(hits, limit)
}

// best orders hits by score, then by shard and document id, and cuts them.
func best(hits []*briarstandv1.Hit, limit int) []*briarstandv1.Hit {
	slices.SortFunc(hits, func(a, b *briarstandv1.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Id, b.Id))
	})
	if limit > 0 && limit < len(hits) {
		hits = hits[:limit]
	}
	return hits
}
