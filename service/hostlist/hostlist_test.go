package hostlist

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/standin/hostservice"
	"egretline.example/egretline/service/api"
)

// recordingTransport calls a handler in process and records the statuses. Without network I/O, a synctest bubble can
// advance the clock past the lag of the list.
type recordingTransport struct {
	handler  http.Handler
	statuses []int
}

func (r *recordingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	r.handler.ServeHTTP(w, req)
	resp := w.Result()
	r.statuses = append(r.statuses, resp.StatusCode)
	return resp, nil
}

func assertIDs(t *testing.T, l List, ids string) {
	t.Helper()
	var got []string
	for _, h := range l.Hosts {
		got = append(got, h.ID)
	}
	is.New(t).Equal(strings.Join(got, " "), ids)
}

func TestFetch(t *testing.T) {
	ctx := context.Background()
	t.Run("an unchanged list is not sent again", func(t *testing.T) {
		is := is.New(t)
		service := hostservice.New(api.HostList{Hosts: []api.Host{{ID: "a", AvailabilityZone: "z1"}}})
		transport := &recordingTransport{handler: service}
		c := &Client{URL: "http://hosts", HTTP: &http.Client{Transport: transport}}
		first, err := c.Fetch(ctx, List{})
		is.NoErr(err)
		assertIDs(t, first, "a")
		is.Equal(first.Hosts[0].AvailabilityZone, "z1")
		second, err := c.Fetch(ctx, first)
		is.NoErr(err)
		assertIDs(t, second, "a") // a 304 must not empty the list
		is.Equal(transport.statuses, []int{http.StatusOK, http.StatusNotModified})
		service.Delete("a")
		third, err := c.Fetch(ctx, second)
		is.NoErr(err)
		assertIDs(t, third, "") // an unchanged ETag would hide the removal
	})
	t.Run("a lagging list shows changes late", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			service := hostservice.New(api.HostList{})
			service.SetLag(10 * time.Second)
			c := &Client{URL: "http://hosts", HTTP: &http.Client{Transport: &recordingTransport{handler: service}}}
			service.Put(api.Host{ID: "a"})
			service.SetBackendServersLeaving([]string{"10.0.0.1:80"})
			l, err := c.Fetch(ctx, List{})
			is.NoErr(err)
			assertIDs(t, l, "")
			time.Sleep(10 * time.Second)
			l, err = c.Fetch(ctx, l)
			is.NoErr(err)
			assertIDs(t, l, "a")
			is.Equal(l.BackendServersLeaving, []string{"10.0.0.1:80"})
		})
	})
	t.Run("failures have types and keep the previous list", func(t *testing.T) {
		is := is.New(t)
		previous := List{ETag: "x"}
		answer := func(status int, body string) http.RoundTripper {
			return &recordingTransport{handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
			})}
		}
		fetch := func(rt http.RoundTripper) error {
			l, err := (&Client{URL: "http://hosts", HTTP: &http.Client{Transport: rt}}).Fetch(ctx, previous)
			is.Equal(l.ETag, previous.ETag)
			return err
		}
		is.True(errors.As(fetch(answer(http.StatusBadGateway, "")), &StatusError{}))
		is.True(errors.As(fetch(answer(http.StatusOK, `{"hosts":[`)), &DecodeError{})) // a truncated list must not remove hosts
		is.True(errors.As(fetch(failingTransport{}), &UnreachableError{}))
	})
}

type failingTransport struct{}

func (failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, http.ErrServerClosed
}
