package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/briarstand/briarstand/entry"
	"github.com/briarstand/briarstand/platform"
	"github.com/briarstand/briarstand/standin"
	"github.com/briarstand/briarstand/telemetry"
	"github.com/briarstand/briarstand/topk"
)

const (
	devHost = "search.example"
	// devHTTPTimeout limits each sample request, including the retries while the
	// deployment starts.
	devHTTPTimeout = 5 * time.Second
	// devPause is the pause that the stand-ins named by --pausing ask for.
	devPause = 2 * time.Second
	// devStopGrace is the time within which a daemon must stop.
	devStopGrace = time.Second
)

func (a *app) devHTTPCommand() *cli.Command {
	return &cli.Command{
		Name: "http", Usage: "run entry VMs of the users' platform in this process",
		Description: "Starts a stand-in of the users' platform, stand-ins of backend servers, and entry VMs on loopback\n" +
			"addresses, asks a query over two shards and a request to one service, prints how to ask them with\n" +
			"curl, and keeps running until it is interrupted, or ends with --once. Nothing is kept.",
		Flags: []cli.Flag{
			countFlag("vms", 2, 18, "entry VMs to run"),
			&cli.BoolFlag{Name: "once", Usage: "end after the answers"},
			&cli.StringSliceFlag{Name: "leaving", Usage: "`ID` of a stand-in whose answers say that it leaves: s1-a, s1-b, s2-a, q-a"},
			&cli.StringSliceFlag{Name: "pausing", Usage: fmt.Sprintf("`ID` of a stand-in that refuses requests and asks for pauses of %v", devPause)},
			logLevelFlag("warn"),
		},
		Action: a.devHTTP,
	}
}

func (a *app) devHTTP(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	store := standin.NewStore()
	defer store.Close()
	backends := devHTTPBackends()
	for _, b := range backends {
		defer b.Close()
		b.Register(store, "ready")
	}
	if err := setDevBehaviors(backends, cmd.StringSlice("leaving"), cmd.StringSlice("pausing")); err != nil {
		return err
	}
	store.Configure(1,
		standin.Route{
			Name: "find", Host: devHost, Prefix: "/find/", Kind: "idempotent", TimeoutMS: 1000, GoalMS: 100, MaxAttempts: 2,
			Shards: []string{"shard-1", "shard-2"}, Limit: 3, MinShare: 0.5,
		},
		standin.Route{Name: "quote", Host: devHost, Prefix: "/quote/", Kind: "idempotent", TimeoutMS: 3000, MaxAttempts: 2, Service: "quotes"})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	var err error
	var callerAddress string
	var platformSettings platform.Settings
	platformSettings.Store.Address = store.Address()
	for i := range cmd.Int("vms") {
		set := devHTTPSettings(fmt.Sprintf("vm-%d", i+1))
		d := entry.New(set, platform.New(&platformSettings), a.logger(cmd, telemetry.FieldVM, set.VMID))
		if err = d.Listen(); err != nil {
			break
		}
		callerAddress = d.Settings().CallerAddress
		group.Go(func() error { return d.Run(ctx) })
	}
	if err == nil {
		err = a.printSampleResponses(ctx, callerAddress)
	}
	if err != nil || cmd.Bool("once") {
		cancel()
	}
	return errors.Join(err, group.Wait())
}

// printSampleResponses sends the sample requests to a VM and prints the answers.
func (a *app) printSampleResponses(ctx context.Context, callerAddress string) error {
	for _, path := range []string{"/find/huts", "/quote/7"} {
		status, body, err := a.getUntilServed(ctx, callerAddress, path)
		if err != nil {
			return err
		}
		fmt.Fprintf(a.Out, "curl -H 'Host: %s' http://%s%s\n%d %s\n", devHost, callerAddress, path, status, strings.TrimSpace(body))
	}
	return nil
}

func devHTTPBackends() []*standin.Backend {
	record := func(text string) string { return fmt.Sprintf("%-*s", topk.RecordSize, text) }
	return []*standin.Backend{
		standin.NewBackend("s1-a", "shard-1", "zone-a", []byte(record("hut 9")+record("hut 2"))),
		standin.NewBackend("s1-b", "shard-1", "zone-a", []byte(record("hut 9")+record("hut 2"))),
		standin.NewBackend("s2-a", "shard-2", "zone-a", []byte(record("hut 5"))),
		standin.NewBackend("q-a", "quotes", "zone-a", []byte("a quote")),
	}
}

// setDevBehaviors makes the stand-ins with the given ids announce that they leave, or
// refuse requests and ask for pauses.
func setDevBehaviors(backends []*standin.Backend, leaving, pausing []string) error {
	behaviors := map[string]standin.Behavior{}
	for _, id := range leaving {
		behaviors[id] = standin.Behavior{Leaving: true}
	}
	for _, id := range pausing {
		behavior := behaviors[id]
		behavior.Refuse, behavior.Pause = true, devPause
		behaviors[id] = behavior
	}
	for _, b := range backends {
		b.SetBehavior(behaviors[b.ID])
		delete(behaviors, b.ID)
	}
	for id := range behaviors {
		return usageError("name one that dev http --help lists", "no stand-in has the id %q", id)
	}
	return nil
}

func devHTTPSettings(id string) entry.Settings {
	const anyPort = "127.0.0.1:0"
	return entry.Settings{
		VMID: id, Zone: "zone-a", Region: "region-a", Zones: map[string]string{"zone-a": "region-a"},
		CallerAddress: anyPort, ReadyAddress: anyPort, ResolveAddress: anyPort, PeerAddress: anyPort,
		DrainBound: 3 * time.Second, MinLease: time.Second,
		Bounds: entry.Bounds{
			StopGrace: devStopGrace, MaxAddressTTL: 5 * time.Second,
			BudgetPermille: 200, BudgetSlack: 100, BudgetWindow: 10 * time.Second,
		},
	}
}

// getUntilServed repeats a request until the answer has the status 200 or
// devHTTPTimeout ends. The VM answers with another status until it has read the
// configuration.
func (a *app) getUntilServed(ctx context.Context, address, path string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(ctx, devHTTPTimeout)
	defer cancel()
	caller := standin.Caller{Client: a.http}
	for n := 1; ; n++ {
		answer, err := caller.Send(ctx, address, http.MethodGet, devHost, path, fmt.Sprint("dev-", n), devHTTPTimeout)
		if err == nil && answer.Status == http.StatusOK || ctx.Err() != nil {
			return answer.Status, string(answer.Body), err
		}
		time.Sleep(50 * time.Millisecond)
	}
}
