package process

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/pkg/loadcmd"
	"egretline.example/egretline/pkg/standin/backendservice"
	"egretline.example/egretline/pkg/standin/relay"
	"egretline.example/egretline/service/entry"
	"egretline.example/egretline/test/fleetproc"
)

const (
	tenantToken  = "shop-token"
	serviceName  = "rental-desk"
	lookupFlow   = 0 // index into the flows of newTraffic
	checkoutFlow = 1
	configFile   = "test.toml"
)

var programDirectory string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "egretline-process-")
	if err == nil {
		err = fleetproc.Build(context.Background(), "../..", directory)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programDirectory = directory
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// fixture is a fleet of nodes with four backend servers and the traffic that was sent to the nodes.
type fixture struct {
	*fleetproc.Fleet
	// ctx ends cleanupTimeout before the deadline of the test binary, which leaves time to end the processes.
	ctx context.Context
	// backendAddresses are the listen addresses of the backend servers.
	backendAddresses []string
	traffic          []*traffic
}

// cleanupTimeout is long enough to end all processes of a test.
const cleanupTimeout = 5 * time.Second

// newFixture starts the stand-ins, backend servers and nodes, activates the configuration and waits until every node lists
// all nodes as entries. reachableAt returns the addresses of the backend servers in the configuration. If it is nil, the
// configuration contains their listen addresses.
func newFixture(t *testing.T, nodes int, reachableAt func(f *fixture) []string) *fixture {
	t.Helper()
	is := is.New(t)
	ctx := t.Context()
	if deadline, limited := t.Deadline(); limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-cleanupTimeout))
		t.Cleanup(cancel)
	}
	fleet, err := fleetproc.New(ctx, programDirectory, t.TempDir())
	t.Cleanup(fleet.Close)
	is.NoErr(err)
	f := &fixture{Fleet: fleet, ctx: ctx}
	f.backendAddresses, err = fleetproc.FreeAddresses(4)
	is.NoErr(err)
	is.NoErr(f.StartBackends(f.ctx, "backends", f.backendAddresses, "--path", "/=5ms:4096"))
	addresses := f.backendAddresses
	if reachableAt != nil {
		addresses = reachableAt(f)
	}
	is.NoErr(f.AppendConfig(f.ctx, configFile, fleetConfig(addresses)))
	for i := range nodes {
		_, err := f.StartNode(f.ctx, fmt.Sprintf("n%d", i), fmt.Sprintf("zone-%d", i%3))
		is.NoErr(err)
	}
	is.NoErr(f.AwaitEntries(f.ctx, serviceName, tenantToken, nodes))
	return f
}

// fleetConfig returns a configuration file with one service at the addresses, a route for each flow and one tenant.
func fleetConfig(addresses []string) []byte {
	tokenHash := sha256.Sum256([]byte(tenantToken))
	var b strings.Builder
	b.WriteString("[[rank]]\nname = \"bookings\"\nshare = 0.6\n[[rank]]\nname = \"lookups\"\nshare = 0.4\n")
	b.WriteString("[service.rental-desk]\nregion = \"kz-central\"\nfloor = 1\ngroup-size = 4\n")
	for i, a := range addresses {
		fmt.Fprintf(&b, "[[service.rental-desk.backend-server]]\naddress = %q\navailability-zone = \"zone-%d\"\n"+
			"slots = 6\nconnections = 400\n", a, i%3)
	}
	b.WriteString("[[route]]\nname = \"loans\"\nservice = \"rental-desk\"\nmethod = \"GET\"\npath-prefix = \"/loans\"\n" +
		"rank = \"lookups\"\nidempotent = true\ntimeout = \"2s\"\n")
	b.WriteString("[[route]]\nname = \"checkouts\"\nservice = \"rental-desk\"\nmethod = \"POST\"\npath-prefix = \"/checkouts\"\n" +
		"rank = \"bookings\"\ntimeout = \"2s\"\n")
	fmt.Fprintf(&b, "[tenant.shop]\ntoken-sha256 = %q\nservices = [\"rental-desk\"]\n", hex.EncodeToString(tokenHash[:]))
	return []byte(b.String())
}

// traffic sends checkouts and lookups to the nodes and records their outcomes.
type traffic struct {
	fixture       *fixture
	experiment    load.Experiment
	sender        entry.Sender
	stopRequested chan struct{}
	stopOnce      sync.Once
	workers       sync.WaitGroup

	mu         sync.Mutex
	lastNumber int
	lines      []loadcmd.RequestLine
}

// startTraffic sends checkouts and lookups alternately from concurrent workers until stop is called.
func (f *fixture) startTraffic(t *testing.T, zone string, workers int) *traffic {
	t.Helper()
	tr := f.newTraffic(zone)
	for range workers {
		tr.workers.Go(func() {
			for {
				select {
				case <-tr.stopRequested:
					return
				default:
					tr.sendRequest(context.Background(), tr.nextNumber()%2)
				}
			}
		})
	}
	t.Cleanup(tr.stop)
	return tr
}

// newTraffic returns traffic from the availability zone that sends only when sendRequest is called.
func (f *fixture) newTraffic(zone string) *traffic {
	var nodes []string
	for _, n := range f.Nodes {
		nodes = append(nodes, n.Host.CallerAddress)
	}
	tr := &traffic{
		fixture:       f,
		sender:        entry.Sender{Client: entry.New(nodes)},
		stopRequested: make(chan struct{}),
		experiment: load.Experiment{
			CheckEcho:         true,
			AvailabilityZones: []string{zone},
			Tenants:           []load.Tenant{{Name: "shop", Token: tenantToken, Weight: 1}},
			Flows: []load.Flow{
				{Name: "loans", Service: serviceName, Method: http.MethodGet, Path: "/loans", Idempotent: true, Timeout: time.Second},
				{Name: "checkouts", Service: serviceName, Method: http.MethodPost, Path: "/checkouts", Timeout: time.Second},
			},
		},
	}
	f.traffic = append(f.traffic, tr)
	return tr
}

func (tr *traffic) nextNumber() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.lastNumber++
	return tr.lastNumber
}

func (tr *traffic) sendRequest(ctx context.Context, flow int) loadcmd.RequestLine {
	zone := tr.experiment.AvailabilityZones[0]
	request := load.Request{Number: tr.nextNumber(), FlowIndex: flow, AvailabilityZone: zone}
	nonce := zone + "-" + strconv.Itoa(request.Number)
	r := tr.sender.Send(ctx, load.Job{Experiment: &tr.experiment, Request: request, Nonce: nonce})
	line := loadcmd.RequestLine{
		Nonce: nonce, Flow: tr.experiment.Flows[flow].Name, Idempotent: flow == lookupFlow, Class: r.Class,
		Status: r.Reply.Status, Node: r.Node, IdempotencyKey: r.IdempotencyKey, Reason: r.Reply.Reason, Detail: r.Detail,
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.lines = append(tr.lines, line)
	return line
}

func (tr *traffic) stop() {
	tr.stopOnce.Do(func() { close(tr.stopRequested) })
	tr.workers.Wait()
}

func (tr *traffic) countLines(matches func(loadcmd.RequestLine) bool) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	n := 0
	for _, l := range tr.lines {
		if matches(l) {
			n++
		}
	}
	return n
}

// awaitAnswers waits until count more requests were answered by nodes whose address the filter accepts.
func (tr *traffic) awaitAnswers(t *testing.T, count int, accepts func(address string) bool) {
	t.Helper()
	answered := func(l loadcmd.RequestLine) bool { return l.Class == load.Answered && accepts(l.Node) }
	want := tr.countLines(answered) + count
	is.New(t).NoErr(fleetproc.Await(tr.fixture.ctx, "requests are answered", func() bool {
		return tr.countLines(answered) >= want
	}))
}

func anyNode(string) bool { return true }

func onlyNode(n *fleetproc.Node) func(string) bool {
	return func(address string) bool { return address == n.Host.CallerAddress }
}

func exceptNode(n *fleetproc.Node) func(string) bool {
	return func(address string) bool { return address != n.Host.CallerAddress }
}

// assertGuarantees stops all traffic and checks the outcomes of callers against the runs that backend servers recorded.
func (f *fixture) assertGuarantees(t *testing.T, drained ...*fleetproc.Node) {
	t.Helper()
	is := is.New(t)
	var lines []loadcmd.RequestLine
	for _, tr := range f.traffic {
		tr.stop()
		lines = append(lines, tr.lines...)
	}
	runs, err := f.Runs(f.ctx, f.backendAddresses)
	is.NoErr(err)
	var addresses []string
	for _, n := range drained {
		addresses = append(addresses, n.Host.CallerAddress)
	}
	for _, g := range fleetproc.CheckGuarantees(lines, runs, addresses) {
		if len(g.Violations) > 0 {
			t.Errorf("%s: violated by %d of %d requests, first %s", g.Name, len(g.Violations), g.Checked, g.Violations[0])
		}
	}
}

// assertRuns checks how often backend servers ran the request with the nonce.
func assertRuns(t *testing.T, f *fixture, nonce string, want int) {
	t.Helper()
	runs, err := f.Runs(f.ctx, f.backendAddresses)
	is := is.New(t)
	is.NoErr(err)
	n := 0
	for _, r := range runs {
		if strings.HasSuffix(r.URI, "nonce="+nonce) {
			n++
		}
	}
	is.Equal(n, want)
}

func assertClass(t *testing.T, l loadcmd.RequestLine, want load.Class) {
	t.Helper()
	is.New(t).Equal(l.Class, want)
}

var stallAllRequests = backendservice.Faults{StallFraction: 1}

func isTransportError(l loadcmd.RequestLine) bool { return l.Class == load.TransportError }

// startRelays starts a relay to each backend server and returns the relays' listen addresses and the URL of their control
// interface.
func startRelays(t *testing.T, f *fixture) (relayAddresses []string, controlURL string) {
	t.Helper()
	is := is.New(t)
	free, err := fleetproc.FreeAddresses(len(f.backendAddresses) + 1)
	is.NoErr(err)
	controlURL = "http://" + free[0]
	relayAddresses = free[1:]
	args := []string{"relay", "--control", free[0]}
	for i, b := range f.backendAddresses {
		args = append(args, "--link", strconv.Itoa(i)+"="+relayAddresses[i]+">"+b)
	}
	_, err = f.StartStandin("relay", args...)
	is.NoErr(err)
	is.NoErr(f.AwaitURL(f.ctx, controlURL+"/relays"))
	return relayAddresses, controlURL
}

func setRelayFaults(t *testing.T, f *fixture, controlURL string, faults relay.Faults) {
	t.Helper()
	for i := range f.backendAddresses {
		is.New(t).NoErr(f.SetFaults(f.ctx, controlURL+"/relays/"+strconv.Itoa(i), faults))
	}
}

// preferredNode returns the first entry for callers in the zone. It waits until that is none of the stopped nodes.
func (f *fixture) preferredNode(t *testing.T, zone string, stopped ...*fleetproc.Node) *fleetproc.Node {
	t.Helper()
	var preferred *fleetproc.Node
	running := f.Nodes[slices.IndexFunc(f.Nodes, func(n *fleetproc.Node) bool { return !slices.Contains(stopped, n) })]
	is.New(t).NoErr(fleetproc.Await(f.ctx, "the first entry is a running node", func() bool {
		response, err := f.Entries(f.ctx, running, serviceName, zone, tenantToken)
		if err != nil || len(response.Entries) == 0 {
			return false
		}
		preferred = f.NodeAt(response.Entries[0].Address)
		return !slices.Contains(stopped, preferred)
	}))
	return preferred
}

func (f *fixture) configRevisions(t *testing.T) []int64 {
	t.Helper()
	var revisions []int64
	for _, n := range f.Nodes {
		c, err := f.Config(f.ctx, n)
		is.New(t).NoErr(err)
		revisions = append(revisions, c.Revision)
	}
	return revisions
}

func (f *fixture) lowestConfigRevision(t *testing.T) int64 {
	t.Helper()
	return slices.Min(f.configRevisions(t))
}

// assertSameConfigRevision checks that all nodes have the same revision of the configuration in force and returns it.
func (f *fixture) assertSameConfigRevision(t *testing.T) int64 {
	t.Helper()
	revisions := f.configRevisions(t)
	is.New(t).Equal(slices.Min(revisions), slices.Max(revisions))
	return revisions[0]
}

// assertApply applies the configuration, made distinct by a comment, through the first node and checks the exit code of
// the command.
func (f *fixture) assertApply(t *testing.T, comment string, exitCode int) {
	t.Helper()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), configFile)
	contents := append([]byte("# "+comment+"\n"), fleetConfig(f.backendAddresses)...)
	is.NoErr(os.WriteFile(path, contents, 0o600))
	p, err := f.StartProgram("apply-"+comment, "egretline", "apply", "--file", path, "--node", f.Nodes[0].OperatorURL)
	is.NoErr(err)
	err = p.Wait(f.ctx)
	var exitError fleetproc.ExitError
	if errors.As(err, &exitError) {
		is.Equal(exitError.ExitCode, exitCode)
		return
	}
	is.NoErr(err)
	is.Equal(exitCode, 0)
}
