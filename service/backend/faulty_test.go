package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/service/api"
	"egretline.example/egretline/test/rawserver"
)

// Guards against a backend server whose bytes have no end, and fill the memory of the node.
func TestFlood(t *testing.T) {
	const (
		floodBytes = 64 << 20
		// maxAllocatedBytes is the limit for one request. The smallest hosts have 184 MB for some hundreds of them.
		maxAllocatedBytes = 512 << 10
	)
	for name, flood := range map[string]struct{ prefix, text string }{
		"a status line":              {"HTTP/1.1 200 ", "O"},
		"bytes that are no response": {"", "garbage"},
		"one header line":            {"HTTP/1.1 200 OK\r\nX: ", "y"},
		"header lines":               {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"interim responses":          {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			block := []byte(strings.Repeat(flood.text, 1+(16<<10)/len(flood.text)))
			address := rawserver.New(t, func(c *net.TCPConn) {
				_, err := io.WriteString(c, flood.prefix)
				for sent := 0; err == nil && sent < floodBytes; sent += len(block) {
					_, err = c.Write(block)
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			got := send(t, context.Background(), newRequest(http.MethodPost, "x"), address)
			runtime.ReadMemStats(&after)
			assertFailed(t, got, fleet.Failed, true, &TransportError{})
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocatedBytes {
				t.Errorf("%d KB allocated, limit %d KB", allocated>>10, maxAllocatedBytes>>10)
			}
		})
	}
}

// Guards against a response that breaks off and is delivered as a whole one with a short or empty body.
func TestCutResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + api.HeaderRequestID + ": request\r\n"
	for name, whole := range map[string]string{
		"length": head + "Content-Length: 4\r\n\r\nbody",
		"chunks": head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run("a cut at any byte of a response with "+name, func(t *testing.T) {
			headBytes := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
			for cut := range len(whole) {
				address := rawserver.New(t, rawserver.Send(whole[:cut]))
				got := send(t, context.Background(), newRequest(http.MethodPost, "x"), address)
				if cut < headBytes {
					assertFailed(t, got, fleet.Failed, true, &TransportError{})
				} else {
					assertAborted(t, got, &BodyError{})
				}
			}
		})
	}
}
