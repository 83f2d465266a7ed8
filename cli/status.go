package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/briarstand/briarstand/entry"
)

// statusTimeout limits the status request to the VM.
const statusTimeout = 3 * time.Second

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show what an entry VM of the users' platform believes",
		Description: "Asks the admin address of a VM (--admin-port of briarstand-entry) for its configuration version, the age\n" +
			"of its records, the store, the other VMs, and the backend servers and the retry budget of each service.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admin-address", Usage: "`HOST:PORT` of the VM's admin address", Required: true},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
		},
		Action: a.status,
	}
}

func (a *app) status(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	url := "http://" + cmd.String("admin-address") + entry.ReportPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("status of %s: %w", url, err)
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("status of %s: %w", url, err)
	}
	var r entry.Report
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("status of %s: %w", url, err)
	}
	if cmd.Bool("json") {
		_, err := a.Out.Write(data)
		return err
	}
	printReport(a.Out, &r)
	return nil
}

func printReport(w io.Writer, r *entry.Report) {
	ready, store := "ready", "answers"
	if r.NotReady != "" {
		ready = r.NotReady
	}
	if r.StoreLost {
		store = "does not answer"
	}
	fmt.Fprintf(w, "VM              %s, %s\nconfiguration   version %d\nrecords         revision %d, confirmed %d ms ago\n", r.VM, ready, r.ConfigVersion, r.Revision, r.RecordsAgeMS)
	fmt.Fprintf(w, "store           %s\nVMs             %s\n\n%-20s %6s %8s %7s\n", store, strings.Join(r.VMs, " "), "SERVICE", "READY", "LEAVING", "BUDGET")
	for _, name := range slices.Sorted(maps.Keys(r.Services)) {
		s := r.Services[name]
		fmt.Fprintf(w, "%-20s %6d %8d %7.1f\n", name, len(s.Ready), len(s.Leaving), s.Budget)
	}
}
