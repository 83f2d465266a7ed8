// Package measure compares the query policy with its targets in docs/design.md,
// section 12. The tests start the programs as real processes, generate load with
// package load, and print the report of this package; docs/policy.md describes
// how to run them.
package measure

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/briarstand/briarstand/load"
)

// Policies under comparison.
const (
	Adaptive = "adaptive"
	// Baseline chooses replicas at random and never hedges. It has the same retry
	// budget as Adaptive.
	Baseline = "baseline"
)

// Scenarios in which the policies run.
const (
	Steady    = "steady"
	Straggler = "straggler"
	// LongStraggler is Straggler with a deadline above every latency, so that the
	// p99 is not cut off at the deadline.
	LongStraggler  = "straggler, 5 s deadline"
	ReplicaLost    = "replica lost"
	MisleadingLoad = "misleading load"
	VersionChange  = "version change"
	Overload       = "2x overload"
	VMReplaced     = "VM replaced"
	StoreOutage    = "store outage"
)

// Scenarios lists the scenarios in the order in which they run.
func Scenarios() []string {
	return []string{Steady, Straggler, LongStraggler, ReplicaLost, MisleadingLoad, VersionChange, Overload, VMReplaced, StoreOutage}
}

// Run holds the results of one scenario under one policy.
type Run struct {
	Profile, Scenario, Policy string
	// Capacity is the rate, in queries a second, that keeps all slots in use.
	Capacity float64
	// LoadAverage is the machine's load average over one minute, at the end of
	// the run.
	LoadAverage float64
	Result      *load.Result
}

func (r *Run) service() *load.ServiceResult { return &r.Result.Services[0] }

// Figure is a single measured value.
type Figure struct {
	Name  string
	Value float64
	Unit  string
}

// Report holds all runs of a measurement.
type Report struct {
	Runs []Run
	// Costs are the figures of the cost measurements. Those named FigureAddedTime
	// and FigureCPU have a target.
	Costs []Figure
}

// Find returns the run of a scenario under a policy, or nil.
func (r *Report) Find(profile, scenario, policy string) *Run {
	for i := range r.Runs {
		run := &r.Runs[i]
		if run.Profile == profile && run.Scenario == scenario && run.Policy == policy {
			return run
		}
	}
	return nil
}

// WriteTable writes all runs and the verdicts. Latencies are in milliseconds.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "profile\tscenario\tpolicy\tqueries\tp50\tp90\tp99\tp99.9\tcomplete\tcoverage\tworst\textra\tsent/needed\tgoodput/s\trefused p99\tCPU us/sub\tload\toutcomes")
	for i := range r.Runs {
		writeRun(t, &r.Runs[i])
	}
	for _, c := range r.Costs {
		fmt.Fprintf(t, "\n%s: %.3g %s", c.Name, c.Value, c.Unit)
	}
	fmt.Fprintln(t, "\n\ntarget\tprofile\tlimit\tmeasured\tverdict")
	for _, v := range r.Verdicts() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", v.Target, v.Profile, v.limit(), v.measured(), v.text())
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("measure: write report: %w", err)
	}
	return nil
}

func writeRun(w io.Writer, r *Run) {
	s := r.service()
	extra, sent, cpu := "-", "-", "-"
	if e := r.Result.Extra; e != nil {
		extra = fmt.Sprintf("%+.2f%%", 100*e.ReceivedFraction)
	}
	if d := r.Result.Daemons; d != nil {
		sent, cpu = fmt.Sprintf("%.4f", d.SentPerNeeded), fmt.Sprintf("%.1f", d.CPUPerSubRequest)
	}
	l := s.Latency
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f%%\t%.2f%%\t%.2f%%\t%s\t%s\t%.1f\t%.1f\t%s\t%.1f\t%v %v\n",
		r.Profile, r.Scenario, r.Policy, s.Queries, l.P50, l.P90, l.P99, l.P999,
		100*s.CompleteFraction, 100*s.CoverageMean, 100*s.CoverageWorst, extra, sent, s.Goodput, s.Refusal.P99, cpu, r.LoadAverage,
		s.Outcomes, s.Errors)
}
