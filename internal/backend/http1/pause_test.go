package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

// pausedAtDeadline is a process whose pause ends after the deadline of a request. The response arrives during the pause.
type pausedAtDeadline struct {
	once     sync.Once
	deadline chan struct{}
	arrived  chan struct{}
}

func (*pausedAtDeadline) AwaitRefresh(context.Context) {}

func (p *pausedAtDeadline) PausedSince(time.Time) bool {
	p.once.Do(func() { close(p.deadline) })
	<-p.arrived
	return true
}

// Guards against answers that are thrown away at the end of a pause of the process, because the deadline of the request passed
// during it, although they have arrived and the caller still waits (docs/incidents/045).
func TestResponseDuringPause(t *testing.T) {
	send := func(t *testing.T, respond bool) fleet.Evidence {
		t.Helper()
		p := &pausedAtDeadline{deadline: make(chan struct{}), arrived: make(chan struct{})}
		b := newTestBackend(t, func(c net.Conn, r *bufio.Reader) {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			<-p.deadline
			if respond {
				_, _ = c.Write([]byte(responseText(q.Header.Get("Request-Id"), "200 OK", "answer")))
			}
			close(p.arrived)
			_, _ = r.ReadByte() // the connection stays open
		})
		e, w := newExchange(NewPool(), "r1", true)
		e.Pauses = p
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		r := e.Send(ctx, b.Server)
		if r.Response {
			assertAnswered(t, deliver(e), w, "answer")
		} else {
			e.Discard()
		}
		return r.Evidence
	}
	t.Run("a response that has arrived is delivered", func(t *testing.T) { is.New(t).Equal(send(t, true), fleet.Succeeded) })
	t.Run("otherwise the attempt ends", func(t *testing.T) { is.New(t).Equal(send(t, false), fleet.Failed) })
}

// longRefresh is a process that was paused and whose refresh lasts beyond the deadline of a request.
type longRefresh struct{}

func (longRefresh) AwaitRefresh(ctx context.Context) { <-ctx.Done() }

func (longRefresh) PausedSince(time.Time) bool { return true }

// Guards against a request that is sent although its time has ended while it waited for the refresh after a pause.
func TestDeadlineDuringRefresh(t *testing.T) {
	b := newTestBackend(t, respondWith(func(id string) string { return responseText(id, "200 OK", "answer") }))
	e, _ := newExchange(NewPool(), "r1", false)
	e.Pauses = longRefresh{}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	r := e.Send(ctx, b.Server)
	is := is.New(t)
	is.Equal(r.Evidence, fleet.Withheld)
	is.True(!r.Sent)
}
