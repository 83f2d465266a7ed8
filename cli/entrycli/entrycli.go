// Package entrycli implements the command line of briarstand-entry. It is separate
// from package cli so that this daemon links only what it uses.
package entrycli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/briarstand/briarstand/entry"
	"github.com/briarstand/briarstand/internal/hangup"
	"github.com/briarstand/briarstand/internal/process"
	"github.com/briarstand/briarstand/platform"
	"github.com/briarstand/briarstand/telemetry"
)

// Exit codes of the daemon.
const (
	ExitOK     = 0
	ExitFailed = 1
)

// maxQueuedLogLines is how many log lines may be queued for writing. Lines beyond
// it are dropped and counted.
const maxQueuedLogLines = 4096

// Run runs the daemon with its arguments, the program name first, until
// SIGTERM or SIGINT, and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	command := &cli.Command{
		Name:  "briarstand-entry",
		Usage: "run the daemon of one entry VM on the users' platform",
		Description: "Serves callers over HTTP until SIGTERM or SIGINT, then drains. Configuration, backend servers and the\n" +
			"other VMs come from the platform's store, and from other VMs while the store does not answer.",
		Writer:    out,
		ErrWriter: errOut,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the platform's settings `FILE`", Sources: cli.EnvVars(platform.SettingsVariable), Required: true},
			&cli.IntFlag{Name: "admin-port", Usage: "`PORT` for metrics on the VM's address, 0 for none", Sources: cli.EnvVars("BRIARSTAND_ADMIN_PORT")},
			&cli.BoolFlag{Name: "check", Usage: "check the settings file and end"},
			&cli.StringFlag{Name: "log-level", Usage: "least `LEVEL` of log lines: debug, info, warn, error", Value: "info"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return serve(ctx, cmd, out) },
	}
	if err := command.Run(ctx, args); err != nil {
		fmt.Fprintln(errOut, "briarstand-entry:", err)
		return ExitFailed
	}
	return ExitOK
}

func serve(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	level, err := log.ParseLevel(cmd.String("log-level"))
	if err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	path := cmd.String("settings")
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	set, err := platform.ParseSettings(path, data)
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		fmt.Fprintf(out, "%s: settings of VM %s are valid\n", path, set.VMID)
		return nil
	}
	logWriter := telemetry.NewAsyncWriter(out, maxQueuedLogLines)
	defer logWriter.Close()
	logger := telemetry.NewLogger(logWriter, level, telemetry.FieldVM, set.VMID)
	ctx, stop := process.UntilSignal(ctx, logger)
	defer stop()
	adapter := platform.New(set)
	adapter.LogTo(logger)
	d := entry.New(set.Entry(cmd.Int("admin-port")), adapter, logger)
	r := &reloader{path: path, adminPort: cmd.Int("admin-port"), daemon: d, logger: logger, lastData: data}
	defer r.start(hangup.Signals())()
	d.Metrics().NewGauge("briarstand_entry_log_lines_dropped_total", func() float64 { return float64(logWriter.Dropped()) })
	return d.Run(ctx)
}
