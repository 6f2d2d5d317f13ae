// Package query holds the subcommands that only read.
package query

import "github.com/google/subcommands"

const group = "queries (only read)"

// Register adds the subcommands of this package to the commander.
func Register(c *subcommands.Commander) {
	for _, s := range all() {
		c.Register(s, group)
	}
}

func all() []subcommands.Command {
	return []subcommands.Command{
		&replay{},
		newCheck(),
		&report{},
		&explain{},
		&show{},
		&entries{},
		&version{},
	}
}
