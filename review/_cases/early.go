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
	"sync/atomic"
	"time"

	"egretline.example/egretline/platform/standin"
)

func init() { cases["early-answer"] = earlyAnswer }

// Figures of the case early-answer.
const (
	earlyHost      = "hulo84.example"
	earlyPath      = "/xapu221/ny95/upload"
	earlyUpstreams = 10
	earlyGarbling  = 5  // upstreams that answer early at times, a share of 0.5
	earlyEvery     = 50 // such an upstream answers one in 50 requests early, 0.02 of its answers
	earlyFirst     = 15 // the first of them
	earlyClients   = 54 // at a time, nine tenths of what the upstreams can run
	earlyFrom      = 5 * time.Second
	earlyUntil     = earlyFrom + 5*time.Second // 5 s with early answers
	earlyFor       = 15 * time.Second
	earlyBody      = 200 << 10 // the length of a request body
	earlyPiece     = 4 << 10   // a client sends a body in such pieces
	earlyPause     = 10 * time.Millisecond
	earlyAfter     = 80 << 10 // an early answer comes when so much of the body has been read
	earlyResponse  = 6 << 10
)

// bodyByte is the byte of a request's body at the offset. It makes each block of 8 bytes distinct.
func bodyByte(id string, offset int) byte {
	block := offset / 8
	return id[offset%len(id)] ^ byte(block) ^ byte(block>>8)*31
}

func bodyOf(id string) []byte {
	body := make([]byte, earlyBody)
	for i := range body {
		body[i] = bodyByte(id, i)
	}
	return body
}

// earlyUpstream is an upstream that may answer before it has read a long body, keeps the connection and reads on.
type earlyUpstream struct {
	l  *lab
	id string
	// garbling reports whether the upstream answers early at times.
	garbling bool

	// from and until bound the time in which it does.
	from, until time.Time

	mu       sync.Mutex
	requests int // in that time
	early    int
	verdicts map[string]string
}

// answersEarly reports whether the upstream answers its next request early.
func (u *earlyUpstream) answersEarly() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if !u.l.trouble || !u.garbling || now.Before(u.from) || now.After(u.until) {
		return false
	}
	u.requests++
	if u.requests%earlyEvery != earlyFirst {
		return false
	}
	u.early++
	return true
}

func (u *earlyUpstream) serve(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(c)
	}
}

func (u *earlyUpstream) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !u.serveRequest(c, request) {
			return
		}
	}
}

func (u *earlyUpstream) serveRequest(c net.Conn, request *http.Request) bool {
	id := request.Header.Get(standin.HeaderRequestID)
	if e := request.Header.Get(names["expect-instance"]); e != "" && e != u.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", standin.HeaderRequestID, id)
		return false
	}
	early, answered := u.answersEarly(), false
	answer := func() bool {
		answered = true
		body := strings.Repeat("r", earlyResponse)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
			standin.HeaderRequestID, id, standin.HeaderSignature, u.id, id, len(body), body)
		return err == nil
	}
	offset, wrongAt := 0, -1
	buffer := make([]byte, 4<<10)
	for {
		n, err := request.Body.Read(buffer)
		for _, b := range buffer[:n] {
			if wrongAt < 0 && (offset >= earlyBody || b != bodyByte(id, offset)) {
				wrongAt = offset
			}
			offset++
		}
		if early && !answered && offset >= earlyAfter && !answer() {
			return false
		}
		if errors.Is(err, io.EOF) {
			u.verdict(id, offset, wrongAt, true, early)
			return answered || answer()
		}
		if err != nil {
			u.verdict(id, offset, wrongAt, false, early)
			return false
		}
	}
}

// verdict records which bytes arrived. A body that breaks off is no fault; other bytes are, and so is the end of a body in
// the protocol before its last byte.
func (u *earlyUpstream) verdict(id string, received, wrongAt int, ended, early bool) {
	text := "whole"
	switch {
	case wrongAt >= 0:
		text = fmt.Sprintf("WRONG: other bytes from offset %d on, %d bytes in all", wrongAt, received)
	case ended && received != earlyBody:
		text = fmt.Sprintf("WRONG: the body ends in the protocol after %d of %d bytes", received, earlyBody)
	case !ended:
		text = fmt.Sprintf("broken off after %d bytes, all as sent", received)
	}
	if early || text != "whole" {
		u.l.logf("upstream %s, request %s, answered early %v: body %s", u.id, id, early, text)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.verdicts[id] = text
}

// earlyAnswer sends long bodies at a moderate pace to upstreams that answer before the whole body is in.
func earlyAnswer(l *lab, dir string) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := l.putConfig(dir + "/config.json"); err != nil {
		return false, err
	}
	var upstreams []*earlyUpstream
	for k := range earlyUpstreams {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		u := &earlyUpstream{
			l: l, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+k), garbling: k < earlyGarbling, verdicts: map[string]string{},
		}
		upstreams = append(upstreams, u)
		go u.serve(listener)
		l.register(ctx, u.id, "wuno96b", "mid-a", listener.Addr().String())
	}
	for _, zone := range []string{"mid-a", "mid-b"} {
		if _, err := l.addNode(zone); err != nil {
			return false, err
		}
	}
	if err := l.startNodes(); err != nil {
		return false, err
	}
	if err := l.awaitFleet(earlyHost); err != nil {
		return false, err
	}
	var running sync.WaitGroup
	var sent, answered atomic.Int64
	begin := time.Now()
	end := begin.Add(earlyFor)
	for _, u := range upstreams {
		u.mu.Lock()
		u.from, u.until = begin.Add(earlyFrom), begin.Add(earlyUntil)
		u.mu.Unlock()
	}
	for client := range earlyClients {
		n := l.nodes[client%len(l.nodes)]
		running.Go(func() {
			for time.Now().Before(end) {
				k := sent.Add(1)
				id := fmt.Sprintf("%016x", 0x9c41d07be2a35f68+uint64(k)*0x1f3d5b79)
				status, err := l.upload(n.caller, id, k%2 == 1)
				if status == http.StatusOK {
					answered.Add(1)
				} else {
					l.logf("client: request %s to %s: status %d, error %v", id, n.id, status, err)
				}
			}
		})
	}
	running.Wait()
	time.Sleep(500 * time.Millisecond)
	wrong, seen, early := 0, 0, 0
	for _, u := range upstreams {
		u.mu.Lock()
		early += u.early
		for _, v := range u.verdicts {
			seen++
			if strings.HasPrefix(v, "WRONG") {
				wrong++
			}
		}
		u.mu.Unlock()
	}
	l.logf("RESULT: %d requests sent, %d answered 200, %d seen by upstreams, %d answered early, %d bodies with other bytes",
		sent.Load(), answered.Load(), seen, early, wrong)
	if answered.Load() == 0 {
		return false, errors.New("no request was answered")
	}
	return wrong > 0, nil
}

// upload sends one request with a long body in pieces, with a length or in chunks, and reads the response to its end.
func (l *lab) upload(address, id string, chunked bool) (int, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	framing := fmt.Sprintf("Content-Length: %d", earlyBody)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 12000\r\n%s\r\n\r\n",
		earlyPath, earlyHost, standin.HeaderRequestID, id, standin.HeaderDeadline, framing)
	go func() {
		body := bodyOf(id)
		for len(body) > 0 {
			piece := body[:min(earlyPiece, len(body))]
			body = body[len(piece):]
			if chunked {
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
			} else if _, err := c.Write(piece); err != nil {
				return
			}
			time.Sleep(earlyPause)
		}
		if chunked {
			fmt.Fprint(c, "0\r\n\r\n")
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
