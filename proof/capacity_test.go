package proof

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// skipUnlessCapacityRun skips a measurement of docs/CAPACITY.md unless
// BRIARSTAND_CAPACITY is set. CI does not set it, because the measurements need an
// otherwise idle machine and check nothing.
func skipUnlessCapacityRun(t *testing.T) {
	if os.Getenv("BRIARSTAND_CAPACITY") == "" {
		t.Skip("set BRIARSTAND_CAPACITY=1 to measure")
	}
}

// metric returns the sum of a VM's metric over all labels.
func (c *cluster) metric(v *vm, name string) float64 {
	resp, err := c.client.Get("http://" + v.address(adminPort) + "/metrics")
	c.must(err)
	defer resp.Body.Close()
	sum := 0.0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		key, value, _ := strings.Cut(lines.Text(), " ")
		if base, _, _ := strings.Cut(key, "{"); base == name {
			n, err := strconv.ParseFloat(value, 64)
			c.must(err)
			sum += n
		}
	}
	return sum
}

// TestCapacityDataPath measures how the CPU time of a daemon depends on the number of
// shards of a query and the number of concurrent queries.
func TestCapacityDataPath(t *testing.T) {
	skipUnlessCapacityRun(t)
	c := newCluster(t, 8, map[string]any{"slots": 1024, "service_base": "2ms", "queue_limit": 65536})
	v := c.startVM("vm-1", "attica-a")
	for _, shards := range []int{10, 40, 160, 640} {
		name := fmt.Sprintf("shards-%d", shards)
		c.create(v, name, c.spec(shards, policy(5*time.Second, 50), "v1"))
		for _, workers := range []int{1, 16, 128} {
			queries, incomplete, cpu, elapsed := c.runLoad(v, name, workers, 3*time.Second)
			perQuery := cpu / float64(queries) * 1e6
			t.Logf("shards %d, concurrent queries %d: %.0f queries/s, not complete %d, CPU %.0f us per query, %.1f us per sub-request",
				shards, workers, float64(queries)/elapsed.Seconds(), incomplete, perQuery, perQuery/float64(shards))
		}
	}
}

// runLoad runs queries without pause for d. It returns their number, how many were
// not complete, the CPU seconds of the daemon, and the time until the last one
// ended.
func (c *cluster) runLoad(v *vm, service string, workers int, d time.Duration) (queries, incomplete int64, cpu float64, elapsed time.Duration) {
	var queryCount, incompleteCount atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	before, start := c.metric(v, "process_cpu_seconds_total"), time.Now()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for ctx.Err() == nil {
				resp, err := v.query(context.Background(), &briarstandv1.QueryRequest{Service: service, Body: []byte("x"), Limit: 10})
				queryCount.Add(1)
				if err != nil || resp.Outcome != briarstandv1.Outcome_OUTCOME_COMPLETE {
					incompleteCount.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return queryCount.Load(), incompleteCount.Load(), c.metric(v, "process_cpu_seconds_total") - before, time.Since(start)
}

// TestCapacityMemory measures how the memory of a daemon depends on the number of
// backend servers that it has streams to, and on the number of shards in its
// configuration.
func TestCapacityMemory(t *testing.T) {
	skipUnlessCapacityRun(t)
	c := newCluster(t, 64, map[string]any{"slots": 64, "service_base": "1ms"})
	all := c.backends
	for _, n := range []int{4, 16, 64} {
		v := c.startVM(fmt.Sprintf("streams-%d", n), "attica-a")
		base := c.metric(v, "process_resident_memory_bytes")
		c.backends = all[:n]
		c.create(v, fmt.Sprintf("streams-%d", n), c.spec(n, policy(time.Second, 0), "v1"))
		c.runLoad(v, fmt.Sprintf("streams-%d", n), 8, 2*time.Second)
		t.Logf("backend servers %d: resident %.1f MiB before, %.1f MiB after", n, base/(1<<20), c.metric(v, "process_resident_memory_bytes")/(1<<20))
		v.Kill()
		c.must(c.call(http.MethodPut, c.platformURL("/v1/agent/service/deregister/"+v.id), nil, nil))
	}
	c.backends = all
	for _, services := range []int{0, 4, 16} {
		for i := range services {
			v := c.startVM("writer", "attica-a")
			name := fmt.Sprintf("large-%d-%d", services, i)
			c.create(v, name, c.spec(990, policy(time.Second, 0), "v1", "v2"))
			v.Kill()
			c.must(c.call(http.MethodPut, c.platformURL("/v1/agent/service/deregister/writer"), nil, nil))
		}
		v := c.startVM(fmt.Sprintf("reader-%d", services), "attica-a")
		time.Sleep(2 * time.Second)
		t.Logf("services of 990 shards and 2 versions %d more: resident %.1f MiB", services, c.metric(v, "process_resident_memory_bytes")/(1<<20))
		v.Kill()
		c.must(c.call(http.MethodPut, c.platformURL("/v1/agent/service/deregister/"+v.id), nil, nil))
	}
}

// TestCapacityRollout measures how the time and the control bytes of a change depend
// on the number of VMs and the size of the document. It also measures how many calls
// idle VMs make to the store.
func TestCapacityRollout(t *testing.T) {
	skipUnlessCapacityRun(t)
	for _, n := range []int{4, 8, 16, 32} {
		t.Run(strconv.Itoa(n), func(t *testing.T) { measureRollout(t, n) })
	}
}

func measureRollout(t *testing.T, n int) {
	c := newCluster(t, 8, map[string]any{"slots": 64})
	var fleet []*vm
	settings := []string{"--probe-interval", "1s", "--probe-timeout", "500ms", "--suspicion-time", "5s", "--freshness-window", "5s", "--poll-interval", "1m"}
	for i := range n {
		fleet = append(fleet, c.startVM(fmt.Sprintf("vm-%d", i+1), "attica-a", settings...))
	}
	control := func() (bytes, messages float64) {
		for _, v := range fleet {
			bytes += c.metric(v, "briarstand_control_bytes_total")
			messages += c.metric(v, "briarstand_peer_messages_total")
		}
		return bytes, messages
	}
	time.Sleep(20 * time.Second)
	const idle = 30 * time.Second
	c.must(c.call(http.MethodDelete, c.platformURL("/standin/calls"), nil, nil))
	bytes, messages := control()
	time.Sleep(idle)
	idleBytes, idleMessages := control()
	var calls map[string]int64
	c.must(c.get(c.platformURL("/standin/calls"), &calls))
	perVMSecond := 1 / (idle.Seconds() * float64(n))
	t.Logf("VMs %d, idle: %.0f bytes/s and %.2f messages/s a VM; store and list calls in %v: %v", n, (idleBytes-bytes)*perVMSecond, (idleMessages-messages)*perVMSecond, idle, calls)
	for _, shards := range []int{10, 100, 990} {
		name := fmt.Sprintf("shards-%d", shards)
		svc := c.create(fleet[0], name, c.spec(shards, policy(time.Second, 0), "v1"))
		before, _ := control()
		began := time.Now()
		const changes = 3
		for i := range changes {
			resp, err := c.update(fleet[0], name, c.spec(shards, policy(time.Second, int32(i+1)), "v1"), newChange(svc.Revision))
			c.must(err)
			svc = resp.Service
		}
		elapsed := time.Since(began) / changes
		after, _ := control()
		background := (idleBytes - bytes) / idle.Seconds() * elapsed.Seconds() * changes
		t.Logf("VMs %d, shards %d: %v a change until accepted, %.0f control bytes a VM and change",
			n, shards, elapsed.Round(time.Millisecond), (after-before-background)/changes/float64(n))
	}
}
