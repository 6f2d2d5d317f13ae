package http1

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

// TestRelease guards against a connection that is reset while it carries another request: the end of an attempt's
// context resets its connection, also if the connection has been returned to the pool just before.
func TestRelease(t *testing.T) {
	t.Run("the connection of an attempt whose context has ended is not reused", func(t *testing.T) {
		is := is.New(t)
		b := newTestBackend(t, respondWith(refusalText))
		p := NewPool()
		e, _ := newExchange(p, "r1", false)
		ctx, cancel := context.WithCancel(context.Background())
		is.Equal(e.Send(ctx, b.Server).Evidence, fleet.Shed)
		cancel()
		e.Discard()
		is.Equal(len(p.idle[b.Server.Address]), 0)
	})
	t.Run("the connection of a refused attempt is reused", func(t *testing.T) {
		b := newTestBackend(t, respondWith(refusalText))
		p := NewPool()
		for _, id := range []string{"r1", "r2"} {
			assertRefused(t, send(t, p, id, b.Server))
		}
		assertConnections(t, b, 1)
	})
	t.Run("the connection of a discarded response is reused", func(t *testing.T) {
		b := newTestBackend(t, respondWith(func(id string) string { return responseText(id, "200 OK", id) }))
		p := NewPool()
		for _, id := range []string{"r1", "r2"} {
			e, _ := newExchange(p, id, true)
			is.New(t).True(e.Send(context.Background(), b.Server).Response)
			e.Discard()
		}
		assertConnections(t, b, 1)
	})
}
