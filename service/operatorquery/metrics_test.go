package operatorquery

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/trafficquery"
	"egretline.example/egretline/service/api"
)

// fakeTraffic has statistics of two tenants.
type fakeTraffic struct{}

func (fakeTraffic) Snapshot(limit int) trafficquery.Snapshot {
	all := []trafficquery.Tenant{{Name: "big"}, {Name: "small"}}
	return trafficquery.Snapshot{Tenants: all[:min(limit, len(all))], TenantCount: len(all)}
}

func (fakeTraffic) Tenant(name string) (trafficquery.Tenant, bool) {
	return trafficquery.Tenant{Name: name}, name == "small"
}

// Guards against a response that lists other tenants than the requested ones, or all 37,000 by default.
func TestMetrics(t *testing.T) {
	t.Run("the number of tenants is limited", func(t *testing.T) { assertTenants(t, "?tenants=1", "big") })
	t.Run("one tenant", func(t *testing.T) { assertTenants(t, "?tenant=small", "small") })
	t.Run("an unknown tenant", func(t *testing.T) { assertTenants(t, "?tenant=stranger") })
	t.Run("a malformed number", func(t *testing.T) {
		is.New(t).Equal(getMetrics("?tenants=-1").Code, http.StatusBadRequest)
	})
}

func getMetrics(query string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	m := Metrics{Traffic: fakeTraffic{}}
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics"+query, http.NoBody))
	return w
}

func assertTenants(t *testing.T, query string, names ...string) {
	t.Helper()
	is := is.New(t)
	var m api.Metrics
	is.NoErr(json.Unmarshal(getMetrics(query).Body.Bytes(), &m))
	is.Equal(len(m.Tenants), len(names))
	for i, name := range names {
		is.Equal(m.Tenants[i].Name, name)
	}
}
