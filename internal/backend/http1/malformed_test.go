package http1

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

// TestMalformedHead guards against a response of a faulty server that is no HTTP and reaches a caller.
func TestMalformedHead(t *testing.T) {
	for _, status := range []string{"000", "000 OK", "099 Early", "+20 OK"} {
		t.Run("status "+status, func(t *testing.T) {
			for _, idempotent := range []bool{true, false} {
				b := newTestBackend(t, respondWith(func(id string) string { return responseText(id, status, "body", "Not-Executed: 1") }))
				e, w := newExchange(NewPool(), "r1", idempotent)
				r := sendAndDeliver(e, b.Server)
				assertFailed(t, r, fleet.Failed, true)
				is.New(t).True(errors.As(r.Err, &UnexpectedStatusError{}))
				is.New(t).Equal(w.Body.Len(), 0)
				assertConnections(t, b, 1)
			}
		})
	}
	for name, field := range map[string]string{
		"a blank before the colon of the length":      "Content-Length : 4",
		"a blank before the colon of the encoding":    "Transfer-Encoding : chunked",
		"a blank in the name":                         "X Y: 1",
		"a tab in the name":                           "X\tY: 1",
		"a tab before the colon of the length":        "Content-Length\t: 4",
		"a NUL in the name":                           "X\x00Y: 1",
		"a control byte in the name":                  "X\x01Y: 1",
		"a control byte at the start of the name":     "\x1fX: 1",
		"a carriage return in the name":               "X\rY: 1",
		"a DEL in the name":                           "X\x7fY: 1",
		"a byte of another character set in the name": "X\xe9: 1",
	} {
		t.Run(name, func(t *testing.T) {
			for _, idempotent := range []bool{true, false} {
				// The server ends the connection as it would after a body without a length.
				b := newTestBackend(t, cutServer("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"+field+"\r\n\r\nbody and more"))
				e, w := newExchange(NewPool(), "r1", idempotent)
				assertFailed(t, sendAndDeliver(e, b.Server), fleet.Failed, true)
				is.New(t).Equal(w.Body.Len(), 0)
				is.New(t).Equal(len(w.Header()), 0)
				assertConnections(t, b, 1)
			}
		})
	}
	// Guards against sound responses that a check of the names rejects.
	for name, field := range map[string]string{
		"all characters of a token in the name": "x!#$%&'*+-.^_`|~1: v",
		"blanks and tabs around the value":      "X: \t a \tb \t",
		"an empty value":                        "X:",
		"a folded value":                        "X: a\r\n b c: d",
	} {
		t.Run(name+" is accepted", func(t *testing.T) {
			b := newTestBackend(t, respondWith(func(id string) string { return responseText(id, "200 OK", "body", field) }))
			e, w := newExchange(NewPool(), "r1", false)
			assertAnswered(t, sendAndDeliver(e, b.Server), w, "body")
		})
	}
	t.Run("an interim response with a blank in a name", func(t *testing.T) {
		b := newTestBackend(t, respondWith(func(id string) string {
			return "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + responseText(id, "200 OK", "body")
		}))
		e, _ := newExchange(NewPool(), "r1", false)
		assertFailed(t, sendAndDeliver(e, b.Server), fleet.Failed, true)
	})
}
