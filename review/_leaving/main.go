// Command leaving runs nodes as processes on loopback. In each round, backend servers leave while one node is suspended, and an
// entry host is killed and restarted before that node continues. It checks that nodes in touch with the platform send no
// requests to servers that left.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"egretline.example/egretline/platform/standin"
	"egretline.example/egretline/test/fleetproc"
)

// Figures of a small deployment and bounds of the rules.
const (
	zones, nodesPerZone = 4, 3
	initialServers      = 16
	service             = "desk"
	virtualHost         = "shop.example"
	heartbeat           = 1500 * time.Millisecond
	restartDelay        = 500 * time.Millisecond
	// drainBound is the time after the store's acknowledgement after which no request may reach a server that leaves, and
	// stableBound the time after which a machine whose process was started is in touch.
	drainBound  = 2 * time.Second
	stableBound = 3 * time.Second
	// serveOn is how long a server that left goes on serving.
	serveOn       = 15 * time.Second
	startDuration = 6 * time.Second
	roundDuration = 8 * time.Second
	// killAfter is the time from a leaving until an entry host is killed. The other nodes know of the leaving by then.
	killAfter = 1500 * time.Millisecond
	// continueAfter is the time from the restart of the entry host until the suspended node continues.
	continueAfter = 150 * time.Millisecond
	seedNodes     = 3
	rounds        = 5
	callers       = 12
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

type node struct {
	id, zone                  string
	caller, directory, config string
	mu                        sync.Mutex
	process                   *fleetproc.Process
	// startedAt is when the current process was started; zero while there is none.
	startedAt time.Time
	starts    int
}

type server struct {
	*standin.Backend
	stop context.CancelFunc
	// leftAt is when the store acknowledged that the entry of the server was removed, in Unix nanoseconds; zero before.
	leftAt atomic.Int64
}

type call struct {
	id, node string
	sent     time.Time
	// inTouch reports whether the process of the node had been running for stableBound when the request was sent.
	inTouch bool
	status  int
}

type lab struct {
	directory, program, template string
	storeAddress                 string
	store                        *standin.Store
	journal                      *standin.Journal
	nodes                        []*node
	mu                           sync.Mutex
	servers                      []*server
	calls                        []call
	events                       []string
	began                        time.Time
	nextID                       atomic.Int64
}

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")) }

func run(root, directory, recordPath string, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 112*time.Second)
	defer cancel()
	l := &lab{
		directory: directory, program: filepath.Join(root, "target", "egretline-platform"), store: standin.NewStore(),
		journal: &standin.Journal{}, began: time.Now(),
	}
	defer l.close()
	if err := l.start(ctx, filepath.Join(root, "deploy", "node.toml")); err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitCannotRun
	}
	callersContext, stopCallers := context.WithCancel(ctx)
	var running sync.WaitGroup
	for k := range callers {
		running.Go(func() { l.call(callersContext, fmt.Sprintf("z%d", k%zones)) })
	}
	for n := 0; n < rounds && ctx.Err() == nil; n++ {
		l.round(ctx, n, trouble)
	}
	stopCallers()
	running.Wait()
	late, answered := l.judge()
	if err := l.writeRecord(recordPath, trouble, late, answered); err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitCannotRun
	}
	fmt.Printf("%d requests, %d answered, %d reached a server later than %s after it left\n", len(l.calls), answered, len(late), drainBound)
	switch {
	case answered < len(l.calls)/2:
		fmt.Fprintln(os.Stderr, "cannot run: too few requests were answered")
		return exitCannotRun
	case len(late) > 0:
		return exitBroken
	}
	return exitHeld
}

// start starts the store, the backend servers and the nodes, and waits until nodes serve.
func (l *lab) start(ctx context.Context, templatePath string) error {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	l.template = string(template)
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.storeAddress = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: l.store, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	configuration, err := standin.Configuration(1, virtualHost, []string{service}, nil, []standin.Route{
		{Name: "view", Prefix: "/view/", Kind: "safe", Service: service, Timeout: 4 * time.Second},
	})
	if err != nil {
		return err
	}
	l.store.Put(standin.TopicConfig, standin.KeyConfig, configuration)
	for range initialServers {
		if err := l.addServer(ctx); err != nil {
			return err
		}
	}
	const addressesPerNode = 5
	free, err := fleetproc.FreeAddresses(zones * nodesPerZone * addressesPerNode)
	if err != nil {
		return err
	}
	var seeds []string
	for k := range seedNodes {
		seeds = append(seeds, fmt.Sprintf("%q", free[addressesPerNode*k+1]))
	}
	for k := range zones * nodesPerZone {
		own := free[addressesPerNode*k : addressesPerNode*(k+1)]
		n := &node{id: fmt.Sprintf("edge-%d", k), zone: fmt.Sprintf("z%d", k%zones), caller: own[0], directory: own[2]}
		n.config = filepath.Join(l.directory, n.id+".toml")
		l.nodes = append(l.nodes, n)
		if err := l.startNode(n, own, seeds, true); err != nil {
			return err
		}
	}
	// Later starts are not the first start of the whole system.
	for k, n := range l.nodes {
		own := free[addressesPerNode*k : addressesPerNode*(k+1)]
		if err := l.writeSettings(n, own, seeds, false); err != nil {
			return err
		}
	}
	return sleep(ctx, startDuration)
}

// writeSettings fills in the template of the deploy file with the figures of the smallest site.
func (l *lab) writeSettings(n *node, own, seeds []string, first bool) error {
	quote := func(s string) string { return fmt.Sprintf("%q", s) }
	filled := strings.NewReplacer(
		"{{node|json}}", quote(n.id), "{{region|json}}", quote("midlands"), "{{zone|json}}", quote(n.zone),
		"{{listen.front|json}}", quote(own[0]), "{{listen.control|json}}", quote(own[1]),
		"{{listen.directory|json}}", quote(own[2]), "{{listen.readiness|json}}", quote(own[3]),
		"{{ip}}:9102", own[4], "{{platform.addr|json}}", quote(l.storeAddress),
		"{{seeds|json}}", "["+strings.Join(seeds, ",")+"]", "{{bootstrap}}", fmt.Sprint(first),
		"{{limits.cpuShare}}", "0.32", "{{limits.cores}}", "1", "{{limits.bandwidthMbps}}", "1000.0",
		"{{limits.memoryMb}}", "284", "{{bounds.grace|json}}", quote("6s"), "{{bounds.budgetRatio}}", "0.2",
		"{{bounds.budgetBurst}}", "62", "{{bounds.quotaOver|json}}", "", "{{bounds.quotaSlack|json}}", "",
	).Replace(l.template)
	if strings.Contains(filled, "{{") {
		return errors.New("the template has a placeholder that this program does not know")
	}
	return os.WriteFile(n.config, []byte(filled), 0o600)
}

func (l *lab) startNode(n *node, own, seeds []string, first bool) error {
	if err := l.writeSettings(n, own, seeds, first); err != nil {
		return err
	}
	return l.restart(n)
}

func (l *lab) restart(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	p, err := fleetproc.StartWithEnv(l.directory, fmt.Sprintf("%s-%d", n.id, n.starts),
		[]string{standin.SettingsPathVariable + "=" + n.config}, l.program)
	if err != nil {
		return err
	}
	n.process, n.startedAt = p, time.Now()
	return nil
}

func (l *lab) addServer(ctx context.Context) error {
	l.mu.Lock()
	k := len(l.servers)
	l.mu.Unlock()
	b, err := standin.NewBackend(fmt.Sprintf("i-%d", k), service, fmt.Sprintf("z%d", k%zones), 20*time.Millisecond, l.journal)
	if err != nil {
		return err
	}
	beats, stop := context.WithCancel(ctx)
	s := &server{Backend: b, stop: stop}
	l.mu.Lock()
	l.servers = append(l.servers, s)
	l.mu.Unlock()
	l.store.Put(standin.TopicServers, s.ID, s.Registration(false, 0))
	go func() {
		for seq := 1; sleep(beats, heartbeat) == nil; seq++ {
			l.store.Put(standin.TopicServers, s.ID, s.Registration(false, seq))
		}
	}()
	return nil
}

// round lets two servers leave and two others join. With trouble, a seed is suspended before that, and continues shortly
// after an entry host was killed and restarted.
func (l *lab) round(ctx context.Context, number int, trouble bool) {
	end := time.Now().Add(roundDuration)
	suspended := l.nodes[number%seedNodes]
	if trouble {
		l.signal(suspended, syscall.SIGSTOP)
		_ = sleep(ctx, 50*time.Millisecond)
	}
	for range 2 {
		l.leave(ctx)
		if err := l.addServer(ctx); err != nil {
			l.note("cannot add a server: %v", err)
		}
	}
	_ = sleep(ctx, killAfter)
	if trouble {
		l.killEntryHost(ctx)
		_ = sleep(ctx, continueAfter)
		l.signal(suspended, syscall.SIGCONT)
	}
	_ = sleep(ctx, time.Until(end))
}

// signal suspends the node, or lets it continue. The time in touch begins anew then.
func (l *lab) signal(n *node, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startedAt = time.Time{}
	if s == syscall.SIGCONT {
		n.startedAt = time.Now()
	}
	if err := n.process.Signal(s); err != nil {
		l.note("cannot signal %s: %v", n.id, err)
	}
	l.note("%s got signal %q", n.id, s)
}

// leave removes the entry of the oldest server that has not left, which goes on serving for some time.
func (l *lab) leave(ctx context.Context) {
	l.mu.Lock()
	k := slices.IndexFunc(l.servers, func(s *server) bool { return s.leftAt.Load() == 0 })
	s := l.servers[k]
	l.mu.Unlock()
	s.stop()
	time.Sleep(10 * time.Millisecond) // a heartbeat in progress ends
	l.store.Put(standin.TopicServers, s.ID, "")
	s.leftAt.Store(time.Now().UnixNano())
	l.note("server %s has left; the store acknowledged it", s.ID)
	go func() {
		_ = sleep(ctx, serveOn)
		s.Close()
	}()
}

// killEntryHost kills and restarts a node that the directory names and that is no seed.
func (l *lab) killEntryHost(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for k := range zones {
		for _, address := range l.resolve(ctx, client, fmt.Sprintf("z%d", (k+seedNodes)%zones)) {
			index := l.indexOf(address)
			if index < seedNodes {
				continue
			}
			n := l.nodes[index]
			n.mu.Lock()
			n.startedAt = time.Time{}
			n.mu.Unlock()
			n.process.Kill()
			l.note("%s was killed", n.id)
			_ = sleep(ctx, restartDelay)
			if err := l.restart(n); err != nil {
				l.note("cannot restart %s: %v", n.id, err)
			}
			l.note("%s was restarted", n.id)
			return
		}
	}
	l.note("no entry host to kill")
}

func (l *lab) indexOf(callerAddress string) int {
	return slices.IndexFunc(l.nodes, func(n *node) bool { return n.caller == callerAddress })
}

// call sends requests as a caller does: to a host that the directory names for its zone.
func (l *lab) call(ctx context.Context, zone string) {
	client := &http.Client{Timeout: 5 * time.Second}
	for ctx.Err() == nil {
		for _, address := range l.resolve(ctx, client, zone) {
			for range 5 {
				l.send(ctx, client, address)
				_ = sleep(ctx, 60*time.Millisecond)
			}
		}
		_ = sleep(ctx, 50*time.Millisecond)
	}
}

// resolve asks up to three nodes for the entry hosts.
func (l *lab) resolve(ctx context.Context, client *http.Client, zone string) []string {
	for range 3 {
		n := l.nodes[rand.IntN(len(l.nodes))]
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, standin.ResolveURL(n.directory, virtualHost, zone), http.NoBody)
		if err != nil {
			return nil
		}
		response, err := client.Do(r)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		var addresses []string
		for _, other := range l.nodes {
			if err == nil && response.StatusCode == http.StatusOK && strings.Contains(string(body), `"`+other.caller+`"`) {
				addresses = append(addresses, other.caller)
			}
		}
		if len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}

func (l *lab) send(ctx context.Context, client *http.Client, address string) {
	n := l.nodes[l.indexOf(address)]
	c := call{id: fmt.Sprintf("%016x", l.nextID.Add(1)), node: n.id, sent: time.Now()}
	n.mu.Lock()
	c.inTouch = !n.startedAt.IsZero() && c.sent.Sub(n.startedAt) >= stableBound
	n.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/view/7", http.NoBody)
	if err != nil {
		return
	}
	r.Host = virtualHost
	r.Header.Set(standin.HeaderRequestID, c.id)
	r.Header.Set(standin.HeaderDeadline, "4000")
	if response, err := client.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		c.status = response.StatusCode
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

// judge returns a line for each arrival that breaks the rule, and the number of requests that were answered with 200.
func (l *lab) judge() (late []string, answered int) {
	calls := map[string]call{}
	for _, c := range l.calls {
		calls[c.id] = c
		if c.status == http.StatusOK {
			answered++
		}
	}
	left := map[string]time.Time{}
	for _, s := range l.servers {
		if at := s.leftAt.Load(); at != 0 {
			left[s.ID] = time.Unix(0, at)
		}
	}
	for _, a := range l.journal.Arrivals() {
		c, sent := calls[a.ID]
		leftAt, hasLeft := left[a.Server]
		if !sent || !hasLeft || !c.inTouch || a.At.Sub(leftAt) <= drainBound {
			continue
		}
		late = append(late, fmt.Sprintf("%8.3f late: request %s, sent to %s at %.3f, reached %s %.3f s after it left",
			a.At.Sub(l.began).Seconds(), a.ID, c.node, c.sent.Sub(l.began).Seconds(), a.Server, a.At.Sub(leftAt).Seconds()))
	}
	return late, answered
}

func (l *lab) writeRecord(path string, trouble bool, late []string, answered int) error {
	var b strings.Builder
	fmt.Fprintf(&b, "trouble: %t; requests %d, answered with 200 %d, late arrivals %d\n", trouble, len(l.calls), answered, len(late))
	for _, line := range slices.Concat(l.events, late) {
		fmt.Fprintln(&b, line)
	}
	fmt.Fprintln(&b, "sent and answered: seconds, request, node, status")
	for _, c := range l.calls {
		fmt.Fprintf(&b, "%.3f %s %s %d\n", c.sent.Sub(l.began).Seconds(), c.id, c.node, c.status)
	}
	fmt.Fprintln(&b, "run: seconds, request, server")
	for _, a := range l.journal.Arrivals() {
		fmt.Fprintf(&b, "%.3f %s %s\n", a.At.Sub(l.began).Seconds(), a.ID, a.Server)
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, fmt.Sprintf("%8.3f ", time.Since(l.began).Seconds())+fmt.Sprintf(format, args...))
}

func (l *lab) close() {
	for _, n := range l.nodes {
		if n.process != nil {
			n.process.Kill()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
