package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"egretline.example/egretline/internal/http/strict"
)

const (
	// exitDrainRefused is the exit code if the node responded but did not start to drain.
	exitDrainRefused     subcommands.ExitStatus = 3
	exitDrainUnreachable subcommands.ExitStatus = 6
	drainTimeout                                = 5 * time.Second
)

type drain struct {
	node string
}

func (*drain) Name() string     { return "drain" }
func (*drain) Synopsis() string { return "take a node out of service without cutting requests" }

func (*drain) Usage() string {
	return `drain [--node URL]:
  Ask the node to leave: it is out of the entry
  responses at once, serves for the drain grace, finishes requests in flight
  and exits. The command does not wait for the end.
  Exit codes: 0 the node is leaving; 2 wrong usage; 3 the node refused; 6 node unreachable.
`
}

func (d *drain) SetFlags(f *flag.FlagSet) {
	f.StringVar(&d.node, "node", "http://127.0.0.1:8082", "URL of the operator listener of the node")
}

func (d *drain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		fmt.Fprint(os.Stderr, d.Usage())
		return subcommands.ExitUsageError
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, d.node+"/operator/drain", nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, "drain:", err)
		return subcommands.ExitUsageError
	}
	response, err := strict.NewClient(0).Do(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, "drain: the node cannot be reached:", err)
		return exitDrainUnreachable
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusAccepted {
		fmt.Fprintln(os.Stderr, "drain: the node responded with status", response.StatusCode)
		return exitDrainRefused
	}
	fmt.Println("the node is leaving")
	return subcommands.ExitSuccess
}
