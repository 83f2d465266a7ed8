package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/briarstand/briarstand/backend/standin"
	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
	"github.com/briarstand/briarstand/internal/proctest"
	"github.com/briarstand/briarstand/load"
)

func TestMain(m *testing.M) { proctest.Main(m) }

// vm is a daemon process with its own address.
type vm struct {
	*proctest.Process
	host string
}

func (v *vm) caller() string   { return v.host + ":7401" }
func (v *vm) admin() string    { return "http://" + v.host + ":7404" }
func (v *vm) operator() string { return "http://" + v.host + ":7402" }

// backendServer is a stand-in for a backend server. After a kill, lastRecord holds
// the record that was read just before.
type backendServer struct {
	*proctest.Process
	address    string
	killed     bool
	lastRecord standin.Record
}

// fleet is a deployment of real processes on its own loopback network.
type fleet struct {
	t          testing.TB
	network    string
	profile    load.Profile
	service    load.ServiceProfile
	backends   []*backendServer
	vms        []*vm
	vmsStarted int
	client     *http.Client
}

func newFleet(t testing.TB, p load.Profile, s load.ServiceProfile, vms int) *fleet {
	f := &fleet{t: t, network: proctest.ReserveNetwork(t), profile: p, service: s, client: &http.Client{Timeout: 10 * time.Second}}
	proctest.Start(t, "briarstand", "dev", "platform", "--listen", f.network+".1:8500", "--log-level", "error")
	f.waitFor("platform stand-in", func() bool { return f.call(http.MethodGet, f.platform("/standin/faults"), nil, nil) == nil })
	for i := range s.Backends {
		f.backends = append(f.backends, &backendServer{address: fmt.Sprintf("%s.%d:9001", f.network, 101+i)})
		f.startBackend(i)
	}
	for i := range s.Backends {
		f.resetBackend(i)
	}
	for range vms {
		f.startVM()
	}
	return f
}

func (f *fleet) platform(path string) string { return "http://" + f.network + ".1:8500" + path }

func (f *fleet) startBackend(i int) {
	s := f.backends[i]
	s.Process = proctest.Start(f.t, "briarstand", "dev", "backend", "--listen", s.address, "--seed", strconv.Itoa(i+1))
	s.killed = false
}

// resetBackend restarts a killed backend server, clears its faults and applies
// the settings of the profile, with the service times of this measurement.
func (f *fleet) resetBackend(i int) {
	if f.backends[i].killed {
		f.startBackend(i)
	}
	f.waitFor("backend stand-in", func() bool { return f.control(i, "settings", nil) == nil })
	settings := f.profile.Settings(f.service, i, f.profile.Zones[0])
	settings.ServiceBase, settings.ServiceJitter = standin.Duration(serviceBase), standin.Duration(serviceJitter)
	settings.ServiceTail, settings.TailProbability = standin.Duration(serviceTail), tailProbability
	settings.Holdings = []standin.Holding{{Version: load.ProfileVersion, Shards: settings.Holdings[0].Shards}}
	f.must(f.control(i, "settings", settings))
	f.must(f.control(i, "faults", standin.Faults{}))
}

// control posts a body to a control path of a stand-in, or reads the path if the
// body is nil.
func (f *fleet) control(i int, path string, body any) error {
	method := http.MethodPost
	if body == nil {
		method = http.MethodGet
	}
	return f.call(method, "http://"+f.backends[i].address+"/standin/"+path, body, nil)
}

// killBackend kills a backend server and keeps its record.
func (f *fleet) killBackend(i int) {
	s := f.backends[i]
	f.must(f.call(http.MethodGet, "http://"+s.address+"/standin/record?summary", nil, &s.lastRecord))
	s.killed = true
	s.Kill()
}

// records returns a record source for each backend server. The source of a killed
// server returns the last record.
func (f *fleet) records() []load.RecordSource {
	var sources []load.RecordSource
	for _, s := range f.backends {
		read := load.HTTPRecord(f.client, s.address)
		sources = append(sources, func(ctx context.Context) (standin.Record, error) {
			if s.killed {
				return s.lastRecord, nil
			}
			return read(ctx)
		})
	}
	return sources
}

// counters returns the counter source of each VM. The VMs must run until the end
// of the measurement.
func (f *fleet) counters() []load.CounterSource {
	var sources []load.CounterSource
	for _, v := range f.vms {
		sources = append(sources, load.HTTPCounters(f.client, v.admin()))
	}
	return sources
}

func (f *fleet) startVM() *vm {
	f.vmsStarted++
	v := &vm{host: fmt.Sprintf("%s.%d", f.network, 10+f.vmsStarted)}
	v.Process = proctest.Start(f.t, "briarstandd", "--vm-id", fmt.Sprintf("vm-%d", f.vmsStarted), "--zone", f.profile.Zones[0],
		"--platform-url", f.platform(""), "--caller-listen", v.caller(), "--operator-listen", v.host+":7402",
		"--peer-listen", v.host+":7403", "--admin-listen", v.host+":7404", "--probe-interval", "200ms",
		"--address-ttl", "1s", "--drain-serve", "1500ms", "--drain-timeout", "10s", "--log-level", "error")
	f.waitFor("VM ready", func() bool { return f.call(http.MethodGet, v.admin()+"/readyz", nil, nil) == nil })
	f.vms = append(f.vms, v)
	return v
}

func (f *fleet) addresses() []string {
	var all []string
	for _, v := range f.vms {
		all = append(all, v.caller())
	}
	return all
}

func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: not within 30 s", what)
		}
	}
}

func (f *fleet) must(err error) {
	f.t.Helper()
	qt.Assert(f.t, err, qt.IsNil)
}

func (f *fleet) call(method, url string, body, v any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode >= 300 {
		return fmt.Errorf("%s %s: %s %s %w", method, url, resp.Status, answer, err)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(answer, v)
}

func (f *fleet) operator() briarstandv1connect.OperatorServiceClient {
	return briarstandv1connect.NewOperatorServiceClient(f.client, f.vms[0].operator())
}

func newChange(revision int64) *briarstandv1.Change {
	return &briarstandv1.Change{ChangeId: uuid.NewString(), Operator: "eleni", Reason: "measurement", ExpectedRevision: revision}
}

// create creates a service, checks that it is accepted and returns its revision.
func (f *fleet) create(doc *config.Service) int64 {
	f.t.Helper()
	resp, err := f.operator().CreateService(context.Background(), connect.NewRequest(&briarstandv1.CreateServiceRequest{
		Name: doc.Name, Spec: config.SpecToProto(doc), Change: newChange(0),
	}))
	f.must(err)
	qt.Assert(f.t, resp.Msg.Rollout.State, qt.Equals, briarstandv1.RolloutState_ROLLOUT_STATE_ACCEPTED)
	return resp.Msg.Service.Revision
}

func (f *fleet) update(doc *config.Service, revision int64) int64 {
	f.t.Helper()
	resp, err := f.operator().UpdateService(context.Background(), connect.NewRequest(&briarstandv1.UpdateServiceRequest{
		Name: doc.Name, Spec: config.SpecToProto(doc), Change: newChange(revision),
	}))
	f.must(err)
	return resp.Msg.Service.Revision
}

func (f *fleet) remove(name string) {
	f.t.Helper()
	got, err := f.operator().GetService(context.Background(), connect.NewRequest(&briarstandv1.GetServiceRequest{Name: name}))
	f.must(err)
	_, err = f.operator().DeleteService(context.Background(), connect.NewRequest(&briarstandv1.DeleteServiceRequest{
		Name: name, Change: newChange(got.Msg.Service.Revision),
	}))
	f.must(err)
}
