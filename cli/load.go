package cli

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/briarstand/briarstand/load"
)

func (a *app) loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "generate load and measure latency, coverage and extra load", ArgsUsage: "[SERVICE...]",
		Description: "Sends queries at random times that do not depend on the answers, to the addresses that a caller is\n" +
			"given, asked for again after their time to live, or to those of --address. With --profile the\n" +
			"services and rates are those of a deployment. Latencies are in milliseconds, from the intended start of each query. With\n" +
			"--record the records of backend stand-ins give the extra load, with --admin the metrics of the VMs\n" +
			"give their CPU time and the sub-requests they sent, and with --verify every answer is compared\n" +
			"with the documents of the stand-ins. Ends with exit code 1 when an answer is wrong.",
		Flags: callerFlags(
			&cli.Float64Flag{Name: "rate", Value: 100, Usage: "mean queries a second for each service"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "how long to measure"},
			&cli.DurationFlag{Name: "warmup", Value: time.Second, Usage: "how long to send queries before that"},
			&cli.DurationFlag{Name: "timeout", Value: load.DefaultTimeout, Usage: "deadline of each query"},
			&cli.Int32Flag{Name: "limit", Value: load.DefaultLimit, Usage: "most hits of each query"},
			countFlag("max-outstanding", load.DefaultMaxOutstanding, 1<<20, "queries that run at once"),
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrival times"},
			&cli.StringFlag{Name: "profile", Usage: "deployment whose services and rates are used: " + strings.Join(load.ProfileNames(), " or ")},
			&cli.Float64Flag{Name: "utilization", Value: 0.3, Usage: "with --profile, part of the capacity of the backend servers"},
			&cli.DurationFlag{Name: "service-time", Value: 10 * time.Millisecond, Usage: "with --profile, mean time of a sub-request at a backend server"},
			&cli.StringSliceFlag{Name: "address", Usage: "caller API `ADDRESSES` to send to as they are, without asking for the addresses to use"},
			&cli.StringSliceFlag{Name: "admin", Usage: "admin API `ADDRESSES` of the VMs whose metrics are read, separated by commas"},
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

// loadConfig builds the load configuration from the flags and resolves the
// addresses to send to.
func (a *app) loadConfig(ctx context.Context, cmd *cli.Command) (load.Config, error) {
	cfg := load.Config{
		Duration: cmd.Duration("duration"), Warmup: cmd.Duration("warmup"),
		MaxOutstanding: cmd.Int("max-outstanding"), Seed: cmd.Uint64("seed"), Verify: cmd.Bool("verify"),
	}
	var err error
	if cfg.Streams, err = loadStreams(cmd); err != nil {
		return cfg, err
	}
	for _, address := range cmd.StringSlice("record") {
		cfg.Records = append(cfg.Records, load.HTTPRecord(a.http, strings.TrimPrefix(address, "http://")))
	}
	admins, err := baseURLs(cmd.StringSlice("admin"))
	if err != nil {
		return cfg, err
	}
	for _, url := range admins {
		cfg.Daemons = append(cfg.Daemons, load.HTTPCounters(a.http, url))
	}
	return cfg, a.setAddresses(ctx, cmd, &cfg)
}

// loadStreams returns one stream for each service given as an argument. With a
// profile, it returns the profile's streams instead; service arguments then restrict
// these to the given services.
func loadStreams(cmd *cli.Command) ([]load.Stream, error) {
	var streams []load.Stream
	services, name := cmd.Args().Slice(), cmd.String("profile")
	if name != "" {
		p, err := load.ProfileByName(name)
		if err != nil {
			return nil, loadError(err)
		}
		if !(cmd.Float64("utilization") > 0) || cmd.Duration("service-time") <= 0 {
			return nil, usageError("give values above zero", "--utilization and --service-time must be positive")
		}
		for _, s := range p.Streams(cmd.Duration("service-time"), cmd.Float64("utilization")) {
			if len(services) == 0 || slices.Contains(services, s.Service) {
				streams = append(streams, s)
			}
		}
	} else {
		for _, service := range services {
			streams = append(streams, load.Stream{Service: service})
		}
	}
	if len(streams) == 0 {
		return nil, usageError("run \"briarstand load --help\"", "briarstand load takes SERVICE [SERVICE...] or --profile; got no service")
	}
	for i := range streams {
		s := &streams[i]
		s.Limit, s.Timeout = cmd.Int32("limit"), cmd.Duration("timeout")
		if name == "" || cmd.IsSet("rate") {
			s.Rate = cmd.Float64("rate")
		}
	}
	return streams, nil
}

// setAddresses sets the addresses given with --address, or resolves them through
// the caller API.
func (a *app) setAddresses(ctx context.Context, cmd *cli.Command, cfg *load.Config) error {
	urls, err := baseURLs(cmd.StringSlice("address"))
	if err != nil {
		return err
	}
	if len(urls) > 0 {
		cfg.Addresses = hostPorts(urls)
		return nil
	}
	caller, err := a.newCaller(cmd)
	if err != nil {
		return err
	}
	if urls, err = caller.endpoints(ctx); err != nil {
		return err
	}
	cfg.Addresses = hostPorts(urls)
	bootstrap := *cfg
	bootstrap.Addresses = hostPorts(caller.bootstrap)
	cfg.Refresh = load.ResolveWith(bootstrap, caller.callerID, caller.zone)
	return nil
}

func hostPorts(urls []string) []string {
	var out []string
	for _, url := range urls {
		out = append(out, strings.TrimPrefix(url, "http://"))
	}
	return out
}

func loadError(err error) error {
	var invalid *load.ConfigError
	if errors.As(err, &invalid) {
		return usageError("run \"briarstand load --help\"", "%w", err)
	}
	return err
}
