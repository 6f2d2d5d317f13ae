package hostfront

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		header string
		result table.Result
		refuse error
		want   int
	}{
		{"no request ID", "/book/1", "X: y", table.Result{}, nil, http.StatusBadRequest},
		{"a malformed deadline", "/book/1", "Request-Id: r1\r\nDeadline: soon", table.Result{}, nil, http.StatusBadRequest},
		{"no route", "/other/", "Request-Id: r1", table.Result{}, nil, http.StatusNotFound},
		{"not run", "/book/1", "Request-Id: r1", table.Result{Outcome: fleet.NotRun}, nil, http.StatusServiceUnavailable},
		// Guards against a caller that repeats a booking which may have run.
		{"may have run", "/book/1", "Request-Id: r1", table.Result{Outcome: fleet.Unknown}, nil, http.StatusBadGateway},
		{"refused on arrival", "/book/1", "Request-Id: r1", table.Result{}, admission.RefusedError{}, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			newFront(t, &dispatcher{Result: c.result, Refuse: c.refuse}, func(t *testing.T, f *front) {
				f.start()
				assertStatus(t, f.ask(t, c.path, c.header), c.want)
			})
		})
	}
	t.Run("the wait has a fraction of a second", func(t *testing.T) {
		d := &dispatcher{Refuse: admission.RefusedError{RetryAfter: 1250 * time.Millisecond}}
		newFront(t, d, func(t *testing.T, f *front) {
			f.start()
			is.New(t).Equal(f.ask(t, "/book/1", "Request-Id: r1").Header.Get("Retry-After"), "1.250")
		})
	})
	t.Run("a time that is over gives 504", func(t *testing.T) {
		d := &dispatcher{Takes: time.Minute, Result: table.Result{Outcome: fleet.Unknown}}
		newFront(t, d, func(t *testing.T, f *front) {
			f.start()
			begin := time.Now()
			assertStatus(t, f.ask(t, "/book/1", "Request-Id: r1", "Deadline: 9000"), http.StatusGatewayTimeout)
			is.New(t).Equal(time.Since(begin), 4*time.Second) // the route's time, not the caller's
		})
	})
}

func TestKeptConnection(t *testing.T) {
	// Guards against the time limit of one request closing the connection under a later one.
	t.Run("a request long after the last one's deadline is answered", func(t *testing.T) {
		d := &dispatcher{Result: table.Result{Outcome: fleet.NotRun}}
		newFront(t, d, func(t *testing.T, f *front) {
			f.start()
			assertStatus(t, f.ask(t, "/book/1", "Request-Id: r1", "Deadline: 100"), http.StatusServiceUnavailable)
			time.Sleep(10 * time.Second)
			assertStatus(t, f.ask(t, "/other/", "Request-Id: r2"), http.StatusNotFound)
		})
	})
}

func TestStart(t *testing.T) {
	t.Run("a request waits for a node that has just started", func(t *testing.T) {
		d := &dispatcher{Result: table.Result{Outcome: fleet.NotRun}}
		newFront(t, d, func(t *testing.T, f *front) {
			time.AfterFunc(300*time.Millisecond, f.start)
			begin := time.Now()
			assertStatus(t, f.ask(t, "/other/", "Request-Id: r1"), http.StatusNotFound)
			is.New(t).Equal(time.Since(begin), 300*time.Millisecond)
		})
	})
	// Guards against 404 for a route that the node does not know yet, and against callers that wait for their whole time.
	t.Run("without a configuration it is refused as not run after a short wait", func(t *testing.T) {
		newFront(t, &dispatcher{}, func(t *testing.T, f *front) {
			begin := time.Now()
			assertStatus(t, f.ask(t, "/book/1", "Request-Id: r1"), http.StatusServiceUnavailable)
			is.New(t).Equal(time.Since(begin), startWait)
			close(f.started)
		})
	})
}
