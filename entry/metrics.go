package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/briarstand/briarstand/discovery"
	"github.com/briarstand/briarstand/limit"
)

// Metrics returns the set that the admin address serves.
func (d *Daemon) Metrics() *metrics.Set { return d.metrics }

// registerMetrics registers the gauges of the daemon.
func (d *Daemon) registerMetrics() {
	set := d.metrics
	set.NewGauge("briarstand_entry_ready", func() float64 { return boolToFloat(d.ready()) })
	set.NewGauge("briarstand_entry_config_version", func() float64 {
		if t := d.state.table.Load(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	set.NewGauge("briarstand_entry_store_revision", func() float64 { return float64(d.state.mirror.Revision()) })
	set.NewGauge("briarstand_entry_store_era", func() float64 { return float64(d.state.mirror.Position().Era) })
	set.NewGauge("briarstand_entry_store_era_changes_total", func() float64 { return float64(d.state.eraChanges.Load()) })
	set.NewGauge("briarstand_entry_records_age_seconds", func() float64 { return d.state.age(time.Now()).Seconds() })
	set.NewGauge("briarstand_entry_store_lost", func() float64 {
		f := d.state.follower.Load()
		return boolToFloat(f == nil || f.StoreLost())
	})
	set.NewGauge("briarstand_entry_vms", func() float64 { return float64(len(d.state.fleet.Load().members)) })
	for _, s := range []discovery.Status{discovery.Ready, discovery.Leaving} {
		set.NewGauge(fmt.Sprintf("briarstand_entry_backends{status=%q}", s), func() float64 { return d.countBackends(s) })
	}
	for kind, memory := range map[string]*limit.Memory{"replies": d.replyMemory, "requests": d.requestMemory} {
		set.NewGauge(fmt.Sprintf("briarstand_entry_held_bytes{kind=%q}", kind), func() float64 { return float64(memory.Used()) })
	}
	stats := d.client.Stats()
	set.NewGauge("briarstand_entry_backend_dials_total", func() float64 { return float64(stats.Dials.Load()) })
	set.NewGauge("briarstand_entry_backend_dial_errors_total", func() float64 { return float64(stats.DialErrors.Load()) })
	set.NewGauge("briarstand_entry_backend_reused_total", func() float64 { return float64(stats.Reused.Load()) })
	set.NewGauge("briarstand_entry_backend_stale_total", func() float64 { return float64(stats.Stale.Load()) })
	set.NewGauge(`briarstand_entry_backend_notices_total{kind="leaving"}`, func() float64 { return float64(stats.Leaving.Load()) })
	set.NewGauge(`briarstand_entry_backend_notices_total{kind="pause"}`, func() float64 { return float64(stats.Pauses.Load()) })
	set.NewGauge("briarstand_entry_backend_withheld_total", func() float64 { return float64(stats.Withheld.Load()) })
	set.NewGauge("briarstand_entry_backend_waits_total", func() float64 { return float64(stats.Waited.Load()) })
}

// countBackends counts the ready backend servers if s is Ready. For any other
// status it counts the leaving and expired ones together, which get requests
// only while their service has no ready one.
func (d *Daemon) countBackends(s discovery.Status) float64 {
	n := 0
	for _, replicas := range d.state.registry.Services() {
		if s == discovery.Ready {
			n += len(replicas.Ready)
		} else {
			n += len(replicas.LastResort)
		}
	}
	return float64(n)
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
