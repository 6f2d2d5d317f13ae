package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"egretline.example/egretline/platform/standin"
)

// hostName is the virtual host of all routes.
const hostName = "shop.example"

// readyTimeout bounds the start of a fleet.
const readyTimeout = 15 * time.Second

//go:embed names.json
var namesFile []byte

// names are the names of the platform that the package standin does not export.
var names struct {
	ExpectInstance string `json:"expect-instance"`
	NotExecuted    string `json:"not-executed"`
	Tenant         string `json:"tenant"`
	WarmupField    string `json:"warmup-field"`
	ReadyPath      string `json:"ready-path"`
}

// fleet is a small deployment: a stand-in of the store in this process, and nodes as separate processes.
type fleet struct {
	dir   string
	Store *standin.Store
	store string
	Nodes []*node
}

// node is one process of the deploy file.
type node struct {
	ID, Caller, Peer, Directory, Readiness, Metrics string

	fleet *fleet
	cmd   *exec.Cmd
	done  chan struct{}
}

// newFleet starts the store.
func newFleet() (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, Store: standin.NewStore()}
	l, err := listen("")
	if err != nil {
		return f, err
	}
	f.store = l.Addr().String()
	go func() { _ = (&http.Server{Handler: f.Store, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return f, nil
}

// listen listens on the loopback address, or on a free port if it is empty.
func listen(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	return new(net.ListenConfig).Listen(context.Background(), "tcp4", address)
}

// freeAddresses returns loopback addresses below the range of ports that the kernel gives to outgoing connections.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for port := 17_000 + os.Getpid()%6000; len(list) < n; port++ {
		if port > 30_000 {
			return nil, fmt.Errorf("no free ports")
		}
		l, err := listen("127.0.0.1:" + strconv.Itoa(port))
		if err != nil {
			continue
		}
		list = append(list, l.Addr().String())
		_ = l.Close()
	}
	return list, nil
}

// startNodes starts the first nodes of the fleet and waits until they are ready.
func (f *fleet) startNodes(n int) error {
	const addressesPerNode = 5
	free, err := freeAddresses(n * addressesPerNode)
	if err != nil {
		return err
	}
	for k := range n {
		a := free[k*addressesPerNode:]
		f.Nodes = append(f.Nodes, &node{
			ID: "edge-" + strconv.Itoa(k), Caller: a[0], Peer: a[1], Directory: a[2], Readiness: a[3], Metrics: a[4], fleet: f,
		})
	}
	for _, nd := range f.Nodes {
		if err := nd.start(true); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyTimeout); !f.ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("nodes are not ready after %s", readyTimeout)
		}
	}
	return nil
}

func (f *fleet) ready() bool {
	for _, nd := range f.Nodes {
		if !nd.ready() {
			return false
		}
	}
	return true
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	for _, nd := range f.Nodes {
		nd.kill()
	}
	_ = os.RemoveAll(f.dir)
}

// start starts the process with the settings that the template of the deploy file gives.
func (n *node) start(first bool) error {
	var seeds []string
	for _, other := range n.fleet.Nodes[:min(len(n.fleet.Nodes), 3)] {
		seeds = append(seeds, strconv.Quote(other.Peer))
	}
	settings := fmt.Sprintf(`host-id = %q
region = "region-0"
availability-zone = "zone-0"
caller-address = %q
peer-address = %q
directory-address = %q
readiness-address = %q
metrics-address = %q
log-address = %q
seeds = [%s]
first-start = %t
cpu-share = 0.32
cores = 1
bandwidth-mbps = 1000.0
memory-mb = 284
entry-ttl = "3s"
grace = "6s"
retry-ratio = 0.2
retry-burst = 62
quota-over = "0.1"
quota-slack = "20"
`, n.ID, n.Caller, n.Peer, n.Directory, n.Readiness, n.Metrics, n.fleet.store, strings.Join(seeds, ","), first)
	path := filepath.Join(n.fleet.dir, n.ID+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	cmd := exec.Command("target/egretline-platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), standin.SettingsPathVariable + "=" + path}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (n *node) ended() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	if !n.ended() {
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
	}
	<-n.done
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + n.Readiness + names.ReadyPath)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func init() {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
}
