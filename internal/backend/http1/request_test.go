package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/textproto"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/internal/http/dialect"
	"egretline.example/egretline/pkg/fleet"
)

// newRawBackend starts a server that sends the start line, headers and body of each request to the channel as it received
// them. The body has the length that the Content-Length header states.
func newRawBackend(t testing.TB) (address string, requests chan rawRequest) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // loopback
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	requests = make(chan rawRequest, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, requests)
		}
	}()
	return l.Addr().String(), requests
}

type rawRequest struct {
	Line   string
	Header textproto.MIMEHeader
	Body   string
}

func serveRaw(c net.Conn, requests chan<- rawRequest) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		q := rawRequest{Line: strings.TrimRight(line, "\r\n")}
		if q.Header, err = textproto.NewReader(reader).ReadMIMEHeader(); err != nil {
			return
		}
		body := io.LimitReader(reader, 0)
		if length, err := strconv.ParseInt(q.Header.Get("Content-Length"), 10, 64); err == nil {
			body = io.LimitReader(reader, length)
		}
		content, err := io.ReadAll(body)
		if err != nil {
			return
		}
		q.Body = string(content)
		requests <- q
		_, _ = io.WriteString(c, responseText(q.Header.Get("Request-Id"), "200 OK", "x"))
	}
}

// newForwarder starts a server that sends every request to the backend server at the address, as a node does.
func newForwarder(t testing.TB, address string) net.Addr {
	t.Helper()
	pool := NewPool()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		e := &Exchange{
			Pool: pool, Gate: openGate{}, Headers: dialect.Headers{RequestID: "Request-Id", Deadline: "Deadline", Signature: "Signature"},
			Request: r, BufferedBody: body, Delivery: NewDelivery(w, newAccount(hostBytes)), RequestID: r.Header.Get("Request-Id"), ResponseDeadline: time.Now().Add(time.Minute),
		}
		if result := e.Send(r.Context(), fleet.BackendServer{Address: address}); result.Response {
			deliver(e)
			return
		}
		e.Discard()
		w.WriteHeader(http.StatusBadGateway)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr()
}

// forwardRaw sends the text to the forwarder and returns the status of the response.
func forwardRaw(t testing.TB, forwarder net.Addr, text string) int {
	t.Helper()
	c, err := net.Dial("tcp4", forwarder.String()) //nolint:noctx // loopback
	is.New(t).NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, text)
	is.New(t).NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.New(t).NoErr(err)
	_ = response.Body.Close()
	return response.StatusCode
}

var requestTargets = []string{
	"/", "/a/b", "//a/b", "///a", "//a//b?x=//y", "/a//b", "/a/../b", "/./a", "/%2Fa", "/a%2fb%2F", "/a%zz", "/a?", "/?", "/a??b=?", "/a;b;c=d?e;f",
	"/a?x=%2F&y=http://b/c", "/\xc3\xa4?\xff", "/a:b@c", "/a?q=a+b%20c", "/*", "/http://a/b", "/'\"<>|\\^`{}[]", "/a?%",
	"http://a.example/b", "*",
}

// TestRequestTarget guards against a backend server that runs a request with another path or query than the caller sent.
// net/http changed a path that begins with two slashes into an absolute URL.
func TestRequestTarget(t *testing.T) {
	for _, target := range requestTargets {
		t.Run(target, func(t *testing.T) {
			address, requests := newRawBackend(t)
			status := forwardRaw(t, newForwarder(t, address), "GET "+target+" HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n\r\n")
			if status == http.StatusBadRequest {
				is.New(t).Equal(len(requests), 0)
				return
			}
			is.New(t).Equal((<-requests).Line, "GET "+target+" HTTP/1.1")
		})
	}
}

// TestRequestFraming guards against a request that arrives with another body than the caller sent, or is never sent.
func TestRequestFraming(t *testing.T) {
	const head = " /a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
	for _, c := range []struct{ name, method, rest, wantBody, wantLength string }{
		{"GET without a body", "GET", "\r\n", "", ""},
		{"POST without a body", "POST", "\r\n", "", "0"},
		{"DELETE with an empty body", "DELETE", "Content-Length: 0\r\n\r\n", "", "0"},
		{"POST with a length", "POST", "Content-Length: 4\r\n\r\nbody", "body", "4"},
		{"GET with a body", "GET", "Content-Length: 4\r\n\r\nbody", "body", "4"},
		{"chunks", "POST", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body", "4"},
		// Guards against a request that made thousands of attempts, none of which sent a byte.
		{"chunks of an empty body", "POST", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", "0"},
		{"GET with chunks of an empty body", "GET", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", "0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, requests := newRawBackend(t)
			is.Equal(forwardRaw(t, newForwarder(t, address), c.method+head+c.rest), http.StatusOK)
			got := <-requests
			is.Equal(got.Line, c.method+" /a HTTP/1.1")
			is.Equal(got.Body, c.wantBody)
			is.Equal(got.Header.Get("Content-Length"), c.wantLength)
			is.Equal(got.Header.Get("Transfer-Encoding"), "")
			is.Equal(got.Header.Get("Host"), "a.example")
			is.Equal(len(got.Header["User-Agent"]), 0)
		})
	}
}

// FuzzRequestTarget guards against request targets that arrive changed, or that add a header or a request.
func FuzzRequestTarget(f *testing.F) {
	for _, target := range requestTargets {
		f.Add(target)
	}
	address, requests := newRawBackend(f)
	forwarder := newForwarder(f, address)
	f.Fuzz(func(t *testing.T, target string) {
		if target == "" || strings.ContainsAny(target, " \r\n") {
			return // not one target on one line
		}
		status := forwardRaw(t, forwarder, "GET "+target+" HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n")
		if status != http.StatusOK {
			if status != http.StatusBadRequest || len(requests) > 0 {
				t.Errorf("status %d, %d requests", status, len(requests))
			}
			return
		}
		if got := (<-requests).Line; got != "GET "+target+" HTTP/1.1" {
			t.Errorf("target %q arrived in %q", target, got)
		}
	})
}
