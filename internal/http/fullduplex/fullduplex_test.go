package fullduplex

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/test/earlyserver"
)

const pieceBytes = 4 << 10

// upload is a handler that reads the body on another goroutine and responds once it has read the first piece.
type upload struct {
	Response string
	// Read receives what was read after the handler has returned, and Err how the reading ended.
	Read chan []byte
	Err  error
}

func newUpload(responseBytes int) *upload {
	return &upload{Response: strings.Repeat("r", responseBytes), Read: make(chan []byte, 1)}
}

func (u *upload) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := New(w, r)
	defer e.End()
	started := make(chan struct{})
	go func() {
		var got bytes.Buffer
		_, u.Err = io.CopyN(&got, e.Request.Body, pieceBytes)
		close(started)
		if u.Err == nil {
			_, u.Err = io.Copy(&got, e.Request.Body)
		}
		u.Read <- got.Bytes()
	}()
	<-started
	e.Writer.Header().Set("Content-Length", strconv.Itoa(len(u.Response)))
	_, _ = io.WriteString(e.Writer, u.Response)
}

// caller is a connection to the handler on which the head of a POST request has been sent.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func newCaller(t *testing.T, h http.Handler, framing string) *caller {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp4", server.Listener.Addr().String()) //nolint:noctx // loopback
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &caller{conn, bufio.NewReader(conn)}
	c.send(t, "POST / HTTP/1.1\r\nHost: a\r\n"+framing+"\r\n\r\n")
	return c
}

func (c *caller) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	is.New(t).NoErr(err)
}

// assertResponse reads the response and fails unless it is complete. It returns whether the connection is closed after it.
func (c *caller) assertResponse(t *testing.T, body string) bool {
	t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	is.New(t).NoErr(err)
	got, err := io.ReadAll(r.Body)
	is.New(t).NoErr(err)
	is.New(t).True(string(got) == body)
	return r.Close
}

// assertPrefix fails unless the bytes that were read are the start of the body.
func assertPrefix(t *testing.T, read []byte) {
	t.Helper()
	is.New(t).True(bytes.HasPrefix(earlyserver.Body(), read))
}

// TestEarlyResponse guards against a server that drops pieces of a request body which another goroutine is reading, and
// against responses that wait for the rest of the body.
func TestEarlyResponse(t *testing.T) {
	for name, responseBytes := range map[string]int{"short": 10, "longer than the buffer of the server": 64 << 10} {
		t.Run(name+" response arrives before the rest of the body is sent", func(t *testing.T) {
			u := newUpload(responseBytes)
			c := newCaller(t, u, "Content-Length: 204800")
			c.send(t, string(earlyserver.Body()[:pieceBytes]))
			is.New(t).True(c.assertResponse(t, u.Response))
			_, _ = c.Write(earlyserver.Body()[pieceBytes:]) // the connection may be closed by now
			read := <-u.Read
			assertPrefix(t, read)
			// The reading ends with the exchange, unless the handler returns so late that the whole body was read.
			is.New(t).Equal(u.Err == nil, len(read) == len(earlyserver.Body()))
		})
	}
	t.Run("what is read while the response is sent is what the caller sent", func(t *testing.T) {
		for range 20 {
			u := newUpload(6 << 10)
			c := newCaller(t, u, "Content-Length: 204800")
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				for piece := range slices.Chunk(earlyserver.Body(), pieceBytes) {
					_, _ = c.Write(piece)
				}
			}()
			c.assertResponse(t, u.Response)
			<-sent
			assertPrefix(t, <-u.Read)
		}
	})
	// Guards against the rest of a body that is run as the next request of the connection.
	t.Run("a connection with an unread body carries no other request", func(t *testing.T) {
		for name, framing := range map[string]string{"length": "Content-Length: 204800", "chunks": "Transfer-Encoding: chunked"} {
			t.Run(name, func(t *testing.T) {
				u := newUpload(10)
				c := newCaller(t, u, framing)
				if name == "chunks" {
					c.send(t, "1000\r\n")
				}
				c.send(t, string(earlyserver.Body()[:pieceBytes]))
				is.New(t).True(c.assertResponse(t, u.Response))
				_, _ = io.WriteString(c, "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n")
				rest, _ := io.ReadAll(c.reader)
				is.New(t).Equal(string(rest), "")
			})
		}
	})
	for name, limit := range map[string]int64{"was read": 2, "was not touched": 0} {
		t.Run("a connection whose body "+name+" is kept", func(t *testing.T) {
			c := newCaller(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				e := New(w, r)
				defer e.End()
				_, _ = io.Copy(io.Discard, io.LimitReader(e.Request.Body, limit))
				_, _ = io.WriteString(e.Writer, "done")
			}), "Content-Length: 2")
			c.send(t, "xx")
			is.New(t).Equal(c.assertResponse(t, "done"), false)
			c.send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			c.assertResponse(t, "done")
		})
	}
}
