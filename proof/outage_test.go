package proof

import (
	"context"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// TestVMStartsInStoreOutage checks that a VM that starts during an outage of the store
// accepts queries and uses the newest configuration.
func TestVMStartsInStoreOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, map[string]any{"service_base": "1ms"})
	first, second := c.startVM("vm-1", "attica-a"), c.startVM("vm-2", "kriti-a")
	svc := c.create(first, "siteapp", c.spec(2, policy(time.Second, 0), "v1"))
	c.storeFaults(map[string]any{"down": true})
	started := time.Now()
	third := c.startVM("vm-3", "attica-a", "--seeds", first.address(peerPort)+","+second.address(peerPort))
	t.Logf("ready after %v", time.Since(started).Round(time.Millisecond))
	resp, err := third.query(context.Background(), &briarstandv1.QueryRequest{Service: "siteapp", Body: []byte("x")})
	c.must(err)
	qt.Check(t, resp.Outcome, qt.Equals, briarstandv1.Outcome_OUTCOME_COMPLETE)
	qt.Check(t, resp.Revision, qt.Equals, svc.Revision)
	// VMs must still serve when the outage exceeds the freshness window.
	time.Sleep(5 * time.Second)
	for _, v := range []*vm{first, second, third} {
		resp, err := v.query(context.Background(), &briarstandv1.QueryRequest{Service: "siteapp", Body: []byte("x")})
		c.must(err)
		qt.Check(t, resp.Outcome, qt.Equals, briarstandv1.Outcome_OUTCOME_COMPLETE, qt.Commentf("%s: %s", v.id, resp.Reason))
	}
}

// TestOnlyPeerFrozen guards against a VM that refuses queries because its only peer
// does not answer, although the store is up.
func TestOnlyPeerFrozen(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, map[string]any{"service_base": "1ms"})
	// Frequent polls of the store would hide the fault, because each one renews the
	// freshness of the VM without its peer.
	first := c.startVM("vm-1", "attica-a", "--poll-interval", "1m")
	second := c.startVM("vm-2", "kriti-a", "--poll-interval", "1m")
	c.create(first, "siteapp", c.spec(2, policy(time.Second, 0), "v1"))
	second.Signal(syscall.SIGSTOP)
	defer second.Signal(syscall.SIGCONT)
	refused, answers := 0, 0
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := first.query(context.Background(), &briarstandv1.QueryRequest{Service: "siteapp", Body: []byte("x")})
		c.must(err)
		answers++
		if resp.Outcome == briarstandv1.Outcome_OUTCOME_NOT_RUN {
			refused++
		}
	}
	t.Logf("answers %d, refused %d", answers, refused)
	qt.Check(t, refused, qt.Equals, 0)
}
