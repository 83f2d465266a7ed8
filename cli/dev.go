package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	backendstandin "github.com/briarstand/briarstand/backend/standin"
	platformstandin "github.com/briarstand/briarstand/kvstore/standin"
	"github.com/briarstand/briarstand/telemetry"
)

func (a *app) devCommand() *cli.Command {
	return &cli.Command{
		Name: "dev", Usage: "run a whole deployment in this process",
		Description: "Starts a stand-in of the platform, daemons and stand-ins of backend servers on loopback addresses,\n" +
			"creates a sample service, prints all addresses and the answer to one query, and keeps running until\n" +
			"it is interrupted, or ends with --once. Nothing is kept.",
		Flags: []cli.Flag{
			countFlag("daemons", 3, 18, "daemons to run"),
			countFlag("backends", 4, 64, "backend servers to run"),
			countFlag("shards", 8, 1024, "shards of the sample service"),
			&cli.BoolFlag{Name: "once", Usage: "end after the answer to the query"},
			logLevelFlag("warn"),
		},
		Action:   a.dev,
		Commands: []*cli.Command{a.devPlatformCommand(), a.devBackendCommand(), a.devHTTPCommand()},
	}
}

func countFlag(name string, def, maxCount int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: def, Usage: fmt.Sprintf("%s, 1 to %d", usage, maxCount), Validator: func(n int) error {
		if n < 1 || n > maxCount {
			return fmt.Errorf("%d is not allowed; allowed: 1 to %d", n, maxCount)
		}
		return nil
	}}
}

func logLevelFlag(def string) cli.Flag {
	return &cli.StringFlag{Name: "log-level", Value: def, Usage: "least severe level that is logged: debug, info, warn or error",
		Validator: func(v string) error {
			if _, err := log.ParseLevel(v); err != nil {
				return fmt.Errorf("%q is not allowed; allowed: debug, info, warn or error", v)
			}
			return nil
		}}
}

func (a *app) logger(cmd *cli.Command, fields ...any) *log.Logger {
	// The flag's validator has checked the level.
	level, _ := log.ParseLevel(cmd.String("log-level"))
	return telemetry.NewLogger(a.Err, level, fields...)
}

func listenFlag(def string) cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: def, Usage: "`ADDRESS` to listen on, IP:port"}
}

func (a *app) devPlatformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform", Usage: "run a stand-in of the platform's key-value service and VM list",
		Description: "Speaks the published Consul HTTP forms and keeps everything in memory. PUT or PATCH /standin/faults sets\n" +
			"faults, such as {\"down\":true}; GET /standin/writes and /standin/calls show what it really did.",
		Flags: []cli.Flag{listenFlag("127.0.0.1:8500"), logLevelFlag("info")},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			l, err := listenOn(cmd.String("listen"))
			if err != nil {
				return err
			}
			fmt.Fprintf(a.Out, "platform stand-in listens on %s\n", l.Addr())
			return servePlatform(ctx, l, a.logger(cmd))
		},
	}
}

// listenOn opens a listener. Its error advises to choose another address.
func listenOn(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Code: ExitError, Err: fmt.Errorf("listen on %s: %w", address, err), Next: "choose another address with --listen"}
	}
	return l, nil
}

// servePlatform serves a platform stand-in until the context ends.
func servePlatform(ctx context.Context, l net.Listener, logger *log.Logger) error {
	standin := platformstandin.New(platformstandin.Config{Logger: logger})
	defer standin.Close()
	srv := &http.Server{Handler: standin, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("platform stand-in: %w", err)
	}
	return nil
}

func (a *app) devBackendCommand() *cli.Command {
	return &cli.Command{
		Name: "backend", Usage: "run a stand-in of a backend server",
		Description: "Answers sub-requests with documents that depend only on service, index version, shard and body.\n" +
			"POST /standin/settings and /standin/faults change its behaviour, POST /standin/drain and\n" +
			"/standin/restore announce leaving and staying, and GET /standin/record shows what it really ran.",
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:9001"), logLevelFlag("info"),
			countFlag("slots", 2, 1024, "sub-requests that run at once"),
			&cli.DurationFlag{Name: "service-time", Value: time.Millisecond, Usage: "time that a sub-request runs"},
			&cli.StringFlag{Name: "versions", Usage: "index versions that it holds, separated by commas; all when empty"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of its random choices"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			l, err := listenOn(cmd.String("listen"))
			if err != nil {
				return err
			}
			fmt.Fprintf(a.Out, "backend stand-in listens on %s\n", l.Addr())
			return serveBackend(ctx, l, cmd.Uint64("seed"), backendSettings(cmd))
		},
	}
}

func backendSettings(cmd *cli.Command) backendstandin.Settings {
	s := backendstandin.DefaultSettings()
	s.Slots = cmd.Int("slots")
	s.ServiceBase = backendstandin.Duration(cmd.Duration("service-time"))
	if versions := cmd.String("versions"); versions != "" {
		for v := range strings.SplitSeq(versions, ",") {
			s.Holdings = append(s.Holdings, backendstandin.Holding{Version: strings.TrimSpace(v)})
		}
	}
	return s
}

// serveBackend serves a backend stand-in until the context ends.
func serveBackend(ctx context.Context, l net.Listener, seed uint64, s backendstandin.Settings) error {
	standin := backendstandin.New(seed, s)
	stop := context.AfterFunc(ctx, standin.Close)
	defer stop()
	return standin.Serve(l)
}

// dev runs the deployment until the context ends, or with --once until the
// query is answered.
func (a *app) dev(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := newDeployment(a.logger(cmd), cmd.Int("daemons"), cmd.Int("backends"), cmd.Int("shards"))
	if err != nil {
		return err
	}
	group, running := errgroup.WithContext(ctx)
	d.start(group, running)
	err = a.showDeployment(running, d)
	if err == nil && !cmd.Bool("once") {
		fmt.Fprintln(a.Out, "\nrunning; press Ctrl-C to end")
		<-running.Done()
	}
	cancel()
	return errors.Join(err, group.Wait())
}
