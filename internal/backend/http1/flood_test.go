package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

// floodBytes is how much a flooding server sends. A host of the smallest kind has 184 MB of memory.
const floodBytes = 64 << 20

// floodWith returns a connection handler that answers each request with the prefix and then the text again and again, and
// that closes the connection after floodBytes.
func floodWith(prefix, text string) func(net.Conn, *bufio.Reader) {
	block := []byte(strings.Repeat(text, 1+(16<<10)/len(text)))
	return func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, err := io.WriteString(c, prefix)
		for sent := 0; err == nil && sent < floodBytes; sent += len(block) {
			_, err = c.Write(block)
		}
	}
}

// floodBody is the head of a response to request r1 without a body length.
const floodBody = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"

// assertAllocated checks how much memory fn allocates, of which the garbage collector may free a part.
func assertAllocated(t *testing.T, limit uint64, fn func()) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	if got := after.TotalAlloc - before.TotalAlloc; got > limit {
		t.Errorf("%d MB allocated, limit %d MB", got>>20, limit>>20)
	}
}

// Guards against a faulty server whose bytes have no end: they filled the memory of the host, or held the request until
// its deadline.
func TestFlood(t *testing.T) {
	for _, c := range []struct {
		name, prefix, text string
		want               any
	}{
		{"a status line", "HTTP/1.1 200 ", "O", &HeadLimitError{}},
		{"bytes that are no response", "", "garbage", &NotHTTPError{}},
		{"one header line", "HTTP/1.1 200 OK\r\nX: ", "y", &HeadLimitError{}},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n", &HeadLimitError{}},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", &HeadLimitError{}},
		{"one chunk size", floodBody + "Transfer-Encoding: chunked\r\n\r\n", "0", &ExchangeError{}},
		{"chunk extensions", floodBody + "Transfer-Encoding: chunked\r\n\r\n1;", "x", &ExchangeError{}},
		{"trailers", floodBody + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X: y\r\n", &ExchangeError{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, idempotent := range []bool{true, false} {
				b := newTestBackend(t, floodWith(c.prefix, c.text))
				e, _ := newExchange(NewPool(), "r1", idempotent)
				assertAllocated(t, 8<<20, func() {
					r := sendAndDeliver(e, b.Server)
					assertFailed(t, r, fleet.Failed, true)
					is.New(t).True(errors.As(r.Err, c.want))
				})
				assertConnections(t, b, 1)
			}
		})
	}
	t.Run("a body is passed on without being kept", func(t *testing.T) {
		b := newTestBackend(t, floodWith(floodBody+"\r\n", "x"))
		e, _ := newExchange(NewPool(), "r1", true)
		e.Delivery.Writer = discardWriter{}
		assertAllocated(t, 8<<20, func() {
			is.New(t).True(e.Send(context.Background(), b.Server).Response)
			is.New(t).NoErr(deliver(e).Err)
		})
	})
	t.Run("the body of a refusal does not hold the request", func(t *testing.T) {
		for _, body := range []string{"Transfer-Encoding: chunked\r\n\r\n", "Content-Length: 10\r\n\r\n", "\r\n"} {
			b := newTestBackend(t, func(c net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"+body)
				_, _ = r.ReadByte() // until the connection is closed
			})
			e, _ := newExchange(NewPool(), "r1", false)
			is.New(t).Equal(e.Send(context.Background(), b.Server).Evidence, fleet.Shed)
			e.Discard() // returns although the context of the attempt never ends
		}
	})
	t.Run("a head that arrives byte by byte ends the attempt", func(t *testing.T) {
		b := newTestBackend(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX: ")
			_, _ = r.ReadByte() // until the connection is closed
		})
		e, _ := newExchange(NewPool(), "r1", false)
		r := e.Send(context.Background(), b.Server)
		e.Discard()
		assertFailed(t, r, fleet.Failed, true)
		is.New(t).True(errors.As(r.Err, &HeadLimitError{}))
	})
	t.Run("a long head within the limits is accepted", func(t *testing.T) {
		long := strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 25)
		b := newTestBackend(t, respondWith(func(id string) string {
			return "HTTP/1.1 103 Early Hints\r\n\r\n" + responseText(id, "200 OK", id, strings.TrimSuffix(long, "\r\n"))
		}))
		p := NewPool()
		for _, id := range []string{"r1", "r2"} {
			e, w := newExchange(p, id, true)
			assertAnswered(t, sendAndDeliver(e, b.Server), w, id)
		}
		assertConnections(t, b, 1)
	})
}

// discardWriter drops the response.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) WriteHeader(int)             {}
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// FuzzReadResponse guards against responses that panic, hang or are read beyond the limits of a head.
func FuzzReadResponse(f *testing.F) {
	for _, seed := range []string{
		responseText("r1", "200 OK", "body"),
		"HTTP/1.1 100 Continue\r\n\r\n" + responseText("r1", "503 Service Unavailable", "", "Not-Executed: 1", "Retry-After: 2"),
		floodBody + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nT: v\r\n\r\n",
		floodBody + "\r\nuntil the end", "HTTP/1.1 200", "\r\n\r\n", "HTTP/1.1 200 OK\nX: y\n\n", "HTTP/1.1 200 OK\r\n  \r\nX\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 99999999999999999999\r\n\r\n", "HTTP/0.9 999 \r\n:\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	request, err := http.NewRequest(http.MethodGet, "http://a/", nil) //nolint:noctx // not sent
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, received []byte) {
		client, server := tcpPair(t)
		go func() {
			_, _ = server.Write(received)
			_ = server.Close()
		}()
		c := newConn("test", client)
		defer c.Close()
		for range maxResponsesRead {
			response, err := c.readFinalResponse(request)
			if err != nil {
				return
			}
			lines := 1
			for _, values := range response.Header {
				lines += len(values)
			}
			if lines > maxHeadLines || response.StatusCode < http.StatusOK {
				t.Errorf("response with status %d and %d lines", response.StatusCode, lines)
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return
			}
		}
	})
}

// tcpPair returns the two ends of a connection.
func tcpPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := l.Accept()
		accepted <- c
	}()
	dialed, err := net.Dial("tcp4", l.Addr().String()) //nolint:noctx // loopback
	is.NoErr(err)
	return dialed.(*net.TCPConn), (<-accepted).(*net.TCPConn)
}
