package query

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/pkg/loadquery"
)

// exitReportBadFile is the exit code if the file is not a load report.
const exitReportBadFile subcommands.ExitStatus = 3

type report struct {
	output string
}

func (*report) Name() string     { return "report" }
func (*report) Synopsis() string { return "render the JSON report of a load experiment again" }
func (*report) Usage() string {
	return `report [--output text|json|html] FILE:
  Render a JSON report that load wrote with --report on standard output.
  Exit codes: 0 done; 1 the output could not be written; 2 wrong usage; 3 the file is not a report.
`
}

func (r *report) SetFlags(f *flag.FlagSet) {
	f.StringVar(&r.output, "output", "text", "text, json or html")
}

func (r *report) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	renderers := map[string]func(io.Writer, load.Report) error{
		"text": loadquery.WriteText,
		"json": loadquery.WriteJSON,
		"html": loadquery.WriteHTML,
	}
	render, known := renderers[r.output]
	if f.NArg() != 1 || !known {
		fmt.Fprint(os.Stderr, r.Usage())
		return subcommands.ExitUsageError
	}
	loaded, err := loadquery.Read(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitReportBadFile
	}
	if err := render(os.Stdout, loaded); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
