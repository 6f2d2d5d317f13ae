package node

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/service/api"
)

// Guards H2: a tenant that reaches services, entries or kept responses of another.
func TestTenantsAreApart(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.apply(t)
	url := "http://" + f.Nodes[0].Settings.CallerAddress

	t.Run("a service that is not the tenant's", func(t *testing.T) {
		assertOutcome(t, as(newRequest(t, http.MethodGet, url+"/loans/1"), strangerToken), http.StatusForbidden, "not-run")
		assertRuns(t, f, 0)
	})
	t.Run("entries of a service that is not the tenant's", func(t *testing.T) {
		r := as(newRequest(t, http.MethodGet, url+"/entries?service=rental-desk"), strangerToken)
		response, err := http.DefaultClient.Do(r)
		is.New(t).NoErr(err)
		is.New(t).NoErr(response.Body.Close())
		is.New(t).True(response.StatusCode >= http.StatusBadRequest)
	})
	t.Run("the same key of two tenants", func(t *testing.T) {
		await(t, func() bool {
			return f.Nodes[0].Members.Serves("rental-desk") && len(f.Nodes[0].Members.Group("rental-desk")) == 1
		})
		self, incarnation := f.Nodes[0].Members.Self()
		key := strings.Join([]string{self.ID, incarnation, "0", "shared"}, ".")
		is := is.New(t)
		is.True(strings.Contains(bodyOf(t, keyed(newRequest(t, http.MethodPost, url+"/loans/1"), key)), `"tenant":"shop"`))
		is.True(strings.Contains(bodyOf(t, keyed(as(newRequest(t, http.MethodPost, url+"/loans/1"), twinToken), key)), `"tenant":"twin"`))
		assertRuns(t, f, 2)
	})
}

// Guards H6: callers with a cached entry response that are refused by a node as soon as it is leaving.
func TestLeavingNodeServesForItsGrace(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.Grace = 3 * time.Second
	f.startNode(t, "n0", "kz-central-0")
	f.apply(t)
	f.stop[0]()
	await(t, func() bool {
		self, _ := f.Nodes[0].Members.Self()
		return self.Leaving
	})
	assertOutcome(t, newRequest(t, http.MethodGet, "http://"+f.Nodes[0].Settings.CallerAddress+"/loans/1"), http.StatusOK, "answered")
}

func as(r *http.Request, secret string) *http.Request {
	r.Header.Set("Authorization", "Bearer "+secret)
	return r
}

func keyed(r *http.Request, key string) *http.Request {
	r.Header.Set(api.HeaderIdempotencyKey, key)
	return r
}

func bodyOf(t *testing.T, r *http.Request) string {
	t.Helper()
	is := is.New(t)
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	return string(body)
}
