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

// direct dispatches each request to one backend server at once.
type direct struct{}

func (direct) Admit(_ time.Time, t *table.Ticket) error {
	go func() {
		r := t.Runner.Send(t.Context, fleet.BackendServer{Address: "backend:80"})
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

func (direct) Cancel(*table.Ticket) bool { return false }

// backendServer answers after a second and counts its runs.
type backendServer struct {
	runs int
	body string
}

func (b *backendServer) RoundTrip(r *http.Request) (*http.Response, error) {
	b.runs++
	select {
	case <-time.After(time.Second):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusCreated, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(b.body))}, nil
}

// lost is the writer of a caller whose connection has broken.
type lost struct {
	*httptest.ResponseRecorder
}

func (lost) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func newKeyed(b *backendServer) (h *Handler, prefix string) {
	tables := table.New(fleet.Host{ID: "h"}, "i")
	members := &memberquery.Queries{Tables: tables}
	h = &Handler{
		Dispatcher: direct{}, Homes: members, Keys: &keycmd.Commands{Tables: tables}, Groups: members, Transport: b,
		Log: zerolog.Nop(),
	}
	return h, members.KeyPrefix(time.Now())
}

func call(ctx context.Context, h *Handler, w http.ResponseWriter, key string) table.Result {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/loans", http.NoBody)
	r.Header.Set(api.HeaderIdempotencyKey, key)
	q := request{
		ID: "id", Arrived: time.Now(), Timeout: time.Minute, Tenant: fleet.Tenant{Name: "shop"},
		Route: fleet.Route{Service: "rental-desk"},
	}
	return h.run(ctx, w, r, q)
}

func assertResult(t *testing.T, r table.Result, outcome fleet.Outcome, response bool) {
	t.Helper()
	is := is.New(t)
	is.Equal(r.Outcome, outcome)
	is.Equal(r.Response, response)
}

func TestKeyedRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		body     string
		response bool
	}{
		{"a caller whose connection broke gets the response when it repeats the request", "booked", true},
		{"a response that is too large is not repeated", strings.Repeat("x", once.DefaultLimits().ResponseBytes+1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &backendServer{body: c.body}
				h, prefix := newKeyed(b)
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(500*time.Millisecond, cancel)
				if c.response {
					call(ctx, h, lost{httptest.NewRecorder()}, prefix+".a")
				} else {
					call(t.Context(), h, httptest.NewRecorder(), prefix+".a")
				}
				w := httptest.NewRecorder()
				assertResult(t, call(t.Context(), h, w, prefix+".a"), fleet.Answered, c.response)
				is := is.New(t)
				is.Equal(b.runs, 1)
				if c.response {
					is.Equal(w.Code, http.StatusCreated)
					is.Equal(w.Body.String(), c.body)
				}
			})
		})
	}
	t.Run("a duplicate that waits for too long is unknown", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := &backendServer{}
			h, prefix := newKeyed(b)
			go call(t.Context(), h, httptest.NewRecorder(), prefix+".a")
			synctest.Wait()
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			assertResult(t, call(ctx, h, httptest.NewRecorder(), prefix+".a"), fleet.Unknown, false)
			time.Sleep(time.Second)
		})
	})
	t.Run("several keys are refused with a prefix to use", func(t *testing.T) {
		h, prefix := newKeyed(&backendServer{})
		r := httptest.NewRequest(http.MethodPost, "/loans", http.NoBody)
		r.Header.Add(api.HeaderIdempotencyKey, prefix+".a")
		r.Header.Add(api.HeaderIdempotencyKey, prefix+".b")
		w := httptest.NewRecorder()
		assertResult(t, h.run(t.Context(), w, r, request{}), fleet.NotRun, false)
		is.New(t).Equal(w.Header().Get(api.HeaderKeyPrefix), prefix)
	})
}
