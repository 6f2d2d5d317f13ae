package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// refusalText returns a refusal of the request with the ID, or one without an ID.
func refusalText(id string) string {
	text := responseText(id, "503 Service Unavailable", "", "Not-Executed: 1")
	if id == "" {
		text = strings.Replace(text, "Request-Id: \r\n", "", 1)
	}
	return text
}

// serveRefusalAgain refuses the first request on a connection, sends the refusal of the request with the ID again while it
// runs the next one, and then answers that one.
func serveRefusalAgain(repeatedID string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for first := true; ; first = false {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := q.Header.Get("Request-Id")
			if first {
				_, _ = io.WriteString(c, refusalText(id))
				continue
			}
			_, _ = io.WriteString(c, refusalText(repeatedID)+responseText(id, "200 OK", id))
		}
	}
}

func send(t *testing.T, p *Pool, id string, s fleet.BackendServer) table.Result {
	t.Helper()
	e, _ := newExchange(p, id, false)
	return sendAndRelease(e, s)
}

// sendAndRelease uses an exchange as the dispatcher does for an attempt without a response, after which the connection may
// be used again.
func sendAndRelease(e *Exchange, s fleet.BackendServer) table.Result {
	r := e.Send(context.Background(), s)
	if r.Response {
		return deliver(e)
	}
	e.Discard()
	return r
}

// assertMayHaveRun checks that the result is not taken for a proof that the request did not run.
func assertMayHaveRun(t *testing.T, r table.Result) {
	t.Helper()
	is := is.New(t)
	is.True(r.Sent)
	is.True(!errors.As(r.Err, &NotExecutedError{}))
	is.True(r.Evidence != fleet.Shed && r.Evidence != fleet.Draining)
}

func assertRefused(t *testing.T, r table.Result) {
	t.Helper()
	is := is.New(t)
	is.Equal(r.Evidence, fleet.Shed)
	is.True(errors.As(r.Err, &NotExecutedError{}))
}

// Guards against callers that are told to repeat a request which a server runs: a faulty server sends the refusal of an
// earlier request once more on a kept connection, and it is taken for the response to the current one.
func TestRepeatedRefusal(t *testing.T) {
	t.Run("a refusal without a request ID", func(t *testing.T) {
		b, p := newTestBackend(t, serveRefusalAgain("")), NewPool()
		assertRefused(t, send(t, p, "r1", b.Server))
		assertMayHaveRun(t, send(t, p, "r2", b.Server))
		assertConnections(t, b, 1)
	})
	t.Run("a refusal of another request is skipped", func(t *testing.T) {
		b, p := newTestBackend(t, serveRefusalAgain("r1")), NewPool()
		assertRefused(t, send(t, p, "r1", b.Server))
		e, w := newExchange(p, "r2", false)
		assertAnswered(t, sendAndDeliver(e, b.Server), w, "r2")
		assertConnections(t, b, 1)
	})
	t.Run("a refusal of the same request, which is tried again", func(t *testing.T) {
		b, p := newTestBackend(t, serveRefusalAgain("r1")), NewPool()
		e, _ := newExchange(p, "r1", false)
		assertRefused(t, sendAndRelease(e, b.Server))
		assertRefused(t, sendAndRelease(e, b.Server)) // on another connection, where it is the first request
		assertConnections(t, b, 2)
	})
	t.Run("a refusal that arrives before the request is written", func(t *testing.T) {
		taken, refused := make(chan struct{}), make(chan struct{})
		b := newTestBackend(t, func(c net.Conn, r *bufio.Reader) {
			q, _ := http.ReadRequest(r)
			_, _ = io.WriteString(c, responseText(q.Header.Get("Request-Id"), "200 OK", "x"))
			<-taken
			_, _ = io.WriteString(c, refusalText(""))
			close(refused)
			_, _ = http.ReadRequest(r)
		})
		p := NewPool()
		assertSent(t, send(t, p, "r1", b.Server))
		e, _ := newExchange(p, "r2", false)
		e.Gate = gateFunc(func() {
			close(taken)
			<-refused
		})
		assertMayHaveRun(t, sendAndDeliver(e, b.Server))
		assertConnections(t, b, 1)
	})
	t.Run("a refusal before the request is written whole", func(t *testing.T) {
		for id, assert := range map[string]func(*testing.T, table.Result){"": assertMayHaveRun, "r0": assertMayHaveRun, "r2": assertRefused} {
			b := newTestBackend(t, func(c net.Conn, r *bufio.Reader) {
				q, _ := http.ReadRequest(r)
				_, _ = io.WriteString(c, responseText(q.Header.Get("Request-Id"), "200 OK", "x"))
				if _, err := http.ReadRequest(r); err == nil { // the head; its body never ends
					_, _ = io.WriteString(c, refusalText(id))
				}
				_, _ = io.Copy(io.Discard, io.LimitReader(r, 1))
			})
			p := NewPool()
			assertSent(t, send(t, p, "r1", b.Server))
			e, _ := newExchange(p, "r2", false)
			body, upload := io.Pipe()
			e.Request.ContentLength, e.RemainingBody = 1<<20, body
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			r := e.Send(ctx, b.Server)
			cancel()
			_ = upload.Close()
			e.Discard()
			assert(t, r)
			is.New(t).True(r.BodyLost)
		}
	})
	t.Run("a refusal with a successful status", func(t *testing.T) {
		b := newTestBackend(t, respondWith(func(id string) string { return responseText(id, "200 OK", "", "Not-Executed: 1") }))
		assertMayHaveRun(t, send(t, NewPool(), "r1", b.Server))
	})
	t.Run("a connection with many refusals is closed", func(t *testing.T) {
		b, p := newTestBackend(t, respondWith(refusalText)), NewPool()
		for range maxRefusedIDs + 1 {
			assertRefused(t, send(t, p, "r"+time.Now().String(), b.Server))
		}
		assertConnections(t, b, 2)
	})
}

func assertSent(t *testing.T, r table.Result) {
	t.Helper()
	is.New(t).NoErr(r.Err)
}

// gateFunc is a gate that runs a function and lets the request through.
type gateFunc func()

func (g gateFunc) CheckSend(time.Time, fleet.BackendServer) error {
	g()
	return nil
}

// Guards against requests to a server that asked for no more of them.
func TestNotice(t *testing.T) {
	for _, c := range []struct {
		name, status string
		headers      []string
		leaving      bool
		pause        time.Duration
	}{
		{"a server that is leaving", "200 OK", []string{"Leaving: 1"}, true, 0},
		{"another value of the header", "200 OK", []string{"Leaving: 0"}, false, 0},
		{"a pause", "503 Service Unavailable", []string{"Not-Executed: 1", "Retry-After: 1.5"}, false, 1500 * time.Millisecond},
		{"a pause without a refusal", "503 Service Unavailable", []string{"Retry-After: 2"}, false, 2 * time.Second},
		{"Retry-After with another status", "429 Too Many Requests", []string{"Not-Executed: 1", "Retry-After: 2"}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestBackend(t, respondWith(func(id string) string { return responseText(id, c.status, "", c.headers...) }))
			e, _ := newExchange(NewPool(), "r1", true)
			r := e.Send(context.Background(), b.Server)
			e.Discard()
			is.Equal(r.Leaving, c.leaving)
			is.Equal(r.PauseFor, c.pause)
			is.NoErr(r.PauseErr)
		})
	}
	t.Run("a request is withheld after a server was chosen", func(t *testing.T) {
		b := newTestBackend(t, respondWith(func(id string) string { return responseText(id, "200 OK", id) }))
		e, _ := newExchange(NewPool(), "r1", false)
		e.Gate = closedGate{}
		r := sendAndDeliver(e, b.Server)
		assertFailed(t, r, fleet.Withheld, false)
		is.New(t).True(errors.Is(r.Err, errWithheld))
	})
}
