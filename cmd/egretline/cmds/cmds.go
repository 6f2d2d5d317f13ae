// Package cmds registers and runs the subcommands of egretline.
package cmds

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"egretline.example/egretline/cmd/egretline/cmds/command"
	"egretline.example/egretline/cmd/egretline/cmds/query"
)

// Run runs the subcommand named by the arguments and returns the exit code of the process.
func Run(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("egretline", flag.ContinueOnError)
	c := subcommands.NewCommander(flags, "egretline")
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	command.Register(c)
	query.Register(c)
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(c.Execute(ctx))
}
