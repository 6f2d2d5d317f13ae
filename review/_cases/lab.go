// Command cases runs the scripted cases of the review: stand-ins of the store, of upstreams and of clients, and the nodes
// as separate processes with the command and the settings template of the deploy file.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"egretline.example/egretline/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// names are the header names that the package standin does not export, from review/names.json.
var names map[string]string

// lab is one run of a case.
type lab struct {
	dir     string
	trouble bool
	started time.Time
	store   *standin.Store
	storeAt string
	nodes   []*node
	network string

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

// node is one process of the product.
type node struct {
	id, zone, ip                       string
	caller, peer, directory, readiness string
	settings                           string
	cmd                                *exec.Cmd
	done                               chan struct{}
}

func newLab(caseDir string) (*lab, error) {
	content, err := os.ReadFile("review/names.json")
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(content, &names); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &lab{
		dir: dir, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), store: standin.NewStore(),
		record: bufio.NewWriter(file), file: file, network: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250)),
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.storeAt = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: l.store, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	l.logf("trouble %v", l.trouble)
	return l, nil
}

// logf writes a line with the time since the start to the record.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f ", time.Since(l.started).Seconds())
	fmt.Fprintf(l.record, format+"\n", args...)
}

// at returns a time as seconds since the start.
func (l *lab) at(t time.Time) float64 { return t.Sub(l.started).Seconds() }

// close ends all nodes and the record.
func (l *lab) close() {
	for _, n := range l.nodes {
		_ = n.cmd.Process.Kill()
		<-n.done
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.record.Flush()
	_ = l.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.]+)(\|json)?\}\}`)

// deployField returns the value of a field of the deploy file's only role.
func deployField(name string) (string, error) {
	content, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^` + name + `\s*=\s*"(.*)"`).FindSubmatch(content)
	if m == nil {
		return "", errors.New("no field " + name + " in deploy/system.toml")
	}
	return string(m[1]), nil
}

// addNode prepares a node in the zone. The first one is the seed of all.
func (l *lab) addNode(zone string) (*node, error) {
	k := len(l.nodes) + 1
	n := &node{id: fmt.Sprintf("edge-%s-%d", zone, k), zone: zone, ip: fmt.Sprintf("%s.%d", l.network, k)}
	for _, address := range []*string{&n.caller, &n.peer, &n.directory, &n.readiness} {
		listener, err := net.Listen("tcp4", n.ip+":0")
		if err != nil {
			return nil, err
		}
		*address = listener.Addr().String()
		defer listener.Close()
	}
	l.nodes = append(l.nodes, n)
	return n, nil
}

// startNodes writes the settings of all nodes and starts them for the first time.
func (l *lab) startNodes() error {
	run, err := deployField("run")
	if err != nil {
		return err
	}
	for _, n := range l.nodes {
		if err := l.writeSettings(n, true); err != nil {
			return err
		}
		if err := l.start(n, run); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings fills in the template of the deploy file as the platform does. The figures are those of the small site
// bayspace-edge.
func (l *lab) writeSettings(n *node, bootstrap bool) error {
	template, err := deployField("template")
	if err != nil {
		return err
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	fields := map[string]any{
		"node": n.id, "region": "midlands", "zone": n.zone, "ip": n.ip, "listen.front": n.caller, "listen.control": n.peer,
		"listen.directory": n.directory, "listen.readiness": n.readiness, "platform.addr": l.storeAt,
		"seeds": []string{l.nodes[0].peer}, "bootstrap": bootstrap, "limits.cpuShare": 0.32, "limits.cores": 1,
		"limits.bandwidthMbps": 1000.0, "limits.memoryMb": 284, "bounds.grace": "6s", "bounds.budgetRatio": 0.2,
		"bounds.budgetBurst": 62,
	}
	filled := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		if m[2] == "" {
			return fmt.Sprint(fields[m[1]])
		}
		encoded, _ := json.Marshal(fields[m[1]])
		return string(encoded)
	})
	n.settings = filepath.Join(l.dir, n.id+".conf")
	return os.WriteFile(n.settings, []byte(filled), 0o600)
}

func (l *lab) start(n *node, run string) error {
	out, err := os.OpenFile(filepath.Join(l.dir, n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := strings.Fields(run)
	n.cmd = exec.Command(words[0], words[1:]...)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), standin.SettingsPathVariable + "=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	cmd, done := n.cmd, make(chan struct{})
	n.done = done
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		l.logf("node %s ended: %v", n.id, err)
		close(done)
	}()
	l.logf("node %s started, callers at %s", n.id, n.caller)
	return nil
}

// putConfig stores the configuration of the case.
func (l *lab) putConfig(path string) error {
	content, err := l.configuration(path)
	if err == nil {
		l.store.Put(standin.TopicConfig, standin.KeyConfig, content)
	}
	return err
}

// configuration returns the operator's record of the case.
func (l *lab) configuration(path string) (string, error) {
	content, err := os.ReadFile(path)
	return string(content), err
}

// register registers an upstream and keeps its entry alive.
func (l *lab) register(ctx context.Context, id, service, zone, address string) {
	b := &standin.Backend{ID: id, Service: service, Address: address, Zone: zone}
	l.store.Put(standin.TopicServers, id, b.Registration(false, 0))
	go func() {
		ticker := time.NewTicker(1500 * time.Millisecond)
		defer ticker.Stop()
		for seq := 1; ; seq++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				l.store.Put(standin.TopicServers, id, b.Registration(false, seq))
			}
		}
	}()
}

// resolve asks the directory of a node for the addresses of callers.
func (l *lab) resolve(n *node, host, zone string) []string {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(standin.ResolveURL(n.directory, host, zone))
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var m struct {
		Addrs []string `json:"addrs"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&m) != nil {
		return nil
	}
	return m.Addrs
}

// awaitFleet waits until every node lists all nodes in the directories' responses for all zones.
func (l *lab) awaitFleet(host string) error {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		all := true
		for _, n := range l.nodes {
			for _, other := range l.nodes {
				addrs := l.resolve(n, host, other.zone)
				all = all && len(addrs) > 0 && strings.Contains(strings.Join(addrs, " "), other.caller)
			}
		}
		if all {
			l.logf("the fleet is ready")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the fleet is not ready after 20 s")
}

// cases holds the cases by name. The file of each case adds it.
var cases = map[string]func(*lab, string) (bool, error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(exitCannotRun)
	}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitCannotRun)
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	broken, err := run(l, os.Args[2])
	code := exitHeld
	switch {
	case err != nil:
		l.logf("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitCannotRun
	case broken:
		code = exitBroken
	}
	l.logf("exit code %d", code)
	l.close()
	os.Exit(code)
}
