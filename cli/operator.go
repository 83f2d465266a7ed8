package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
)

const defaultOperatorAddress = "127.0.0.1:7402"

func operatorFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{Name: "operator-address", Value: []string{defaultOperatorAddress},
			Sources: cli.EnvVars("BRIARSTAND_OPERATOR_ADDRESS"),
			Usage:   "operator API `ADDRESSES` (IP:port), separated by commas; the next is tried when one does not answer"},
		timeoutFlag(30*time.Second, "longest time of the whole command"),
	}, extra...)
}

// changeFlags returns the flags of the commands that change a service.
func changeFlags(extra ...cli.Flag) []cli.Flag {
	return operatorFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "operator", Required: true, Sources: cli.EnvVars("BRIARSTAND_OPERATOR"),
			Usage: "`NAME` of the person or program that makes the change, for the audit trail"},
		&cli.StringFlag{Name: "reason", Usage: "why the change is made, for the audit trail"},
		&cli.StringFlag{Name: "change-id", Usage: "`ID` of the change; give the same id to repeat a change whose outcome is unknown"},
		jsonFlag(),
	}, extra...)...)
}

func revisionFlag(required bool, usage string) cli.Flag {
	return &cli.Int64Flag{Name: "revision", Required: required, Usage: usage, Validator: func(n int64) error {
		if n < 0 {
			return fmt.Errorf("%d is not allowed; allowed: a revision of 0 or more", n)
		}
		return nil
	}}
}

// operatorClient calls the operator API of the first VM that answers.
type operatorClient struct {
	addresses []string
	clients   []briarstandv1connect.OperatorServiceClient
}

// withOperator calls f with an operator client and the deadline of the command.
func (a *app) withOperator(ctx context.Context, cmd *cli.Command, f func(context.Context, *operatorClient) error) error {
	c, err := a.newOperatorClient(cmd.StringSlice("operator-address"))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	return f(ctx, c)
}

func (a *app) newOperatorClient(addresses []string) (*operatorClient, error) {
	urls, err := baseURLs(addresses)
	if err != nil {
		return nil, err
	}
	c := &operatorClient{addresses: urls}
	for _, u := range urls {
		c.clients = append(c.clients, briarstandv1connect.NewOperatorServiceClient(a.http, u))
	}
	return c, nil
}

type operatorCall[Req, Resp any] func(briarstandv1connect.OperatorServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

// callOperator sends a request to one address after the other until one
// answers. Repeating a change is safe, because it has the same change id.
func callOperator[Req, Resp any](ctx context.Context, c *operatorClient, call operatorCall[Req, Resp], req *Req) (*Resp, error) {
	unreachable := &UnreachableError{API: "operator", Addresses: c.addresses}
	for i, client := range c.clients {
		attemptCtx, cancelAttempt := attemptContext(ctx, len(c.clients)-i, 0)
		resp, err := call(client, attemptCtx, connect.NewRequest(req))
		cancelAttempt()
		if err == nil {
			return resp.Msg, nil
		}
		// If the answer of an earlier VM was lost, that VM may have made the
		// change. An unavailable error from this VM then does not show that the
		// change was not made.
		if answered(err) && !(unreachable.Sent && unavailable(err)) {
			return nil, err
		}
		unreachable.Err = err
		unreachable.Sent = unreachable.Sent || !neverSent(err)
	}
	return nil, unreachable
}

func unavailable(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeResourceExhausted
}

// neverSent reports whether the connection could not be opened, so that nothing
// was sent.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// answered reports whether the error comes from the daemon, and not from a failure
// to reach it.
func answered(err error) bool {
	var rpc *connect.Error
	return errors.As(err, &rpc) && connect.IsWireError(rpc)
}

func newChange(cmd *cli.Command, revision int64) *briarstandv1.Change {
	id := cmd.String("change-id")
	if id == "" {
		id = uuid.NewString()
	}
	return &briarstandv1.Change{
		ChangeId: id, Operator: cmd.String("operator"), Reason: cmd.String("reason"), ExpectedRevision: revision,
	}
}

// sendChange sends a change and prints the state of its rollout.
func sendChange[Req any](ctx context.Context, a *app, cmd *cli.Command, c *operatorClient,
	call operatorCall[Req, briarstandv1.ChangeResponse], req *Req, ch *briarstandv1.Change) error {
	resp, err := callOperator(ctx, c, call, req)
	if err != nil {
		return changeError(err, ch)
	}
	if cmd.Bool("json") {
		if err := printJSON(a.Out, resp); err != nil {
			return err
		}
	} else {
		printRollout(a.Out, resp.Rollout)
	}
	return notAcceptedError(resp.Rollout)
}

// notAcceptedError returns an error with exit code 4 unless the revision is
// accepted.
func notAcceptedError(r *briarstandv1.Rollout) error {
	if r.GetState() == briarstandv1.RolloutState_ROLLOUT_STATE_ACCEPTED {
		return nil
	}
	return &Error{Code: ExitNotAccepted,
		Err: fmt.Errorf("revision %d of service %s is recorded but not accepted yet", r.GetRevision(), r.GetService()),
		Next: fmt.Sprintf("run \"briarstand rollout status %s --revision %d --wait\"; a change that is recorded is not lost",
			r.GetService(), r.GetRevision())}
}

// changeError returns err if the change is known not to have taken effect.
// Otherwise it returns an error with ExitUnknown that names the change id, with
// which the operator can safely repeat the change.
func changeError(err error, ch *briarstandv1.Change) error {
	var unreachable *UnreachableError
	var rpc *connect.Error
	switch {
	case errors.As(err, &unreachable):
		if !unreachable.Sent {
			return err
		}
	case errors.As(err, &rpc) && answered(rpc) && rpc.Code() != connect.CodeUnknown && rpc.Code() != connect.CodeDeadlineExceeded:
		return err
	}
	return &Error{Code: ExitUnknown, Err: fmt.Errorf("it is unknown whether the change took effect: %w", err),
		Next: fmt.Sprintf("run the same command again with --change-id %s; the change is then made once", ch.ChangeId)}
}
