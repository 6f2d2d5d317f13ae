package query

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

type version struct{}

func (*version) Name() string           { return "version" }
func (*version) Synopsis() string       { return "print the version of this program" }
func (*version) Usage() string          { return "version:\n  Print the version of this program.\n" }
func (*version) SetFlags(*flag.FlagSet) {}

func (*version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("egretline (unknown build)")
		return subcommands.ExitSuccess
	}
	fmt.Println("egretline", info.Main.Version, info.GoVersion)
	return subcommands.ExitSuccess
}
