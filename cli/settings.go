package cli

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/briarstand/briarstand/platform"
)

func (a *app) settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "check settings of entry VMs on the users' platform",
		Commands: []*cli.Command{{
			Name: "check", Usage: "check a settings file of briarstand-entry", ArgsUsage: "FILE",
			Description: "Reads the platform's settings file as the daemon does at its start and at a reload, and names the first\n" +
				"value that is not allowed.",
			Action: a.checkSettings,
		}},
	}
}

func (a *app) checkSettings(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "FILE")
	if err != nil {
		return err
	}
	set, err := platform.LoadSettings(args[0])
	var invalid *platform.SettingsError
	switch {
	case errors.As(err, &invalid):
		return &Error{Code: ExitUsage, Err: err, Next: "set " + invalid.Name + " to an allowed value"}
	case err != nil:
		return err
	}
	fmt.Fprintf(a.Out, "%s: settings of VM %s are valid\n", args[0], set.VMID)
	return nil
}
