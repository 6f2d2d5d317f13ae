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

func init() { cases["early-answer"] = earlyAnswer }

// Figures of the case early-answer.
const (
	earlyHost     = "hulo84.example"
	earlyPath     = "/xapu221/ny95/upload"
	earlyBody     = 240 << 10 // the length of a request body
	earlyPiece    = 4 << 10   // a client sends a body in such pieces
	earlyPause    = 10 * time.Millisecond
	earlyAfter    = 96 << 10 // with trouble, an upstream answers when it has read so much
	earlyResponse = 6 << 10
	earlyRequests = 40
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

	mu       sync.Mutex
	verdicts map[string]string
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
	answered := false
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
		if u.l.trouble && !answered && offset >= earlyAfter && !answer() {
			return false
		}
		if errors.Is(err, io.EOF) {
			u.verdict(id, offset, wrongAt, true)
			return answered || answer()
		}
		if err != nil {
			u.verdict(id, offset, wrongAt, false)
			return false
		}
	}
}

// verdict records which bytes arrived. A body that breaks off is no fault; other bytes are, and so is the end of a body in
// the protocol before its last byte.
func (u *earlyUpstream) verdict(id string, received, wrongAt int, ended bool) {
	text := "whole"
	switch {
	case wrongAt >= 0:
		text = fmt.Sprintf("WRONG: other bytes from offset %d on, %d bytes in all", wrongAt, received)
	case ended && received != earlyBody:
		text = fmt.Sprintf("WRONG: the body ends in the protocol after %d of %d bytes", received, earlyBody)
	case !ended:
		text = fmt.Sprintf("broken off after %d bytes, all as sent", received)
	}
	u.l.logf("upstream %s, request %s: body %s", u.id, id, text)
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
	for k := range 4 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		u := &earlyUpstream{l: l, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+k), verdicts: map[string]string{}}
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
	answered := 0
	for k := range earlyRequests {
		n := l.nodes[k%len(l.nodes)]
		status, err := l.upload(n.caller, fmt.Sprintf("%016x", 0x9c41d07be2a35f68+uint64(k)*0x1f3d5b79), k%2 == 1)
		l.logf("client: request %d to %s: status %d, error %v", k, n.id, status, err)
		if status == http.StatusOK {
			answered++
		}
	}
	time.Sleep(500 * time.Millisecond)
	wrong, seen := 0, 0
	for _, u := range upstreams {
		u.mu.Lock()
		for _, v := range u.verdicts {
			seen++
			if strings.HasPrefix(v, "WRONG") {
				wrong++
			}
		}
		u.mu.Unlock()
	}
	l.logf("RESULT: %d requests sent, %d answered 200, %d bodies seen by upstreams, %d of them with other bytes", earlyRequests, answered, seen, wrong)
	if answered == 0 {
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
