package measure

import (
	"fmt"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/load"
)

// Names of the cost figures that have a target.
const (
	FigureAddedTime = "time added by a daemon to a sub-request, p99"
	FigureCPU       = "CPU in the daemon per sub-request, 40 shards, batched"
)

// Targets of docs/design.md, section 12.
const (
	maxStragglerRatio   = 1.5
	minBaselineRatio    = 3
	maxExtraSteady      = 0.05
	maxExtraWorst       = 0.10
	minCompleteFraction = 0.999
	minGoodputFraction  = 0.9
	maxRefusalMS        = 50
	maxMisleadingRatio  = 1.2
	maxAddedMS          = 1
	maxCPUMicroseconds  = 10
)

// Units of figures.
const (
	percent      = "%"
	percentScale = 100 // percent in a fraction of 1
	milliseconds = "ms"
	microseconds = "us"
)

// allProfiles stands in the column for the profile if a verdict does not depend on
// the profile.
const allProfiles = "-"

// Verdict compares a figure with its target.
type Verdict struct {
	Target, Profile string
	Limit, Value    float64
	Unit            string
	// AtLeast makes Limit a minimum; otherwise it is a maximum.
	AtLeast bool
	// Measured is false when the runs that the figure needs are missing.
	Measured bool
}

// Met reports whether the figure was measured and meets the target.
func (v Verdict) Met() bool {
	if v.AtLeast {
		return v.Measured && v.Value >= v.Limit
	}
	return v.Measured && v.Value <= v.Limit
}

func (v Verdict) limit() string {
	sign := "<="
	if v.AtLeast {
		sign = ">="
	}
	return fmt.Sprintf("%s %g%s", sign, v.Limit, v.Unit)
}

func (v Verdict) measured() string {
	if !v.Measured {
		return "not measured"
	}
	return fmt.Sprintf("%.4g%s", v.Value, v.Unit)
}

func (v Verdict) text() string {
	switch {
	case !v.Measured:
		return "-"
	case v.Met():
		return "met"
	}
	return "MISSED"
}

// Verdicts compares the runs with all targets.
func (r *Report) Verdicts() []Verdict {
	var all []Verdict
	for _, name := range load.ProfileNames() {
		if r.Find(name, Steady, Adaptive) == nil {
			continue
		}
		all = append(all, r.latencyVerdicts(name)...)
		all = append(all, r.extraVerdicts(name)...)
		all = append(all, r.outcomeVerdicts(name)...)
	}
	return append(all, r.costVerdict(FigureAddedTime, maxAddedMS), r.costVerdict(FigureCPU, maxCPUMicroseconds))
}

func (r *Report) costVerdict(name string, limit float64) Verdict {
	for _, c := range r.Costs {
		if c.Name == name {
			return Verdict{Target: name, Profile: allProfiles, Limit: limit, Value: c.Value, Unit: c.Unit, Measured: true}
		}
	}
	return Verdict{Target: name, Profile: allProfiles, Limit: limit}
}

// ratio returns the p99 latency of a divided by that of b. It returns false if
// either run is missing or b has no latency.
func ratio(a, b *Run) (float64, bool) {
	if a == nil || b == nil || b.service().Latency.P99 == 0 {
		return 0, false
	}
	return a.service().Latency.P99 / b.service().Latency.P99, true
}

func (r *Report) latencyVerdicts(profile string) []Verdict {
	steady := r.Find(profile, Steady, Adaptive)
	withStraggler := r.Find(profile, Straggler, Adaptive)
	straggler := Verdict{Target: "p99 with a straggler / p99 without", Profile: profile, Limit: maxStragglerRatio}
	straggler.Value, straggler.Measured = ratio(withStraggler, steady)
	baselineRatio := Verdict{Target: "baseline's p99 with a straggler / p99, 5 s deadline", Profile: profile, Limit: minBaselineRatio, AtLeast: true}
	baselineRatio.Value, baselineRatio.Measured = ratio(r.Find(profile, LongStraggler, Baseline), r.Find(profile, LongStraggler, Adaptive))
	misleading := Verdict{Target: "p99 with misleading load / p99 with honest", Profile: profile, Limit: maxMisleadingRatio}
	misleading.Value, misleading.Measured = ratio(r.Find(profile, MisleadingLoad, Adaptive), steady)
	return []Verdict{straggler, baselineRatio, misleading}
}

func (r *Report) extraVerdicts(profile string) []Verdict {
	steady := Verdict{Target: "extra load, steady", Profile: profile, Limit: percentScale * maxExtraSteady, Unit: percent}
	worst := Verdict{Target: "extra load, worst scenario", Profile: profile, Limit: percentScale * maxExtraWorst, Unit: percent}
	for i := range r.Runs {
		run := &r.Runs[i]
		if run.Profile != profile || run.Policy != Adaptive || run.Result.Extra == nil {
			continue
		}
		extraPercent := percentScale * run.Result.Extra.ReceivedFraction
		if run.Scenario == Steady {
			steady.Value, steady.Measured = extraPercent, true
		}
		if !worst.Measured || extraPercent > worst.Value {
			worst.Value, worst.Measured = extraPercent, true
			worst.Target = "extra load, worst scenario (" + run.Scenario + ")"
		}
	}
	return []Verdict{steady, worst}
}

func (r *Report) outcomeVerdicts(profile string) []Verdict {
	var all []Verdict
	if p, err := load.ProfileByName(profile); err == nil && p.Services[0].Preference == config.PreferCoverage {
		v := Verdict{Target: "complete answers, one replica of each shard lost", Profile: profile, Limit: percentScale * minCompleteFraction, Unit: percent, AtLeast: true}
		if run := r.Find(profile, ReplicaLost, Adaptive); run != nil {
			v.Value, v.Measured = percentScale*run.service().CompleteFraction, true
		}
		all = append(all, v)
	}
	goodput := Verdict{Target: "goodput at 2x overload / capacity", Profile: profile, Limit: percentScale * minGoodputFraction, Unit: percent, AtLeast: true}
	refusal := Verdict{Target: "p99 of refusals at 2x overload", Profile: profile, Limit: maxRefusalMS, Unit: milliseconds}
	if run := r.Find(profile, Overload, Adaptive); run != nil {
		goodput.Value, goodput.Measured = percentScale*run.service().Goodput/run.Capacity, true
		// Without refusals there is no latency to compare.
		refusal.Value, refusal.Measured = run.service().Refusal.P99, run.service().Outcomes["not_run"] > 0
	}
	return append(all, goodput, refusal)
}
