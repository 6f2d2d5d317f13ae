// Package rawserver has a server for tests that responds to requests with any bytes.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// MalformedHeads are starts of response heads that are no HTTP, up to the last line break, with one fault each.
var MalformedHeads = map[string]string{
	"status 000":                             "HTTP/1.1 000\r\n",
	"status 000 with a reason":               "HTTP/1.1 000 OK\r\n",
	"status 099":                             "HTTP/1.1 099 Early\r\n",
	"a blank before the colon of the length": "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n",
	"a blank before the colon of the coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"a blank in a name":                      "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
	"a blank before the first name":          "HTTP/1.1 200 OK\r\n X: 1\r\n",
	"a tab in a name":                        "HTTP/1.1 200 OK\r\nX\tY: 1\r\n",
	"a control byte in a name":               "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\n",
}

// New starts a server that responds to the head of the first request of each connection by the function, and then closes the
// connection. It returns its address and runs until the test ends.
func New(t *testing.T, respond func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // loopback
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				tcp, isTCP := c.(*net.TCPConn)
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil && isTCP {
					respond(tcp)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Send returns a response of the bytes that ends with the stream.
func Send(response string) func(*net.TCPConn) {
	return func(c *net.TCPConn) { _, _ = io.WriteString(c, response) }
}

// SendAndRead returns a response of the bytes that ends with the stream, after which the server reads the rest of the request.
func SendAndRead(response string) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = io.WriteString(c, response)
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
}

// SendAndReset returns a response of the bytes that ends with a reset. A long upload is not complete then.
func SendAndReset(response string) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = io.WriteString(c, response)
		_, _ = io.CopyN(io.Discard, c, uploadPartBytes) // meanwhile the response arrives
		_ = c.SetLinger(0)
	}
}

// uploadPartBytes is how much of an upload the server reads before the reset.
const uploadPartBytes = 256 << 10

// EndlessBody is a request body that is still being sent when the response ends.
type EndlessBody struct{}

// Read implements io.Reader.
func (EndlessBody) Read(p []byte) (int, error) { return len(p), nil }
