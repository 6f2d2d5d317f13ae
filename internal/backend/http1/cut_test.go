package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

// cutServer returns a connection handler that sends the text in response to a request and closes the connection.
func cutServer(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, text)
		}
	}
}

// TestCutResponse guards against a response that breaks off, in its head or in its body, and is delivered as a whole one
// with a short or empty body.
func TestCutResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"
	for name, whole := range map[string]string{
		"length":  head + "Content-Length: 4\r\n\r\nbody",
		"chunks":  head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"trailer": head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n\r\n",
	} {
		t.Run("a cut at any byte of a response with "+name+" is a failure", func(t *testing.T) {
			for cut := range len(whole) {
				b := newTestBackend(t, cutServer(whole[:cut]))
				e, w := newExchange(NewPool(), "r1", false)
				assertFailed(t, sendAndDeliver(e, b.Server), fleet.Failed, true)
				is.New(t).Equal(w.Body.Len(), 0)
			}
			b := newTestBackend(t, cutServer(whole))
			e, w := newExchange(NewPool(), "r1", false)
			assertAnswered(t, sendAndDeliver(e, b.Server), w, "body")
		})
	}
	t.Run("a cut in the head of a response that ends with its connection is a failure", func(t *testing.T) {
		whole := head + "\r\n"
		for cut := range len(whole) {
			b := newTestBackend(t, cutServer(whole[:cut]))
			e, _ := newExchange(NewPool(), "r1", false)
			assertFailed(t, sendAndDeliver(e, b.Server), fleet.Failed, true)
		}
	})
	t.Run("a cut in a head that is longer than the first buffer is a failure", func(t *testing.T) {
		long := head + strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 20)
		for _, cut := range []int{readBufferBytes - 1, readBufferBytes, readBufferBytes + 1, len(long)} {
			b := newTestBackend(t, cutServer(long[:cut]))
			e, _ := newExchange(NewPool(), "r1", false)
			assertFailed(t, sendAndDeliver(e, b.Server), fleet.Failed, true)
		}
	})
	t.Run("a reset in a body that ends with its connection is a failure", func(t *testing.T) {
		b := newTestBackend(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, head+"\r\nhalf")
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		e, _ := newExchange(NewPool(), "r1", false)
		assertFailed(t, sendAndDeliver(e, b.Server), fleet.Failed, true)
	})
}
