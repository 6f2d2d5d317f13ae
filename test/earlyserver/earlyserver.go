// Package earlyserver has a backend server for tests that responds to a request before it has read its body, and sends
// such requests.
package earlyserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	pieceBytes = 4 << 10
	pieces     = 50
	// ReadBytes is how much of a body the server reads before it responds. It is more than nodes buffer before they send a
	// request.
	ReadBytes = 80 << 10
	// BodyBytes is the length of Body.
	BodyBytes = pieces * pieceBytes
	// pieceInterval keeps all readers of a body waiting for its next piece, as on a slow link.
	pieceInterval = time.Millisecond
)

// Body returns a request body whose pieces differ from each other.
func Body() []byte {
	var b bytes.Buffer
	for k := range pieces {
		b.Write(bytes.Repeat([]byte{byte('0' + k)}, pieceBytes))
	}
	return b.Bytes()
}

// Server responds to each request after ReadBytes of its body, and reads on until the body or the connection ends.
type Server struct {
	Address  string
	Response string
	// Bodies receives what arrived of the body of each request.
	Bodies chan []byte

	idHeader string
	requests atomic.Int64
}

// Requests returns the number of requests that have arrived.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// New starts a server that copies the header idHeader of a request to its response. It runs until the test ends.
func New(t *testing.T, idHeader string, responseBytes int) *Server {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // loopback
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{
		Address: l.Addr().String(), Response: strings.Repeat("r", responseBytes), Bodies: make(chan []byte, 1), idHeader: idHeader,
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	s.requests.Add(1)
	var got bytes.Buffer
	_, _ = io.CopyN(&got, r.Body, ReadBytes)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s",
		s.idHeader, r.Header.Get(s.idHeader), len(s.Response), s.Response)
	_, _ = io.Copy(&got, r.Body)
	s.Bodies <- got.Bytes()
}

// Post sends Body in pieces, while the response may already arrive.
func Post(t *testing.T, url string, headers http.Header, chunked bool) *http.Response {
	t.Helper()
	is := is.New(t)
	reader, writer := io.Pipe()
	go sendPieces(writer)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, reader)
	is.NoErr(err)
	r.Header = headers
	r.Host = headers.Get("Host")
	if !chunked {
		r.ContentLength = BodyBytes
	}
	response, err := new(http.Transport).RoundTrip(r)
	is.NoErr(err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func sendPieces(w *io.PipeWriter) {
	ticker := time.NewTicker(pieceInterval)
	defer ticker.Stop()
	for piece := range slices.Chunk(Body(), pieceBytes) {
		if _, err := w.Write(piece); err != nil {
			return
		}
		<-ticker.C
	}
	_ = w.Close()
}

// AssertIntact fails unless the response is complete and the server got the start of the body as it was sent.
func (s *Server) AssertIntact(t *testing.T, r *http.Response) {
	t.Helper()
	is := is.New(t)
	got, err := io.ReadAll(r.Body)
	is.NoErr(err)
	is.Equal(r.StatusCode, http.StatusOK)
	is.True(string(got) == s.Response)
	arrived := <-s.Bodies
	is.True(len(arrived) >= ReadBytes)
	is.True(bytes.HasPrefix(Body(), arrived))
}
