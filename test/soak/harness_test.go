// Package soak runs node processes on loopback under random faults and checks the guarantees of the fleet against the
// records of callers and backend servers. Faults are injected from outside the nodes: by signals, by relays in front of
// the store and the backend servers, and by faulty stand-ins.
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
	deskService = "desk" // requests are executed at most once
	viewService = "view" // requests are idempotent
	// gracePeriod is the time from SIGTERM until a node that still runs is killed.
	gracePeriod = 6 * time.Second
	// heartbeatInterval is the time between two writes of a backend server's registration.
	heartbeatInterval = time.Second
	// zones is the number of availability zones, over which nodes and backend servers are spread.
	zones = 2
)

// harness is a fleet of nodes with its platform stand-ins and backend servers. mu guards rng, backends, configVersion, and
// the fields process, runs and leftAt of nodes and backend servers. nodes does not change after newHarness.
type harness struct {
	t           *testing.T
	dir         string
	programPath string
	rng         *rand.Rand
	store       *standin.Store
	journal     *standin.Journal
	calls       callRecorder
	// zonePreference is the setting of all nodes. It is on for odd seeds.
	zonePreference bool

	mu            sync.Mutex
	nodes         []*node
	backends      []*backend
	configVersion int
}

// node is one node, which reaches the store through a relay.
type node struct {
	id               string
	callerAddress    string
	directoryAddress string
	settingsPath     string
	storeRelay       *relay.Relay
	process          *fleetproc.Process
	// runs has an entry for each process of the node; the last one is that of process.
	runs []processRun
}

// processRun records when one process of a node started, got SIGTERM and ended. A zero time means not yet.
type processRun struct {
	startedAt, sigtermAt, endedAt time.Time
	// disrupted is true if the process was killed or paused, in which case its callers may lose requests.
	disrupted bool
}

// backend is a backend server, which nodes reach through a relay.
type backend struct {
	*standin.Backend
	relay          *relay.Relay
	stopHeartbeats context.CancelFunc
	// leftAt is when the store accepted the leaving registration, or zero if the server is not leaving.
	leftAt time.Time
}

// newHarness starts the platform stand-ins, the backend servers and the nodes. It does not wait until the nodes are ready.
func newHarness(ctx context.Context, t *testing.T, programPath string, seed uint64, nodes, servers int) *harness {
	t.Helper()
	h := &harness{
		t: t, dir: t.TempDir(), programPath: programPath, rng: rand.New(rand.NewPCG(seed, 1)),
		store: standin.NewStore(), journal: &standin.Journal{}, zonePreference: seed%2 == 1,
	}
	server := &http.Server{Handler: h.store, ReadHeaderTimeout: time.Minute}
	l := listen(t)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	h.publishConfig()
	for k := range servers {
		h.addBackend(ctx, fmt.Sprintf("i-%d", k), []string{deskService, viewService}[k%2])
	}
	addresses, err := fleetproc.FreeAddresses(nodes * 5)
	is.New(t).NoErr(err)
	for k := range nodes {
		h.addNode(ctx, k, l.Addr().String(), addresses[5*k:5*k+5], addresses[1])
	}
	for _, n := range h.nodes {
		h.startNode(n)
	}
	t.Cleanup(func() {
		for _, n := range h.nodes {
			n.process.Kill()
		}
	})
	return h
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return l
}

// startRelay starts a relay to the target and returns it with its listen address.
func (h *harness) startRelay(ctx context.Context, target string) (*relay.Relay, string) {
	r := relay.New(target)
	l := listen(h.t)
	go func() { _ = r.Serve(ctx, l) }()
	return r, l.Addr().String()
}

func (h *harness) addNode(ctx context.Context, k int, storeAddress string, addresses []string, seed string) {
	n := &node{id: fmt.Sprintf("n%d", k), callerAddress: addresses[0], directoryAddress: addresses[2],
		settingsPath: filepath.Join(h.dir, fmt.Sprintf("n%d.toml", k))}
	var relayAddress string
	n.storeRelay, relayAddress = h.startRelay(ctx, storeAddress)
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
memory-mb = %d
entry-ttl = "1s"
grace = %q
retry-ratio = 0.2
retry-burst = 62
quota-over = "%g"
quota-slack = "%d"
zone-preference = %t
`, n.id, k%zones, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], relayAddress, seed, nodeMemoryMB, gracePeriod,
		quotaOver, quotaSlack, h.zonePreference)
	const fileMode = 0o600
	is.New(h.t).NoErr(os.WriteFile(n.settingsPath, []byte(settings), fileMode))
	h.nodes = append(h.nodes, n)
}

func (h *harness) startNode(n *node) {
	h.mu.Lock()
	name := fmt.Sprintf("%s-%d", n.id, len(n.runs))
	h.mu.Unlock()
	p, err := fleetproc.StartWithEnv(h.dir, name, []string{standin.SettingsPathVariable + "=" + n.settingsPath}, h.programPath)
	is.New(h.t).NoErr(err)
	h.mu.Lock()
	defer h.mu.Unlock()
	n.process = p
	n.runs = append(n.runs, processRun{startedAt: time.Now()})
}

// addBackend starts a backend server and registers it in the store, with heartbeats until it announces that it is leaving.
func (h *harness) addBackend(ctx context.Context, id, service string) {
	h.mu.Lock()
	work := time.Duration(20+h.rng.IntN(60)) * time.Millisecond
	// Pairs of servers, one of each service, alternate between the zones.
	zone := fmt.Sprintf("z%d", len(h.backends)/2%zones)
	h.mu.Unlock()
	b, err := standin.NewBackend(id, service, zone, work, h.journal)
	is.New(h.t).NoErr(err)
	r, relayAddress := h.startRelay(ctx, b.Address)
	b.Address = relayAddress
	ctx, stopHeartbeats := context.WithCancel(ctx)
	added := &backend{Backend: b, relay: r, stopHeartbeats: stopHeartbeats}
	h.mu.Lock()
	h.backends = append(h.backends, added)
	h.mu.Unlock()
	h.store.Put(standin.TopicServers, id, b.Registration(false, 0))
	go h.sendHeartbeats(ctx, added)
}

func (h *harness) sendHeartbeats(ctx context.Context, b *backend) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for seq := 1; ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.store.Put(standin.TopicServers, b.ID, b.Registration(false, seq))
		}
	}
}

// announceLeaving ends the heartbeats of a backend server and registers it as leaving.
func (h *harness) announceLeaving(b *backend) {
	b.stopHeartbeats()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.Put(standin.TopicServers, b.ID, b.Registration(true, 0))
	b.leftAt = time.Now()
}

// publishConfig publishes the next version of the configuration, which adds a route.
func (h *harness) publishConfig() {
	h.mu.Lock()
	h.configVersion++
	version := h.configVersion
	h.mu.Unlock()
	routes := []standin.Route{
		{Name: "book", Prefix: "/book/", Kind: "unsafe", Service: deskService, Priority: 0},
		{Name: "slow", Prefix: "/slow/", Kind: "unsafe", Service: deskService, Priority: 0, Timeout: burstTimeout},
		{Name: "view", Prefix: "/view/", Kind: "safe", Service: viewService, Priority: 1},
		{Name: "bulk", Prefix: "/bulk/", Kind: "download", Service: viewService, Priority: 2},
	}
	for v := 2; v <= version; v++ {
		routes = append(routes, standin.Route{
			Name: fmt.Sprint("v", v), Prefix: fmt.Sprintf("/v%d/", v), Kind: "safe", Service: viewService, Priority: 1,
		})
	}
	value, err := standin.Configuration(version, virtualHost, []string{deskService, viewService},
		[]standin.Customer{shopCustomer, floodCustomer}, routes)
	is.New(h.t).NoErr(err)
	h.store.Put(standin.TopicConfig, standin.KeyConfig, value)
}

// pickNode returns a random node whose process runs and got no SIGTERM, or nil if that would leave no other such node.
func (h *harness) pickNode() *node {
	h.mu.Lock()
	defer h.mu.Unlock()
	var running []*node
	for _, n := range h.nodes {
		if r := n.runs[len(n.runs)-1]; r.sigtermAt.IsZero() && r.endedAt.IsZero() {
			running = append(running, n)
		}
	}
	if len(running) < 2 {
		return nil
	}
	return running[h.rng.IntN(len(running))]
}

// updateRun changes the record of the node's current process.
func (h *harness) updateRun(n *node, change func(r *processRun)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&n.runs[len(n.runs)-1])
}

// currentProcess returns the node's current process, which another sequence of faults may have replaced.
func (h *harness) currentProcess(n *node) *fleetproc.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return n.process
}

// signal sends a signal to the node's current process.
func (h *harness) signal(n *node, s syscall.Signal) {
	if err := h.currentProcess(n).Signal(s); err != nil {
		h.t.Logf("cannot signal node %s: %v", n.id, err)
	}
}
