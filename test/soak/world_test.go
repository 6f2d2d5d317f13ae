// Package soak runs real nodes as processes on loopback under random faults, and checks the promises of the fleet from
// what callers and backend servers see. Faults come from outside: signals to the processes, relays between them and the
// store or the backend servers, and stand-ins that misbehave.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/standin/relay"
	"egretline.example/egretline/platform/standin"
	"egretline.example/egretline/test/fleetproc"
)

const (
	desk = "desk" // requests run at most once
	view = "view" // requests may be repeated
	// grace is the time from SIGTERM until a node is killed.
	grace = 6 * time.Second
	// heartbeat is the time between two entries of a backend server.
	heartbeat = time.Second
)

// world is a fleet of nodes with their platform.
type world struct {
	t       *testing.T
	dir     string
	program string
	rand    *rand.Rand
	store   *standin.Store
	journal *standin.Journal
	calls   calls

	mu       sync.Mutex
	nodes    []*node
	backends []*backend
	version  int
}

// node is a node and the relay between it and the store.
type node struct {
	id        string
	front     string
	directory string
	settings  string
	store     *relay.Relay
	process   *fleetproc.Process
	// lives are the times at which the process was started, asked to stop and gone.
	lives []life
}

// life is one run of a node's process.
type life struct {
	started, termed, ended time.Time
	// killed says that the process was killed or paused, so that its callers may lose requests.
	killed bool
}

// backend is a backend server and the relay in front of it.
type backend struct {
	*standin.Backend
	relay *relay.Relay
	stop  context.CancelFunc
	// left is when the store accepted that the server is leaving; zero if it is not.
	left time.Time
}

// newWorld starts the platform and the nodes and waits until callers are served.
func newWorld(ctx context.Context, t *testing.T, program string, seed uint64, nodes, servers int) *world {
	t.Helper()
	w := &world{
		t: t, dir: t.TempDir(), program: program, rand: rand.New(rand.NewPCG(seed, 1)),
		store: standin.NewStore(), journal: &standin.Journal{},
	}
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	l := listen(t)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	w.configure()
	for k := range servers {
		w.addBackend(ctx, fmt.Sprintf("i-%d", k), []string{desk, view}[k%2])
	}
	addresses := stableAddresses(t, nodes*5)
	for k := range nodes {
		w.addNode(ctx, k, l.Addr().String(), addresses[5*k:5*k+5], addresses[1])
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	t.Cleanup(func() {
		for _, n := range w.nodes {
			n.process.Kill()
		}
	})
	return w
}

// Ports of nodes lie below those that the kernel gives to outgoing connections (32768 and up). Seed 202 failed once because
// such a connection held the port of a node while the node was restarted.
const (
	lowestPort  = 15_000
	highestPort = 30_000
)

// stableAddresses returns loopback addresses that nothing listens on and that no outgoing connection takes.
func stableAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for len(addresses) < n {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(highestPort-lowestPort))
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", address)
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, address)
	}
	return addresses
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return l
}

// relayTo serves a relay to the target and returns it with its address.
func (w *world) relayTo(ctx context.Context, target string) (*relay.Relay, string) {
	r := relay.New(target)
	l := listen(w.t)
	go func() { _ = r.Serve(ctx, l) }()
	return r, l.Addr().String()
}

func (w *world) addNode(ctx context.Context, k int, store string, a []string, seed string) {
	n := &node{id: fmt.Sprintf("n%d", k), front: a[0], directory: a[2], settings: filepath.Join(w.dir, fmt.Sprintf("n%d.toml", k))}
	var through string
	n.store, through = w.relayTo(ctx, store)
	settings := fmt.Sprintf(`host-id = %q
region = "r"
availability-zone = "z%d"
caller-address = %q
peer-address = %q
directory-address = %q
readiness-address = %q
metrics-address = %q
log-address = %q
seeds = [%q]
cpu-share = 0.32
cores = 1
bandwidth-mbps = 1000.0
memory-mb = 284
entry-ttl = "1s"
grace = %q
retry-ratio = 0.2
retry-burst = 62
`, n.id, k%2, a[0], a[1], a[2], a[3], a[4], through, seed, grace)
	const mode = 0o600
	is.New(w.t).NoErr(os.WriteFile(n.settings, []byte(settings), mode))
	w.nodes = append(w.nodes, n)
}

func (w *world) start(n *node) {
	w.mu.Lock()
	name := fmt.Sprintf("%s-%d", n.id, len(n.lives))
	w.mu.Unlock()
	p, err := fleetproc.StartWith(w.dir, name, []string{standin.SettingsPathVariable + "=" + n.settings}, w.program)
	is.New(w.t).NoErr(err)
	w.mu.Lock()
	defer w.mu.Unlock()
	n.process = p
	n.lives = append(n.lives, life{started: time.Now()})
}

// addBackend starts a backend server that enters itself in the store until it is stopped.
func (w *world) addBackend(ctx context.Context, id, service string) {
	w.mu.Lock()
	work := time.Duration(20+w.rand.IntN(60)) * time.Millisecond
	w.mu.Unlock()
	b, err := standin.NewBackend(id, service, "z0", work, w.journal)
	is.New(w.t).NoErr(err)
	r, through := w.relayTo(ctx, b.Address)
	b.Address = through
	ctx, stop := context.WithCancel(ctx)
	entered := &backend{Backend: b, relay: r, stop: stop}
	w.mu.Lock()
	w.backends = append(w.backends, entered)
	w.mu.Unlock()
	w.store.Put(standin.TopicServers, id, b.Registration(false, 0))
	go w.beat(ctx, entered)
}

func (w *world) beat(ctx context.Context, b *backend) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for seq := 1; ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.store.Put(standin.TopicServers, b.ID, b.Registration(false, seq))
		}
	}
}

// drain has a backend server announce that it is leaving.
func (w *world) drain(b *backend) {
	b.stop()
	w.store.Put(standin.TopicServers, b.ID, b.Registration(true, 0))
	w.mu.Lock()
	defer w.mu.Unlock()
	b.left = time.Now()
}

// configure publishes the next version of the configuration, which adds a route.
func (w *world) configure() {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	routes := []standin.Route{
		{Name: "book", Prefix: "/book/", Kind: "unsafe", Service: desk, Priority: 0},
		{Name: "view", Prefix: "/view/", Kind: "safe", Service: view, Priority: 1},
		{Name: "bulk", Prefix: "/bulk/", Kind: "download", Service: view, Priority: 2},
	}
	for v := 2; v <= version; v++ {
		routes = append(routes, standin.Route{
			Name: fmt.Sprint("v", v), Prefix: fmt.Sprintf("/v%d/", v), Kind: "safe", Service: view, Priority: 1,
		})
	}
	value, err := standin.Configuration(version, callerHost, []string{desk, view}, routes)
	is.New(w.t).NoErr(err)
	w.store.Put(standin.TopicConfig, standin.KeyConfig, value)
}

// live returns a node whose process runs and was not asked to stop, or nil.
func (w *world) live() *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*node
	for _, n := range w.nodes {
		if l := n.lives[len(n.lives)-1]; l.termed.IsZero() && l.ended.IsZero() {
			list = append(list, n)
		}
	}
	if len(list) < 2 {
		return nil // the last node stays
	}
	return list[w.rand.IntN(len(list))]
}

// note changes the record of the node's current process.
func (w *world) note(n *node, change func(l *life)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&n.lives[len(n.lives)-1])
}

// processOf returns the node's current process, which another series may have started.
func (w *world) processOf(n *node) *fleetproc.Process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return n.process
}

// signal sends a signal to the node's process.
func (w *world) signal(n *node, s syscall.Signal) {
	if err := w.processOf(n).Signal(s); err != nil {
		w.t.Logf("signal to %s: %v", n.id, err)
	}
}
