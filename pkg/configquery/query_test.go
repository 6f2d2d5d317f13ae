package configquery

import (
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/configfile"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

func newQuery(compiled *fleet.Configuration) Query {
	return Query{Config: guard.New(table.RankConfig, table.Config{
		Compiled: compiled,
		Fold: fold.State{
			Files:     map[string]fold.File{"a.toml": {Revision: 3}},
			Decisions: map[string]fold.Decision{"id": {Verdict: fold.Accepted}},
		},
	})}
}

// Guards against a tenant or a route that is found by a wrong hash or path.
func TestQuery(t *testing.T) {
	q := newQuery(configfile.Merge([]fleet.File{{
		Routes: []fleet.Route{
			{Name: "loan", Method: "GET", PathPrefix: "/loan"},
			{Name: "loan-folder", Method: "GET", PathPrefix: "/loan/folder/"},
			{Name: "all", Method: "GET", PathPrefix: "/"},
		},
		Tenants: []fleet.Tenant{{Name: "shop", TokenSHA256: "hash"}},
	}}))
	t.Run("a prefix matches whole segments", func(t *testing.T) {
		assertRoute(t, q, "GET", "/loan", "loan")
		assertRoute(t, q, "GET", "/loan/7", "loan")
		assertRoute(t, q, "GET", "/loan/folder", "loan")
		assertRoute(t, q, "GET", "/loan/folder/7", "loan-folder")
		assertRoute(t, q, "GET", "/loans", "all")
		assertRoute(t, q, "POST", "/loan", "")
	})
	t.Run("a node without configuration finds nothing", func(t *testing.T) {
		is := is.New(t)
		empty := newQuery(nil)
		assertRoute(t, empty, "GET", "/loan", "")
		_, found := empty.Tenant("hash")
		is.True(!found)
	})
	t.Run("tenants, files and decisions are found by key", func(t *testing.T) {
		is := is.New(t)
		tenant, found := q.Tenant("hash")
		is.True(found)
		is.Equal(tenant.Name, "shop")
		file, found := q.File("a.toml")
		is.True(found)
		is.Equal(file.Revision, int64(3))
		_, found = q.Decision("id")
		is.True(found)
		_, found = q.Decision("other")
		is.True(!found)
	})
}

func assertRoute(t *testing.T, q Query, method, path, name string) {
	t.Helper()
	is := is.New(t)
	r, found := q.Route(method, path)
	is.Equal(found, name != "")
	is.Equal(r.Name, name)
}
