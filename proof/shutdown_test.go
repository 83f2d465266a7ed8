package proof

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
)

// TestRollingReplacementCutsNothing checks that no query is aborted while all VMs are
// replaced one by one. It also checks that no query is refused if its caller resolves
// the addresses again when their TTL expires.
func TestRollingReplacementCutsNothing(t *testing.T) {
	t.Parallel()
	const (
		callers       = 120
		stickyCallers = 40
	)
	c := newCluster(t, 2, map[string]any{"slots": 512, "service_base": "300ms", "queue_limit": 4096})
	var fleet []*vm
	for i := range 4 {
		fleet = append(fleet, c.startVM(fmt.Sprintf("vm-%d", i+1), "attica-a"))
	}
	c.create(fleet[0], "siteapp", c.spec(2, policy(5*time.Second, 0), "v1"))
	load := &rollingLoad{c: c}
	load.bootstrap.Store(&[]string{fleet[0].address(callerPort), fleet[1].address(callerPort), fleet[2].address(callerPort), fleet[3].address(callerPort)})
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { load.runCaller(ctx, fmt.Sprintf("caller-%d", i)) })
	}
	for i := range stickyCallers {
		wg.Go(func() { load.runSticky(ctx, i) })
	}
	time.Sleep(2 * time.Second)
	inFlight := 0
	rounds := 1 + scaled(40)/10 // 1, or 5 with BRIARSTAND_PROOF=full
	for round := range rounds {
		for i, old := range fleet {
			n := c.startVM(fmt.Sprintf("vm-%d-%d", round+2, i+1), "attica-a")
			old.Signal(syscall.SIGTERM)
			inFlight += load.inFlightAt(old)
			qt.Check(t, old.Wait(40*time.Second), qt.Equals, 0, qt.Commentf("%s: %s", old.id, old.Log()))
			fleet[i] = n
			bootstrap := []string{}
			for _, v := range fleet {
				bootstrap = append(bootstrap, v.address(callerPort))
			}
			load.bootstrap.Store(&bootstrap)
		}
	}
	stop()
	wg.Wait()
	t.Logf("VMs replaced %d, queries %d, in flight at a shutdown %d, aborted %d, refused %d, not complete %d",
		rounds*len(fleet), load.queries.Load(), inFlight, load.aborted.Load(), load.refused.Load(), load.incomplete.Load())
	if first := load.firstFailure.Load(); first != nil {
		t.Logf("first failure: %s", *first)
	}
	qt.Check(t, load.aborted.Load(), qt.Equals, int64(0))
	qt.Check(t, load.refused.Load(), qt.Equals, int64(0))
	qt.Check(t, load.incomplete.Load(), qt.Equals, int64(0))
	qt.Check(t, inFlight > 100, qt.IsTrue, qt.Commentf("only %d queries were in flight at a shutdown", inFlight))
}

// rollingLoad is the load of callers that use the addresses they resolve.
type rollingLoad struct {
	c            *cluster
	bootstrap    atomic.Pointer[[]string] // VM addresses that callers send resolve requests to
	inFlight     sync.Map                 // queries in flight: address to *atomic.Int64
	queries      atomic.Int64
	aborted      atomic.Int64
	refused      atomic.Int64
	incomplete   atomic.Int64
	firstFailure atomic.Pointer[string]
}

func (l *rollingLoad) counter(address string) *atomic.Int64 {
	n, _ := l.inFlight.LoadOrStore(address, new(atomic.Int64))
	return n.(*atomic.Int64)
}

func (l *rollingLoad) inFlightAt(v *vm) int { return int(l.counter(v.address(callerPort)).Load()) }

// runSticky queries one VM until it refuses, so that queries are in flight when the
// VM begins to refuse, and then continues with another.
func (l *rollingLoad) runSticky(ctx context.Context, n int) {
	for ctx.Err() == nil {
		bootstrap := *l.bootstrap.Load()
		address := bootstrap[n%len(bootstrap)]
		for ctx.Err() == nil && l.send(address, fmt.Sprintf("sticky-%d-%d", n, time.Now().UnixNano())) {
		}
		n++ // another VM
		time.Sleep(50 * time.Millisecond)
	}
}

// runCaller sends queries until the context ends. It resolves the addresses again
// when their TTL expires.
func (l *rollingLoad) runCaller(ctx context.Context, id string) {
	rng := rand.New(rand.NewPCG(7, uint64(len(id))+uint64(id[len(id)-1])))
	var addresses []string
	var expiry time.Time
	for ctx.Err() == nil {
		if time.Now().After(expiry) {
			addresses, expiry = l.resolve(id, rng)
			continue
		}
		l.query(addresses[rng.IntN(len(addresses))], fmt.Sprintf("%s-%d", id, rng.Uint32()))
	}
}

func (l *rollingLoad) resolve(id string, rng *rand.Rand) ([]string, time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	bootstrap := *l.bootstrap.Load()
	address := bootstrap[rng.IntN(len(bootstrap))]
	asked := time.Now()
	v := &vm{caller: briarstandv1connect.NewCallerServiceClient(l.c.client, "http://"+address)}
	addresses, ttl, err := v.addresses(ctx, id)
	if err != nil || len(addresses) == 0 {
		time.Sleep(10 * time.Millisecond)
		return nil, time.Time{}
	}
	return addresses, asked.Add(ttl)
}

func (l *rollingLoad) query(address, id string) {
	if !l.send(address, id) {
		l.refused.Add(1)
	}
}

// send counts a query by its outcome, and returns false if it was refused.
func (l *rollingLoad) send(address, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	v := &vm{caller: briarstandv1connect.NewCallerServiceClient(l.c.client, "http://"+address)}
	l.queries.Add(1)
	l.counter(address).Add(1)
	defer l.counter(address).Add(-1)
	resp, err := v.query(ctx, &briarstandv1.QueryRequest{Service: "siteapp", RequestId: id, Body: []byte("x")})
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return false // nothing was sent
	case err != nil:
		l.recordFailure(address, err.Error())
		l.aborted.Add(1)
	case resp.Outcome == briarstandv1.Outcome_OUTCOME_NOT_RUN:
		if !strings.HasPrefix(id, "sticky") {
			l.recordFailure(address, "not run: "+resp.Reason)
		}
		return false
	case resp.Outcome != briarstandv1.Outcome_OUTCOME_COMPLETE:
		l.recordFailure(address, resp.Outcome.String()+": "+resp.Reason)
		l.incomplete.Add(1)
	}
	return true
}

func (l *rollingLoad) recordFailure(address, text string) {
	text = address + ": " + text
	l.firstFailure.CompareAndSwap(nil, &text)
}
