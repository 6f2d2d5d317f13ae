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

// Guards against a tenant that reaches services or entries it has no access to, or stored responses of another tenant.
func TestTenantsAreApart(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.applyConfig(t)
	url := "http://" + f.Nodes[0].Settings.CallerAddress

	t.Run("a service without access", func(t *testing.T) {
		assertOutcome(t, withToken(newRequest(t, http.MethodGet, url+"/loans/1"), strangerToken), http.StatusForbidden, "not-run")
		assertRuns(t, f, 0)
	})
	t.Run("entries of a service without access", func(t *testing.T) {
		r := withToken(newRequest(t, http.MethodGet, url+"/entries?service=rental-desk"), strangerToken)
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
		is.True(strings.Contains(responseBody(t, withKey(newRequest(t, http.MethodPost, url+"/loans/1"), key)), `"tenant":"shop"`))
		is.True(strings.Contains(responseBody(t, withKey(withToken(newRequest(t, http.MethodPost, url+"/loans/1"), twinToken), key)), `"tenant":"twin"`))
		assertRuns(t, f, 2)
	})
}

// Guards against a node that refuses requests as soon as it is leaving. Callers use it until their cached entry response
// expires.
func TestLeavingNodeServesForItsGrace(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.DrainGrace = 3 * time.Second
	f.startNode(t, "n0", "kz-central-0")
	f.applyConfig(t)
	f.stop[0]()
	await(t, func() bool {
		self, _ := f.Nodes[0].Members.Self()
		return self.Leaving
	})
	assertOutcome(t, newRequest(t, http.MethodGet, "http://"+f.Nodes[0].Settings.CallerAddress+"/loans/1"), http.StatusOK, "answered")
}

func withToken(r *http.Request, secret string) *http.Request {
	r.Header.Set("Authorization", "Bearer "+secret)
	return r
}

func withKey(r *http.Request, key string) *http.Request {
	r.Header.Set(api.HeaderIdempotencyKey, key)
	return r
}

func responseBody(t *testing.T, r *http.Request) string {
	t.Helper()
	is := is.New(t)
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	return string(body)
}
