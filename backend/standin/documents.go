package standin

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// DocumentsPerShard is the number of documents in each shard; all of them match
// any body.
const DocumentsPerShard = 16

// Documents returns the best hits of a shard for a body. They depend only on the
// arguments, so that answers can be verified. A limit of 0 means all.
func Documents(service, version string, shard int, body []byte, limit int) []*briarstandv1.Hit {
	return newDocuments(shardKey{service, version, int32(shard)}).search(body, limit)
}

// Expected returns the merged hits of the shards for a body.
func Expected(service, version string, shards []int, body []byte, limit int) []*briarstandv1.Hit {
	var hits []*briarstandv1.Hit
	for _, shard := range shards {
		hits = append(hits, Documents(service, version, shard, body, limit)...)
	}
	slices.SortFunc(hits, func(a, b *briarstandv1.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Id, b.Id))
	})
	if limit > 0 && limit < len(hits) {
		hits = hits[:limit]
	}
	return hits
}

// shardKey identifies the documents of a shard.
type shardKey struct {
	service, version string
	shard            int32
}

// documents are the documents of a shard, ordered by id.
type documents struct {
	shard  int32
	ids    [DocumentsPerShard]string
	hashes [DocumentsPerShard]uint64
}

func newDocuments(key shardKey) *documents {
	d := &documents{shard: key.shard}
	prefix := key.service + "/" + key.version + "/" + strconv.Itoa(int(key.shard)) + "/"
	for i := range d.ids {
		d.ids[i] = prefix + strconv.Itoa(i)
	}
	slices.Sort(d.ids[:])
	for i, id := range d.ids {
		d.hashes[i] = xxhash.Sum64String(id)
	}
	return d
}

// search returns the best documents for a body. It allocates only the hits that
// it returns.
func (d *documents) search(body []byte, limit int) []*briarstandv1.Hit {
	if limit <= 0 || limit > DocumentsPerShard {
		limit = DocumentsPerShard
	}
	seed := xxhash.Sum64(body)
	var scores [DocumentsPerShard]float64
	for i, h := range d.hashes {
		scores[i] = score(h ^ seed)
	}
	found := make([]briarstandv1.Hit, limit)
	hits := make([]*briarstandv1.Hit, limit)
	for n := range hits {
		top := 0
		for i := range scores {
			if scores[i] > scores[top] {
				top = i
			}
		}
		found[n].Id, found[n].Score, found[n].Shard = d.ids[top], scores[top], d.shard
		hits[n] = &found[n]
		scores[top] = -1
	}
	return hits
}

// score maps a hash to a number in [0, 1). The multiplication spreads hashes
// that differ only by the seed.
func score(hash uint64) float64 {
	hash *= 0x9E3779B97F4A7C15
	return float64(hash>>11) / (1 << 53)
}
