package cli

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/briarstand/briarstand/load"
)

func (a *app) loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "generate load and measure latency, coverage and extra load", ArgsUsage: "SERVICE [SERVICE...]",
		Description: "Sends queries at random times that do not depend on the answers, to the addresses that a caller is\n" +
			"given at the start. Latencies are in milliseconds, from the intended start of each query. With\n" +
			"--record the records of backend stand-ins give the extra load, and with --verify every answer is\n" +
			"compared with the documents of the stand-ins. Ends with exit code 1 when an answer is wrong.",
		Flags: callerFlags(
			&cli.Float64Flag{Name: "rate", Value: 100, Usage: "mean queries a second for each service"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "how long to measure"},
			&cli.DurationFlag{Name: "warmup", Value: time.Second, Usage: "how long to send queries before that"},
			&cli.DurationFlag{Name: "timeout", Value: load.DefaultTimeout, Usage: "deadline of each query"},
			&cli.Int32Flag{Name: "limit", Value: load.DefaultLimit, Usage: "most hits of each query"},
			countFlag("max-outstanding", load.DefaultMaxOutstanding, 1<<20, "queries that run at once"),
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrival times"},
			&cli.StringSliceFlag{Name: "record", Usage: "`ADDRESSES` of backend stand-ins whose records are read, separated by commas"},
			&cli.BoolFlag{Name: "verify", Usage: "compare hits with the documents of backend stand-ins"},
		),
		Action: a.load,
	}
}

func (a *app) load(ctx context.Context, cmd *cli.Command) error {
	cfg, err := a.loadConfig(ctx, cmd)
	if err != nil {
		return err
	}
	result, err := load.Run(ctx, cfg)
	if err != nil {
		return loadError(err)
	}
	write := result.WriteTable
	if cmd.Bool("json") {
		write = result.WriteJSON
	}
	if err := write(a.Out); err != nil {
		return err
	}
	for _, s := range result.Services {
		if s.Wrong > 0 {
			return &Error{Code: ExitError, Err: fmt.Errorf("service %s: %d answers are wrong: %s", s.Service, s.Wrong, strings.Join(s.WrongExamples, "; ")),
				Next: "keep the seed and the logs of the VMs; this is a fault of the system"}
		}
	}
	return nil
}

// loadConfig reads the flags and asks for the addresses to use.
func (a *app) loadConfig(ctx context.Context, cmd *cli.Command) (load.Config, error) {
	if !cmd.Args().Present() {
		return load.Config{}, usageError("run \"briarstand load --help\"", "briarstand load takes SERVICE [SERVICE...]; got none")
	}
	cfg := load.Config{
		Duration: cmd.Duration("duration"), Warmup: cmd.Duration("warmup"),
		MaxOutstanding: cmd.Int("max-outstanding"), Seed: cmd.Uint64("seed"), Verify: cmd.Bool("verify"),
	}
	for _, service := range cmd.Args().Slice() {
		cfg.Streams = append(cfg.Streams, load.Stream{
			Service: service, Rate: cmd.Float64("rate"), Limit: cmd.Int32("limit"), Timeout: cmd.Duration("timeout"),
		})
	}
	for _, address := range cmd.StringSlice("record") {
		cfg.Records = append(cfg.Records, load.HTTPRecord(a.http, address))
	}
	caller, err := a.newCaller(cmd)
	if err != nil {
		return load.Config{}, err
	}
	urls, err := caller.endpoints(ctx)
	if err != nil {
		return load.Config{}, err
	}
	for _, url := range urls {
		cfg.Addresses = append(cfg.Addresses, strings.TrimPrefix(url, "http://"))
	}
	return cfg, nil
}

func loadError(err error) error {
	var invalid *load.ConfigError
	if errors.As(err, &invalid) {
		return usageError("run \"briarstand load --help\"", "%w", err)
	}
	return err
}
