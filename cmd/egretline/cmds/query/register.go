// Package query implements the subcommands that only read.
package query

import "github.com/google/subcommands"

const queryGroup = "queries (only read)"

// Register adds the subcommands of this package to the commander.
func Register(c *subcommands.Commander) {
	for _, s := range allQueries() {
		c.Register(s, queryGroup)
	}
}

func allQueries() []subcommands.Command {
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
