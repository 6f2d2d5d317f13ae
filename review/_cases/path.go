package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"egretline.example/egretline/platform/standin"
)

func init() { cases["changed-path"] = changedPath }

const pathHost = "jepu9.example"

// pathUpstream records the request line that it gets, byte for byte.
type pathUpstream struct {
	l       *lab
	id      string
	mu      sync.Mutex
	targets map[string]string
}

func (u *pathUpstream) serve(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(c)
	}
}

func (u *pathUpstream) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.Fields(line)
		id := ""
		for {
			header, err := r.ReadString('\n')
			if err != nil {
				return
			}
			header = strings.TrimSpace(header)
			if header == "" {
				break
			}
			if name, value, ok := strings.Cut(header, ":"); ok && strings.EqualFold(name, standin.HeaderRequestID) {
				id = strings.TrimSpace(value)
			}
		}
		u.mu.Lock()
		u.targets[id] = fields[1]
		u.mu.Unlock()
		u.l.logf("upstream %s runs request %s: %s", u.id, id, strings.TrimSpace(line))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: 2\r\n\r\nok",
			standin.HeaderRequestID, id, standin.HeaderSignature, u.id, id)
	}
}

// changedPath lets the operator add a route for all paths of a host, and sends requests of which some have two slashes at
// the start of their path.
func changedPath(l *lab, dir string) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := l.putConfig(dir + "/config.json"); err != nil {
		return false, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	u := &pathUpstream{l: l, id: "i-7f3a91c2", targets: map[string]string{}}
	go u.serve(listener)
	l.register(ctx, u.id, "huvo11a", "mid-a", listener.Addr().String())
	if _, err := l.addNode("mid-a"); err != nil {
		return false, err
	}
	if err := l.startNodes(); err != nil {
		return false, err
	}
	if err := l.awaitFleet(pathHost); err != nil {
		return false, err
	}
	if l.trouble {
		if err := l.putConfig(dir + "/changed.json"); err != nil {
			return false, err
		}
		l.logf("the configuration changes")
	}
	time.Sleep(3 * time.Second)
	changed, run := 0, 0
	for k, path := range []string{"/lepu270/2f", "/lepu270//2f?a=1", "//lepu270/2f", "//2f/7?x=%2F", "/2f//7", "///2f"} {
		id := fmt.Sprintf("%016x", 0x9c41d07be2a35f68+uint64(k))
		status, err := get(l.nodes[0].caller, pathHost, path, id)
		l.logf("client: GET %s, id %s: status %d, error %v", path, id, status, err)
		u.mu.Lock()
		target, found := u.targets[id]
		u.mu.Unlock()
		if found {
			run++
		}
		if found && target != path {
			changed++
			l.logf("request %s was sent as %s and run as %s", id, path, target)
		}
	}
	l.logf("RESULT: %d requests run, %d of them with another path", run, changed)
	if run == 0 {
		return false, errors.New("no request was run")
	}
	return changed > 0, nil
}

func get(address, host, path, id string) (int, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 8000\r\n\r\n", path, host, standin.HeaderRequestID, id, standin.HeaderDeadline)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
