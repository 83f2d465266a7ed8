package measure

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/backend/standin"
	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/load"
)

// Service times of the stand-ins. They are long enough that the effects of the
// policy exceed the scheduling delays of some fifty processes on one machine.
const (
	serviceBase     = 16 * time.Millisecond
	serviceJitter   = 8 * time.Millisecond
	serviceTail     = 40 * time.Millisecond
	tailProbability = 0.001
	meanServiceTime = serviceBase + serviceJitter/2 + serviceTail/1000
)

const (
	typicalUtilization = 0.4 // fraction of the capacity, in all scenarios but overload
	shardsPerQuery     = 40
	stragglerFactor    = 10
	daemonCount        = 3
	nextVersion        = "v2"
	// longDeadline exceeds every latency that a straggler causes.
	longDeadline = 5 * time.Second
)

// runDurations are the durations of one run.
type runDurations struct{ warmup, measured time.Duration }

// scenarioRun holds the state of one run of a scenario.
type scenarioRun struct {
	*fleet
	doc       *config.Service
	revision  int64
	durations runDurations
	start     time.Time
}

// waitUntil waits until the given fraction of the measured time has passed.
func (r *scenarioRun) waitUntil(fraction float64) {
	time.Sleep(time.Until(r.start.Add(r.durations.warmup + time.Duration(fraction*float64(r.durations.measured)))))
}

// scenario is a load on a fleet, with an action before the load starts and one
// during the load. utilization is the query rate as a fraction of the rate that uses
// all slots of the backend servers.
type scenario struct {
	utilization float64
	// deadline is the deadline of queries; 0 means that of the default policy.
	deadline       time.Duration
	before, during func(r *scenarioRun)
}

var scenarios = map[string]scenario{
	Steady:         {utilization: typicalUtilization},
	Straggler:      {utilization: typicalUtilization, before: slowBackend},
	LongStraggler:  {utilization: typicalUtilization, before: slowBackend, deadline: longDeadline},
	ReplicaLost:    {utilization: typicalUtilization, during: loseReplicas},
	MisleadingLoad: {utilization: typicalUtilization, before: misleadingLoad},
	VersionChange:  {utilization: typicalUtilization, during: changeVersion},
	Overload:       {utilization: 2},
	VMReplaced:     {utilization: typicalUtilization, during: replaceVM},
	StoreOutage:    {utilization: typicalUtilization, during: storeOutage},
}

func slowBackend(r *scenarioRun) {
	r.must(r.control(0, "faults", standin.Faults{StragglerFactor: stragglerFactor}))
}

// loseReplicas kills the first replica of each shard. The two replicas of a
// shard have adjacent indexes.
func loseReplicas(r *scenarioRun) {
	r.waitUntil(0.25)
	for i := 0; i < len(r.backends); i += 2 {
		r.killBackend(i)
	}
}

// misleadingLoad makes one backend server of each pair report that it is idle and
// healthy, and the other that it is fully loaded and unhealthy, although the load
// is even.
func misleadingLoad(r *scenarioRun) {
	for i := range r.backends {
		reported, healthy := float64(i%2), i%2 == 0
		r.must(r.control(i, "faults", standin.Faults{ReportLoad: &reported, ReportHealthy: &healthy}))
	}
}

// changeVersion adds an index version and later removes the old one. Half of the
// backend servers get the new version late: after one second, or after a fifth of
// the measurement if that is shorter.
func changeVersion(r *scenarioRun) {
	addVersion := func(parity int) {
		for i := parity; i < len(r.backends); i += 2 {
			shards := r.profile.Settings(r.service, i, r.profile.Zones[0]).Holdings[0].Shards
			r.must(r.control(i, "settings", map[string]any{"holdings": []standin.Holding{
				{Version: load.ProfileVersion, Shards: shards}, {Version: nextVersion, Shards: shards},
			}}))
		}
	}
	r.waitUntil(0.2)
	addVersion(0)
	next := *r.doc
	second := config.IndexVersion{Name: nextVersion, Sequence: 2, Shards: r.doc.Versions[0].Shards}
	next.Versions = []config.IndexVersion{r.doc.Versions[0], second}
	revision := r.update(&next, r.revision)
	time.Sleep(min(time.Second, r.durations.measured/5))
	addVersion(1)
	r.waitUntil(0.7)
	next.Versions = []config.IndexVersion{second}
	r.update(&next, revision)
}

// replaceVM starts a VM and shuts down an old one.
func replaceVM(r *scenarioRun) {
	r.waitUntil(0.2)
	r.startVM()
	old := r.vms[daemonCount-1]
	old.Signal(syscall.SIGTERM)
	r.vms = append(r.vms[:daemonCount-1], r.vms[daemonCount:]...)
}

func storeOutage(r *scenarioRun) {
	r.waitUntil(0.25)
	r.must(r.call("PUT", r.platform("/standin/faults"), map[string]any{"down": true}, nil))
	r.waitUntil(0.75)
	r.must(r.call("PUT", r.platform("/standin/faults"), map[string]any{}, nil))
}

// run runs a scenario under one policy, on its own service, so that the run does
// not depend on statistics of earlier ones.
func (f *fleet) run(name, policy string, durations runDurations) Run {
	f.t.Helper()
	for i := range f.backends {
		f.resetBackend(i)
	}
	s := scenarios[name]
	doc := f.document(strings.NewReplacer(" ", "-", ",", "").Replace(name)+"-"+policy, policy)
	if s.deadline > 0 {
		doc.Policy.DeadlineMS = s.deadline.Milliseconds()
	}
	r := &scenarioRun{fleet: f, doc: doc, revision: f.create(doc), durations: durations}
	if s.before != nil {
		s.before(r)
	}
	capacity := f.service.Capacity(meanServiceTime)
	cfg := load.Config{
		Addresses: f.addresses(), Warmup: durations.warmup, Duration: durations.measured, Seed: 1, Verify: true,
		Streams: []load.Stream{{Service: doc.Name, Rate: s.utilization * capacity, Timeout: s.deadline}},
		Records: f.records(), Daemons: f.counters(),
	}
	if name == VMReplaced {
		// A VM that stops during the run has no counters to read after the
		// run.
		cfg.Refresh, cfg.Daemons = load.ResolveWith(cfg, "measure", f.profile.Zones[0]), nil
	}
	type outcome struct {
		result *load.Result
		err    error
	}
	done := make(chan outcome, 1)
	r.start = time.Now()
	go func() {
		result, err := load.Run(context.Background(), cfg)
		done <- outcome{result, err}
	}()
	if s.during != nil {
		s.during(r)
	}
	o := <-done
	f.must(o.err)
	f.remove(doc.Name)
	qt.Check(f.t, o.result.Services[0].Wrong, qt.Equals, int64(0), qt.Commentf("%s: %v", doc.Name, o.result.Services[0].WrongExamples))
	return Run{Profile: f.profile.Name, Scenario: name, Policy: policy, Capacity: capacity, LoadAverage: loadAverage(), Result: o.result}
}

// document returns the service of a run, with backend server ids of its own.
func (f *fleet) document(name, policy string) *config.Service {
	s := f.service
	s.Name = name
	index := map[string]int{}
	for i := range s.Backends {
		index[s.BackendID(i)] = i
	}
	doc := f.profile.Document(s, func(id string) string { return f.backends[index[id]].address })
	if policy == Baseline {
		doc.Policy.ReplicaChoice, doc.Policy.HedgePermille = config.ChoiceRandom, 0
	}
	return doc
}

// loadAverage returns the machine's load average over one minute, 0 if unknown.
func loadAverage() float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(raw), " ")
	value, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return value
}

// namesFromEnv returns the names, separated by semicolons, in an environment
// variable, or all names if it is empty.
func namesFromEnv(variable string, all []string) []string {
	names := os.Getenv(variable)
	if names == "" {
		return all
	}
	return strings.Split(names, ";")
}

// TestPolicy measures the query policy and prints a table. Without
// BRIARSTAND_MEASURE it only runs one short scenario, to check that the measurement
// works and that answers are correct.
func TestPolicy(t *testing.T) {
	if os.Getenv("BRIARSTAND_MEASURE") == "" {
		runSmokeTest(t)
		return
	}
	durations := runDurations{warmup: 2 * time.Second, measured: 8 * time.Second}
	if d, err := time.ParseDuration(os.Getenv("BRIARSTAND_MEASURE_DURATION")); err == nil {
		durations.measured = d
	}
	var report Report
	for _, name := range namesFromEnv("BRIARSTAND_MEASURE_PROFILES", load.ProfileNames()) {
		t.Run(name, func(t *testing.T) {
			p, err := load.ProfileByName(name)
			qt.Assert(t, err, qt.IsNil)
			s := p.Services[0]
			s.Shards = shardsPerQuery
			f := newFleet(t, p, s, daemonCount)
			for _, scenario := range namesFromEnv("BRIARSTAND_MEASURE_SCENARIOS", Scenarios()) {
				for _, policy := range namesFromEnv("BRIARSTAND_MEASURE_POLICIES", []string{Adaptive, Baseline}) {
					report.Runs = append(report.Runs, f.run(scenario, policy, durations))
				}
			}
		})
	}
	if !t.Failed() && os.Getenv("BRIARSTAND_MEASURE_SCENARIOS") == "" {
		t.Run("costs", func(t *testing.T) { report.Costs = measureCosts(t, durations) })
	}
	fmt.Println()
	qt.Assert(t, report.WriteTable(os.Stdout), qt.IsNil)
}

func runSmokeTest(t *testing.T) {
	p := load.Kykloskopos()
	s := p.Services[0]
	s.Shards, s.Backends = 4, 4
	f := newFleet(t, p, s, daemonCount)
	run := f.run(Straggler, Adaptive, runDurations{warmup: 300 * time.Millisecond, measured: 1500 * time.Millisecond})
	qt.Assert(t, run.service().Queries > 50, qt.IsTrue)
	qt.Assert(t, run.service().Outcomes["complete"] > 0, qt.IsTrue)
	qt.Assert(t, run.Result.Extra.Needed > 0 && run.Result.Daemons.Sent > 0, qt.IsTrue)
}
