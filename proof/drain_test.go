package proof

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// maxDrainDelay is the guaranteed time after which a draining backend server
// receives no new sub-requests.
const maxDrainDelay = 3 * time.Second

// TestDrainedBackendGetsNoNewWork guards against sub-requests that are still sent
// to a draining backend server, whether an operator or the server itself begins the
// drain.
func TestDrainedBackendGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, map[string]any{"slots": 64, "service_base": "2ms"})
	var fleet []*vm
	for i := range 4 {
		fleet = append(fleet, c.startVM(fmt.Sprintf("vm-%d", i+1), "attica-a"))
	}
	c.create(fleet[0], "siteapp", c.spec(6, policy(time.Second, 50), "v1"))
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var incomplete, queries atomic.Int64
	var firstFailure atomic.Pointer[string]
	for i := range 16 {
		wg.Go(func() {
			for ctx.Err() == nil {
				resp, err := fleet[i%len(fleet)].query(context.Background(), &briarstandv1.QueryRequest{Service: "siteapp", Body: []byte("x")})
				queries.Add(1)
				if err != nil || resp.Outcome != briarstandv1.Outcome_OUTCOME_COMPLETE {
					text := fmt.Sprintf("%v %v", resp, err)
					firstFailure.CompareAndSwap(nil, &text)
					incomplete.Add(1)
				}
			}
		})
	}
	time.Sleep(time.Second)
	began := time.Now()
	_, err := fleet[1].operator.DrainBackend(ctx, connect.NewRequest(&briarstandv1.DrainBackendRequest{
		Service: "siteapp", BackendId: backendID(0), Change: newChange(0),
	}))
	c.must(err)
	returned := time.Since(began)
	time.Sleep(maxDrainDelay + time.Second)
	byOperator := c.summary(0).LastReceived.Sub(began)

	_, err = fleet[1].operator.RestoreBackend(ctx, connect.NewRequest(&briarstandv1.RestoreBackendRequest{
		Service: "siteapp", BackendId: backendID(0), Change: newChange(0),
	}))
	c.must(err)
	announced := time.Now()
	c.must(c.post("http://"+c.backends[1]+"/standin/drain", nil))
	time.Sleep(maxDrainDelay + time.Second)
	byServer := c.summary(1).LastReceived.Sub(announced)
	stop()
	wg.Wait()
	t.Logf("queries %d, not complete %d; last new sub-request after the drain: by operator %v (RPC returned after %v), by the backend server %v",
		queries.Load(), incomplete.Load(), byOperator, returned, byServer)
	qt.Check(t, byOperator <= maxDrainDelay, qt.IsTrue)
	qt.Check(t, byServer <= maxDrainDelay, qt.IsTrue)
	qt.Check(t, queries.Load() > 100, qt.IsTrue)
	if first := firstFailure.Load(); first != nil {
		t.Logf("first query that was not complete: %s", *first)
	}
	qt.Check(t, incomplete.Load(), qt.Equals, int64(0)) // one backend server drains at a time, and each shard has another replica
}
