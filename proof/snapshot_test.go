package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	backendstandin "github.com/briarstand/briarstand/backend/standin"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// answer is the checked answer to one query.
type answer struct {
	id, version     string
	answered, total int32
	missing         map[int32]bool
	mixedVersions   bool // has a hit of another index version
	wrongHits       bool // differs from the expected hits, or has another request id
}

// TestAnswersComeFromOneSnapshot checks that answers never mix index versions and
// never count a shard that did not run. Meanwhile versions change, one backend server
// lacks the newest version, another is too slow for the deadline, sub-requests are
// refused, and replies are duplicated, late, invented or of wrong versions or shards.
func TestAnswersComeFromOneSnapshot(t *testing.T) {
	t.Parallel()
	const shards = 6
	c := newCluster(t, 3, map[string]any{"slots": 64, "service_base": "1ms"})
	var fleet []*vm
	for i := range 3 {
		fleet = append(fleet, c.startVM(fmt.Sprintf("vm-%d", i+1), "attica-a"))
	}
	svc := c.create(fleet[0], "siteapp", c.spec(shards, policy(300*time.Millisecond, 50), "v1"))
	c.must(c.post("http://"+c.backends[0]+"/standin/faults", map[string]any{
		"duplicate_probability": 0.1, "wrong_version_probability": 0.05, "wrong_shard_probability": 0.02,
		"delay_probability": 0.05, "reply_delay": "400ms", "invent_probability": 0.05, "shed_probability": 0.2,
	}))
	c.must(c.post("http://"+c.backends[1]+"/standin/faults", map[string]any{"shed_probability": 0.3}))
	total := scaled(10000)
	answers := make([][]answer, 12)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for w := range answers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(3, uint64(w)))
			for n := 0; n < total/len(answers)+1; n++ {
				v := fleet[rng.IntN(len(fleet))]
				if a, ok := sendQuery(v, fmt.Sprintf("q-%d-%d", w, n)); ok {
					answers[w] = append(answers[w], a)
				}
			}
		})
	}
	var changes sync.WaitGroup
	published := 1
	changes.Go(func() {
		revision := svc.Revision
		for n := 2; ctx.Err() == nil; n++ {
			// At first one backend server lacks the newest index version, and
			// replies that the version is missing.
			c.must(c.post("http://"+c.backends[1]+"/standin/settings", map[string]any{"holdings": []map[string]any{{"version": fmt.Sprintf("v%d", n-1)}}}))
			spec := c.spec(shards, policy(300*time.Millisecond, 50), fmt.Sprintf("v%d", n-1), fmt.Sprintf("v%d", n))
			for i := range spec.IndexVersions {
				spec.IndexVersions[i].Sequence = int64(n + i)
			}
			resp, err := c.update(fleet[0], "siteapp", spec, newChange(revision))
			c.must(err)
			revision, published = resp.Service.Revision, n
			sleep(ctx, 100*time.Millisecond)
			c.must(c.post("http://"+c.backends[1]+"/standin/settings", map[string]any{"holdings": []map[string]any{}}))
			if n == 4 {
				c.must(c.post("http://"+c.backends[2]+"/standin/faults", map[string]any{"straggler_factor": 100}))
			}
			sleep(ctx, 200*time.Millisecond)
		}
	})
	wg.Wait()
	stop()
	changes.Wait()
	checkAnswers(t, c, answers, published)
}

// hitLimit is above the number of documents of all shards.
const hitLimit = 1000

func sendQuery(v *vm, id string) (answer, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	// Each query has a unique body, so that its hits differ from those of all others.
	body := []byte("body of " + id)
	resp, err := v.query(ctx, &briarstandv1.QueryRequest{Service: "siteapp", RequestId: id, Body: body, Limit: hitLimit})
	if err != nil {
		return answer{}, false
	}
	a := answer{id: id, version: resp.IndexVersion, answered: resp.Coverage.ShardsAnswered, total: resp.Coverage.ShardsTotal, missing: map[int32]bool{}}
	for _, s := range resp.Coverage.MissingShards {
		a.missing[s] = true
	}
	for _, h := range resp.Hits {
		a.mixedVersions = a.mixedVersions || versionOf(h) != resp.IndexVersion
	}
	var shards []int
	for s := range a.total {
		if !a.missing[s] {
			shards = append(shards, int(s))
		}
	}
	want := backendstandin.Expected("siteapp", a.version, shards, body, hitLimit)
	same := func(x, y *briarstandv1.Hit) bool { return x.Id == y.Id && x.Score == y.Score && x.Shard == y.Shard }
	a.wrongHits = resp.RequestId != id || !slices.EqualFunc(resp.Hits, want, same)
	return a, true
}

// checkAnswers compares answers with the records of the backend servers.
func checkAnswers(t *testing.T, c *cluster, answers [][]answer, versions int) {
	type ranShard struct {
		id, version string
		shard       int
	}
	ran := map[ranShard]bool{}
	for i := range c.backends {
		for _, r := range c.record(i).Runs {
			ran[ranShard{r.RequestID, r.IndexVersion, r.Shard}] = true
		}
	}
	n, complete, partial, mixedVersions, wrongHits, overstated, used := 0, 0, 0, 0, 0, 0, map[string]bool{}
	for _, worker := range answers {
		for _, a := range worker {
			n++
			used[a.version] = true
			if a.mixedVersions {
				mixedVersions++
			}
			if a.wrongHits {
				wrongHits++
			}
			if a.answered == a.total {
				complete++
			} else {
				partial++
			}
			if int(a.answered)+len(a.missing) != int(a.total) {
				overstated++
				continue
			}
			for s := range a.total {
				if !a.missing[s] && !ran[ranShard{a.id, a.version, int(s)}] {
					overstated++
					break
				}
			}
		}
	}
	t.Logf("answers %d (complete %d, partial %d) over %d versions (%d used): mixing versions %d, with wrong hits %d, counting a shard that did not run %d",
		n, complete, partial, versions, len(used), mixedVersions, wrongHits, overstated)
	qt.Check(t, mixedVersions, qt.Equals, 0)
	qt.Check(t, wrongHits, qt.Equals, 0)
	qt.Check(t, overstated, qt.Equals, 0)
	qt.Check(t, n >= scaled(10000), qt.IsTrue)
	qt.Check(t, len(used) > 2, qt.IsTrue)
}
