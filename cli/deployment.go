package cli

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	backendstandin "github.com/briarstand/briarstand/backend/standin"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/server"
	"github.com/briarstand/briarstand/settings"
	"github.com/briarstand/briarstand/telemetry"
)

const (
	sampleService = "sample"
	loopbackAny   = "127.0.0.1:0"
	// readyPollInterval is the time between two readiness checks of a daemon.
	readyPollInterval = 20 * time.Millisecond
	// devTimeout limits the start, the sample change and the sample query
	// together.
	devTimeout = 30 * time.Second
)

// deployment is a platform, backend servers and daemons in one process.
type deployment struct {
	logger   *log.Logger
	platform net.Listener
	backends []net.Listener
	servers  []*server.Server
	shards   int
}

// newDeployment opens all listeners, and closes them again on failure.
func newDeployment(logger *log.Logger, daemons, backends, shards int) (_ *deployment, err error) {
	d := &deployment{logger: logger, shards: shards}
	defer func() {
		if err != nil {
			d.close()
		}
	}()
	if d.platform, err = net.Listen("tcp", loopbackAny); err != nil {
		return nil, fmt.Errorf("platform stand-in: %w", err)
	}
	for range backends {
		l, err := net.Listen("tcp", loopbackAny)
		if err != nil {
			return nil, fmt.Errorf("backend stand-in: %w", err)
		}
		d.backends = append(d.backends, l)
	}
	for i := range daemons {
		srv, err := d.newServer(i)
		if err != nil {
			return nil, err
		}
		d.servers = append(d.servers, srv)
	}
	return d, nil
}

// newServer returns a daemon with shorter intervals than the default settings,
// as everything runs on one machine.
func (d *deployment) newServer(i int) (*server.Server, error) {
	id := fmt.Sprintf("vm-%d", i+1)
	set, err := settings.Parse(map[string]string{
		"vm-id": id, "zone": fmt.Sprintf("zone-%d", i%3+1), "region": "local",
		"caller-listen": loopbackAny, "operator-listen": loopbackAny, "peer-listen": loopbackAny, "admin-listen": loopbackAny,
		"platform-url":   "http://" + d.platform.Addr().String(),
		"probe-interval": "200ms", "suspicion-time": "1s",
		"address-ttl": "1s", "drain-serve": "1100ms", "drain-timeout": "10s",
	})
	if err != nil {
		return nil, err
	}
	return server.New(server.Config{Settings: set, Logger: d.logger.With(telemetry.FieldVM, id)})
}

func (d *deployment) close() {
	if d.platform != nil {
		_ = d.platform.Close()
	}
	for _, l := range d.backends {
		_ = l.Close()
	}
	for _, s := range d.servers {
		s.Close()
	}
}

// start runs the daemons and the stand-ins in the group until ctx ends or a daemon
// fails. The stand-ins stop only after the daemons have drained.
func (d *deployment) start(group *errgroup.Group, ctx context.Context) {
	standinCtx, stopStandins := context.WithCancel(context.WithoutCancel(ctx))
	daemons, daemonCtx := errgroup.WithContext(ctx)
	for _, s := range d.servers {
		daemons.Go(func() error { return s.Run(daemonCtx) })
	}
	group.Go(func() error {
		defer stopStandins()
		return daemons.Wait()
	})
	group.Go(func() error { return servePlatform(standinCtx, d.platform, d.logger) })
	for i, l := range d.backends {
		group.Go(func() error { return serveBackend(standinCtx, l, uint64(i+1), backendstandin.DefaultSettings()) })
	}
}

// waitReady waits until every daemon is ready and sees all others as alive.
func (d *deployment) waitReady(ctx context.Context) error {
	for _, s := range d.servers {
		for s.Ready() != nil || s.AliveMembers() < len(d.servers) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("a daemon is not ready: %w", context.Cause(ctx))
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// spec returns the spec of the sample service. Each shard is on two backend servers,
// or on one if there is only one.
func (d *deployment) spec() *briarstandv1.ServiceSpec {
	spec := &briarstandv1.ServiceSpec{Policy: defaultPolicy()}
	spec.Policy.DeadlineMs = 1000
	for i, l := range d.backends {
		spec.Backends = append(spec.Backends, &briarstandv1.Backend{
			Id: backendID(i), Address: l.Addr().String(), Zone: fmt.Sprintf("zone-%d", i%3+1), Region: "local", Slots: 2, MaxConnections: 60,
		})
	}
	version := &briarstandv1.IndexVersion{Name: "v1", Sequence: 1}
	for shard := range d.shards {
		n := len(d.backends)
		replicas := []string{backendID(shard % n)}
		if n > 1 {
			replicas = append(replicas, backendID((shard+1)%n))
		}
		version.Shards = append(version.Shards, &briarstandv1.ShardReplicas{BackendIds: replicas})
	}
	spec.IndexVersions = []*briarstandv1.IndexVersion{version}
	return spec
}

func backendID(i int) string { return fmt.Sprintf("backend-%d", i+1) }

// showDeployment prints the addresses, creates the sample service through the
// operator API and runs one query through the caller API.
func (a *app) showDeployment(ctx context.Context, d *deployment) error {
	ctx, cancel := context.WithTimeout(ctx, devTimeout)
	defer cancel()
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(a.Out, "platform stand-in  http://%s\n\n", d.platform.Addr())
	rows := [][]string{{"VM", "CALLER API", "OPERATOR API", "ADMIN API"}}
	for i, s := range d.servers {
		addrs := s.Addresses()
		rows = append(rows, []string{fmt.Sprintf("vm-%d", i+1), addrs.Caller, addrs.Operator, addrs.Admin})
	}
	if err := printTable(a.Out, rows); err != nil {
		return err
	}
	fmt.Fprintln(a.Out)
	if err := a.createSample(ctx, d); err != nil {
		return err
	}
	return a.querySample(ctx, d)
}

func (a *app) createSample(ctx context.Context, d *deployment) error {
	c, err := a.newOperatorClient([]string{d.servers[0].Addresses().Operator})
	if err != nil {
		return err
	}
	resp, err := callOperator(ctx, c, operatorAPI.CreateService, &briarstandv1.CreateServiceRequest{
		Name: sampleService, Spec: d.spec(),
		Change: &briarstandv1.Change{ChangeId: uuid.NewString(), Operator: "dev", Reason: "sample service"},
	})
	if err != nil {
		return err
	}
	printRollout(a.Out, resp.Rollout)
	return notAcceptedError(resp.Rollout)
}

func (a *app) querySample(ctx context.Context, d *deployment) error {
	addrs := d.servers[len(d.servers)-1].Addresses()
	fmt.Fprintf(a.Out, "\n$ briarstand query --caller-address %s %s \"mountain huts\"\n", addrs.Caller, sampleService)
	caller := &callerClient{http: a.http, bootstrap: []string{"http://" + addrs.Caller}, callerID: "dev"}
	resp, err := caller.query(ctx, &briarstandv1.QueryRequest{Service: sampleService, Body: []byte("mountain huts"), Limit: 5})
	if err != nil {
		return err
	}
	if err := a.printAnswer(resp); err != nil {
		return err
	}
	return outcomeError(resp)
}
