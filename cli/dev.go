package cli

import "github.com/urfave/cli/v3"

func (a *app) devCommand() *cli.Command {
	return &cli.Command{Name: "dev", Usage: "run a deployment on this machine"}
}
