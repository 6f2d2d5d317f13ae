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
		// Guards against 503 for a booking that may have run: the caller would repeat it.
		{"may have run", "/book/1", "Request-Id: r1", table.Result{Outcome: fleet.Unknown}, nil, http.StatusBadGateway},
		{"refused on arrival", "/book/1", "Request-Id: r1", table.Result{}, admission.RefusedError{}, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFixture(t, &fakeDispatcher{Result: c.result, AdmitErr: c.refuse}, func(t *testing.T, f *fixture) {
				f.finishStartup()
				assertStatus(t, f.get(t, c.path, c.header), c.want)
			})
		})
	}
	t.Run("Retry-After has a fraction of a second", func(t *testing.T) {
		d := &fakeDispatcher{AdmitErr: admission.RefusedError{RetryAfter: 1250 * time.Millisecond}}
		withFixture(t, d, func(t *testing.T, f *fixture) {
			f.finishStartup()
			is.New(t).Equal(f.get(t, "/book/1", "Request-Id: r1").Header.Get("Retry-After"), "1.250")
		})
	})
	t.Run("a request past its deadline gets 504", func(t *testing.T) {
		d := &fakeDispatcher{Delay: time.Minute, Result: table.Result{Outcome: fleet.Unknown}}
		withFixture(t, d, func(t *testing.T, f *fixture) {
			f.finishStartup()
			begin := time.Now()
			assertStatus(t, f.get(t, "/book/1", "Request-Id: r1", "Deadline: 9000"), http.StatusGatewayTimeout)
			is.New(t).Equal(time.Since(begin), 4*time.Second) // the route's timeout, not the caller's
		})
	})
}

func TestKeptConnection(t *testing.T) {
	// Guards against the write deadline of one request closing the connection during a later one.
	t.Run("a request long after the deadline of the previous one is answered", func(t *testing.T) {
		d := &fakeDispatcher{Result: table.Result{Outcome: fleet.NotRun}}
		withFixture(t, d, func(t *testing.T, f *fixture) {
			f.finishStartup()
			assertStatus(t, f.get(t, "/book/1", "Request-Id: r1", "Deadline: 100"), http.StatusServiceUnavailable)
			time.Sleep(10 * time.Second)
			assertStatus(t, f.get(t, "/other/", "Request-Id: r2"), http.StatusNotFound)
		})
	})
}

func TestStart(t *testing.T) {
	t.Run("a request waits for a node that has just started", func(t *testing.T) {
		d := &fakeDispatcher{Result: table.Result{Outcome: fleet.NotRun}}
		withFixture(t, d, func(t *testing.T, f *fixture) {
			time.AfterFunc(300*time.Millisecond, f.finishStartup)
			begin := time.Now()
			assertStatus(t, f.get(t, "/other/", "Request-Id: r1"), http.StatusNotFound)
			is.New(t).Equal(time.Since(begin), 300*time.Millisecond)
		})
	})
	// Guards against 404 for a route that the node has not loaded yet, and against callers waiting for their full timeout.
	t.Run("without a configuration, a request is refused as not run after maxStartupWait", func(t *testing.T) {
		withFixture(t, &fakeDispatcher{}, func(t *testing.T, f *fixture) {
			begin := time.Now()
			assertStatus(t, f.get(t, "/book/1", "Request-Id: r1"), http.StatusServiceUnavailable)
			is.New(t).Equal(time.Since(begin), maxStartupWait)
			close(f.startupDone)
		})
	})
}
