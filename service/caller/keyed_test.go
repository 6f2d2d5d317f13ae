package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/pkg/decide/once"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/keycmd"
	"egretline.example/egretline/pkg/memberquery"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
)

// directDispatcher sends each request to the same backend server without queueing it.
type directDispatcher struct{ Address string }

func (d directDispatcher) Admit(_ time.Time, t *table.Ticket) error {
	go func() {
		r := t.Runner.Send(t.Context, fleet.BackendServer{Address: d.Address})
		if r.Response {
			r = t.Runner.Deliver(t.Context)
		} else {
			t.Runner.Discard()
			r.Outcome = fleet.Unknown
		}
		t.Done <- r
	}()
	return nil
}

func (directDispatcher) Cancel(*table.Ticket) bool { return false }

// fakeBackend answers each request with the body after one second, and counts the requests that it ran.
type fakeBackend struct {
	runs int
	body string
}

func (b *fakeBackend) RoundTrip(r *http.Request) (*http.Response, error) {
	b.runs++
	select {
	case <-time.After(time.Second):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusCreated, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(b.body))}, nil
}

// brokenWriter is a response writer whose connection to the caller is broken.
type brokenWriter struct {
	*httptest.ResponseRecorder
}

func (brokenWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// newKeyedHandler returns a handler on a node without peers, and a prefix for keys that this node owns.
func newKeyedHandler(b *fakeBackend) (h *Handler, prefix string) {
	tables := table.New(fleet.Host{ID: "h"}, "i")
	members := &memberquery.Queries{Tables: tables}
	h = &Handler{
		Dispatcher: directDispatcher{Address: "backend:80"}, KeyOwners: members, Keys: &keycmd.Commands{Tables: tables}, Groups: members, Transport: b,
		Log: zerolog.Nop(),
	}
	return h, members.KeyPrefix(time.Now())
}

func sendKeyed(ctx context.Context, h *Handler, w http.ResponseWriter, key string) table.Result {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/loans", http.NoBody)
	r.Header.Set(api.HeaderIdempotencyKey, key)
	req := request{
		ID: "id", Arrived: time.Now(), Timeout: time.Minute, Tenant: fleet.Tenant{Name: "shop"},
		Route: fleet.Route{Service: "rental-desk"},
	}
	return h.runRequest(ctx, w, r, req)
}

func assertResult(t *testing.T, r table.Result, outcome fleet.Outcome, response bool) {
	t.Helper()
	is := is.New(t)
	is.Equal(r.Outcome, outcome)
	is.Equal(r.Response, response)
}

// Guards against an idempotency key that runs twice, and against a repeated request that does not get the response of
// the first one.
func TestKeyedRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		body     string
		response bool
	}{
		{"a caller whose connection broke gets the response when it repeats the request", "booked", true},
		{"a response that is too large is not replayed", strings.Repeat("x", once.DefaultLimits().MaxResponseBytes+1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &fakeBackend{body: c.body}
				h, prefix := newKeyedHandler(b)
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(500*time.Millisecond, cancel)
				if c.response {
					sendKeyed(ctx, h, brokenWriter{httptest.NewRecorder()}, prefix+".a")
				} else {
					sendKeyed(t.Context(), h, httptest.NewRecorder(), prefix+".a")
				}
				w := httptest.NewRecorder()
				assertResult(t, sendKeyed(t.Context(), h, w, prefix+".a"), fleet.Answered, c.response)
				is := is.New(t)
				is.Equal(b.runs, 1)
				if c.response {
					is.Equal(w.Code, http.StatusCreated)
					is.Equal(w.Body.String(), c.body)
				}
			})
		})
	}
	t.Run("the outcome of a duplicate that waits until its deadline is unknown", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := &fakeBackend{}
			h, prefix := newKeyedHandler(b)
			go sendKeyed(t.Context(), h, httptest.NewRecorder(), prefix+".a")
			synctest.Wait()
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			assertResult(t, sendKeyed(ctx, h, httptest.NewRecorder(), prefix+".a"), fleet.Unknown, false)
			time.Sleep(time.Second)
		})
	})
	t.Run("several keys are refused with a prefix to use", func(t *testing.T) {
		h, prefix := newKeyedHandler(&fakeBackend{})
		r := httptest.NewRequest(http.MethodPost, "/loans", http.NoBody)
		r.Header.Add(api.HeaderIdempotencyKey, prefix+".a")
		r.Header.Add(api.HeaderIdempotencyKey, prefix+".b")
		w := httptest.NewRecorder()
		assertResult(t, h.runRequest(t.Context(), w, r, request{}), fleet.NotRun, false)
		is.New(t).Equal(w.Header().Get(api.HeaderKeyPrefix), prefix)
	})
}
