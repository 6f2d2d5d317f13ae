package query

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/google/subcommands"

	"egretline.example/egretline/service/api"
)

const exitNoRoute subcommands.ExitStatus = 3

type explain struct {
	node   string
	output string
	method string
}

func (*explain) Name() string     { return "explain" }
func (*explain) Synopsis() string { return "explain how a node would dispatch a request" }

func (*explain) Usage() string {
	return `explain [--node URL] [--output text|json] [--method METHOD] PATH:
  Say in plain sentences which route, rank, queue and backend servers a request
  would meet at a node now.
  Exit codes: 0 explained, 2 usage, 3 no route matches, 6 node unreachable.
`
}

func (e *explain) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.node, "node", defaultNode, "URL of the operator listener of a node")
	f.StringVar(&e.output, "output", outputText, "text or json")
	f.StringVar(&e.method, "method", http.MethodGet, "method of the request")
}

func (e *explain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || (e.output != outputText && e.output != outputJSON) {
		fmt.Fprint(os.Stderr, e.Usage())
		return subcommands.ExitUsageError
	}
	request := url.Values{"method": {e.method}, "path": {f.Arg(0)}}
	body, err := get(ctx, e.node+"/operator/explain?"+request.Encode())
	var status StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		fmt.Fprintf(os.Stderr, "explain: no route matches %s %s\n", e.method, f.Arg(0))
		return exitNoRoute
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "explain:", err)
		return exitUnreachable
	}
	render := printExplanation
	if e.output == outputJSON {
		render = printJSON
	}
	if err := render(os.Stdout, body); err != nil {
		fmt.Fprintln(os.Stderr, "explain:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func printExplanation(w io.Writer, body []byte) error {
	var x api.Explanation
	if err := json.Unmarshal(body, &x); err != nil {
		return err
	}
	for _, s := range x.Sentences {
		fmt.Fprintln(w, s)
	}
	return printTable(w, "BACKEND SERVER\tELIGIBLE\tWHY", func(t io.Writer) {
		for _, s := range x.Servers {
			fmt.Fprintf(t, "%s\t%t\t%s\n", s.Address, s.Eligible, s.Sentence)
		}
	})
}
