// Package command holds the subcommands that change state or send load.
package command

import "github.com/google/subcommands"

const group = "commands (change state or send load)"

// Register adds the subcommands of this package to the commander.
func Register(c *subcommands.Commander) {
	for _, s := range all() {
		c.Register(s, group)
	}
}

func all() []subcommands.Command {
	return []subcommands.Command{
		newApply(),
		&serve{},
		&loadCommand{},
	}
}
