package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/briarstand/briarstand/explain"
)

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell from log lines what happened to a request", ArgsUsage: "[REQUEST-ID]",
		Description: "Reads the log lines of one or several entry VMs from --log files, or from standard input, and prints\n" +
			"the story of a request in order of time. Times are counted back from its end. Without an id it counts\n" +
			"what requests failed of, came late of or lack parts of, with an id of each.",
		Flags:  []cli.Flag{&cli.StringSliceFlag{Name: "log", Usage: "log `FILE`; may be given several times"}},
		Action: a.explain,
	}
}

func (a *app) explain(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() > 1 {
		return usageError(fmt.Sprintf("run \"%s --help\"", cmd.FullName()), "%s takes one request id; got %q", cmd.FullName(), cmd.Args().Slice())
	}
	log, err := a.readLogs(cmd.StringSlice("log"))
	if err != nil {
		return err
	}
	if id := cmd.Args().First(); id != "" {
		return log.WriteRequest(a.Out, id)
	}
	for _, c := range log.Causes() {
		fmt.Fprintf(a.Out, "%6d  %-24s %-44s %s\n", c.Requests, c.Outcome, c.Reason, c.Example)
	}
	return nil
}

func (a *app) readLogs(paths []string) (*explain.Log, error) {
	if len(paths) == 0 {
		return explain.Read(a.In)
	}
	var readers []io.Reader
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		defer f.Close()
		readers = append(readers, f)
	}
	return explain.Read(readers...)
}
