package command

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/mattn/go-isatty"
	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/pkg/loadcmd"
	"egretline.example/egretline/pkg/loadfile"
	"egretline.example/egretline/pkg/loadquery"
	"egretline.example/egretline/service/entry"
)

// Exit codes of load.
const (
	exitLoadBadFile   subcommands.ExitStatus = 3
	exitLoadViolation subcommands.ExitStatus = 4
)

// progressInterval is the interval between updates of the progress line on a terminal.
const progressInterval = time.Second

// runIDLength is the length of a random run ID in characters. It suffices to distinguish the runs in the records of a
// backend server.
const runIDLength = 8

type loadCommand struct {
	json     string
	html     string
	requests string
	output   string
	nodes    []string
}

func (*loadCommand) Name() string { return "load" }
func (*loadCommand) Synopsis() string {
	return "send the requests of an experiment file to a running fleet"
}
func (*loadCommand) Usage() string {
	return `load [--node IP:port ...] [--report FILE] [--html FILE] [--requests FILE] [--output text|json] EXPERIMENT:
  Send an open-loop load: requests leave at their intended times whether or not earlier ones have finished, and latency
  counts from the intended time. SIGINT ends the experiment early with a report.
  Exit codes: 0 done; 1 a file could not be written; 2 wrong usage; 3 the experiment file cannot be used;
  4 a response that passed for complete was wrong.
`
}

func (l *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&l.json, "report", "", "file for the JSON report, which the query report renders again")
	f.StringVar(&l.html, "html", "", "file for the HTML report with plots")
	f.StringVar(&l.requests, "requests", "", "file for one JSON line for each request")
	f.Func("node", "caller address IP:port of a node, in place of those in the file; may be repeated", func(a string) error {
		l.nodes = append(l.nodes, a)
		return nil
	})
	f.StringVar(&l.output, "output", "text", "format of the report on standard output: text or json")
}

func (l *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, l.Usage())
		return subcommands.ExitUsageError
	}
	e, err := loadfile.Load(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitLoadBadFile
	}
	if len(l.nodes) > 0 {
		e.Nodes = l.nodes
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := l.run(ctx, e)
	if err == nil {
		err = l.write(report)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if load.Violations(report) > 0 {
		return exitLoadViolation
	}
	return subcommands.ExitSuccess
}

func (l *loadCommand) run(ctx context.Context, e load.Experiment) (load.Report, error) {
	if l.requests == "" {
		return runExperiment(ctx, e, nil), nil
	}
	file, err := os.Create(l.requests)
	if err != nil {
		return load.Report{}, eris.Wrap(err, "create request log")
	}
	requests := loadcmd.NewRequestLog(file, e)
	report := runExperiment(ctx, e, requests)
	if err := requests.Close(); err != nil {
		return report, err
	}
	return report, eris.Wrap(file.Close(), "close request log")
}

func runExperiment(ctx context.Context, e load.Experiment, r loadcmd.Recorder) load.Report {
	run := loadcmd.New(e, rand.Text()[:runIDLength], entry.Sender{Client: entry.New(e.Nodes)}, r)
	stop := showProgress(os.Stderr, run)
	run.Do(ctx)
	stop()
	return run.Report()
}

func (l *loadCommand) write(r load.Report) error {
	if err := writeReport(l.json, r, loadquery.WriteJSON); err != nil {
		return err
	}
	if err := writeReport(l.html, r, loadquery.WriteHTML); err != nil {
		return err
	}
	if l.output == "json" {
		return loadquery.WriteJSON(os.Stdout, r)
	}
	return loadquery.WriteText(os.Stdout, r)
}

func writeReport(path string, r load.Report, write func(io.Writer, load.Report) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path) //nolint:gosec // the operator names the file
	if err != nil {
		return eris.Wrap(err, "create report")
	}
	if err := write(file, r); err != nil {
		return err
	}
	return eris.Wrap(file.Close(), "close report")
}

// showProgress periodically rewrites a progress line until stop is called. It writes nothing if w is not a terminal.
func showProgress(w *os.File, run *loadcmd.Run) (stop func()) {
	if !isatty.IsTerminal(w.Fd()) {
		return func() {}
	}
	stopping := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				_, _ = fmt.Fprintf(w, "\r\x1b[K%s", progressLine(run.Report()))
			case <-stopping:
				_, _ = fmt.Fprintln(w)
				return
			}
		}
	})
	return func() {
		close(stopping)
		writer.Wait()
	}
}

func progressLine(r load.Report) string {
	line := fmt.Sprintf("%.0f s of %.0f s", time.Since(r.Started).Seconds(), r.Seconds)
	for _, k := range r.Ranks {
		line += fmt.Sprintf("  %s %d good of %d", k.Rank, k.Good, k.Offered)
	}
	return line
}
