package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

func TestDelivery(t *testing.T) {
	// Guards against the end of an attempt's context aborting the delivery that follows it.
	t.Run("a body larger than the buffer is delivered completely", func(t *testing.T) {
		body := strings.Repeat("x", maxBufferedResponseBytes+maxBufferedResponseBytes/2)
		b := newTestBackend(t, respondWith(func(id string) string { return responseText(id, "200 OK", body) }))
		e, w := newExchange(NewPool(), "r1", true)
		assertAnswered(t, sendAndDeliver(e, b.Server), w, body)
	})
	// Guards against opening a new connection for each request.
	t.Run("a connection is reused", func(t *testing.T) {
		b := newTestBackend(t, respondWith(func(id string) string { return responseText(id, "200 OK", id) }))
		p := NewPool()
		for _, id := range []string{"r1", "r2", "r3"} {
			e, w := newExchange(p, id, true)
			assertAnswered(t, sendAndDeliver(e, b.Server), w, id)
		}
		assertConnections(t, b, 1)
	})
	t.Run("a body without a length ends when the connection closes", func(t *testing.T) {
		b := newTestBackend(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n\r\nwhole")
		})
		e, w := newExchange(NewPool(), "r1", true)
		assertAnswered(t, sendAndDeliver(e, b.Server), w, "whole")
	})
}

func TestForeignBytes(t *testing.T) {
	// Guards against delivering the response to another request.
	t.Run("a late duplicate of an earlier response is skipped", func(t *testing.T) {
		first := true
		b := newTestBackend(t, respondWith(func(id string) string {
			if first {
				first = false
				return responseText(id, "200 OK", id)
			}
			return responseText("r1", "200 OK", "late") + responseText(id, "200 OK", id)
		}))
		p := NewPool()
		for _, id := range []string{"r1", "r2"} {
			e, w := newExchange(p, id, true)
			assertAnswered(t, sendAndDeliver(e, b.Server), w, id)
		}
		assertConnections(t, b, 1)
	})
	t.Run("a connection with extra bytes is not reused", func(t *testing.T) {
		b := newTestBackend(t, respondWith(func(id string) string { return responseText(id, "200 OK", id) + "extra" }))
		p := NewPool()
		for _, id := range []string{"r1", "r2"} {
			e, w := newExchange(p, id, true)
			assertAnswered(t, sendAndDeliver(e, b.Server), w, id)
		}
		assertConnections(t, b, 2)
	})
	t.Run("a response to another request on a new connection is an error", func(t *testing.T) {
		b := newTestBackend(t, respondWith(func(string) string { return responseText("other", "200 OK", "x") }))
		e, _ := newExchange(NewPool(), "r1", true)
		assertFailed(t, sendAndDeliver(e, b.Server), fleet.Failed, true)
	})
	t.Run("a success without a signature is an error", func(t *testing.T) {
		b := newTestBackend(t, respondWith(func(id string) string {
			return strings.Replace(responseText(id, "200 OK", "x"), "Signature: s\r\n", "", 1)
		}))
		e, _ := newExchange(NewPool(), "r1", true)
		assertFailed(t, sendAndDeliver(e, b.Server), fleet.Failed, true)
	})
	t.Run("a truncated body is an error", func(t *testing.T) {
		b := newTestBackend(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Length: 10\r\n\r\nhalf")
		})
		e, _ := newExchange(NewPool(), "r1", true)
		assertFailed(t, sendAndDeliver(e, b.Server), fleet.Failed, true)
	})
}

func TestAtMostOnce(t *testing.T) {
	// serveOnce answers one request on each connection and closes the connection when the next one arrives.
	serveOnce := func(c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, responseText(q.Header.Get("Request-Id"), "200 OK", "x"))
		_, _ = http.ReadRequest(r)
	}
	// Guards against arrivals that the retry budget does not know of, and against evidence against a sound server.
	t.Run("an idempotent request is not sent again by itself if the server closes the idle connection", func(t *testing.T) {
		b := newTestBackend(t, serveOnce)
		p := NewPool()
		p.MaxIdleResetDelay = time.Hour
		first, w := newExchange(p, "r1", true)
		assertAnswered(t, sendAndDeliver(first, b.Server), w, "x")
		second, w := newExchange(p, "r2", true)
		assertFailed(t, sendAndDeliver(second, b.Server), fleet.IdleClosed, true)
		assertConnections(t, b, 1)
		assertAnswered(t, sendAndDeliver(second, b.Server), w, "x") // the dispatcher's next attempt
		assertConnections(t, b, 2)
	})
	// Guards against the same connection error for a second time: a server closes its idle connections together.
	t.Run("the next attempt of the request opens a connection", func(t *testing.T) {
		b := newTestBackend(t, serveOnce)
		p := NewPool()
		p.MaxIdleResetDelay = time.Hour
		warm := make([]*Exchange, 2)
		for k := range warm {
			warm[k], _ = newExchange(p, "r1", true)
			warm[k].Send(context.Background(), b.Server)
		}
		for _, e := range warm {
			e.Discard()
		}
		e, w := newExchange(p, "r2", true)
		assertFailed(t, sendAndDeliver(e, b.Server), fleet.IdleClosed, true)
		assertAnswered(t, sendAndDeliver(e, b.Server), w, "x")
	})
	t.Run("a server that resets the connection later has failed", func(t *testing.T) {
		b := newTestBackend(t, serveOnce)
		p := NewPool()
		p.MaxIdleResetDelay = 0
		first, w := newExchange(p, "r1", true)
		assertAnswered(t, sendAndDeliver(first, b.Server), w, "x")
		second, _ := newExchange(p, "r2", true)
		assertFailed(t, sendAndDeliver(second, b.Server), fleet.Failed, true)
	})
	// Guards against a booking running twice.
	t.Run("a non-idempotent request is not retried once a byte was sent", func(t *testing.T) {
		b := newTestBackend(t, serveOnce)
		p := NewPool()
		first, w := newExchange(p, "r1", false)
		assertAnswered(t, sendAndDeliver(first, b.Server), w, "x")
		second, _ := newExchange(p, "r2", false)
		assertFailed(t, sendAndDeliver(second, b.Server), fleet.Failed, true)
		assertConnections(t, b, 1)
	})
	t.Run("a failed connect sends nothing", func(t *testing.T) {
		l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // closed at once
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		e, _ := newExchange(NewPool(), "r1", false)
		assertFailed(t, sendAndDeliver(e, fleet.BackendServer{Address: address}), fleet.Unreachable, false)
	})
	for _, c := range []struct {
		name, status, header string
		evidence             fleet.Evidence
	}{
		{"a shed request was not run", "503 Service Unavailable", "Not-Executed: 1", fleet.Shed},
		{"a request for another instance was not run", "421 Misdirected Request", "X: y", fleet.Draining},
		{"a 503 without the Not-Executed header may have run", "503 Service Unavailable", "X: y", fleet.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBackend(t, respondWith(func(id string) string { return responseText(id, c.status, "", c.header) }))
			e, _ := newExchange(NewPool(), "r1", false)
			assertFailed(t, sendAndDeliver(e, b.Server), c.evidence, true)
		})
	}
}

func TestIdleConnections(t *testing.T) {
	t.Run("the server's keep-alive timeout is shortened by a margin", func(t *testing.T) {
		for _, c := range []struct {
			header string
			want   time.Duration
		}{
			{"timeout=5", 5*time.Second - idleCloseMargin}, {"timeout=1", time.Second - idleCloseMargin}, {"", maxIdleDuration},
			{"timeout=100", maxIdleDuration}, {"max=3, timeout=4", 4*time.Second - idleCloseMargin},
		} {
			if got := idleTimeoutFromHeader(http.Header{"Keep-Alive": {c.header}}); got != c.want {
				t.Errorf("Keep-Alive %q gives an idle timeout of %s, want %s", c.header, got, c.want)
			}
		}
	})
}
