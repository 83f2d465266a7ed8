package cli

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"github.com/briarstand/briarstand/internal/process"
	"github.com/briarstand/briarstand/server"
	"github.com/briarstand/briarstand/settings"
	"github.com/briarstand/briarstand/telemetry"
)

// RunDaemon runs briarstandd with its arguments, the program name first, until
// SIGTERM or SIGINT, and returns the exit code.
func RunDaemon(ctx context.Context, args []string, streams Streams) int {
	root := &cli.Command{
		Name:  "briarstandd",
		Usage: "run the daemon of one entry VM",
		Description: "Serves the caller, operator, peer and admin APIs until SIGTERM or SIGINT, then drains: it is no longer\n" +
			"given to callers, takes queries for --drain-serve, refuses new ones as not run, finishes those in\n" +
			"flight and exits. A second signal changes nothing; --drain-timeout bounds the whole drain.\n\n" +
			"Exit codes: 0 stopped after a complete drain, 1 failed or drain cut short, 2 a setting is not allowed.",
		Flags: settings.Flags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			return serveDaemon(ctx, cmd, streams)
		},
	}
	return runCommand(ctx, root, args, streams)
}

func serveDaemon(ctx context.Context, cmd *cli.Command, streams Streams) error {
	set, err := settings.FromCommand(cmd)
	var invalid *settings.Error
	if errors.As(err, &invalid) {
		return &Error{Code: ExitUsage, Err: err, Next: "set --" + invalid.Setting + " or its environment variable to an allowed value"}
	}
	if err != nil {
		return err
	}
	logger := telemetry.NewLogger(streams.Err, set.LogLevel, telemetry.FieldVM, set.VMID)
	srv, err := server.New(server.Config{Settings: set, Logger: logger, ProcessMetrics: true})
	if err != nil {
		return err
	}
	ctx, stop := process.UntilSignal(ctx, logger)
	defer stop()
	return srv.Run(ctx)
}
