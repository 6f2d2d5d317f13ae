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
	"time"

	"egretline.example/egretline/platform/standin"
)

func init() { cases["left-clients"] = leftClients }

// Figures of the case left-clients. Those of the upstreams, of the requests and of the bounds are of the site bayspace-edge.
const (
	leftBody     = 100 << 10
	leftRate     = 90 // requests a second
	leftFor      = 20 * time.Second
	leftShare    = 0.2                     // of the clients leave early
	leftWithin   = 2000 * time.Millisecond // half of the latency objective
	leftReaction = 500 * time.Millisecond  // what the rule allows
	leftFew      = 10                      // the rule's "more than a few"
)

// upload is one request of a client.
type leftRequest struct {
	id     string
	closed time.Time // when the client closed its connection early; zero if it waited
	status int
}

// leftClients sends requests with long bodies at a rate that the upstreams cannot quite run. With trouble, a fifth of the
// clients leaves before the deadline. It counts the requests that reach an upstream long after their client has left.
func leftClients(l *lab, dir string) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := l.putConfig(dir + "/config.json"); err != nil {
		return false, err
	}
	var upstreams []*queueUpstream
	zones := []string{"mid-a", "mid-b"}
	for k := range drainUpstreams {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		u := &queueUpstream{
			l: l, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+k), slots: make(chan struct{}, drainSlots), arrivals: map[string]time.Time{},
			bodies: map[string]int64{},
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
	var running sync.WaitGroup
	var list []*leftRequest
	ticker := time.NewTicker(time.Second / leftRate)
	for begin := time.Now(); time.Since(begin) < leftFor; {
		<-ticker.C
		r := &leftRequest{id: fmt.Sprintf("%016x", rand.Uint64())}
		n := l.nodes[len(list)%len(l.nodes)]
		list = append(list, r)
		var patience time.Duration
		if l.trouble && rand.Float64() < leftShare {
			patience = time.Duration((0.5 + rand.Float64()/2) * float64(leftWithin))
		}
		running.Go(func() { r.exchange(n.caller, patience) })
	}
	ticker.Stop()
	running.Wait()
	time.Sleep(time.Second)
	return l.judgeLeft(list, upstreams)
}

func (l *lab) judgeLeft(list []*leftRequest, upstreams []*queueUpstream) (bool, error) {
	counts := map[int]int{}
	left, late, whole := 0, 0, 0
	for _, r := range list {
		if r.closed.IsZero() {
			counts[r.status]++
			continue
		}
		left++
		for _, u := range upstreams {
			u.mu.Lock()
			arrived, found := u.arrivals[r.id]
			body := u.bodies[r.id]
			u.mu.Unlock()
			if found && arrived.Sub(r.closed) > leftReaction {
				late++
				if body == leftBody {
					whole++
				}
				l.logf("request %s: its client left at %.3f, it reached upstream %s at %.3f, %.3f s later, with %d bytes of its body",
					r.id, l.at(r.closed), u.id, l.at(arrived), arrived.Sub(r.closed).Seconds(), body)
			}
		}
	}
	for status, n := range counts {
		l.logf("requests whose client waited, by status (0 is none): %d: %d", status, n)
	}
	l.logf("RESULT: %d requests sent, %d clients left, %d requests reached an upstream more than %v after that, %d of them whole",
		len(list), left, late, leftReaction, whole)
	if counts[http.StatusOK] == 0 {
		return false, errors.New("no request was answered")
	}
	return late > leftFew, nil
}

// exchange sends the request and reads the response. With a patience it closes the connection after that time, if there
// is no response yet.
func (r *leftRequest) exchange(address string, patience time.Duration) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	wait := drainDeadline
	if patience > 0 {
		wait = patience
	}
	_ = conn.SetDeadline(time.Now().Add(wait))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		drainPath, drainHost, standin.HeaderRequestID, r.id, standin.HeaderDeadline, drainDeadline.Milliseconds(), leftBody,
		strings.Repeat("q", leftBody))
	if err == nil {
		var response *http.Response
		if response, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			r.status = response.StatusCode
			return
		}
	}
	if patience > 0 {
		_ = conn.Close()
		r.closed = time.Now()
	}
}
