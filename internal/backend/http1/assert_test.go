package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/http/dialect"
	"egretline.example/egretline/internal/transfer/transfercmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

var testHeaders = dialect.Headers{
	RequestID: "Request-Id", Deadline: "Deadline", ExpectInstance: "Expect-Instance", NotExecuted: "Not-Executed",
	Signature: "Signature", Leaving: "Leaving",
}

// openGate lets every request through.
type openGate struct{}

func (openGate) CheckSend(time.Time, fleet.BackendServer) error { return nil }

// closedGate withholds every request.
type closedGate struct{}

func (closedGate) CheckSend(time.Time, fleet.BackendServer) error { return errWithheld }

var errWithheld = errors.New("withheld")

// testBackend is a TCP server that runs a function for each connection.
type testBackend struct {
	Server fleet.BackendServer
	// Connections holds one element per accepted connection.
	Connections chan struct{}
}

// newTestBackend starts a server that runs until the test ends.
func newTestBackend(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) *testBackend {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	b := &testBackend{Server: fleet.BackendServer{Address: l.Addr().String(), Instance: "i-1"}, Connections: make(chan struct{}, 64)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.Connections <- struct{}{}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return b
}

// responseText returns a raw HTTP response to the request with the ID.
func responseText(id, status string, body string, headers ...string) string {
	lines := append([]string{"HTTP/1.1 " + status, "Request-Id: " + id, "Signature: s", "Content-Length: " + strconv.Itoa(len(body))}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// respondWith returns a connection handler that answers each request with the result of reply for its ID.
func respondWith(reply func(id string) string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			if _, err := io.WriteString(c, reply(q.Header.Get("Request-Id"))); err != nil {
				return
			}
		}
	}
}

// newExchange returns an exchange for a new request and the recorder of its response.
func newExchange(p *Pool, id string, idempotent bool) (*Exchange, *httptest.ResponseRecorder) {
	in := httptest.NewRequest(http.MethodGet, "/a/b?c=d", nil)
	w := httptest.NewRecorder()
	return &Exchange{
		Pool: p, Gate: openGate{}, Headers: testHeaders, Request: in, Delivery: NewDelivery(w, newAccount(hostBytes)), RequestID: id,
		Idempotent: idempotent, ResponseDeadline: time.Now().Add(10 * time.Second),
	}, w
}

// hostBytes is the byte budget of the smallest hosts, which have 184 MB of memory.
const hostBytes = 46 << 20

// newAccount returns the account of a request under a byte budget.
func newAccount(limitBytes int64) *transfercmd.Account {
	return transfercmd.New(table.New(fleet.Host{}, ""), limitBytes, zerolog.Nop()).Open(0, 1)
}

// sendAndDeliver uses an exchange as the dispatcher does: the context of the attempt ends before the delivery.
func sendAndDeliver(e *Exchange, s fleet.BackendServer) table.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	r := e.Send(ctx, s)
	cancel()
	if !r.Response {
		e.Discard()
		return r
	}
	return deliver(e)
}

// deliver passes the response to the caller, as the worker and the front end do.
func deliver(e *Exchange) table.Result {
	result := make(chan table.Result, 1)
	go func() { result <- e.Deliver(context.Background()) }()
	<-e.Delivery.Started
	err := e.Delivery.Run()
	r := <-result
	if err != nil && r.Err == nil {
		r.Err = err
	}
	return r
}

func assertAnswered(t *testing.T, r table.Result, w *httptest.ResponseRecorder, body string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(r.Err)
	is.Equal(r.Outcome, fleet.Answered)
	is.True(w.Body.String() == body)
}

func assertFailed(t *testing.T, r table.Result, e fleet.Evidence, sent bool) {
	t.Helper()
	is := is.New(t)
	is.True(r.Err != nil)
	is.Equal(r.Evidence, e)
	is.Equal(r.Sent, sent)
	is.True(!r.Response)
}

func assertConnections(t *testing.T, b *testBackend, want int) {
	t.Helper()
	is.New(t).Equal(len(b.Connections), want)
}
