package strict

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// get requests a response with the given head, whose body is "body", and returns what the transport makes of it.
func get(t *testing.T, head string) (*http.Response, error) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, head+"\r\nbody")
		}
	}()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+l.Addr().String(), http.NoBody)
	is.New(t).NoErr(err)
	return NewTransport(&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
}

func assertRejected(t *testing.T, head string, want any) {
	t.Helper()
	r, err := get(t, head)
	is.New(t).True(r == nil)
	is.New(t).True(errors.As(err, want))
}

func assertAccepted(t *testing.T, head string) {
	t.Helper()
	r, err := get(t, head)
	is.New(t).NoErr(err)
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	is.New(t).NoErr(err)
	is.New(t).Equal(string(body), "body")
}

// TestStatus guards against a status that is not one of HTTP: net/http's server panics when a handler passes it on.
func TestStatus(t *testing.T) {
	for _, status := range []string{"000", "000 OK", "099 Early"} {
		t.Run("status "+status+" is rejected", func(t *testing.T) {
			assertRejected(t, "HTTP/1.1 "+status+"\r\n", &StatusError{})
		})
	}
	for _, status := range []string{"200", "299 OK", "404 Not Found", "599 Failed"} {
		t.Run("status "+status+" is accepted", func(t *testing.T) { assertAccepted(t, "HTTP/1.1 "+status+"\r\n") })
	}
}

// TestFieldNames guards against a name that net/http accepts although a blank or a control byte is no part of a name.
func TestFieldNames(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	for _, field := range []string{"Content-Length : 4", "Transfer-Encoding : chunked", "X Y: 1", "X : 1"} {
		t.Run(field+" is rejected", func(t *testing.T) { assertRejected(t, statusLine+field+"\r\n", &FieldNameError{}) })
	}
	for _, b := range []byte{0, 1, '\t', '\r', 0x1f, 0x7f, 0xe9} {
		t.Run(fmt.Sprintf("byte %#x is rejected", b), func(t *testing.T) {
			_, err := get(t, statusLine+"X"+string([]byte{b})+"Y: 1\r\n")
			is.New(t).True(err != nil)
		})
	}
	for _, field := range []string{"x!#$%&'*+-.^_`|~1: v", "X: \t a \tb \t", "X:", "X: a\r\n b c: d"} {
		t.Run(fmt.Sprintf("%q is accepted", field), func(t *testing.T) { assertAccepted(t, statusLine+field+"\r\n") })
	}
}
