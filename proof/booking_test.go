package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

const (
	bookingSeed = 20261204
	bookings    = 1000
)

// TestBookingsRunAtMostOnce checks that a booking runs at most once, although it is
// sent several times with the same ticket, to the same VM and to others, while VMs
// are killed or paused and the store fails. No answer may say "not run" for a booking
// that ran.
func TestBookingsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, map[string]any{"slots": 64, "service_base": "3ms"})
	fleet := &bookingFleet{c: c}
	for i := range 3 {
		fleet.vms = append(fleet.vms, c.startVM(fmt.Sprintf("vm-%d", i+1), "attica-a"))
	}
	c.create(fleet.vms[0], "crews", c.spec(2, policy(1500*time.Millisecond, 50), "v1"))

	ctx, stop := context.WithCancel(context.Background())
	var faults sync.WaitGroup
	faults.Go(func() { fleet.injectFaults(ctx, rand.New(rand.NewPCG(bookingSeed, 1))) })
	faults.Go(func() { fleet.breakConnections(ctx) })
	var remaining atomic.Int64
	remaining.Store(bookings)
	results := make([][]booking, 16)
	var workers sync.WaitGroup
	for w := range results {
		workers.Go(func() {
			rng := rand.New(rand.NewPCG(bookingSeed, uint64(100+w)))
			for remaining.Add(-1) >= 0 {
				results[w] = append(results[w], fleet.book(rng))
				time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond) // spreads the bookings over many faults
			}
		})
	}
	workers.Wait()
	stop()
	faults.Wait()
	time.Sleep(2 * time.Second) // longer than the deadline of a query, so that those in flight end
	t.Logf("VMs killed %d, paused %d, store outages %d, connections to backend servers broken %d",
		fleet.killed, fleet.paused, fleet.outages, fleet.broken)
	checkBookings(t, c, results)
}

// bookingFleet is a set of VMs that are killed, paused and replaced.
type bookingFleet struct {
	c   *cluster
	mu  sync.Mutex
	vms []*vm
	// killed, paused, outages and broken count the faults that were injected.
	killed, paused, outages int
	broken                  int
}

func (f *bookingFleet) randomVM(rng *rand.Rand) *vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[rng.IntN(len(f.vms))]
}

// injectFaults injects one VM fault at a time, with or without a store fault, until
// the context ends.
func (f *bookingFleet) injectFaults(ctx context.Context, rng *rand.Rand) {
	defer f.c.storeFaults(map[string]any{})
	for ctx.Err() == nil {
		down := rng.IntN(3) == 0
		f.c.storeFaults(map[string]any{"down": down, "slow_ms": rng.IntN(2) * 200})
		if down {
			f.outages++
		}
		v := f.randomVM(rng)
		if rng.IntN(2) == 0 {
			f.paused++
			v.Signal(syscall.SIGSTOP)
			sleep(ctx, time.Duration(500+rng.IntN(2500))*time.Millisecond)
			v.Signal(syscall.SIGCONT)
			sleep(ctx, time.Second)
			continue
		}
		f.replace(ctx, v)
	}
}

// breakConnections repeatedly breaks the connections of a backend server, and makes
// some of its sub-requests fail after they ran, until the context ends.
func (f *bookingFleet) breakConnections(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		backend := "http://" + f.c.backends[i%len(f.c.backends)]
		f.c.must(f.c.post(backend+"/standin/faults", map[string]any{"fail_probability": 0.02}))
		sleep(ctx, 150*time.Millisecond)
		f.c.must(f.c.post(backend+"/standin/break", nil))
		f.broken++
	}
}

// replace kills a VM and starts another with the same id and addresses. Before the
// start, it ends the faults of the store.
func (f *bookingFleet) replace(ctx context.Context, v *vm) {
	v.Kill()
	sleep(ctx, 300*time.Millisecond)
	f.c.storeFaults(map[string]any{})
	n := f.c.launchVMAt(v.host, v.id, v.zone)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.vms {
		if f.vms[i] == v {
			f.vms[i] = n
		}
	}
	f.killed++
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// booking is a non-idempotent request with the outcomes of all requests that were
// sent with its ticket.
type booking struct {
	ticket   string
	outcomes []briarstandv1.Outcome
}

// book obtains a ticket and sends four requests with it, some of them concurrently:
// two to the VM that issued the ticket and two to random VMs.
func (f *bookingFleet) book(rng *rand.Rand) booking {
	var b booking
	var issuer *vm
	for b.ticket == "" {
		issuer = f.randomVM(rng)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		resp, err := issuer.caller.BeginRequest(ctx, connect.NewRequest(&briarstandv1.BeginRequestRequest{Service: "crews"}))
		cancel()
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		b.ticket = resp.Msg.Ticket
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for attempt := range 4 {
		v := issuer
		if attempt%2 == 1 {
			v = f.randomVM(rng)
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			resp, err := v.query(ctx, &briarstandv1.QueryRequest{
				Service: "crews", Body: []byte("book"), NonIdempotent: true, Ticket: b.ticket,
			})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			b.outcomes = append(b.outcomes, resp.Outcome)
		})
		if rng.IntN(2) == 0 {
			time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		}
	}
	wg.Wait()
	return b
}

// checkBookings compares the outcomes that callers got with the records of the
// backend servers.
func checkBookings(t *testing.T, c *cluster, results [][]booking) {
	runs := map[string]int{} // by ticket and shard
	ran := map[string]bool{} // by ticket
	for i := range c.backends {
		for key, n := range c.record(i).NonIdempotent {
			runs[key] += n
			ran[key[:strings.LastIndex(key, "/")]] = true
		}
	}
	sent, runOnce, runTwice, falseRefusals, falseCompletes, unknown := 0, 0, 0, 0, 0, 0
	for _, n := range runs {
		if n > 1 {
			runTwice++
		}
	}
	for _, worker := range results {
		for _, b := range worker {
			sent++
			if ran[b.ticket] {
				runOnce++
			}
			for _, o := range b.outcomes {
				switch {
				case o == briarstandv1.Outcome_OUTCOME_NOT_RUN && ran[b.ticket]:
					falseRefusals++
				case o == briarstandv1.Outcome_OUTCOME_COMPLETE && !ran[b.ticket]:
					falseCompletes++
				case o == briarstandv1.Outcome_OUTCOME_UNKNOWN:
					unknown++
				}
			}
		}
	}
	t.Logf("bookings sent %d, run %d, sub-requests run twice %d, \"not run\" that ran %d, requests with outcome unknown %d",
		sent, runOnce, runTwice, falseRefusals, unknown)
	qt.Check(t, runTwice, qt.Equals, 0)
	qt.Check(t, falseRefusals, qt.Equals, 0)
	qt.Check(t, falseCompletes, qt.Equals, 0)
	qt.Check(t, runOnce > sent/2, qt.IsTrue, qt.Commentf("too few bookings ran for the test to show anything"))
}
