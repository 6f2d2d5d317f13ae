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
	"strings"
	"sync"
	"syscall"
	"time"

	"egretline.example/egretline/platform/standin"
)

func init() { cases["drain-queue"] = drainQueue }

// Figures of the case drain-queue. Those of the upstreams, of the requests and of the bounds are of the site bayspace-edge.
const (
	drainHost      = "hulo84.example"
	drainPath      = "/xapu221/ny95/book"
	drainUpstreams = 5
	drainSlots     = 6
	drainQueued    = 24
	drainWork      = 460 * time.Millisecond
	drainRate      = 120 // requests a second, from the first to the last
	drainDeadline  = 12 * time.Second
	drainTimeout   = 6 * time.Second // of the route
	drainLossSlack = 200 * time.Millisecond
	drainGrace     = 6 * time.Second
	drainWarm      = 16 * time.Second // from the first request to SIGTERM
	drainAfter     = 8 * time.Second
	drainTTL       = 3 * time.Second
)

// queueUpstream is an upstream with slots and a queue, which rejects what does not fit.
type queueUpstream struct {
	l     *lab
	id    string
	slots chan struct{}

	mu       sync.Mutex
	waiting  int
	arrivals map[string]time.Time
}

func (u *queueUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, arrived := r.Header.Get(standin.HeaderRequestID), time.Now()
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(standin.HeaderRequestID, id)
	if e := r.Header.Get(names["expect-instance"]); e != "" && e != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	u.arrivals[id] = arrived
	full := u.waiting >= drainSlots+drainQueued
	if !full {
		u.waiting++
	}
	u.mu.Unlock()
	if full {
		w.Header().Set(names["not-executed"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
	}()
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	select {
	case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(drainWork))):
	case <-r.Context().Done():
		u.l.logf("upstream %s: request %s was broken off at work", u.id, id)
		return
	}
	w.Header().Set(standin.HeaderSignature, u.id+"."+id)
	_, _ = io.WriteString(w, strings.Repeat("b", 400))
}

// booking is one request of a client.
type booking struct {
	id          string
	node        *node
	sent, ended time.Time
	status      int
	err         error
	connected   bool
}

// drainQueue sends bookings at a constant rate, a little more than the upstreams can run, stops one of three nodes by
// SIGTERM, and looks for requests that this node took and ended without an answer although no upstream had them.
func drainQueue(l *lab, dir string) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := l.putConfig(dir + "/config.json"); err != nil {
		return false, err
	}
	var upstreams []*queueUpstream
	zones := []string{"mid-a", "mid-b", "mid-c"}
	for k := range drainUpstreams {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		u := &queueUpstream{
			l: l, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+k), slots: make(chan struct{}, drainSlots), arrivals: map[string]time.Time{},
		}
		upstreams = append(upstreams, u)
		go func() { _ = (&http.Server{Handler: u, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
		l.register(ctx, u.id, "wuno96b", zones[k%len(zones)], listener.Addr().String())
	}
	for _, zone := range zones {
		if _, err := l.addNode(zone); err != nil {
			return false, err
		}
	}
	if err := l.startNodes(); err != nil {
		return false, err
	}
	if err := l.awaitFleet(drainHost); err != nil {
		return false, err
	}
	clients := &drainClients{l: l, zones: zones}
	begin := time.Now()
	stopped := l.nodes[1]
	var sigterm time.Time
	ticker := time.NewTicker(time.Second / drainRate)
	for time.Since(begin) < drainWarm+drainAfter {
		<-ticker.C
		if sigterm.IsZero() && time.Since(begin) >= drainWarm {
			sigterm = time.Now()
			if l.trouble {
				_ = stopped.cmd.Process.Signal(syscall.SIGTERM)
				l.logf("SIGTERM to %s", stopped.id)
			}
			// The platform kills what still runs after the grace period.
			if l.trouble {
				time.AfterFunc(drainGrace, func() { _ = stopped.cmd.Process.Kill() })
			}
		}
		clients.send()
	}
	ticker.Stop()
	clients.running.Wait()
	return l.judgeDrain(clients.list, upstreams, stopped, sigterm)
}

// judgeDrain applies the rule LOST to the requests of the node that was stopped.
func (l *lab) judgeDrain(list []*booking, upstreams []*queueUpstream, stopped *node, sigterm time.Time) (bool, error) {
	counts := map[string]int{}
	lost, excused := 0, 0
	for _, b := range list {
		if b.node == nil {
			continue
		}
		counts[fmt.Sprintf("%s %d", b.node.id, b.status)]++
		if b.status != 0 || b.node != stopped || !b.connected {
			continue
		}
		var arrived time.Time
		for _, u := range upstreams {
			if at, found := u.arrivals[b.id]; found {
				arrived = at
			}
		}
		open := b.ended.Sub(b.sent)
		l.logf("no answer: request %s sent at %.3f (SIGTERM %+.3f), ended at %.3f after %.3f s, reached an upstream: %v (%v)",
			b.id, l.at(b.sent), b.sent.Sub(sigterm).Seconds(), l.at(b.ended), open.Seconds(), !arrived.IsZero(), b.err)
		switch {
		case open >= drainTimeout || open <= drainLossSlack || b.ended.After(sigterm.Add(drainGrace+time.Second)):
			excused++ // the route's timeout was reached, or it was not read
		case !arrived.IsZero():
			excused++ // its upstream was at work when the grace period was nearly over
		default:
			lost++
		}
	}
	for key, n := range counts {
		l.logf("requests by node and status (0 is none): %s: %d", key, n)
	}
	l.logf("RESULT: %d requests sent, of those at %s %d ended without an answer that never reached an upstream, %d others are excused",
		len(list), stopped.id, lost, excused)
	if counts[stopped.id+" 200"] == 0 {
		return false, errors.New("no request was answered")
	}
	return lost > 0, nil
}

// drainClients sends bookings, each on a new connection. It keeps an answer of the directory for its time to live.
type drainClients struct {
	l       *lab
	zones   []string
	running sync.WaitGroup

	mu     sync.Mutex
	list   []*booking
	caches [9]drainCache // three groups of clients in each of three zones
}

// drainCache is what a group of clients knows of the directory.
type drainCache struct {
	addrs    []string
	resolved time.Time
}

// target returns the address for the next request of a group of clients. Every third group keeps an answer of the
// directory three times as long as it says.
func (c *drainClients) target(group int) string {
	zone, keep := group%len(c.zones), drainTTL
	if group < len(c.zones) {
		keep = 3 * drainTTL
	}
	c.mu.Lock()
	cache := &c.caches[group]
	stale := time.Since(cache.resolved) > keep
	if stale {
		cache.resolved = time.Now()
	}
	current := cache.addrs
	c.mu.Unlock()
	if stale || len(current) == 0 {
		for k := range c.l.nodes {
			if addrs := c.l.resolve(c.l.nodes[(zone+k)%len(c.l.nodes)], drainHost, c.zones[zone]); len(addrs) > 0 {
				current = addrs
				break
			}
		}
		c.mu.Lock()
		cache.addrs = current
		c.mu.Unlock()
	}
	if len(current) == 0 {
		return ""
	}
	return current[rand.IntN(len(current))]
}

// forget drops an address that could not be connected.
func (c *drainClients) forget(group int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.caches[group].resolved = time.Time{}
}

func (c *drainClients) send() {
	c.mu.Lock()
	b := &booking{id: fmt.Sprintf("%016x", rand.Uint64())}
	group := len(c.list) % len(c.caches)
	c.list = append(c.list, b)
	c.mu.Unlock()
	c.running.Go(func() {
		address := c.target(group)
		for _, n := range c.l.nodes {
			if n.caller == address {
				b.node = n
			}
		}
		if b.node == nil {
			b.err = errors.New("no address")
			return
		}
		c.exchange(b, address)
		if !b.connected {
			c.forget(group)
		}
	})
}

// exchange sends the request and reads the whole response.
func (c *drainClients) exchange(b *booking, address string) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		b.err = err
		return
	}
	defer conn.Close()
	b.connected = true
	_ = conn.SetDeadline(time.Now().Add(drainDeadline))
	body := strings.Repeat("q", 300)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		drainPath, drainHost, standin.HeaderRequestID, b.id, standin.HeaderDeadline, drainDeadline.Milliseconds(), len(body), body)
	b.sent = time.Now()
	if err == nil {
		var response *http.Response
		if response, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			if err == nil {
				b.status = response.StatusCode
			}
			_ = response.Body.Close()
		}
	}
	b.ended, b.err = time.Now(), err
}
