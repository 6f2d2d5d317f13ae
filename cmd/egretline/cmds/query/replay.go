package query

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/trace"
)

const (
	// exitReplayBadFile is the exit code if the trace or the outcome file is invalid.
	exitReplayBadFile subcommands.ExitStatus = 3
	// exitReplayDiffers is the exit code if the replay does not lead to the stated outcome.
	exitReplayDiffers subcommands.ExitStatus = 5
)

type replay struct {
	outcome string
	output  string
}

func (*replay) Name() string { return "replay" }
func (*replay) Synopsis() string {
	return "replay a recorded trace and compare it with a stated outcome"
}
func (*replay) Usage() string {
	return `replay [--outcome FILE] [--output text|json] TRACE:
  Replay the evidence of a recorded trace through detection and floor, print
  which backend servers were taken out of use and returned, and compare that
  with the stated outcome.
  Exit codes: 0 as stated, or no outcome given; 1 output failed; 2 usage;
  3 the trace or the outcome is not valid; 5 the outcome differs.
`
}

func (r *replay) SetFlags(f *flag.FlagSet) {
	f.StringVar(&r.outcome, "outcome", "", "file with the stated outcome")
	f.StringVar(&r.output, "output", outputText, "text or json")
}

func (r *replay) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || (r.output != outputText && r.output != outputJSON) {
		fmt.Fprint(os.Stderr, r.Usage())
		return subcommands.ExitUsageError
	}
	m, err := replayFiles(f.Arg(0), r.outcome)
	if err != nil {
		fmt.Fprintln(os.Stderr, "replay:", err)
		return exitReplayBadFile
	}
	render := printReplay
	if r.output == outputJSON {
		render = printReplayJSON
	}
	if err := render(os.Stdout, m); err != nil {
		fmt.Fprintln(os.Stderr, "replay:", err)
		return subcommands.ExitFailure
	}
	if len(m.Differences) > 0 {
		return exitReplayDiffers
	}
	return subcommands.ExitSuccess
}

// replayResult is the output of the replay subcommand.
type replayResult struct {
	Events      int            `json:"events"`
	Changes     []replayChange `json:"changes"`
	Differences []string       `json:"differences"`
}

type replayChange struct {
	AfterMS int64        `json:"after-ms"`
	Service string       `json:"service"`
	Address string       `json:"address"`
	Change  trace.Change `json:"change"`
}

// replayFiles replays the trace and compares the changes with the stated outcome, unless outcomePath is empty.
func replayFiles(tracePath, outcomePath string) (replayResult, error) {
	events, err := readFile(tracePath, trace.Read)
	if err != nil {
		return replayResult{}, err
	}
	m := replayResult{Events: len(events), Changes: []replayChange{}, Differences: []string{}}
	changes := trace.Replay(events)
	var start time.Time
	if len(events) > 0 {
		start = events[0].At
	}
	for _, c := range changes {
		m.Changes = append(m.Changes, replayChange{
			AfterMS: c.At.Sub(start).Milliseconds(), Service: c.Service, Address: c.Address, Change: c.Change,
		})
	}
	if outcomePath == "" {
		return m, nil
	}
	outcome, err := readFile(outcomePath, trace.ReadOutcome)
	if err != nil {
		return replayResult{}, err
	}
	for _, d := range trace.Compare(outcome, start, changes) {
		m.Differences = append(m.Differences, d.Error())
	}
	return m, nil
}

func readFile[T any](path string, read func(io.Reader) (T, error)) (T, error) {
	f, err := os.Open(path) //nolint:gosec // the operator names the file
	if err != nil {
		var none T
		return none, eris.Wrap(err, "open file")
	}
	defer f.Close() //nolint:errcheck // nothing was written
	v, err := read(f)
	return v, eris.Wrapf(err, "read %s", path)
}

func printReplay(w io.Writer, m replayResult) error {
	for _, c := range m.Changes {
		after := time.Duration(c.AfterMS) * time.Millisecond
		if _, err := fmt.Fprintf(w, "after %s: backend server %s of service %s was %s\n", after, c.Address, c.Service, c.Change); err != nil {
			return eris.Wrap(err, "print changes")
		}
	}
	for _, d := range m.Differences {
		if _, err := fmt.Fprintln(w, "differs from the stated outcome:", d); err != nil {
			return eris.Wrap(err, "print differences")
		}
	}
	_, err := fmt.Fprintf(w, "%d events, %d changes, %d differences\n", m.Events, len(m.Changes), len(m.Differences))
	return eris.Wrap(err, "print summary")
}

func printReplayJSON(w io.Writer, m replayResult) error {
	return eris.Wrap(json.NewEncoder(w).Encode(m), "print replay")
}
