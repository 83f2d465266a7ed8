package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Metrics of the daemon that the load generator reads.
const (
	metricCPU                = "process_cpu_seconds_total"
	metricSubRequests        = "briarstand_sub_requests_total"
	metricExtraDenied        = "briarstand_extra_denied_total"
	metricMessagesWritten    = "briarstand_backend_messages_written_total"
	metricSubRequestsWritten = "briarstand_backend_subrequests_written_total"
)

// maxMetricsBytes limits how much of a daemon's metrics is read.
const maxMetricsBytes = 8 << 20

// DaemonCounters are counters of one daemon since its start.
type DaemonCounters struct {
	// CPU is the CPU time of the whole process, all its services included.
	CPU time.Duration
	// Primary, Hedges, Retries and Restarts count sub-requests of the services
	// under load; Restarts are those sent again when a query switched to another
	// index version. Denied counts hedges and retries that the retry budget refused.
	Primary, Hedges, Retries, Restarts, Denied int64
	// Written counts the sub-requests that were written to backend servers, over
	// all services. Messages counts the messages that carried them.
	Written, Messages int64
}

// MetricsError reports a daemon whose metrics could not be read.
type MetricsError struct {
	URL string
	Err error
}

func (e *MetricsError) Error() string {
	return fmt.Sprintf("load: read metrics of %s: %v", e.URL, e.Err)
}

func (e *MetricsError) Unwrap() error { return e.Err }

// CounterSource reads the counters of a daemon for the given services.
type CounterSource func(ctx context.Context, services []string) (DaemonCounters, error)

// HTTPCounters returns a CounterSource that reads the metrics of the admin API
// at a base URL.
func HTTPCounters(client *http.Client, adminURL string) CounterSource {
	return func(ctx context.Context, services []string) (DaemonCounters, error) {
		c, err := fetchCounters(ctx, client, adminURL, services)
		if err != nil {
			return c, &MetricsError{URL: adminURL, Err: err}
		}
		return c, nil
	}
}

func fetchCounters(ctx context.Context, client *http.Client, adminURL string, services []string) (c DaemonCounters, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(adminURL, "/")+"/metrics", nil)
	if err != nil {
		return c, fmt.Errorf("request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return c, fmt.Errorf("request: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return c, fmt.Errorf("status %s", resp.Status)
	}
	return parseCounters(io.LimitReader(resp.Body, maxMetricsBytes), services)
}

// parseCounters reads counters in the Prometheus text format. It skips those of
// services other than the given ones.
func parseCounters(r io.Reader, services []string) (c DaemonCounters, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		name, labels, value, ok := parseSample(lines.Text())
		if ok && (labels["service"] == "" || slices.Contains(services, labels["service"])) {
			c.add(name, labels["kind"], value)
		}
	}
	if err := lines.Err(); err != nil {
		return c, fmt.Errorf("read: %w", err)
	}
	return c, nil
}

func (c *DaemonCounters) add(name, kind string, value float64) {
	n := int64(value)
	switch name {
	case metricCPU:
		c.CPU += time.Duration(value * float64(time.Second))
	case metricExtraDenied:
		c.Denied += n
	case metricMessagesWritten:
		c.Messages += n
	case metricSubRequestsWritten:
		c.Written += n
	case metricSubRequests:
		switch kind {
		case "primary":
			c.Primary += n
		case "hedge":
			c.Hedges += n
		case "retry":
			c.Retries += n
		case "restart":
			c.Restarts += n
		}
	}
}

// parseSample splits a line into name, labels and value. It does not support
// commas or escaped characters in label values, which the metrics read here
// never have.
func parseSample(line string) (name string, labels map[string]string, value float64, ok bool) {
	end := strings.LastIndexByte(line, ' ')
	if end < 0 || strings.HasPrefix(line, "#") {
		return "", nil, 0, false
	}
	value, err := strconv.ParseFloat(line[end+1:], 64)
	if err != nil {
		return "", nil, 0, false
	}
	name, rest, _ := strings.Cut(line[:end], "{")
	labels = map[string]string{}
	for pair := range strings.SplitSeq(strings.TrimSuffix(rest, "}"), ",") {
		if key, v, found := strings.Cut(pair, "="); found {
			labels[key] = strings.Trim(v, `"`)
		}
	}
	return name, labels, value, true
}

func (c DaemonCounters) minus(o DaemonCounters) DaemonCounters {
	return DaemonCounters{
		CPU: c.CPU - o.CPU, Primary: c.Primary - o.Primary, Hedges: c.Hedges - o.Hedges, Retries: c.Retries - o.Retries,
		Restarts: c.Restarts - o.Restarts, Denied: c.Denied - o.Denied, Written: c.Written - o.Written, Messages: c.Messages - o.Messages,
	}
}

func (c DaemonCounters) plus(o DaemonCounters) DaemonCounters {
	return c.minus(DaemonCounters{}.minus(o))
}

// DaemonLoad is the work of all daemons during the measurement. CPU times per
// query and per sub-request are in microseconds.
type DaemonLoad struct {
	CPUSeconds       float64 `json:"cpu_s"`
	CPUPerQuery      float64 `json:"cpu_per_query_us"`
	CPUPerSubRequest float64 `json:"cpu_per_sub_request_us"`
	// Sent counts sub-requests of all kinds. SentPerNeeded divides it by the
	// number needed: one for each shard of each query that was run.
	Sent          int64   `json:"sent"`
	Hedges        int64   `json:"hedges"`
	Retries       int64   `json:"retries"`
	Restarts      int64   `json:"restarts"`
	Denied        int64   `json:"denied"`
	SentPerNeeded float64 `json:"sent_per_needed"`
	// PerMessage is the mean number of sub-requests in a message to a backend
	// server.
	PerMessage float64 `json:"sub_requests_per_message"`
}

// readCounters returns the counters of each daemon.
func readCounters(ctx context.Context, sources []CounterSource, services []string) ([]DaemonCounters, error) {
	all := make([]DaemonCounters, len(sources))
	for i, read := range sources {
		c, err := read(ctx, services)
		if err != nil {
			return nil, err
		}
		all[i] = c
	}
	return all, nil
}

// daemonLoad sums how much the daemons' counters have grown from before to after.
// It returns nil if there are no daemons.
func daemonLoad(queries, needed int64, before, after []DaemonCounters) *DaemonLoad {
	if len(after) == 0 {
		return nil
	}
	var sum DaemonCounters
	for i := range after {
		sum = sum.plus(after[i].minus(before[i]))
	}
	sent := sum.Primary + sum.Hedges + sum.Retries + sum.Restarts
	us := float64(sum.CPU.Microseconds())
	return &DaemonLoad{
		CPUSeconds: sum.CPU.Seconds(), CPUPerQuery: ratio(us, queries), CPUPerSubRequest: ratio(us, sent),
		Sent: sent, Hedges: sum.Hedges, Retries: sum.Retries, Restarts: sum.Restarts, Denied: sum.Denied,
		SentPerNeeded: ratio(float64(sent), needed), PerMessage: ratio(float64(sum.Written), sum.Messages),
	}
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a float64, b int64) float64 {
	if b == 0 {
		return 0
	}
	return a / float64(b)
}
