package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/briarstand/briarstand/membership"
)

// ReportPath is where the admin address serves a Report.
const ReportPath = "/state"

// Report is a VM's view of the deployment, for operators.
type Report struct {
	VM string `json:"vm"`
	// NotReady says why the VM does not accept callers; empty if it does.
	NotReady      string `json:"not_ready,omitempty"`
	ConfigVersion int64  `json:"config_version"`
	// Revision is the store revision of the VM's records. RecordsAgeMS is how long
	// ago the store last confirmed it, in milliseconds; negative if it never did.
	Revision int64 `json:"revision"`
	// Era is the store's era of the VM's records, and EraChanges how often it has changed
	// since the VM's start.
	Era          int64 `json:"era"`
	EraChanges   int64 `json:"era_changes"`
	RecordsAgeMS int64 `json:"records_age_ms"`
	StoreLost    bool  `json:"store_lost"`
	// VMs are the ids of the VMs whose addresses callers get.
	VMs      []string                 `json:"vms"`
	Services map[string]ServiceReport `json:"services"`
}

// ServiceReport is a VM's view of one service.
type ServiceReport struct {
	// Ready and Leaving are ids of backend servers. Leaving holds those that drain
	// or are no longer listed, and get requests only while none is ready.
	Ready   []string `json:"ready"`
	Leaving []string `json:"leaving,omitempty"`
	// Budget is the number of tokens for hedges and retries.
	Budget float64 `json:"budget"`
}

// Report returns the VM's current view.
func (d *Daemon) Report() Report {
	r := Report{
		VM: d.settings.VMID, Revision: d.state.mirror.Revision(), Era: d.state.mirror.Position().Era, EraChanges: d.state.eraChanges.Load(), RecordsAgeMS: d.state.age(time.Now()).Milliseconds(),
		Services: map[string]ServiceReport{}, VMs: []string{},
	}
	if err := d.readyError(); err != nil {
		r.NotReady = err.Error()
	}
	if t := d.state.table.Load(); t != nil {
		r.ConfigVersion = t.Version
	}
	f := d.state.follower.Load()
	r.StoreLost = f == nil || f.StoreLost()
	for _, m := range d.members() {
		if m.State == membership.Alive {
			r.VMs = append(r.VMs, m.ID)
		}
	}
	budgets := d.engine.Budgets()
	for service, replicas := range d.state.registry.Services() {
		s := ServiceReport{Budget: budgets[service], Ready: []string{}}
		for _, b := range replicas.Ready {
			s.Ready = append(s.Ready, b.ID)
		}
		for _, l := range replicas.LastResort {
			s.Leaving = append(s.Leaving, l.Backend.ID)
		}
		r.Services[service] = s
	}
	return r
}

func (d *Daemon) serveReport(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d.Report()); err != nil {
		d.logger.Info("report not delivered", "error", err.Error())
	}
}
