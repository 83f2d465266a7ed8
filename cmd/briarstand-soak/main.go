// Command briarstand-soak runs the fault-injection soak test against
// briarstand-entry, once for each seed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/briarstand/briarstand/soak"
)

func main() {
	cmd := &cli.Command{
		Name: "briarstand-soak", Usage: "inject faults into real entry daemons and check what callers and backend servers see",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "`PATH` of briarstand-entry", Required: true},
			&cli.StringFlag{Name: "dir", Usage: "`DIR` for the logs of seeds that fail", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of seeds, one after the other", Value: 1},
			&cli.IntFlag{Name: "vms", Usage: "`NUMBER` of daemons", Value: 12},
			&cli.DurationFlag{Name: "duration", Usage: "time with faults of each seed", Value: 20 * time.Second},
			&cli.StringFlag{Name: "faults", Usage: "only faults whose names contain `TEXT`"},
			&cli.BoolFlag{Name: "verbose", Usage: "print each fault"},
		},
		Action: run,
	}
	// Handle signals, so that an interrupted soak test stops its daemons.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// FailedError reports the seeds whose run had violations.
type FailedError struct{ Seeds []uint64 }

func (e *FailedError) Error() string { return fmt.Sprintf("seeds that failed: %v", e.Seeds) }

func run(ctx context.Context, cmd *cli.Command) error {
	failed := &FailedError{}
	for i := range cmd.Int("seeds") {
		seed := cmd.Uint64("seed") + uint64(i)
		dir := filepath.Join(cmd.String("dir"), fmt.Sprint("seed-", seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return fmt.Errorf("logs of seed %d: %w", seed, err)
		}
		var faults []string
		r, err := soak.Run(ctx, soak.Config{
			Binary: cmd.String("binary"), Dir: dir, Seed: seed, VMs: cmd.Int("vms"), Duration: cmd.Duration("duration"), Faults: cmd.String("faults"),
			Log: func(format string, args ...any) {
				faults = append(faults, fmt.Sprintf(format, args...))
				if cmd.Bool("verbose") {
					fmt.Println(faults[len(faults)-1])
				}
			},
		})
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Printf("seed %d: %d requests, %d served, %d kinds of fault, %d violations; %d servers left, latest use of one %v, oldest configuration %v\n",
			seed, r.Requests, r.Served, len(r.Faults), len(r.Violations), r.Drains, r.LatestUse.Round(time.Millisecond), r.OldestConfig.Round(time.Millisecond))
		if len(r.Violations) == 0 {
			if err := os.RemoveAll(dir); err != nil {
				return fmt.Errorf("logs of seed %d: %w", seed, err)
			}
			continue
		}
		failed.Seeds = append(failed.Seeds, seed)
		for _, v := range r.Violations[:min(len(r.Violations), 10)] {
			fmt.Println("  ", v)
		}
		if err := r.WriteFile(filepath.Join(dir, "violations.txt"), faults); err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	if len(failed.Seeds) > 0 {
		return failed
	}
	return nil
}
