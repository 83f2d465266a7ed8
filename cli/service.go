package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/gen/briarstand/v1/briarstandv1connect"
	"github.com/briarstand/briarstand/kvstore"
)

type operatorAPI = briarstandv1connect.OperatorServiceClient

func (a *app) serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "create, read and change services",
		Commands: []*cli.Command{
			a.serviceCreate(), a.serviceGet(), a.serviceList(), a.serviceUpdate(), a.serviceDelete(),
		},
	}
}

func specFlag() cli.Flag {
	return &cli.StringFlag{Name: "spec", Required: true, TakesFile: true,
		Usage: "`FILE` with the service's spec as JSON, - for standard input; docs/cli.md shows an example"}
}

func (a *app) serviceCreate() *cli.Command {
	return &cli.Command{
		Name: "create", Usage: "create a service", ArgsUsage: "SERVICE",
		Description: "Example: briarstand service create siteapp --spec siteapp.json --operator eleni --reason \"new service\"",
		Flags:       changeFlags(specFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "SERVICE")
			if err != nil {
				return err
			}
			spec, err := a.readSpec(cmd.String("spec"))
			if err != nil {
				return err
			}
			return a.withOperator(ctx, cmd, func(ctx context.Context, c *operatorClient) error {
				ch := newChange(cmd, 0)
				req := &briarstandv1.CreateServiceRequest{Name: args[0], Spec: spec, Change: ch}
				return sendChange(ctx, a, cmd, c, operatorAPI.CreateService, req, ch)
			})
		},
	}
}

func (a *app) serviceUpdate() *cli.Command {
	return &cli.Command{
		Name: "update", Usage: "replace the spec of a service", ArgsUsage: "SERVICE",
		Description: "Example: briarstand service get siteapp --spec > siteapp.json, edit the file, then\n" +
			"briarstand service update siteapp --spec siteapp.json --revision 12 --operator eleni",
		Flags: changeFlags(specFlag(), revisionFlag(true, "revision that the spec was read at, as printed by service get")),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "SERVICE")
			if err != nil {
				return err
			}
			spec, err := a.readSpec(cmd.String("spec"))
			if err != nil {
				return err
			}
			return a.withOperator(ctx, cmd, func(ctx context.Context, c *operatorClient) error {
				ch := newChange(cmd, cmd.Int64("revision"))
				req := &briarstandv1.UpdateServiceRequest{Name: args[0], Spec: spec, Change: ch}
				return sendChange(ctx, a, cmd, c, operatorAPI.UpdateService, req, ch)
			})
		},
	}
}

func (a *app) serviceDelete() *cli.Command {
	return &cli.Command{
		Name: "delete", Usage: "delete a service", ArgsUsage: "SERVICE",
		Flags: changeFlags(revisionFlag(true, "revision that is deleted, as printed by service get")),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "SERVICE")
			if err != nil {
				return err
			}
			return a.withOperator(ctx, cmd, func(ctx context.Context, c *operatorClient) error {
				ch := newChange(cmd, cmd.Int64("revision"))
				req := &briarstandv1.DeleteServiceRequest{Name: args[0], Change: ch}
				return sendChange(ctx, a, cmd, c, operatorAPI.DeleteService, req, ch)
			})
		},
	}
}

func (a *app) serviceGet() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print a service", ArgsUsage: "SERVICE",
		Flags: operatorFlags(jsonFlag(), &cli.BoolFlag{Name: "spec", Usage: "print only the spec, in the form that create and update take"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "SERVICE")
			if err != nil {
				return err
			}
			return a.withOperator(ctx, cmd, func(ctx context.Context, c *operatorClient) error {
				resp, err := callOperator(ctx, c, operatorAPI.GetService, &briarstandv1.GetServiceRequest{Name: args[0]})
				if err != nil {
					return err
				}
				return a.printService(cmd, resp.Service)
			})
		},
	}
}

func (a *app) printService(cmd *cli.Command, svc *briarstandv1.Service) error {
	switch {
	case cmd.Bool("spec"):
		return printJSON(a.Out, svc.Spec)
	case cmd.Bool("json"):
		return printJSON(a.Out, svc)
	}
	p := svc.GetSpec().GetPolicy()
	fmt.Fprintf(a.Out, "service %s, revision %d, change %s\n", svc.Name, svc.Revision, svc.ChangeId)
	fmt.Fprintf(a.Out, "deadline %d ms, at most %d queries and %d waiting at one VM, extra load %d permille, preference %s\n\n",
		p.GetDeadlineMs(), p.GetMaxConcurrent(), p.GetMaxQueued(), p.GetExtraLoadPermille(),
		strings.ToLower(strings.TrimPrefix(p.GetPreference().String(), "PREFERENCE_")))
	if err := printTable(a.Out, versionRows(svc.GetSpec())); err != nil {
		return err
	}
	fmt.Fprintln(a.Out)
	return printTable(a.Out, backendRows(svc.GetSpec()))
}

func versionRows(spec *briarstandv1.ServiceSpec) [][]string {
	rows := [][]string{{"INDEX VERSION", "SEQUENCE", "SHARDS", "LEAST REPLICAS"}}
	for _, v := range spec.GetIndexVersions() {
		minReplicas := 0
		for i, s := range v.Shards {
			if n := len(s.BackendIds); i == 0 || n < minReplicas {
				minReplicas = n
			}
		}
		rows = append(rows, []string{v.Name, strconv.FormatInt(v.Sequence, 10), strconv.Itoa(len(v.Shards)), strconv.Itoa(minReplicas)})
	}
	return rows
}

func backendRows(spec *briarstandv1.ServiceSpec) [][]string {
	rows := [][]string{{"BACKEND", "ADDRESS", "ZONE", "SLOTS", "CONNECTIONS", "STATE"}}
	for _, b := range spec.GetBackends() {
		state := "serving"
		if b.Draining {
			state = "draining"
		}
		rows = append(rows, []string{b.Id, b.Address, b.Zone, strconv.Itoa(int(b.Slots)), strconv.Itoa(int(b.MaxConnections)), state})
	}
	return rows
}

func (a *app) serviceList() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "list the services",
		Flags: operatorFlags(jsonFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			return a.withOperator(ctx, cmd, func(ctx context.Context, c *operatorClient) error {
				resp, err := callOperator(ctx, c, operatorAPI.ListServices, &briarstandv1.ListServicesRequest{})
				if err != nil {
					return err
				}
				if cmd.Bool("json") {
					return printJSON(a.Out, resp)
				}
				rows := [][]string{{"SERVICE", "REVISION", "BACKENDS", "INDEX VERSIONS"}}
				for _, s := range resp.Services {
					rows = append(rows, []string{s.Name, strconv.FormatInt(s.Revision, 10),
						strconv.Itoa(len(s.GetSpec().GetBackends())), strconv.Itoa(len(s.GetSpec().GetIndexVersions()))})
				}
				return printTable(a.Out, rows)
			})
		},
	}
}

// readSpec reads a spec from a file, or from standard input for "-".
func (a *app) readSpec(path string) (*briarstandv1.ServiceSpec, error) {
	raw, err := a.readLimited(path)
	if err != nil {
		return nil, err
	}
	spec := &briarstandv1.ServiceSpec{}
	if err := protojson.Unmarshal(raw, spec); err != nil {
		// protojson deliberately varies the space after the prefix of its errors:
		// it may be a no-break space.
		msg := strings.ReplaceAll(err.Error(), "\u00a0", " ")
		return nil, usageError("compare the file with the example in docs/cli.md", "%s is not a spec: %s", path, msg)
	}
	if err := setPolicyDefaults(spec, raw); err != nil {
		return nil, usageError("compare the file with the example in docs/cli.md", "%s is not a spec: %w", path, err)
	}
	return spec, nil
}

// setPolicyDefaults sets the policy fields that the JSON omits to their defaults.
// A field that is given as 0 stays 0, which the operator API may refuse.
func setPolicyDefaults(spec *briarstandv1.ServiceSpec, raw []byte) error {
	var given struct {
		Policy map[string]json.RawMessage `json:"policy"`
	}
	if err := json.Unmarshal(raw, &given); err != nil {
		return err
	}
	if spec.Policy == nil {
		spec.Policy = &briarstandv1.Policy{}
	}
	defaults := defaultPolicy().ProtoReflect()
	fields := defaults.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		_, hasTextName := given.Policy[f.TextName()]
		_, hasJSONName := given.Policy[f.JSONName()]
		if !hasTextName && !hasJSONName {
			spec.Policy.ProtoReflect().Set(f, defaults.Get(f))
		}
	}
	return nil
}

func defaultPolicy() *briarstandv1.Policy {
	return config.SpecToProto(&config.Service{Policy: config.DefaultPolicy()}).GetPolicy()
}

// readLimited reads a file, or standard input for "-", and refuses more than
// kvstore.MaxValueBytes, the largest value that the store can hold.
func (a *app) readLimited(path string) ([]byte, error) {
	in := a.In
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, usageError("give the path of a JSON file, or - for standard input", "%w", err)
		}
		defer f.Close()
		in = f
	}
	raw, err := io.ReadAll(io.LimitReader(in, kvstore.MaxValueBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	if len(raw) > kvstore.MaxValueBytes {
		return nil, &Error{Code: ExitUsage, Err: &config.FieldError{Field: "spec", Value: "more than 1 MB", Allowed: "at most 1048576 bytes"}}
	}
	return raw, nil
}
