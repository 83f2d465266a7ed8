package cli

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// rolloutPollInterval is the time between two reads of a rollout with --wait.
const rolloutPollInterval = 200 * time.Millisecond

func (a *app) backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "drain and restore backend servers",
		Commands: []*cli.Command{
			a.backendChange("drain", "stop giving new work to a backend server",
				func(ctx context.Context, cmd *cli.Command, c *operatorClient, service, id string, ch *briarstandv1.Change) error {
					req := &briarstandv1.DrainBackendRequest{Service: service, BackendId: id, Change: ch}
					return sendChange(ctx, a, cmd, c, operatorAPI.DrainBackend, req, ch)
				}),
			a.backendChange("restore", "give work to a drained backend server again",
				func(ctx context.Context, cmd *cli.Command, c *operatorClient, service, id string, ch *briarstandv1.Change) error {
					req := &briarstandv1.RestoreBackendRequest{Service: service, BackendId: id, Change: ch}
					return sendChange(ctx, a, cmd, c, operatorAPI.RestoreBackend, req, ch)
				}),
		},
	}
}

type backendAction func(ctx context.Context, cmd *cli.Command, c *operatorClient, service, id string, ch *briarstandv1.Change) error

func (a *app) backendChange(name, usage string, action backendAction) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "SERVICE BACKEND",
		Description: "Without --revision the change is based on the revision that the service has now.",
		Flags:       changeFlags(revisionFlag(false, "revision that the change is based on; 0 reads the current one")),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "SERVICE", "BACKEND")
			if err != nil {
				return err
			}
			return a.withOperator(ctx, cmd, func(ctx context.Context, c *operatorClient) error {
				revision, err := baseRevision(ctx, c, args[0], cmd.Int64("revision"))
				if err != nil {
					return err
				}
				return action(ctx, cmd, c, args[0], args[1], newChange(cmd, revision))
			})
		},
	}
}

func baseRevision(ctx context.Context, c *operatorClient, service string, revision int64) (int64, error) {
	if revision != 0 {
		return revision, nil
	}
	resp, err := callOperator(ctx, c, operatorAPI.GetService, &briarstandv1.GetServiceRequest{Name: service})
	if err != nil {
		return 0, err
	}
	return resp.GetService().GetRevision(), nil
}

func (a *app) rolloutCommand() *cli.Command {
	status := &cli.Command{
		Name: "status", Usage: "print how far a revision has come", ArgsUsage: "SERVICE",
		Description: "Ends with exit code 4 while the revision is recorded but not accepted.",
		Flags: operatorFlags(jsonFlag(),
			revisionFlag(false, "revision to report; 0 means the newest"),
			&cli.BoolFlag{Name: "wait", Usage: "wait until the revision is accepted or --timeout has passed"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "SERVICE")
			if err != nil {
				return err
			}
			return a.withOperator(ctx, cmd, func(ctx context.Context, c *operatorClient) error {
				r, err := rolloutStatus(ctx, c, args[0], cmd.Int64("revision"), cmd.Bool("wait"))
				if err != nil {
					return err
				}
				if cmd.Bool("json") {
					if err := printJSON(a.Out, r); err != nil {
						return err
					}
				} else {
					printRollout(a.Out, r)
				}
				return notAcceptedError(r)
			})
		},
	}
	return &cli.Command{Name: "rollout", Usage: "follow a change", Commands: []*cli.Command{status}}
}

// rolloutStatus reads a rollout. With wait it polls until the revision is accepted
// or the context ends, and returns the last state read.
func rolloutStatus(ctx context.Context, c *operatorClient, service string, revision int64, wait bool) (*briarstandv1.Rollout, error) {
	var last *briarstandv1.Rollout
	for {
		req := &briarstandv1.GetRolloutRequest{Service: service, Revision: revision}
		resp, err := callOperator(ctx, c, operatorAPI.GetRollout, req)
		if err != nil {
			if last != nil && ctx.Err() != nil {
				return last, nil
			}
			return nil, err
		}
		last = resp.Rollout
		if !wait || last.GetState() == briarstandv1.RolloutState_ROLLOUT_STATE_ACCEPTED {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, nil
		case <-time.After(rolloutPollInterval):
		}
	}
}

func (a *app) auditCommand() *cli.Command {
	return &cli.Command{
		Name: "audit", Usage: "list the changes of a service, the newest first", ArgsUsage: "SERVICE",
		Flags: operatorFlags(jsonFlag(), &cli.Int32Flag{Name: "limit", Value: 20, Usage: "most records to print", Validator: func(n int32) error {
			if n < 1 || n > 10000 {
				return fmt.Errorf("%d is not allowed; allowed: 1 to 10000", n)
			}
			return nil
		}}, &cli.BoolFlag{Name: "changes", Usage: "also print the changed fields before and after"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "SERVICE")
			if err != nil {
				return err
			}
			return a.withOperator(ctx, cmd, func(ctx context.Context, c *operatorClient) error {
				req := &briarstandv1.ListAuditRequest{Service: args[0], Limit: cmd.Int32("limit")}
				resp, err := callOperator(ctx, c, operatorAPI.ListAudit, req)
				if err != nil {
					return err
				}
				if cmd.Bool("json") {
					return printJSON(a.Out, resp)
				}
				return printTable(a.Out, auditRows(resp.Records, cmd.Bool("changes")))
			})
		},
	}
}

func auditRows(records []*briarstandv1.AuditRecord, changes bool) [][]string {
	rows := [][]string{{"REVISION", "TIME", "OPERATOR", "ACTION", "REASON", "CHANGE ID"}}
	if changes {
		rows[0] = append(rows[0], "BEFORE", "AFTER")
	}
	for _, r := range records {
		row := []string{strconv.FormatInt(r.Revision, 10), r.Time, oneLine(r.Operator), r.Action, oneLine(r.Reason), r.ChangeId}
		if changes {
			row = append(row, oneLine(r.Before), oneLine(r.After))
		}
		rows = append(rows, row)
	}
	return rows
}

func (a *app) vmCommand() *cli.Command {
	list := &cli.Command{
		Name: "list", Usage: "list the VMs as one VM knows them",
		Flags: operatorFlags(jsonFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			return a.withOperator(ctx, cmd, func(ctx context.Context, c *operatorClient) error {
				resp, err := callOperator(ctx, c, operatorAPI.ListVMs, &briarstandv1.ListVMsRequest{})
				if err != nil {
					return err
				}
				if cmd.Bool("json") {
					return printJSON(a.Out, resp)
				}
				rows := [][]string{{"VM", "ZONE", "REGION", "CALLER API", "STATE", "FRESH", "CONFIG INDEX"}}
				for _, v := range resp.Vms {
					rows = append(rows, []string{v.Id, v.Zone, v.Region, v.CallerAddress, v.State,
						strconv.FormatBool(v.Fresh), strconv.FormatInt(v.ConfigIndex, 10)})
				}
				return printTable(a.Out, rows)
			})
		},
	}
	return &cli.Command{Name: "vm", Usage: "look at the VMs", Commands: []*cli.Command{list}}
}
