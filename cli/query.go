package cli

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

const (
	defaultCallerAddress = "127.0.0.1:7401"
	// defaultQueryWait is the time limit of a query without --timeout, over all
	// VMs that are tried.
	defaultQueryWait = 30 * time.Second
)

func callerFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{Name: "caller-address", Value: []string{defaultCallerAddress},
			Sources: cli.EnvVars("BRIARSTAND_CALLER_ADDRESS"),
			Usage:   "caller API `ADDRESSES` (IP:port) to ask first, separated by commas"},
		&cli.StringFlag{Name: "caller-id", Value: "briarstand-cli", Sources: cli.EnvVars("BRIARSTAND_CALLER_ID"),
			Usage: "`ID` of the caller; callers spread over the VMs by it"},
		&cli.StringFlag{Name: "zone", Sources: cli.EnvVars("BRIARSTAND_CALLER_ZONE"), Usage: "availability `ZONE` of the caller, if it is in one"},
		jsonFlag(),
	}, extra...)
}

func (a *app) newCaller(cmd *cli.Command) (*callerClient, error) {
	urls, err := baseURLs(cmd.StringSlice("caller-address"))
	if err != nil {
		return nil, err
	}
	return &callerClient{http: a.http, bootstrap: urls, callerID: cmd.String("caller-id"), zone: cmd.String("zone")}, nil
}

func (a *app) resolveCommand() *cli.Command {
	return &cli.Command{
		Name: "resolve", Usage: "print the addresses that a caller should use",
		Flags: callerFlags(timeoutFlag(5*time.Second, "longest time of the whole command")),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			c, err := a.newCaller(cmd)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
			defer cancel()
			resp, err := c.resolve(ctx)
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return printJSON(a.Out, resp)
			}
			fmt.Fprintf(a.Out, "use these addresses for %s\n\n", time.Duration(resp.TtlMs)*time.Millisecond)
			rows := [][]string{{"ADDRESS", "VM", "ZONE"}}
			for _, e := range resp.Endpoints {
				rows = append(rows, []string{e.Address, e.VmId, e.Zone})
			}
			return printTable(a.Out, rows)
		},
	}
}

func (a *app) queryCommand() *cli.Command {
	return &cli.Command{
		Name: "query", Usage: "run one query", ArgsUsage: "SERVICE [BODY]",
		Description: "Asks for the addresses to use and sends the query to the first. The next address is tried when a\n" +
			"VM cannot be reached or answers that the query was not run. A non-idempotent query takes a ticket\n" +
			"first, and offers the same ticket again when an answer is lost.\n\n" + exitCodeHelp,
		Flags: callerFlags(
			&cli.DurationFlag{Name: "timeout", Usage: "time to wait for the answer; 0 means the service's deadline, which is also the maximum"},
			&cli.Int32Flag{Name: "limit", Usage: "most hits to return; 0 means the service's default"},
			&cli.StringFlag{Name: "priority", Usage: "low, normal or high; the service's priority when empty"},
			&cli.StringFlag{Name: "shards", Usage: "shards to query, such as 0,3,4; all when empty"},
			&cli.StringFlag{Name: "request-id", Usage: "id for logs, returned with the answer"},
			&cli.BoolFlag{Name: "non-idempotent", Usage: "run the query at most once"},
			&cli.StringFlag{Name: "ticket", Usage: "ticket of an earlier non-idempotent query whose outcome is unknown"},
		),
		Action: a.query,
	}
}

func (a *app) query(ctx context.Context, cmd *cli.Command) error {
	req, err := queryRequest(cmd)
	if err != nil {
		return err
	}
	c, err := a.newCaller(cmd)
	if err != nil {
		return err
	}
	wait := defaultQueryWait
	if t := cmd.Duration("timeout"); t > 0 {
		c.minAttemptTimeout = t + callSlack/4
		wait = t + callSlack
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	resp, err := c.query(ctx, req)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		err = printJSON(a.Out, resp)
	} else {
		err = a.printAnswer(resp)
	}
	if err != nil {
		return err
	}
	return outcomeError(resp)
}

func queryRequest(cmd *cli.Command) (*briarstandv1.QueryRequest, error) {
	args := cmd.Args().Slice()
	if len(args) < 1 || len(args) > 2 {
		return nil, usageError("run \"briarstand query --help\"", "briarstand query takes SERVICE [BODY]; got %q", args)
	}
	priority, err := parsePriority(cmd.String("priority"))
	if err != nil {
		return nil, err
	}
	shards, err := parseShards(cmd.String("shards"))
	if err != nil {
		return nil, err
	}
	req := &briarstandv1.QueryRequest{
		Service: args[0], RequestId: cmd.String("request-id"), Limit: cmd.Int32("limit"),
		TimeoutMs: cmd.Duration("timeout").Milliseconds(), Priority: priority, Shards: shards,
		NonIdempotent: cmd.Bool("non-idempotent") || cmd.String("ticket") != "", Ticket: cmd.String("ticket"),
	}
	if len(args) == 2 {
		req.Body = []byte(args[1])
	}
	return req, nil
}

func parsePriority(v string) (briarstandv1.Priority, error) {
	switch v {
	case "":
		return briarstandv1.Priority_PRIORITY_UNSPECIFIED, nil
	case "low":
		return briarstandv1.Priority_PRIORITY_LOW, nil
	case "normal":
		return briarstandv1.Priority_PRIORITY_NORMAL, nil
	case "high":
		return briarstandv1.Priority_PRIORITY_HIGH, nil
	}
	return 0, usageError("give low, normal or high", "--priority %q is not allowed", v)
}

func parseShards(v string) ([]int32, error) {
	if v == "" {
		return nil, nil
	}
	var shards []int32
	for part := range strings.SplitSeq(v, ",") {
		n, err := strconv.ParseInt(strings.TrimSpace(part), 10, 32)
		if err != nil {
			return nil, usageError("give shard numbers separated by commas, such as 0,3,4", "--shards %q is not allowed", v)
		}
		shards = append(shards, int32(n))
	}
	return shards, nil
}

func (a *app) printAnswer(r *briarstandv1.QueryResponse) error {
	fmt.Fprintf(a.Out, "outcome %s: %d of %d shards, index version %s, revision %d\n",
		outcomeName(r.Outcome), r.GetCoverage().GetShardsAnswered(), r.GetCoverage().GetShardsTotal(), orNone(r.IndexVersion), r.Revision)
	fmt.Fprintf(a.Out, "request %s, run by %s\n", r.RequestId, orNone(r.VmId))
	if r.Reason != "" {
		fmt.Fprintf(a.Out, "reason: %s\n", oneLine(r.Reason))
	}
	if len(r.Hits) == 0 {
		return nil
	}
	fmt.Fprintln(a.Out)
	rows := [][]string{{"SCORE", "SHARD", "ID", "BODY"}}
	for _, h := range r.Hits {
		rows = append(rows, []string{strconv.FormatFloat(h.Score, 'f', 4, 64), strconv.Itoa(int(h.Shard)), h.Id, oneLine(string(h.Body))})
	}
	return printTable(a.Out, rows)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// outcomeError returns the error, with exit code and advice, of an answer that is
// not complete.
func outcomeError(r *briarstandv1.QueryResponse) error {
	switch r.Outcome {
	case briarstandv1.Outcome_OUTCOME_COMPLETE:
		return nil
	case briarstandv1.Outcome_OUTCOME_PARTIAL:
		return &Error{Code: ExitPartial, Err: fmt.Errorf("the answer covers %d of %d shards",
			r.GetCoverage().GetShardsAnswered(), r.GetCoverage().GetShardsTotal()),
			Next: "use the hits if they are enough; docs/operations.md says how to find the cause"}
	case briarstandv1.Outcome_OUTCOME_NOT_RUN:
		next := "the query did not run; it is safe to send it again"
		if r.RetryAfterMs > 0 {
			next += fmt.Sprintf(" after %s", time.Duration(r.RetryAfterMs)*time.Millisecond)
		}
		return &Error{Code: ExitNotRun, Err: errors.New("the query was not run"), Next: next}
	case briarstandv1.Outcome_OUTCOME_DEADLINE_EXCEEDED:
		return &Error{Code: ExitDeadlineExceeded, Err: errors.New("the deadline passed before a shard answered"),
			Next: "send it again, with a longer --timeout if the service's deadline allows it"}
	}
	return &Error{Code: ExitUnknown, Err: errors.New("the request may or may not have run"),
		Next: "check at the backend servers whether it took effect before you send it with a new ticket"}
}
