// Package cmds assembles the subcommands of egretline-standin. Each runs one stand-in from pkg/standin.
package cmds

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
)

// readHeaderTimeout bounds how long a connection may take to send its request headers.
const readHeaderTimeout = 10 * time.Second

// Run runs the subcommand that the arguments name and returns the exit code of the process.
func Run(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("egretline-standin", flag.ContinueOnError)
	c := subcommands.NewCommander(flags, "egretline-standin")
	c.Register(c.HelpCommand(), "")
	for _, s := range all() {
		c.Register(s, "")
	}
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(c.Execute(ctx))
}

func all() []subcommands.Command {
	return []subcommands.Command{
		&hosts{},
		&backends{},
		&relayCommand{},
		&logService{},
	}
}
