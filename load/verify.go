package load

import (
	"fmt"

	"github.com/briarstand/briarstand/backend/standin"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// checkAnswer describes what is wrong with an answer; the result is empty if
// nothing is. If compareHits is set, it compares the hits with those of stand-in
// backend servers.
func checkAnswer(req *briarstandv1.QueryRequest, resp *briarstandv1.QueryResponse, compareHits bool) string {
	if resp.GetRequestId() != req.GetRequestId() {
		return fmt.Sprintf("request id %q, want %q", resp.GetRequestId(), req.GetRequestId())
	}
	coverage := resp.GetCoverage()
	answered := resp.GetOutcome() == briarstandv1.Outcome_OUTCOME_COMPLETE ||
		resp.GetOutcome() == briarstandv1.Outcome_OUTCOME_PARTIAL
	if !answered {
		return ""
	}
	if int(coverage.GetShardsAnswered())+len(coverage.GetMissingShards()) != int(coverage.GetShardsTotal()) {
		return fmt.Sprintf("coverage: %d answered and %d missing of %d shards",
			coverage.GetShardsAnswered(), len(coverage.GetMissingShards()), coverage.GetShardsTotal())
	}
	if resp.GetOutcome() == briarstandv1.Outcome_OUTCOME_COMPLETE && len(coverage.GetMissingShards()) > 0 {
		return "complete, but shards are missing"
	}
	// An answer below the minimum coverage carries no hits.
	if !compareHits || resp.GetOutcome() == briarstandv1.Outcome_OUTCOME_PARTIAL && len(resp.GetHits()) == 0 {
		return ""
	}
	return checkHits(req, resp)
}

func checkHits(req *briarstandv1.QueryRequest, resp *briarstandv1.QueryResponse) string {
	missing := map[int32]bool{}
	for _, shard := range resp.GetCoverage().GetMissingShards() {
		missing[shard] = true
	}
	var shards []int
	for shard := range resp.GetCoverage().GetShardsTotal() {
		if !missing[shard] {
			shards = append(shards, int(shard))
		}
	}
	want := standin.Expected(req.GetService(), resp.GetIndexVersion(), shards, req.GetBody(), int(req.GetLimit()))
	if len(want) != len(resp.GetHits()) {
		return fmt.Sprintf("%d hits, want %d", len(resp.GetHits()), len(want))
	}
	for i, h := range resp.GetHits() {
		if h.GetId() != want[i].GetId() || h.GetScore() != want[i].GetScore() {
			return fmt.Sprintf("hit %d is %s, want %s", i, h.GetId(), want[i].GetId())
		}
	}
	return ""
}
