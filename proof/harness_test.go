package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	backendstandin "github.com/briarstand/briarstand/backend/standin"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
	"github.com/briarstand/briarstand/internal/proctest"
)

func TestMain(m *testing.M) { proctest.Main(m) }

// scaled returns the number of repetitions of a test: a tenth of the full number,
// unless BRIARSTAND_PROOF=full.
func scaled(full int) int {
	if os.Getenv("BRIARSTAND_PROOF") == "full" {
		return full
	}
	return full / 10
}

// vm is a daemon process with its addresses and clients.
type vm struct {
	*proctest.Process
	id, zone string
	host     string
	caller   briarstandv1connect.CallerServiceClient
	operator briarstandv1connect.OperatorServiceClient
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.host, port) }

const (
	callerPort   = 7401
	operatorPort = 7402
	peerPort     = 7403
	adminPort    = 7404
)

// cluster is a deployment of real processes on a loopback network of its own.
type cluster struct {
	t        testing.TB
	network  string
	platform *proctest.Process
	backends []string // addresses
	client   *http.Client
	nextHost int
}

// newCluster starts a platform stand-in and backend stand-ins.
func newCluster(t testing.TB, backends int, settings map[string]any) *cluster {
	c := &cluster{
		t: t, network: proctest.ReserveNetwork(t), nextHost: 10,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	c.platform = proctest.Start(t, "briarstand", "dev", "platform", "--listen", c.network+".1:8500", "--log-level", "error")
	for i := range backends {
		address := fmt.Sprintf("%s.%d:9001", c.network, 101+i)
		proctest.Start(t, "briarstand", "dev", "backend", "--listen", address, "--seed", strconv.Itoa(i+1))
		c.backends = append(c.backends, address)
		c.waitFor("backend stand-in", func() bool { return c.get("http://"+address+"/standin/settings", nil) == nil })
		c.must(c.post("http://"+address+"/standin/settings", settings))
	}
	c.waitFor("platform stand-in", func() bool { return c.get(c.platformURL("/standin/faults"), nil) == nil })
	return c
}

func (c *cluster) platformURL(path string) string { return "http://" + c.network + ".1:8500" + path }

// startVM starts a daemon and waits until it is ready. Settings override the
// defaults of the tests, whose short times keep the tests fast.
func (c *cluster) startVM(id, zone string, settings ...string) *vm {
	v := c.launchVM(id, zone, settings...)
	c.waitFor("VM "+id+" ready", func() bool { return c.get("http://"+v.address(adminPort)+"/readyz", nil) == nil })
	return v
}

// launchVM starts a daemon without waiting until it is ready.
func (c *cluster) launchVM(id, zone string, settings ...string) *vm {
	c.nextHost++
	return c.launchVMAt(fmt.Sprintf("%s.%d", c.network, c.nextHost), id, zone, settings...)
}

func (c *cluster) launchVMAt(host, id, zone string, settings ...string) *vm {
	v := &vm{id: id, zone: zone, host: host}
	args := []string{
		"--vm-id", id, "--zone", zone, "--platform-url", c.platformURL(""),
		"--caller-listen", v.address(callerPort), "--operator-listen", v.address(operatorPort),
		"--peer-listen", v.address(peerPort), "--admin-listen", v.address(adminPort),
		"--probe-interval", "100ms", "--probe-timeout", "300ms", "--suspicion-time", "1s", "--freshness-window", "2s",
		"--poll-interval", "2s", "--address-ttl", "1s", "--drain-serve", "3s", "--drain-timeout", "30s", "--log-level", "warn",
	}
	v.Process = proctest.Start(c.t, "briarstandd", append(args, settings...)...)
	v.caller = briarstandv1connect.NewCallerServiceClient(c.client, "http://"+v.address(callerPort))
	v.operator = briarstandv1connect.NewOperatorServiceClient(c.client, "http://"+v.address(operatorPort))
	return v
}

// waitFor waits until a condition is true, and fails the test after 30 s.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: not within 30 s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *cluster) must(err error) {
	c.t.Helper()
	qt.Assert(c.t, err, qt.IsNil)
}

// get decodes a JSON response into v, or ignores the body if v is nil.
func (c *cluster) get(url string, v any) error { return c.call(http.MethodGet, url, nil, v) }

func (c *cluster) post(url string, body any) error { return c.call(http.MethodPost, url, body, nil) }

func (c *cluster) call(method, url string, body, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	payload, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(payload))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= 300 {
		return errors.New(resp.Status)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(data, v)
}

// storeFaults replaces the faults of the platform stand-in.
func (c *cluster) storeFaults(faults map[string]any) {
	c.t.Helper()
	c.must(c.call(http.MethodPut, c.platformURL("/standin/faults"), faults, nil))
}

// storeWrites returns the number of writes that the store recorded, or -1 if it
// cannot be asked.
func (c *cluster) storeWrites() int {
	var writes []json.RawMessage
	if c.get(c.platformURL("/standin/writes"), &writes) != nil {
		return -1
	}
	return len(writes)
}

// record returns the complete record of a backend server.
func (c *cluster) record(backend int) backendstandin.Record {
	var r backendstandin.Record
	c.must(c.get("http://"+c.backends[backend]+"/standin/record", &r))
	return r
}

// summary returns the record of a backend server without its lists of runs.
func (c *cluster) summary(backend int) backendstandin.Record {
	var r backendstandin.Record
	c.must(c.get("http://"+c.backends[backend]+"/standin/record?summary", &r))
	return r
}

// spec returns a service with all backend servers and with index versions that
// have two replicas of each shard.
func (c *cluster) spec(shards int, policy *briarstandv1.Policy, versions ...string) *briarstandv1.ServiceSpec {
	spec := &briarstandv1.ServiceSpec{Policy: policy}
	for i, address := range c.backends {
		spec.Backends = append(spec.Backends, &briarstandv1.Backend{
			Id: backendID(i), Address: address, Zone: "attica-a", Slots: 64, MaxConnections: 60,
		})
	}
	for n, name := range versions {
		v := &briarstandv1.IndexVersion{Name: name, Sequence: int64(n + 1)}
		for s := range shards {
			v.Shards = append(v.Shards, &briarstandv1.ShardReplicas{
				BackendIds: []string{backendID(s % len(c.backends)), backendID((s + 1) % len(c.backends))},
			})
		}
		spec.IndexVersions = append(spec.IndexVersions, v)
	}
	return spec
}

func backendID(i int) string { return fmt.Sprintf("search-%d", i+1) }

func newChange(revision int64) *briarstandv1.Change {
	return &briarstandv1.Change{ChangeId: uuid.NewString(), Operator: "eleni", Reason: "proof", ExpectedRevision: revision}
}

// create creates a service and waits for its acceptance.
func (c *cluster) create(v *vm, name string, spec *briarstandv1.ServiceSpec) *briarstandv1.Service {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	resp, err := v.operator.CreateService(ctx, connect.NewRequest(&briarstandv1.CreateServiceRequest{
		Name: name, Spec: spec, Change: newChange(0),
	}))
	c.must(err)
	qt.Assert(c.t, resp.Msg.Rollout.State, qt.Equals, briarstandv1.RolloutState_ROLLOUT_STATE_ACCEPTED)
	return resp.Msg.Service
}

// update replaces the spec of a service.
func (c *cluster) update(v *vm, name string, spec *briarstandv1.ServiceSpec, ch *briarstandv1.Change) (*briarstandv1.ChangeResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	resp, err := v.operator.UpdateService(ctx, connect.NewRequest(&briarstandv1.UpdateServiceRequest{
		Name: name, Spec: spec, Change: ch,
	}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// query sends a query to one VM.
func (v *vm) query(ctx context.Context, req *briarstandv1.QueryRequest) (*briarstandv1.QueryResponse, error) {
	resp, err := v.caller.Query(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// addresses asks a VM for the addresses to use and their TTL.
func (v *vm) addresses(ctx context.Context, callerID string) ([]string, time.Duration, error) {
	resp, err := v.caller.Resolve(ctx, connect.NewRequest(&briarstandv1.ResolveRequest{CallerId: callerID}))
	if err != nil {
		return nil, 0, err
	}
	var out []string
	for _, e := range resp.Msg.Endpoints {
		out = append(out, e.Address)
	}
	return out, time.Duration(resp.Msg.TtlMs) * time.Millisecond, nil
}

// versionOf returns the index version from the id of a hit, which a stand-in
// writes as service/version/shard/number.
func versionOf(hit *briarstandv1.Hit) string {
	parts := strings.Split(hit.Id, "/")
	if len(parts) != 4 {
		return ""
	}
	return parts[1]
}

// policy returns a complete policy with a deadline.
func policy(deadline time.Duration, extraLoadPermille int32) *briarstandv1.Policy {
	return &briarstandv1.Policy{
		DeadlineMs: deadline.Milliseconds(), MaxConcurrent: 1000, MaxQueued: 1000, ExtraLoadPermille: extraLoadPermille,
		HedgePermille: 950, Preference: briarstandv1.Preference_PREFERENCE_COVERAGE, DefaultLimit: 10, Priority: 2,
		ReplicaChoice: briarstandv1.ReplicaChoice_REPLICA_CHOICE_ADAPTIVE,
	}
}
