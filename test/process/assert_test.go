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
	token      = "shop-token"
	service    = "rental-desk"
	lookup     = 0
	checkout   = 1
	configFile = "test.toml"
)

var programs string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "egretline-process-")
	if err == nil {
		err = fleetproc.Build(context.Background(), "../..", directory)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programs = directory
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// fixture is a fleet in front of four backend servers, with the addresses under which nodes reach them.
type fixture struct {
	*fleetproc.Fleet
	// ctx ends shortly before the timeout of the test binary, so that the processes are ended before it exits.
	ctx      context.Context
	backends []string
	traffic  []*traffic
}

// cleanupTime is enough to end all processes of a test.
const cleanupTime = 5 * time.Second

// newFleet starts the stand-ins and the nodes, puts the configuration in force and waits until all nodes know each
// other. reach maps the backend servers to the addresses in the configuration; nil means their own.
func newFleet(t *testing.T, nodes int, reach func(f *fixture) []string) *fixture {
	t.Helper()
	is := is.New(t)
	ctx := t.Context()
	if deadline, limited := t.Deadline(); limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-cleanupTime))
		t.Cleanup(cancel)
	}
	fleet, err := fleetproc.New(ctx, programs, t.TempDir())
	t.Cleanup(fleet.Close)
	is.NoErr(err)
	f := &fixture{Fleet: fleet, ctx: ctx}
	f.backends, err = fleetproc.FreeAddresses(4)
	is.NoErr(err)
	is.NoErr(f.Backends(f.ctx, "backends", f.backends, "--path", "/=5ms:4096"))
	reached := f.backends
	if reach != nil {
		reached = reach(f)
	}
	is.NoErr(f.Append(f.ctx, configFile, configuration(reached)))
	for i := range nodes {
		_, err := f.StartNode(f.ctx, fmt.Sprintf("n%d", i), fmt.Sprintf("zone-%d", i%3))
		is.NoErr(err)
	}
	is.NoErr(f.AwaitEntries(f.ctx, service, token, nodes))
	return f
}

func configuration(addresses []string) []byte {
	sum := sha256.Sum256([]byte(token))
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
	fmt.Fprintf(&b, "[tenant.shop]\ntoken-sha256 = %q\nservices = [\"rental-desk\"]\n", hex.EncodeToString(sum[:]))
	return []byte(b.String())
}

// traffic sends checkouts and lookups in turn on some workers until it is stopped.
type traffic struct {
	fixture    *fixture
	experiment load.Experiment
	sender     entry.Sender
	stop       chan struct{}
	stopOnce   sync.Once
	workers    sync.WaitGroup

	mu    sync.Mutex
	next  int
	lines []loadcmd.RequestLine
}

func (f *fixture) startTraffic(t *testing.T, zone string, workers int) *traffic {
	t.Helper()
	tr := f.newTraffic(zone)
	for range workers {
		tr.workers.Go(func() {
			for {
				select {
				case <-tr.stop:
					return
				default:
					tr.send(context.Background(), tr.number()%2)
				}
			}
		})
	}
	t.Cleanup(tr.end)
	return tr
}

func (f *fixture) newTraffic(zone string) *traffic {
	var nodes []string
	for _, n := range f.Nodes {
		nodes = append(nodes, n.Host.CallerAddress)
	}
	tr := &traffic{
		fixture: f,
		sender:  entry.Sender{Client: entry.New(nodes)},
		stop:    make(chan struct{}),
		experiment: load.Experiment{
			CheckEcho:         true,
			AvailabilityZones: []string{zone},
			Tenants:           []load.Tenant{{Name: "shop", Token: token, Weight: 1}},
			Flows: []load.Flow{
				{Name: "loans", Service: service, Method: http.MethodGet, Path: "/loans", Idempotent: true, Timeout: time.Second},
				{Name: "checkouts", Service: service, Method: http.MethodPost, Path: "/checkouts", Timeout: time.Second},
			},
		},
	}
	f.traffic = append(f.traffic, tr)
	return tr
}

func (tr *traffic) number() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.next++
	return tr.next
}

func (tr *traffic) send(ctx context.Context, flow int) loadcmd.RequestLine {
	zone := tr.experiment.AvailabilityZones[0]
	request := load.Request{Number: tr.number(), FlowIndex: flow, AvailabilityZone: zone}
	nonce := zone + "-" + strconv.Itoa(request.Number)
	r := tr.sender.Send(ctx, load.Job{Experiment: &tr.experiment, Request: request, Nonce: nonce})
	line := loadcmd.RequestLine{
		Nonce: nonce, Flow: tr.experiment.Flows[flow].Name, Idempotent: flow == lookup, Class: r.Class,
		Status: r.Reply.Status, Node: r.Node, IdempotencyKey: r.IdempotencyKey, Reason: r.Reply.Reason, Detail: r.Detail,
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.lines = append(tr.lines, line)
	return line
}

func (tr *traffic) end() {
	tr.stopOnce.Do(func() { close(tr.stop) })
	tr.workers.Wait()
}

func (tr *traffic) count(matches func(loadcmd.RequestLine) bool) int {
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

// awaitAnswers waits until that many more requests were answered by nodes that the filter accepts.
func (tr *traffic) awaitAnswers(t *testing.T, more int, node func(address string) bool) {
	t.Helper()
	answered := func(l loadcmd.RequestLine) bool { return l.Class == load.Answered && node(l.Node) }
	want := tr.count(answered) + more
	is.New(t).NoErr(fleetproc.Await(tr.fixture.ctx, "requests are answered", func() bool { return tr.count(answered) >= want }))
}

func anyNode(string) bool { return true }

func only(n *fleetproc.Node) func(string) bool {
	return func(address string) bool { return address == n.Host.CallerAddress }
}

func except(n *fleetproc.Node) func(string) bool {
	return func(address string) bool { return address != n.Host.CallerAddress }
}

// assertPromises stops all traffic and compares what callers saw with what backend servers ran.
func (f *fixture) assertPromises(t *testing.T, drained ...*fleetproc.Node) {
	t.Helper()
	is := is.New(t)
	var lines []loadcmd.RequestLine
	for _, tr := range f.traffic {
		tr.end()
		lines = append(lines, tr.lines...)
	}
	runs, err := f.Runs(f.ctx, f.backends)
	is.NoErr(err)
	var addresses []string
	for _, n := range drained {
		addresses = append(addresses, n.Host.CallerAddress)
	}
	for _, p := range fleetproc.Check(lines, runs, addresses) {
		if len(p.Broken) > 0 {
			t.Errorf("%s: %d of %d broke it, first %s", p.Name, len(p.Broken), p.Checked, p.Broken[0])
		}
	}
}

func assertRuns(t *testing.T, f *fixture, nonce string, want int) {
	t.Helper()
	runs, err := f.Runs(f.ctx, f.backends)
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

func assertLine(t *testing.T, l loadcmd.RequestLine, want load.Class) {
	t.Helper()
	is.New(t).Equal(l.Class, want)
}

var stalled = backendservice.Faults{StallFraction: 1}

func isBroken(l loadcmd.RequestLine) bool { return l.Class == load.TransportError }

// startRelays puts a relay in front of each backend server and returns the relays' addresses and their control address.
func startRelays(t *testing.T, f *fixture) (links []string, control string) {
	t.Helper()
	is := is.New(t)
	free, err := fleetproc.FreeAddresses(len(f.backends) + 1)
	is.NoErr(err)
	control = "http://" + free[0]
	links = free[1:]
	args := []string{"relay", "--control", free[0]}
	for i, b := range f.backends {
		args = append(args, "--link", strconv.Itoa(i)+"="+links[i]+">"+b)
	}
	_, err = f.Standin("relay", args...)
	is.NoErr(err)
	is.NoErr(f.AwaitGet(f.ctx, control+"/relays"))
	return links, control
}

func setRelays(t *testing.T, f *fixture, control string, faults relay.Faults) {
	t.Helper()
	for i := range f.backends {
		is.New(t).NoErr(f.SetFaults(f.ctx, control+"/relays/"+strconv.Itoa(i), faults))
	}
}

// first returns the node that callers in the zone use first, once it is none of those that were stopped.
func (f *fixture) first(t *testing.T, zone string, stopped ...*fleetproc.Node) *fleetproc.Node {
	t.Helper()
	var node *fleetproc.Node
	asked := f.Nodes[slices.IndexFunc(f.Nodes, func(n *fleetproc.Node) bool { return !slices.Contains(stopped, n) })]
	is.New(t).NoErr(fleetproc.Await(f.ctx, "the first entry is a running node", func() bool {
		e, err := f.Entries(f.ctx, asked, service, zone, token)
		if err != nil || len(e.Entries) == 0 {
			return false
		}
		node = f.NodeAt(e.Entries[0].Address)
		return !slices.Contains(stopped, node)
	}))
	return node
}

func (f *fixture) revisions(t *testing.T) []int64 {
	t.Helper()
	var list []int64
	for _, n := range f.Nodes {
		c, err := f.Config(f.ctx, n)
		is.New(t).NoErr(err)
		list = append(list, c.Revision)
	}
	return list
}

func (f *fixture) lowestRevision(t *testing.T) int64 {
	t.Helper()
	return slices.Min(f.revisions(t))
}

// assertSameRevision returns the revision that all nodes have in force.
func (f *fixture) assertSameRevision(t *testing.T) int64 {
	t.Helper()
	list := f.revisions(t)
	is.New(t).Equal(slices.Min(list), slices.Max(list))
	return list[0]
}

// assertApply applies the configuration with a comment through the first node and compares the exit code of the command.
func (f *fixture) assertApply(t *testing.T, comment string, code int) {
	t.Helper()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), configFile)
	contents := append([]byte("# "+comment+"\n"), configuration(f.backends)...)
	is.NoErr(os.WriteFile(path, contents, 0o600))
	p, err := f.Program("apply-"+comment, "egretline", "apply", "--file", path, "--node", f.Nodes[0].Operator)
	is.NoErr(err)
	err = p.Wait(f.ctx)
	var exit fleetproc.ExitError
	if errors.As(err, &exit) {
		is.Equal(exit.Code, code)
		return
	}
	is.NoErr(err)
	is.Equal(code, 0)
}
