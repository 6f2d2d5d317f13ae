package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"egretline.example/egretline/platform/standin"
)

func init() { cases["memory"] = memory }

// Figures of the case memory.
const (
	memoryNodes     = 8
	memoryRolled    = 3 // a share of 0.375, one at a time
	memoryGap       = 2 * time.Second
	memoryUpstreams = 10
	memoryClients   = 10 // in each zone
	memoryLimit     = 284 << 20
	memoryEntries   = 3900
	memoryBytes     = 16_000
	memoryLost      = 3 // the rule's "more than three times"
)

// memoryRun is the state of one run. mu guards all fields.
type memoryRun struct {
	l         *lab
	run       string
	upstreams []*oddUpstream

	mu sync.Mutex
	// rolled holds the nodes that got SIGTERM, and killed the number of times that a node had more memory than it may have.
	rolled map[*node]bool
	killed map[*node]int
	peak   map[*node]int
	busy   map[*node]bool // being restarted
	lost   int
	counts map[string]int
	ended  bool
}

// memory lets another writer write entries that cannot be read, lets the platform stop and start nodes in turn, and lets it
// kill each process with more memory than its limit. It counts the requests that other nodes lose by that.
func memory(l *lab, dir string) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := &pagedStore{topics: map[string][]storeRecord{}, first: map[string]int{}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	l.storeAt = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: store, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	config, err := l.configuration(dir + "/config.json")
	if err != nil {
		return false, err
	}
	store.put(standin.TopicConfig, standin.KeyConfig, config)
	m := &memoryRun{
		l: l, rolled: map[*node]bool{}, killed: map[*node]int{}, peak: map[*node]int{}, busy: map[*node]bool{}, counts: map[string]int{},
	}
	for k := range memoryUpstreams {
		u, err := l.startOddUpstream(ctx, store, k)
		if err != nil {
			return false, err
		}
		m.upstreams = append(m.upstreams, u)
	}
	zones := []string{"mid-a", "mid-b", "mid-c"}
	for k := range memoryNodes {
		if _, err := l.addNode(zones[k%len(zones)]); err != nil {
			return false, err
		}
	}
	if m.run, err = deployField("run"); err != nil {
		return false, err
	}
	if err := l.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var running sync.WaitGroup
	for k := range memoryClients * len(zones) {
		running.Go(func() { m.client(zones[k%len(zones)]) })
	}
	running.Go(m.watch)
	time.Sleep(3 * time.Second)
	if l.trouble {
		odd := strings.Repeat("\xff\x00", memoryBytes/2)
		for k := range memoryEntries {
			store.put(standin.TopicServers, fmt.Sprintf("w-%04d", k), odd)
			if k%50 == 0 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		l.logf("another writer has written %d entries of %d bytes", memoryEntries, memoryBytes)
	}
	time.Sleep(4 * time.Second)
	for k := range memoryRolled {
		m.roll(l.nodes[len(l.nodes)-1-k])
		time.Sleep(memoryGap)
	}
	time.Sleep(6 * time.Second)
	m.mu.Lock()
	m.ended = true
	m.mu.Unlock()
	running.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	kills := 0
	for _, n := range l.nodes {
		l.logf("node %s: peak %d MB, rolled %v, killed for its memory %d times", n.id, m.peak[n]>>20, m.rolled[n], m.killed[n])
		if !m.rolled[n] {
			kills += m.killed[n]
		}
	}
	l.logf("answers: %v", m.counts)
	l.logf("RESULT: nodes without a disruption were killed %d times for more than %d MB, %d requests of kept connections were lost there",
		kills, memoryLimit>>20, m.lost)
	if m.counts["200"] == 0 {
		return false, errors.New("no request was answered")
	}
	return m.lost > memoryLost, nil
}

// roll stops a node and starts it again, as the platform does.
func (m *memoryRun) roll(n *node) {
	m.mu.Lock()
	m.rolled[n], m.busy[n] = true, true
	done := n.done
	m.mu.Unlock()
	m.l.logf("SIGTERM to %s", n.id)
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(drainGrace):
		_ = n.cmd.Process.Kill()
		<-done
	}
	m.restart(n)
}

// restart starts an ended node again after a short delay.
func (m *memoryRun) restart(n *node) {
	time.Sleep(500 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return
	}
	err := m.l.writeSettings(n, false)
	if err == nil {
		err = m.l.start(n, m.run)
	}
	if err != nil {
		m.l.logf("cannot start %s: %v", n.id, err)
		return
	}
	m.busy[n] = false
}

// watch kills each process that has more memory than its limit, as the platform does.
func (m *memoryRun) watch() {
	for {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		if m.ended {
			m.mu.Unlock()
			return
		}
		for _, n := range m.l.nodes {
			if m.busy[n] {
				continue
			}
			size := residentBytes(n.cmd.Process.Pid)
			m.peak[n] = max(m.peak[n], size)
			if size <= memoryLimit {
				continue
			}
			m.killed[n]++
			m.busy[n] = true
			m.l.logf("node %s has %d MB and is killed", n.id, size>>20)
			_ = n.cmd.Process.Kill()
			go func() {
				<-n.done
				m.restart(n)
			}()
		}
		m.mu.Unlock()
	}
}

// residentBytes returns the resident memory of a process; zero if it has ended.
func residentBytes(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// client sends bookings one after the other on kept connections to an address that the directory named.
func (m *memoryRun) client(zone string) {
	for {
		m.mu.Lock()
		ended := m.ended
		m.mu.Unlock()
		if ended {
			return
		}
		var addrs []string
		for k := 0; k < len(m.l.nodes) && len(addrs) == 0; k++ {
			addrs = m.l.resolve(m.l.nodes[rand.IntN(len(m.l.nodes))], drainHost, zone)
		}
		if len(addrs) == 0 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		address := addrs[rand.IntN(len(addrs))]
		for _, n := range m.l.nodes {
			if n.caller == address {
				m.session(n)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// session sends bookings on one connection until it is closed.
func (m *memoryRun) session(n *node) {
	c, err := net.DialTimeout("tcp4", n.caller, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for k := 0; ; k++ {
		m.mu.Lock()
		ended := m.ended
		m.mu.Unlock()
		if ended {
			return
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		_ = c.SetDeadline(time.Now().Add(drainDeadline))
		_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: 2\r\n\r\nok", drainPath, drainHost,
			standin.HeaderRequestID, id, standin.HeaderDeadline, drainDeadline.Milliseconds())
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(r, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if err != nil {
			m.broken(n, id, k > 0, err)
			return
		}
		m.mu.Lock()
		m.counts[strconv.Itoa(response.StatusCode)]++
		m.mu.Unlock()
		if response.Close {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// broken records a request that ended without an answer. It is lost if its connection was kept, it had been passed on, and
// its node was not stopped by the platform.
func (m *memoryRun) broken(n *node, id string, kept bool, err error) {
	passedOn := false
	for _, u := range m.upstreams {
		u.mu.Lock()
		_, found := u.arrivals[id]
		u.mu.Unlock()
		passedOn = passedOn || found
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts["no answer"]++
	if kept && passedOn && !m.rolled[n] && m.killed[n] > 0 {
		m.lost++
	}
	m.l.logf("request %s to %s had no answer: passed on %v, on a kept connection %v, node rolled %v (%v)", id, n.id, passedOn, kept, m.rolled[n], err)
}
