package hostfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// uploadBytes is longer than what the sockets between caller and backend server hold, so that the upload is never complete
// when the server resets its connection.
const uploadBytes = 64 << 20

// startRawServer starts a server that responds to the head of each request with the text, reads a part of the body and
// resets the connection.
func startRawServer(t *testing.T, response string) string {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, response)
				_, _ = io.CopyN(io.Discard, c, 256<<10) // meanwhile the response arrives
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// assertNotAnswered checks that the caller gets a failure that promises nothing, or a connection that ends before the response
// is complete.
func assertNotAnswered(t *testing.T, response *http.Response, err error) {
	t.Helper()
	if err != nil {
		return
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return
	}
	is.New(t).Equal(response.StatusCode, http.StatusBadGateway)
}

// TestBrokenAnswer guards against a caller that takes a broken response of a backend server for a whole one, or is told that a
// request did not run although it may have run.
func TestBrokenAnswer(t *testing.T) {
	const headers = "\r\nRequest-Id: r1\r\nSignature: s\r\n"
	for name, response := range map[string]string{
		"a short part of a body without a length, and a reset": "HTTP/1.1 200 OK" + headers + "\r\npart",
		"a long part of a body without a length, and a reset":  "HTTP/1.1 200 OK" + headers + "\r\n" + strings.Repeat("x", 300<<10),
		"status 000":                     "HTTP/1.1 000" + headers + "Content-Length: 4\r\n\r\nbody",
		"a blank in the name of a field": "HTTP/1.1 200 OK" + headers + "Content-Length : 4\r\n\r\nbody",
		"a control byte in a name":       "HTTP/1.1 200 OK" + headers + "X\x01Y: 1\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			front := newBackendFront(t, directDispatcher{Address: startRawServer(t, response)})
			front.Config.Handler.(*Handler).MaxBodyBytes = uploadBytes
			for range 20 {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/book/1", io.LimitReader(zeros{}, uploadBytes))
				is.New(t).NoErr(err)
				r.Host = "a.example"
				r.Header.Set("Request-Id", "r1")
				got, err := new(http.Transport).RoundTrip(r)
				assertNotAnswered(t, got, err)
			}
		})
	}
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
