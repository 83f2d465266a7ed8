// Package cli implements the commands of the programs briarstand and briarstandd.
package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// app holds the streams and the HTTP client that the commands share.
type app struct {
	Streams
	http *http.Client
}

// Run runs briarstand with its arguments, the program name first, and returns
// the exit code.
func Run(ctx context.Context, args []string, streams Streams) int {
	a := &app{Streams: streams, http: newHTTPClient()}
	return runCommand(ctx, a.root(), args, streams)
}

// newHTTPClient returns a client without an overall timeout, as the context of
// every call has a deadline.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}}
}

func runCommand(ctx context.Context, root *cli.Command, args []string, streams Streams) int {
	prepare(root, streams)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	e := classify(err)
	fmt.Fprintf(streams.Err, "%s: %v\n", root.Name, e.Err)
	if e.Next != "" {
		fmt.Fprintf(streams.Err, "next: %s\n", e.Next)
	}
	return e.Code
}

// prepare sets the streams of a command and its subcommands, and makes them
// return their errors instead of printing them or exiting the process.
func prepare(cmd *cli.Command, streams Streams) {
	cmd.Reader, cmd.Writer, cmd.ErrWriter = streams.In, streams.Out, streams.Err
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	cmd.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return usageError(fmt.Sprintf("run \"%s --help\"", c.FullName()), "%w", err)
	}
	if cmd.Action == nil {
		cmd.Action = func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageError(fmt.Sprintf("run \"%s --help\" for the commands", c.FullName()),
					"there is no command %q", c.Args().First())
			}
			return cli.ShowSubcommandHelp(c)
		}
	}
	for _, sub := range cmd.Commands {
		prepare(sub, streams)
	}
}

func (a *app) root() *cli.Command {
	return &cli.Command{
		Name:  "briarstand",
		Usage: "operate and query a briarstand deployment",
		Description: "Operators change services through the operator API of any VM. Callers ask any VM for the\n" +
			"addresses to use and send their queries to these.\n\n" + exitCodeHelp,
		Commands: []*cli.Command{
			a.serviceCommand(), a.backendCommand(), a.rolloutCommand(), a.auditCommand(), a.vmCommand(),
			a.resolveCommand(), a.queryCommand(), a.loadCommand(), a.devCommand(), a.explainCommand(), a.statusCommand(), a.settingsCommand(),
		},
	}
}

const exitCodeHelp = `Exit codes: 0 ok, 1 error, 2 usage or invalid input, 3 conflict with another change,
4 change recorded but not accepted yet, 5 partial answer, 6 not run, 7 outcome unknown,
8 deadline exceeded, 9 no VM could serve the call.`

// arguments returns the positional arguments. It returns an error unless there are
// as many arguments as names.
func arguments(cmd *cli.Command, names ...string) ([]string, error) {
	got := cmd.Args().Slice()
	if len(got) != len(names) {
		takes := strings.Join(names, " ")
		if takes == "" {
			takes = "no arguments"
		}
		return nil, usageError(fmt.Sprintf("run \"%s --help\"", cmd.FullName()), "%s takes %s; got %q", cmd.FullName(), takes, got)
	}
	return got, nil
}

// baseURL returns the base URL of an API, given as host:port or as a URL.
func baseURL(address string) (string, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	u, err := url.Parse(address)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", usageError("give IP:port or an http:// URL", "%q is not an address", address)
	}
	return strings.TrimSuffix(u.String(), "/"), nil
}

func baseURLs(addresses []string) ([]string, error) {
	var urls []string
	for _, a := range addresses {
		u, err := baseURL(a)
		if err != nil {
			return nil, err
		}
		urls = append(urls, u)
	}
	return urls, nil
}

// attemptContext returns the context of one attempt. remaining is the number of
// attempts that are left, this one included. The timeout of the attempt is the
// remaining time of ctx divided by remaining, so that a VM that does not answer
// leaves time for the others, but at least minTimeout. If ctx has no deadline, the
// attempt has none.
func attemptContext(ctx context.Context, remaining int, minTimeout time.Duration) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, max(time.Until(deadline)/time.Duration(remaining), minTimeout))
}

func timeoutFlag(def time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Value: def, Usage: usage, Validator: func(d time.Duration) error {
		if d <= 0 {
			return fmt.Errorf("%s is not allowed; allowed: a duration above zero, such as %s", d, def)
		}
		return nil
	}}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON instead of a table"}
}
