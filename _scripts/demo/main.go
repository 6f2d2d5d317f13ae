// Command demo runs a fleet on loopback, injects faults under load, and checks the guarantees of the fleet, which its
// output calls promises. It exits with 0 only if every guarantee held.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/loadcmd"
	"egretline.example/egretline/pkg/standin/backendservice"
	"egretline.example/egretline/test/fleetproc"
)

const (
	// demoTimeout bounds the whole demonstration.
	demoTimeout    = 60 * time.Second
	nodeCount      = 5
	groupSize      = 4
	tenantToken    = "shop-almaty-token" //nolint:gosec // the public token of examples/tulpar.toml
	configFile     = "examples/tulpar.toml"
	experimentFile = "examples/load.toml"
)

// Times of the faults, as offsets from the start of the load, which lasts 20 s.
const (
	stallOffset = 3 * time.Second
	drainOffset = 6 * time.Second
	killOffset  = 12 * time.Second
)

// pools lists the backend servers of each service in examples/tulpar.toml.
var pools = []pool{
	{Name: "ledger-view", FirstPort: 9100, ServerCount: 10, Profile: "/=20ms:2048"},
	{Name: "rental-desk", FirstPort: 9200, ServerCount: 20, Profile: "/=40ms:512"},
	{Name: "survey-vault", FirstPort: 9300, ServerCount: 6, Profile: "/=200ms:65536"},
}

var zones = []string{"kz-central-a", "kz-central-b", "kz-central-c"}

// pool is the backend servers of one service, which listen on consecutive ports.
type pool struct {
	Name        string
	FirstPort   int
	ServerCount int
	// Profile is the --path value of egretline-standin backends.
	Profile string
}

func (p pool) addresses() []string {
	var list []string
	for i := range p.ServerCount {
		list = append(list, fmt.Sprintf("127.0.0.1:%d", p.FirstPort+i))
	}
	return list
}

// demo is a running demonstration.
type demo struct {
	*fleetproc.Fleet
	started time.Time
	// drainedAddresses lists the caller addresses of the nodes that were stopped gracefully.
	drainedAddresses []string
}

func main() {
	os.Exit(exitCode())
}

func exitCode() int {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	held, err := run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	if !held {
		return 1
	}
	return 0
}

func run(ctx context.Context) (bool, error) {
	directory, err := os.MkdirTemp("", "egretline-demo-")
	if err != nil {
		return false, eris.Wrap(err, "create directory")
	}
	d := &demo{started: time.Now()}
	d.logf("building; logs are in %s", directory)
	if err := fleetproc.Build(ctx, ".", directory); err != nil {
		return false, err
	}
	d.Fleet, err = fleetproc.New(ctx, directory, directory)
	defer d.Close()
	if err != nil {
		return false, err
	}
	if err := d.start(ctx); err != nil {
		return false, err
	}
	if err := d.load(ctx); err != nil {
		return false, err
	}
	return d.checkGuarantees(ctx)
}

// logf prints a line with the time since the start of the demonstration.
func (d *demo) logf(format string, values ...any) {
	fmt.Printf("%5.1f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, values...))
}

// start starts the backend servers and nodes, applies the configuration, and waits until it is in force at every node.
func (d *demo) start(ctx context.Context) error {
	for _, p := range pools {
		if err := d.StartBackends(ctx, p.Name, p.addresses(), "--path", p.Profile); err != nil {
			return err
		}
	}
	for i := range nodeCount {
		if _, err := d.StartNode(ctx, fmt.Sprintf("node-%d", i+1), zones[i%len(zones)]); err != nil {
			return err
		}
	}
	for _, n := range d.Nodes {
		if err := d.AwaitURL(ctx, n.OperatorURL+"/livez"); err != nil {
			return err
		}
	}
	d.logf("%d nodes and %d backend servers are running; applying %s", nodeCount, len(allBackends()), configFile)
	apply, err := d.StartProgram("apply", "egretline", "apply", "--file", configFile, "--node", d.Nodes[0].OperatorURL)
	if err != nil {
		return err
	}
	if err := apply.Wait(ctx); err != nil {
		return err
	}
	for _, p := range pools {
		if err := d.AwaitEntries(ctx, p.Name, tenantToken, groupSize); err != nil {
			return err
		}
	}
	d.logf("the configuration is in force at every node")
	return nil
}

// load runs the load experiment and injects the faults while it runs.
func (d *demo) load(ctx context.Context) error {
	args := []string{
		"load", "--requests", d.path("requests.jsonl"), "--report", d.path("report.json"), "--html", d.path("report.html"),
	}
	for _, n := range d.Nodes {
		args = append(args, "--node", n.Host.CallerAddress)
	}
	start := time.Now()
	load, err := d.StartProgram("load", "egretline", append(args, experimentFile)...)
	if err != nil {
		return err
	}
	d.logf("sending the load of %s", experimentFile)
	if err := d.stall(ctx, start); err != nil {
		return err
	}
	drained, err := d.drain(ctx, start)
	if err != nil {
		return err
	}
	if err := d.kill(ctx, start, drained); err != nil {
		return err
	}
	if err := drained.Wait(ctx); err != nil {
		return err
	}
	d.logf("%s has ended with exit code 0", drained.Name)
	if err := load.Wait(ctx); err != nil {
		return err
	}
	return printFile(load.LogPath)
}

// stall makes a backend server for checkouts accept requests but never respond. Its health endpoint stays healthy.
func (d *demo) stall(ctx context.Context, start time.Time) error {
	if err := waitUntil(ctx, start.Add(stallOffset)); err != nil {
		return err
	}
	server := pools[1].addresses()[0]
	d.logf("backend server %s of %s stalls; its health endpoint stays fine", server, pools[1].Name)
	return d.SetFaults(ctx, "http://"+server+"/faults", backendservice.Faults{StallFraction: 1})
}

// drain gracefully stops the first entry for checkouts in zone a, a node that is likely to have requests in flight.
func (d *demo) drain(ctx context.Context, start time.Time) (*fleetproc.Node, error) {
	if err := waitUntil(ctx, start.Add(drainOffset)); err != nil {
		return nil, err
	}
	e, err := d.Entries(ctx, d.Nodes[0], pools[1].Name, zones[0], tenantToken)
	if err != nil {
		return nil, err
	}
	n := d.NodeAt(e.Entries[0].Address)
	d.drainedAddresses = append(d.drainedAddresses, n.Host.CallerAddress)
	d.logf("SIGTERM to %s (%s)", n.Name, n.Host.CallerAddress)
	return n, n.Signal(syscall.SIGTERM)
}

// kill kills the process of the first entry for checkouts in zone b.
func (d *demo) kill(ctx context.Context, start time.Time, drained *fleetproc.Node) error {
	if err := waitUntil(ctx, start.Add(killOffset)); err != nil {
		return err
	}
	queried := d.Nodes[0]
	if queried == drained {
		queried = d.Nodes[1]
	}
	e, err := d.Entries(ctx, queried, pools[1].Name, zones[1], tenantToken)
	if err != nil {
		return err
	}
	n := d.NodeAt(e.Entries[0].Address)
	d.logf("SIGKILL to %s (%s)", n.Name, n.Host.CallerAddress)
	n.Kill()
	return nil
}

// checkGuarantees compares the request log with the requests that backend servers ran. It prints a table with a line for
// each guarantee and reports whether all held.
func (d *demo) checkGuarantees(ctx context.Context) (bool, error) {
	lines, err := readLines(d.path("requests.jsonl"))
	if err != nil {
		return false, err
	}
	runs, err := d.Runs(ctx, allBackends())
	if err != nil {
		return false, err
	}
	held := true
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "promise\trequests checked\tbroken\tverdict")
	for _, p := range fleetproc.CheckGuarantees(lines, runs, d.drainedAddresses) {
		verdict := "held"
		switch {
		case len(p.Violations) > 0:
			verdict = "BROKEN, first: " + p.Violations[0]
		case p.Checked == 0:
			verdict = "NOT TESTED"
		}
		held = held && verdict == "held"
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%s\n", p.Name, p.Checked, len(p.Violations), verdict)
	}
	if err := t.Flush(); err != nil {
		return false, eris.Wrap(err, "print table")
	}
	d.logf("report with plots: %s", d.path("report.html"))
	return held, nil
}

func (d *demo) path(name string) string { return filepath.Join(d.Directory, name) }

func allBackends() []string {
	var all []string
	for _, p := range pools {
		all = append(all, p.addresses()...)
	}
	return all
}

func waitUntil(ctx context.Context, deadline time.Time) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(context.Cause(ctx), "wait for the next step")
	}
}

// readLines reads a request log.
func readLines(path string) ([]loadcmd.RequestLine, error) {
	file, err := os.Open(path) //nolint:gosec // a file of this run
	if err != nil {
		return nil, eris.Wrap(err, "open request log")
	}
	defer func() { _ = file.Close() }()
	var lines []loadcmd.RequestLine
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var l loadcmd.RequestLine
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return nil, eris.Wrap(err, "decode request log")
		}
		lines = append(lines, l)
	}
	return lines, eris.Wrap(scanner.Err(), "read request log")
}

func printFile(path string) error {
	contents, err := os.ReadFile(path) //nolint:gosec // a file of this run
	if err != nil {
		return eris.Wrap(err, "read report")
	}
	_, err = os.Stdout.Write(contents)
	return eris.Wrap(err, "print report")
}
