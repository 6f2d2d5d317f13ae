package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"egretline.example/egretline/internal/http/strict"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/service/api"
	"egretline.example/egretline/service/operator"
)

// Exit codes of apply.
const (
	exitApplyRefused     subcommands.ExitStatus = 3
	exitApplyConflict    subcommands.ExitStatus = 4
	exitApplyUnknown     subcommands.ExitStatus = 5
	exitApplyUnreachable subcommands.ExitStatus = 6
)

// currentBase is the default of --base. It selects the revision that the node has when the command starts.
const currentBase = -1

type apply struct {
	node    string
	file    string
	applyID string
	base    int64
	output  string
	stdout  io.Writer
	stderr  io.Writer
}

func newApply() *apply { return &apply{stdout: os.Stdout, stderr: os.Stderr} }

func (*apply) Name() string     { return "apply" }
func (*apply) Synopsis() string { return "put a configuration file in force" }
func (*apply) Usage() string {
	return `apply --file FILE [--node URL] [--base REVISION] [--apply-id ID] [--output text|json]:
  Check the file and put it in force as a whole. Only the base name of FILE counts. Of two operators who apply a file at
  the same time, one gets a conflict. If the outcome is unknown, repeat the command that is printed: an apply ID counts
  once.
  Exit codes: 0 accepted; 1 the file could not be read; 2 wrong usage; 3 refused by the check, nothing has changed;
  4 conflict, nothing has changed; 5 outcome unknown; 6 node unreachable, nothing was sent.
`
}

func (a *apply) SetFlags(f *flag.FlagSet) {
	f.StringVar(&a.node, "node", "http://127.0.0.1:8082", "URL of the operator listener of a node")
	f.StringVar(&a.file, "file", "", "configuration file (TOML)")
	f.Int64Var(&a.base, "base", currentBase, "revision of the file that the change was made for; -1 for the one of the node")
	f.StringVar(&a.applyID, "apply-id", "", "apply ID of an earlier command whose outcome is unknown")
	f.StringVar(&a.output, "output", "text", "text or json")
}

func (a *apply) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if a.file == "" || f.NArg() != 0 || (a.output != "text" && a.output != "json") {
		_, _ = fmt.Fprint(a.stderr, a.Usage())
		return subcommands.ExitUsageError
	}
	contents, err := os.ReadFile(a.file)
	if err != nil {
		_, _ = fmt.Fprintln(a.stderr, "apply:", err)
		return subcommands.ExitFailure
	}
	client := operator.New(a.node, strict.NewClient(0))
	name := filepath.Base(a.file)
	if a.base == currentBase {
		if a.base, err = client.Revision(ctx, name); err != nil {
			_, _ = fmt.Fprintln(a.stderr, "apply:", err)
			return exitApplyUnreachable
		}
	}
	if a.applyID == "" {
		a.applyID = rand.Text()
	}
	request := api.ApplyRequest{ApplyID: a.applyID, File: name, Base: a.base, Contents: contents}
	reply, err := client.Apply(ctx, request)
	if errors.As(err, &operator.UnreachableError{}) {
		_, _ = fmt.Fprintln(a.stderr, "apply:", err)
		return exitApplyUnreachable
	}
	if err != nil {
		reply = api.ApplyReply{
			Outcome: api.ApplyUnknown, ApplyID: a.applyID, File: name, Base: a.base, Reason: err.Error(),
		}
	}
	a.print(reply)
	return applyExit(reply.Outcome)
}

func applyExit(outcome string) subcommands.ExitStatus {
	switch outcome {
	case api.ApplyAccepted:
		return subcommands.ExitSuccess
	case api.ApplyConflict:
		return exitApplyConflict
	case api.ApplyRefused:
		return exitApplyRefused
	default:
		return exitApplyUnknown
	}
}

func (a *apply) print(reply api.ApplyReply) {
	if a.output == "json" {
		_ = json.NewEncoder(a.stdout).Encode(reply)
		return
	}
	switch reply.Outcome {
	case api.ApplyAccepted:
		_, _ = fmt.Fprintf(a.stdout, "accepted: %s is at revision %d\n", reply.File, reply.Revision)
	case api.ApplyConflict:
		_, _ = fmt.Fprintf(a.stderr, "conflict: %s\nNothing has changed. Look at the newer file, then apply again.\n", reply.Reason)
	case api.ApplyRefused:
		a.printRefusal(reply)
	default:
		_, _ = fmt.Fprintf(a.stderr, "outcome unknown: %s\nThe file may be in force, now or later. To find out, run:\n"+
			"  egretline apply --node %s --file %s --base %d --apply-id %s\n",
			reply.Reason, a.node, a.file, a.base, a.applyID)
	}
}

func (a *apply) printRefusal(reply api.ApplyReply) {
	if len(reply.Problems) == 0 {
		_, _ = fmt.Fprintln(a.stderr, "refused:", reply.Reason)
	}
	for _, p := range reply.Problems {
		_, _ = fmt.Fprintln(a.stderr, "refused:", fleet.Problem(p))
	}
	_, _ = fmt.Fprintln(a.stderr, "Nothing has changed.")
}
