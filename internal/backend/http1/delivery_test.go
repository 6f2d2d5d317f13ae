package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/internal/decide/bytebudget"
	"egretline.example/egretline/internal/transfer/transfercmd"
	"egretline.example/egretline/internal/transfer/transferquery"
	"egretline.example/egretline/pkg/fleet"
)

// longText has other bytes at each distance that a lost or repeated piece would have.
var longText = sync.OnceValue(func() string {
	b := make([]byte, 0, 4<<20)
	for k := 0; len(b) < 3<<20; k++ {
		b = strconv.AppendInt(b, int64(k), 10)
	}
	return string(b)
})

// longBody returns a body of at most 3 MB.
func longBody(length int) string { return longText()[:length] }

// framedResponse returns the response to request r1 whose body has a length, is in chunks of random sizes, or ends with its
// connection.
func framedResponse(framing, body string) string {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case "chunks":
		rng := rand.New(rand.NewPCG(1, uint64(len(body))))
		var b strings.Builder
		for b.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n"); body != ""; {
			n := min(1+rng.IntN(50_000), len(body))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		return b.String() + "0\r\n\r\n"
	default:
		return head + "\r\n" + body
	}
}

// assertReturned checks that no bytes of responses are held.
func assertReturned(t *testing.T, a *transfercmd.Account) {
	t.Helper()
	is.New(t).Equal((&transferquery.Queries{Tables: a.Commands.Tables}).Usage().ResponseBytes, int64(0))
}

// newLongExchange returns an exchange for request r1 under a byte budget.
func newLongExchange(limitBytes int64, w http.ResponseWriter) (*Exchange, *transfercmd.Account) {
	e, _ := newExchange(NewPool(), "r1", true)
	account := newAccount(limitBytes)
	e.Delivery = NewDelivery(w, account)
	e.Pool.Dialer.Timeout = time.Minute // a busy machine may take longer than DialTimeout
	return e, account
}

// TestBudgetedDelivery guards against a response that a short byte budget changes: a lost, repeated or reordered piece, an end
// that does not come, or bytes that stay counted.
func TestBudgetedDelivery(t *testing.T) {
	for _, limit := range []int64{0, 8 << 10, 40 << 10, 300 << 10, 2 << 20, hostBytes} {
		for _, framing := range []string{"length", "chunks", "close"} {
			for _, length := range []int{0, 1, 4000, 32 << 10, 100_000, maxBufferedResponseBytes, 1_500_000} {
				t.Run(fmt.Sprintf("%d bytes with %s under %d", length, framing, limit), func(t *testing.T) {
					body := longBody(length)
					b := newTestBackend(t, cutServer(framedResponse(framing, body)))
					w := httptest.NewRecorder()
					e, account := newLongExchange(limit, w)
					assertAnswered(t, sendAndDeliver(e, b.Server), w, body)
					assertReturned(t, account)
				})
			}
		}
	}
	for _, limit := range []int64{0, 300 << 10, hostBytes} {
		for _, framing := range []string{"length", "chunks"} {
			t.Run(fmt.Sprintf("a response with %s that breaks off under %d", framing, limit), func(t *testing.T) {
				whole := framedResponse(framing, longBody(1_500_000))
				b := newTestBackend(t, cutServer(whole[:1_000_000]))
				e, account := newLongExchange(limit, httptest.NewRecorder())
				r := sendAndDeliver(e, b.Server)
				is.New(t).True(r.Aborted && r.Err != nil)
				account.End()
				assertReturned(t, account)
			})
		}
	}
}

// stalledWriter is a caller that reads nothing until it resumes, or that leaves.
type stalledWriter struct {
	*httptest.ResponseRecorder
	resume <-chan error
}

func (w stalledWriter) Write(p []byte) (int, error) {
	if err := <-w.resume; err != nil {
		return 0, err
	}
	return w.ResponseRecorder.Write(p)
}

// assertClosed checks that the connection of the server was closed, before or after the response had filled the socket buffers.
func assertClosed(t *testing.T, sent <-chan error) {
	t.Helper()
	for err := range sent {
		if err != nil {
			return
		}
	}
}

// TestSlowCaller guards against a caller that reads nothing and thereby holds a slot of the backend server, or makes the server
// cut the response off because it lies unread.
func TestSlowCaller(t *testing.T) {
	body := longBody(3 << 20)
	newServer := func(t *testing.T) (*testBackend, <-chan error) {
		t.Helper()
		sent := make(chan error, 2)
		return newTestBackend(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			if _, err := io.WriteString(c, framedResponse("length", body)); err == nil {
				sent <- nil
			}
			_, err := r.ReadByte() // until the connection is closed
			sent <- err
		}), sent
	}
	t.Run("the response is read while the caller reads nothing", func(t *testing.T) {
		is := is.New(t)
		b, sent := newServer(t)
		resume := make(chan error)
		w := stalledWriter{httptest.NewRecorder(), resume}
		e, account := newLongExchange(hostBytes, w)
		is.True(e.Send(t.Context(), b.Server).Response)
		delivered := make(chan error, 1)
		go func() {
			<-e.Delivery.Started
			delivered <- e.Delivery.Run()
		}()
		is.NoErr(e.Deliver(t.Context()).Err) // the worker and the slot are free
		is.NoErr(<-sent)
		close(resume)
		is.NoErr(<-delivered)
		is.True(w.Body.String() == body)
		assertReturned(t, account)
	})
	t.Run("bytes that come back let a slowed transfer read on", func(t *testing.T) {
		is := is.New(t)
		b, sent := newServer(t)
		transfers := newAccount(hostBytes).Commands
		var others []*transfercmd.Account
		for other := transfers.Open(0, 1); other.TryTake(bytebudget.Responses, 64<<10); other = transfers.Open(0, 1) {
			others = append(others, other)
		}
		w := stalledWriter{httptest.NewRecorder(), make(chan error)}
		e, _ := newLongExchange(hostBytes, w)
		e.Delivery = NewDelivery(w, transfers.Open(0, 1))
		is.True(e.Send(t.Context(), b.Server).Response)
		result := make(chan error, 1)
		go func() { result <- e.Deliver(t.Context()).Err }()
		<-e.Delivery.Started
		for _, other := range others {
			other.End()
		}
		is.NoErr(<-result)
		is.NoErr(<-sent)
	})
	t.Run("a caller that leaves ends the reading of the response", func(t *testing.T) {
		for _, limit := range []int64{0, 1 << 20} { // the transfer is slowed
			is := is.New(t)
			b, sent := newServer(t)
			resume := make(chan error, 1)
			e, account := newLongExchange(limit, stalledWriter{httptest.NewRecorder(), resume})
			is.True(e.Send(t.Context(), b.Server).Response)
			resume <- io.ErrClosedPipe
			r := deliver(e)
			is.True(r.Aborted)
			is.Equal(r.Evidence, fleet.Canceled) // no evidence against the server
			assertClosed(t, sent)
			account.End()
			assertReturned(t, account)
		}
	})
	t.Run("a deadline ends a slowed transfer", func(t *testing.T) {
		is := is.New(t)
		b, sent := newServer(t)
		e, account := newLongExchange(0, stalledWriter{httptest.NewRecorder(), nil})
		is.True(e.Send(t.Context(), b.Server).Response)
		ctx, cancel := context.WithCancelCause(t.Context())
		go func() {
			<-e.Delivery.Started
			cancel(context.DeadlineExceeded)
		}()
		r := e.Deliver(ctx)
		is.True(r.Aborted && errors.Is(r.Err, context.DeadlineExceeded))
		assertClosed(t, sent)
		account.End()
		assertReturned(t, account)
	})
}

// TestExchangedBytes guards against responses without length that count as nothing in the traffic between availability zones.
func TestExchangedBytes(t *testing.T) {
	for framing, want := range map[string]int64{"length": 1_500_000, "chunks": maxBufferedResponseBytes, "close": maxBufferedResponseBytes} {
		t.Run(framing, func(t *testing.T) {
			b := newTestBackend(t, cutServer(framedResponse(framing, longBody(1_500_000))))
			e, _ := newLongExchange(hostBytes, httptest.NewRecorder())
			defer e.Discard()
			is.New(t).Equal(e.Send(t.Context(), b.Server).Bytes, want)
		})
	}
}
