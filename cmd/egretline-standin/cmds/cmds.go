// Package cmds registers and runs the subcommands of egretline-standin. Each runs one kind of stand-in from
// pkg/standin.
package cmds

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
)

// readHeaderTimeout bounds the time in which a client must send its request headers.
const readHeaderTimeout = 10 * time.Second

// Run runs the subcommand named by the arguments and returns the exit code of the process.
func Run(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("egretline-standin", flag.ContinueOnError)
	c := subcommands.NewCommander(flags, "egretline-standin")
	c.Register(c.HelpCommand(), "")
	for _, s := range allCommands() {
		c.Register(s, "")
	}
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(c.Execute(ctx))
}

func allCommands() []subcommands.Command {
	return []subcommands.Command{
		&hosts{},
		&backends{},
		&relayCommand{},
		&logCommand{},
	}
}
