// Package command implements the subcommands that change state or send load.
package command

import "github.com/google/subcommands"

const commandGroup = "commands (change state or send load)"

// Register adds the subcommands of this package to the commander.
func Register(c *subcommands.Commander) {
	for _, s := range allCommands() {
		c.Register(s, commandGroup)
	}
}

func allCommands() []subcommands.Command {
	return []subcommands.Command{
		newApply(),
		&serve{},
		&drain{},
		&loadCommand{},
	}
}
