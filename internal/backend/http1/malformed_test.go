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
}
