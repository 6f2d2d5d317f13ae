package strict

import (
	"bufio"
	"context"
	"errors"
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
