package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Checks that the counters include every kind of sub-request and exclude those of
// other services, and that unreadable metrics are an error.
func TestDaemonCounters(t *testing.T) {
	c := qt.New(t)
	const text = `# HELP process_cpu_seconds_total x
process_cpu_seconds_total 2.5
briarstand_sub_requests_total{service="svc",kind="primary"} 100
briarstand_sub_requests_total{service="svc",kind="hedge"} 3
briarstand_sub_requests_total{service="svc",kind="retry"} 2
briarstand_sub_requests_total{service="other",kind="primary"} 900
briarstand_extra_denied_total{service="svc"} 4
briarstand_backend_messages_written_total 50
briarstand_backend_subrequests_written_total 1005
briarstand_broken 1 2 x
`
	got, err := parseCounters(strings.NewReader(text), []string{"svc"})
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, DaemonCounters{
		CPU: 2500 * time.Millisecond, Primary: 100, Hedges: 3, Retries: 2, Denied: 4, Messages: 50, Written: 1005,
	})
	cost := daemonLoad(10, 100, []DaemonCounters{{CPU: 1500 * time.Millisecond}}, []DaemonCounters{got})
	c.Assert(cost.CPUPerQuery, qt.Equals, 100000.0)
	c.Assert(cost.SentPerNeeded, qt.Equals, 1.05)
	c.Assert(cost.PerMessage, qt.Equals, 20.1)
	c.Assert(daemonLoad(10, 100, nil, nil), qt.IsNil)

	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	_, err = HTTPCounters(server.Client(), server.URL)(context.Background(), nil)
	c.Assert(err, qt.ErrorMatches, "load: read metrics of .*: status 404 Not Found")
}

// Checks that addresses are refreshed when their time to live ends, and that the old
// ones stay in use if a refresh fails.
func TestAddressesAreRefreshed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := newClientSet(http.DefaultTransport, []string{"vm1:1"})
		first := set.list.Load()
		ctx, stop := context.WithCancel(context.Background())
		var calls atomic.Int64
		done := make(chan struct{})
		go func() {
			defer close(done)
			set.refreshLoop(ctx, func(context.Context) ([]string, time.Duration, error) {
				switch calls.Add(1) {
				case 1:
					return []string{"vm1:1"}, time.Second, nil
				case 2:
					return nil, 0, &ResolveError{}
				}
				return []string{"vm2:1", "vm3:1"}, time.Minute, nil
			})
		}()
		time.Sleep(1400 * time.Millisecond)
		qt.Check(t, set.list.Load(), qt.Equals, first)
		time.Sleep(200 * time.Millisecond)
		qt.Check(t, *set.list.Load(), qt.HasLen, 2)
		qt.Check(t, calls.Load(), qt.Equals, int64(3))
		stop()
		<-done
	})
}
