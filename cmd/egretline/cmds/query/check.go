package query

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"egretline.example/egretline/pkg/configfile"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/service/api"
)

// exitFaultsFound is the exit code of check if a node would refuse one of the files.
const exitFaultsFound subcommands.ExitStatus = 3

type check struct {
	output string
	stdout io.Writer
	stderr io.Writer
}

func newCheck() *check { return &check{stdout: os.Stdout, stderr: os.Stderr} }

func (*check) Name() string     { return "check" }
func (*check) Synopsis() string { return "check configuration files without a node" }
func (*check) Usage() string {
	return `check [--output text|json] FILE...:
  Check configuration files one by one, and the references between them. Give all files of a fleet together.
  Exit codes: 0 no fault; 1 a file could not be read; 2 wrong usage; 3 faults found.
`
}

func (c *check) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.output, "output", outputText, "text or json")
}

func (c *check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 || (c.output != outputText && c.output != outputJSON) {
		_, _ = fmt.Fprint(c.stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	sources := make([]configfile.Source, 0, f.NArg())
	for _, path := range f.Args() {
		contents, err := os.ReadFile(path) //nolint:gosec // the operator names the files
		if err != nil {
			_, _ = fmt.Fprintln(c.stderr, "check:", err)
			return subcommands.ExitFailure
		}
		sources = append(sources, configfile.Source{Name: filepath.Base(path), Contents: contents})
	}
	problems := []api.Problem{}
	for _, p := range configfile.CheckAll(sources) {
		problems = append(problems, api.Problem(p))
	}
	c.print(problems)
	if len(problems) > 0 {
		return exitFaultsFound
	}
	return subcommands.ExitSuccess
}

func (c *check) print(problems []api.Problem) {
	if c.output == outputJSON {
		_ = json.NewEncoder(c.stdout).Encode(struct {
			Problems []api.Problem `json:"problems"`
		}{problems})
		return
	}
	for _, p := range problems {
		_, _ = fmt.Fprintln(c.stderr, fleet.Problem(p))
	}
	if len(problems) == 0 {
		_, _ = fmt.Fprintln(c.stdout, "no faults found")
	}
}
