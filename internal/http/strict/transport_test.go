package strict

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/test/rawserver"
)

// get requests a response with the given head, whose body is "body", and returns what the transport makes of it.
func get(t *testing.T, head string) (*http.Response, error) {
	t.Helper()
	address := rawserver.New(t, rawserver.Send(head+"\r\nbody"))
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address, http.NoBody)
	is.New(t).NoErr(err)
	return NewTransport(&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
}

func assertRejected(t *testing.T, head string) {
	t.Helper()
	r, err := get(t, head)
	is.New(t).True(r == nil)
	is.New(t).True(err != nil)
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

// TestTransport guards against responses that are no HTTP and that net/http accepts, and against sound ones that are rejected.
func TestTransport(t *testing.T) {
	for name, head := range rawserver.MalformedHeads {
		t.Run(name+" is rejected", func(t *testing.T) { assertRejected(t, head) })
	}
	t.Run("the error names the status", func(t *testing.T) {
		_, err := get(t, "HTTP/1.1 000\r\n")
		is.New(t).True(errors.Is(err, StatusError{Status: 0}))
	})
	t.Run("the error names the field", func(t *testing.T) {
		_, err := get(t, "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n")
		is.New(t).True(errors.Is(err, FieldNameError{Name: "Content-Length "}))
	})
	for _, b := range []byte{0, 1, '\t', '\r', 0x1f, ' ', 0x7f, 0xe9} {
		t.Run(fmt.Sprintf("byte %#x in a name is rejected", b), func(t *testing.T) {
			assertRejected(t, "HTTP/1.1 200 OK\r\nX"+string([]byte{b})+"Y: 1\r\n")
		})
	}
	for _, head := range []string{
		"200\r\n", "299 OK\r\n", "404 Not Found\r\n", "599 Failed\r\n",
		"200 OK\r\nx!#$%&'*+-.^_`|~1: v\r\n", "200 OK\r\nX: \t a \tb \t\r\n", "200 OK\r\nX:\r\n", "200 OK\r\nX: a\r\n b c: d\r\n",
	} {
		t.Run(fmt.Sprintf("%q is accepted", head), func(t *testing.T) { assertAccepted(t, "HTTP/1.1 "+head) })
	}
}
