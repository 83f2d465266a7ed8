package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

const (
	// maxLatency is the upper end of the latency histograms. Longer latencies
	// are recorded as maxLatency.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits of the latency
	// histograms.
	latencyDigits = 3
	// maxWrongExamples limits the descriptions of wrong answers in a result.
	maxWrongExamples = 10
)

// Latency summarizes a latency distribution, in milliseconds.
type Latency struct {
	Mean float64 `json:"mean_ms"`
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// ServiceResult holds the measurements of one service as its callers see them.
type ServiceResult struct {
	Service string `json:"service"`
	Queries int64  `json:"queries"`
	// Outcomes counts answers by outcome, Errors counts failed calls by code.
	Outcomes map[string]int64 `json:"outcomes"`
	Errors   map[string]int64 `json:"errors"`
	// Goodput is the number of queries per second that were answered completely
	// within the deadline, which counts from their intended start.
	Goodput float64 `json:"goodput"`
	// Latency is the latency of complete and partial answers, Refusal that of
	// answers with the outcome NOT_RUN. Both count from the intended start.
	Latency Latency `json:"latency"`
	Refusal Latency `json:"refusal_latency"`
	// CoverageMean and CoverageWorst are the mean and the minimum, over the
	// queries that were run, of the fraction of shards that answered.
	CoverageMean  float64 `json:"coverage_mean"`
	CoverageWorst float64 `json:"coverage_worst"`
	// CompleteFraction is the fraction of queries with a complete answer.
	CompleteFraction float64 `json:"complete_part"`
	// Wrong counts answers that contradict themselves or whose hits differ from
	// the documents of the stand-ins; WrongExamples describes the first of them.
	Wrong         int64    `json:"wrong"`
	WrongExamples []string `json:"wrong_examples,omitempty"`
	// Shards is the total number of shards, summed over the queries that were
	// run.
	Shards int64 `json:"shards"`
}

// ExtraLoad compares the sub-requests at backend servers with the number needed:
// one for each shard of each query that was run.
type ExtraLoad struct {
	Needed   int64 `json:"needed"`
	Received int64 `json:"received"`
	Started  int64 `json:"started"`
	// ReceivedFraction and StartedFraction are the number of sub-requests received
	// or started beyond the number needed, divided by the number needed. They are
	// negative if queries omitted shards.
	ReceivedFraction float64 `json:"received_part"`
	StartedFraction  float64 `json:"started_part"`
	// BusySeconds is the time that slots of backend servers spent running
	// sub-requests, summed over all slots.
	BusySeconds float64 `json:"busy_s"`
}

// Result holds the measurements of a run.
type Result struct {
	Seconds  float64         `json:"seconds"`
	Services []ServiceResult `json:"services"`
	// Extra is nil when no records were read.
	Extra *ExtraLoad `json:"extra_load,omitempty"`
	// Daemons is nil when no metrics were read.
	Daemons *DaemonLoad `json:"daemons,omitempty"`
}

// meter collects the measurements of one stream.
type meter struct {
	stream Stream

	mu             sync.Mutex
	result         ServiceResult
	answerLatency  *hdrhistogram.Histogram
	refusalLatency *hdrhistogram.Histogram
	completeInTime int64
	queriesRun     int64
	coverageSum    float64
}

func newMeter(s Stream) *meter {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	return &meter{
		stream: s, answerLatency: newHistogram(), refusalLatency: newHistogram(),
		result: ServiceResult{Service: s.Service, Outcomes: map[string]int64{}, Errors: map[string]int64{}, CoverageWorst: 1},
	}
}

func outcomeName(o briarstandv1.Outcome) string {
	return strings.ToLower(strings.TrimPrefix(o.String(), "OUTCOME_"))
}

// add records the outcome of a query. wrong says what is wrong with the answer and
// is empty if nothing is.
func (m *meter) add(latency time.Duration, resp *briarstandv1.QueryResponse, err error, wrong string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.result.Queries++
	if err != nil {
		m.result.Errors[errorName(err)]++
		return
	}
	m.result.Outcomes[outcomeName(resp.GetOutcome())]++
	if wrong != "" {
		m.result.Wrong++
		if len(m.result.WrongExamples) < maxWrongExamples {
			m.result.WrongExamples = append(m.result.WrongExamples, resp.GetRequestId()+": "+wrong)
		}
	}
	us := min(max(latency, time.Microsecond), maxLatency).Microseconds()
	switch resp.GetOutcome() {
	case briarstandv1.Outcome_OUTCOME_COMPLETE:
		if latency <= m.stream.Timeout {
			m.completeInTime++
		}
		recordLatency(m.answerLatency, us)
	case briarstandv1.Outcome_OUTCOME_PARTIAL:
		recordLatency(m.answerLatency, us)
	case briarstandv1.Outcome_OUTCOME_NOT_RUN:
		recordLatency(m.refusalLatency, us)
		return
	}
	m.addCoverage(resp.GetCoverage())
}

// recordLatency adds a latency in microseconds. The latency must be in the range of
// the histogram, so that RecordValue cannot fail.
func recordLatency(h *hdrhistogram.Histogram, us int64) { _ = h.RecordValue(us) }

func (m *meter) addCoverage(c *briarstandv1.Coverage) {
	if c.GetShardsTotal() == 0 {
		return
	}
	covered := float64(c.GetShardsAnswered()) / float64(c.GetShardsTotal())
	m.queriesRun++
	m.coverageSum += covered
	m.result.CoverageWorst = min(m.result.CoverageWorst, covered)
	m.result.Shards += int64(c.GetShardsTotal())
}

func (m *meter) summary(d time.Duration) ServiceResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.result
	r.Latency, r.Refusal = summarizeLatency(m.answerLatency), summarizeLatency(m.refusalLatency)
	r.Goodput = float64(m.completeInTime) / d.Seconds()
	if m.queriesRun > 0 {
		r.CoverageMean = m.coverageSum / float64(m.queriesRun)
	} else {
		r.CoverageWorst = 0
	}
	if r.Queries > 0 {
		complete := r.Outcomes[outcomeName(briarstandv1.Outcome_OUTCOME_COMPLETE)]
		r.CompleteFraction = float64(complete) / float64(r.Queries)
	}
	return r
}

func summarizeLatency(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		Mean: h.Mean() / 1000,
		P50:  ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)), P99: ms(h.ValueAtQuantile(99)),
		P999: ms(h.ValueAtQuantile(99.9)), Max: ms(h.Max()),
	}
}

func summarize(meters []*meter, d time.Duration, before, after snapshot) *Result {
	r := &Result{Seconds: d.Seconds()}
	var needed, queries int64
	for _, m := range meters {
		s := m.summary(d)
		needed += s.Shards
		queries += s.Queries
		r.Services = append(r.Services, s)
	}
	if after.records.valid {
		r.Extra = extraLoad(needed, before.records, after.records)
	}
	r.Daemons = daemonLoad(queries, needed, before.counters, after.counters)
	return r
}

func extraLoad(needed int64, before, after recordTotals) *ExtraLoad {
	e := &ExtraLoad{
		Needed: needed, Received: after.received - before.received, Started: after.started - before.started,
		BusySeconds: time.Duration(after.busy - before.busy).Seconds(),
	}
	if needed > 0 {
		e.ReceivedFraction = float64(e.Received)/float64(needed) - 1
		e.StartedFraction = float64(e.Started)/float64(needed) - 1
	}
	return e
}

// WriteJSON writes the result as one JSON document.
func (r *Result) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("load: write result: %w", err)
	}
	return nil
}

// WriteTable writes the result as text. Latencies are in milliseconds.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\tqueries\tgoodput/s\tp50\tp90\tp99\tp99.9\tmax\tcomplete\tcoverage\tworst\twrong\t")
	for _, s := range r.Services {
		l := s.Latency
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f%%\t%.2f%%\t%.2f%%\t%d\t\n",
			s.Service, s.Queries, s.Goodput, l.P50, l.P90, l.P99, l.P999, l.Max,
			100*s.CompleteFraction, 100*s.CoverageMean, 100*s.CoverageWorst, s.Wrong)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("load: write result: %w", err)
	}
	return r.writeDetails(w)
}

func (r *Result) writeDetails(w io.Writer) error {
	var b strings.Builder
	for _, s := range r.Services {
		fmt.Fprintf(&b, "%s: outcomes %s; errors %s; refusals p99 %.1f\n", s.Service, formatCounts(s.Outcomes), formatCounts(s.Errors), s.Refusal.P99)
	}
	if e := r.Extra; e != nil {
		fmt.Fprintf(&b, "extra load: %+.2f%% received, %+.2f%% started, of %d sub-requests needed\n",
			100*e.ReceivedFraction, 100*e.StartedFraction, e.Needed)
	}
	if d := r.Daemons; d != nil {
		fmt.Fprintf(&b, "daemons: %.0f us of CPU per query, %.1f per sub-request; %.4f sub-requests sent per one needed (%d hedges, %d retries, %d denied); %.1f in a message\n",
			d.CPUPerQuery, d.CPUPerSubRequest, d.SentPerNeeded, d.Hedges, d.Retries, d.Denied, d.PerMessage)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("load: write result: %w", err)
	}
	return nil
}

func formatCounts(m map[string]int64) string {
	if len(m) == 0 {
		return "none"
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, m[name]))
	}
	return strings.Join(parts, " ")
}
