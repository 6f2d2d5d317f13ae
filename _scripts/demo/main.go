// Command demo runs a fleet on loopback, injects faults under load, and checks the promises of the fleet. It exits 0
// only if every promise held.
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
	// limit bounds the whole demonstration.
	limit      = 60 * time.Second
	nodes      = 5
	groupSize  = 4
	token      = "shop-almaty-token" //nolint:gosec // the public token of examples/tulpar.toml
	configFile = "examples/tulpar.toml"
	experiment = "examples/load.toml"
)

// Times of the faults after the start of the load, which lasts 20 s.
const (
	stallAt = 3 * time.Second
	drainAt = 6 * time.Second
	killAt  = 12 * time.Second
)

// pools are the backend servers of examples/tulpar.toml.
var pools = []pool{
	{Name: "ledger-view", First: 9100, Count: 10, Profile: "/=20ms:2048"},
	{Name: "rental-desk", First: 9200, Count: 20, Profile: "/=40ms:512"},
	{Name: "survey-vault", First: 9300, Count: 6, Profile: "/=200ms:65536"},
}

var zones = []string{"kz-central-a", "kz-central-b", "kz-central-c"}

type pool struct {
	Name    string
	First   int
	Count   int
	Profile string
}

func (p pool) addresses() []string {
	var list []string
	for i := range p.Count {
		list = append(list, fmt.Sprintf("127.0.0.1:%d", p.First+i))
	}
	return list
}

// demo is one demonstration.
type demo struct {
	*fleetproc.Fleet
	started time.Time
	drained []string
}

func main() {
	os.Exit(exitCode())
}

func exitCode() int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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
	d.say("building; logs are in %s", directory)
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
	return d.verdict(ctx)
}

func (d *demo) say(format string, values ...any) {
	fmt.Printf("%5.1f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, values...))
}

// start starts backend servers and nodes, and puts the configuration in force.
func (d *demo) start(ctx context.Context) error {
	for _, p := range pools {
		if err := d.Backends(ctx, p.Name, p.addresses(), "--path", p.Profile); err != nil {
			return err
		}
	}
	for i := range nodes {
		if _, err := d.StartNode(ctx, fmt.Sprintf("node-%d", i+1), zones[i%len(zones)]); err != nil {
			return err
		}
	}
	for _, n := range d.Nodes {
		if err := d.AwaitGet(ctx, n.Operator+"/livez"); err != nil {
			return err
		}
	}
	d.say("%d nodes and %d backend servers are running; applying %s", nodes, len(allBackends()), configFile)
	apply, err := d.Program("apply", "egretline", "apply", "--file", configFile, "--node", d.Nodes[0].Operator)
	if err != nil {
		return err
	}
	if err := apply.Wait(ctx); err != nil {
		return err
	}
	for _, p := range pools {
		if err := d.AwaitEntries(ctx, p.Name, token, groupSize); err != nil {
			return err
		}
	}
	d.say("the configuration is in force at every node")
	return nil
}

// load sends the experiment, and injects the faults while it runs.
func (d *demo) load(ctx context.Context) error {
	args := []string{
		"load", "--requests", d.path("requests.jsonl"), "--report", d.path("report.json"), "--html", d.path("report.html"),
	}
	for _, n := range d.Nodes {
		args = append(args, "--node", n.Host.CallerAddress)
	}
	start := time.Now()
	load, err := d.Program("load", "egretline", append(args, experiment)...)
	if err != nil {
		return err
	}
	d.say("sending the load of %s", experiment)
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
	d.say("%s has ended with exit code 0", drained.Name)
	if err := load.Wait(ctx); err != nil {
		return err
	}
	return printFile(load.Log)
}

func (d *demo) stall(ctx context.Context, start time.Time) error {
	if err := until(ctx, start.Add(stallAt)); err != nil {
		return err
	}
	server := pools[1].addresses()[0]
	d.say("backend server %s of %s stalls; its health endpoint stays fine", server, pools[1].Name)
	return d.SetFaults(ctx, "http://"+server+"/faults", backendservice.Faults{StallFraction: 1})
}

// drain stops the node that callers of zone a use first for checkouts, so that it has requests in flight.
func (d *demo) drain(ctx context.Context, start time.Time) (*fleetproc.Node, error) {
	if err := until(ctx, start.Add(drainAt)); err != nil {
		return nil, err
	}
	e, err := d.Entries(ctx, d.Nodes[0], pools[1].Name, zones[0], token)
	if err != nil {
		return nil, err
	}
	n := d.NodeAt(e.Entries[0].Address)
	d.drained = append(d.drained, n.Host.CallerAddress)
	d.say("SIGTERM to %s (%s)", n.Name, n.Host.CallerAddress)
	return n, n.Signal(syscall.SIGTERM)
}

// kill kills the node that callers of zone b use first for checkouts.
func (d *demo) kill(ctx context.Context, start time.Time, drained *fleetproc.Node) error {
	if err := until(ctx, start.Add(killAt)); err != nil {
		return err
	}
	asked := d.Nodes[0]
	if asked == drained {
		asked = d.Nodes[1]
	}
	e, err := d.Entries(ctx, asked, pools[1].Name, zones[1], token)
	if err != nil {
		return err
	}
	n := d.NodeAt(e.Entries[0].Address)
	d.say("SIGKILL to %s (%s)", n.Name, n.Host.CallerAddress)
	n.Kill()
	return nil
}

// verdict prints a table of the promises and returns whether all held.
func (d *demo) verdict(ctx context.Context) (bool, error) {
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
	for _, p := range fleetproc.Check(lines, runs, d.drained) {
		verdict := "held"
		switch {
		case len(p.Broken) > 0:
			verdict = "BROKEN, first: " + p.Broken[0]
		case p.Checked == 0:
			verdict = "NOT TESTED"
		}
		held = held && verdict == "held"
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%s\n", p.Name, p.Checked, len(p.Broken), verdict)
	}
	if err := t.Flush(); err != nil {
		return false, eris.Wrap(err, "print table")
	}
	d.say("report with plots: %s", d.path("report.html"))
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

func until(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(context.Cause(ctx), "wait for the next step")
	}
}

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
