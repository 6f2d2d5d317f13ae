package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

func TestDelivery(t *testing.T) {
	// Guards against the end of an attempt's context cutting the delivery that follows it.
	t.Run("a body longer than what is held arrives whole", func(t *testing.T) {
		body := strings.Repeat("x", heldBody+heldBody/2)
		b := newBackend(t, answering(func(id string) string { return response(id, "200 OK", body) }))
		e, w := exchange(NewPool(), "r1", true)
		assertAnswered(t, sendAndDeliver(e, b.Server), w, body)
	})
	// Guards against a new connection for each request.
	t.Run("a connection is used again", func(t *testing.T) {
		b := newBackend(t, answering(func(id string) string { return response(id, "200 OK", id) }))
		p := NewPool()
		for _, id := range []string{"r1", "r2", "r3"} {
			e, w := exchange(p, id, true)
			assertAnswered(t, sendAndDeliver(e, b.Server), w, id)
		}
		assertConnections(t, b, 1)
	})
	t.Run("a body without a length ends with its connection", func(t *testing.T) {
		b := newBackend(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n\r\nwhole")
		})
		e, w := exchange(NewPool(), "r1", true)
		assertAnswered(t, sendAndDeliver(e, b.Server), w, "whole")
	})
}

func TestForeignBytes(t *testing.T) {
	// Guards against a caller getting the response of another request.
	t.Run("a late second response is skipped", func(t *testing.T) {
		first := true
		b := newBackend(t, answering(func(id string) string {
			if first {
				first = false
				return response(id, "200 OK", id)
			}
			return response("r1", "200 OK", "late") + response(id, "200 OK", id)
		}))
		p := NewPool()
		for _, id := range []string{"r1", "r2"} {
			e, w := exchange(p, id, true)
			assertAnswered(t, sendAndDeliver(e, b.Server), w, id)
		}
		assertConnections(t, b, 1)
	})
	t.Run("a connection with extra bytes is not used again", func(t *testing.T) {
		b := newBackend(t, answering(func(id string) string { return response(id, "200 OK", id) + "extra" }))
		p := NewPool()
		for _, id := range []string{"r1", "r2"} {
			e, w := exchange(p, id, true)
			assertAnswered(t, sendAndDeliver(e, b.Server), w, id)
		}
		assertConnections(t, b, 2)
	})
	t.Run("a response to another request on a new connection is none", func(t *testing.T) {
		b := newBackend(t, answering(func(string) string { return response("other", "200 OK", "x") }))
		e, _ := exchange(NewPool(), "r1", true)
		assertFailed(t, sendAndDeliver(e, b.Server), fleet.Failed, true)
	})
	t.Run("a success without a signature is none", func(t *testing.T) {
		b := newBackend(t, answering(func(id string) string {
			return strings.Replace(response(id, "200 OK", "x"), "Signature: s\r\n", "", 1)
		}))
		e, _ := exchange(NewPool(), "r1", true)
		assertFailed(t, sendAndDeliver(e, b.Server), fleet.Failed, true)
	})
	t.Run("a body that breaks off is no response", func(t *testing.T) {
		b := newBackend(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Length: 10\r\n\r\nhalf")
		})
		e, _ := exchange(NewPool(), "r1", true)
		assertFailed(t, sendAndDeliver(e, b.Server), fleet.Failed, true)
	})
}

func TestAtMostOnce(t *testing.T) {
	// closing serves one request on each connection and then closes it without a word.
	closing := func(c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response(q.Header.Get("Request-Id"), "200 OK", "x"))
		_, _ = http.ReadRequest(r)
	}
	t.Run("an idempotent request survives an idle connection that the server forgot", func(t *testing.T) {
		b := newBackend(t, closing)
		p := NewPool()
		for _, id := range []string{"r1", "r2"} {
			e, w := exchange(p, id, true)
			assertAnswered(t, sendAndDeliver(e, b.Server), w, "x")
		}
	})
	// Guards against a booking that runs twice.
	t.Run("another request is not sent again once a byte was sent", func(t *testing.T) {
		b := newBackend(t, closing)
		p := NewPool()
		first, w := exchange(p, "r1", false)
		assertAnswered(t, sendAndDeliver(first, b.Server), w, "x")
		second, _ := exchange(p, "r2", false)
		assertFailed(t, sendAndDeliver(second, b.Server), fleet.Failed, true)
		assertConnections(t, b, 1)
	})
	t.Run("a connection that cannot be made sends nothing", func(t *testing.T) {
		l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // closed at once
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		e, _ := exchange(NewPool(), "r1", false)
		assertFailed(t, sendAndDeliver(e, fleet.BackendServer{Address: address}), fleet.Unreachable, false)
	})
	for _, c := range []struct {
		name, status, header string
		evidence             fleet.Evidence
	}{
		{"a shed request was not run", "503 Service Unavailable", "Not-Executed: 1", fleet.Shed},
		{"a request for another instance was not run", "421 Misdirected Request", "X: y", fleet.Draining},
		{"a 503 without the mark promises nothing", "503 Service Unavailable", "X: y", fleet.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBackend(t, answering(func(id string) string { return response(id, c.status, "", c.header) }))
			e, _ := exchange(NewPool(), "r1", false)
			assertFailed(t, sendAndDeliver(e, b.Server), c.evidence, true)
		})
	}
}

func TestIdleConnections(t *testing.T) {
	t.Run("the server's time is kept with a margin", func(t *testing.T) {
		for _, c := range []struct {
			header string
			want   time.Duration
		}{
			{"timeout=5", 5*time.Second - idleMargin}, {"timeout=1", time.Second - idleMargin}, {"", maxIdle},
			{"timeout=100", maxIdle}, {"max=3, timeout=4", 4*time.Second - idleMargin},
		} {
			if got := keepFor(http.Header{"Keep-Alive": {c.header}}); got != c.want {
				t.Errorf("Keep-Alive %q keeps the connection for %s, want %s", c.header, got, c.want)
			}
		}
	})
}
