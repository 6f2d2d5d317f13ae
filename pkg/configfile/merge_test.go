package configfile

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/fleet"
)

// Guards against requests that get a wrong service or rank because a reference between files is dangling.
func TestMerge(t *testing.T) {
	ranks := fleet.File{Name: "ranks.toml", Ranks: []fleet.Rank{{Name: "r", Share: 0.6}}}
	service := fleet.File{Name: "service.toml", Services: []fleet.Service{{Name: "s"}}}
	routes := fleet.File{Name: "routes.toml", Routes: []fleet.Route{
		{Name: "all", Service: "s", Rank: "r", Method: "GET", PathPrefix: "/"},
		{Name: "some", Service: "s", Rank: "r", Method: "GET", PathPrefix: "/some"},
	}}
	t.Run("the most specific route comes first and can be served", func(t *testing.T) {
		is := is.New(t)
		c := Merge([]fleet.File{routes, ranks, service})
		is.Equal(len(c.Problems), 0)
		is.Equal(c.Routes[0].Name, "some")
		is.Equal(c.Routes[0].RefusalReason, "")
	})
	t.Run("a route without its service refuses", func(t *testing.T) {
		assertRefuses(t, `no file defines service "s"`, ranks, routes)
	})
	t.Run("a route without its rank refuses", func(t *testing.T) {
		assertRefuses(t, `no file defines rank "r"`, service, routes)
	})
	t.Run("of two definitions the one in the first file is used, and the other is reported", func(t *testing.T) {
		is := is.New(t)
		other := fleet.File{Name: "a.toml", Services: []fleet.Service{{Name: "s", Floor: 3}}}
		c := Merge([]fleet.File{service, other})
		is.Equal(c.Services["s"].Floor, 3)
		is.Equal(len(c.Problems), 1)
		is.Equal(c.Problems[0].File, "service.toml")
	})
	t.Run("shares of several files that add up to more than 1 are reported", func(t *testing.T) {
		is := is.New(t)
		other := fleet.File{Name: "a.toml", Ranks: []fleet.Rank{{Name: "q", Share: 0.6}}}
		is.Equal(len(Merge([]fleet.File{ranks, other}).Problems), 1)
	})
	t.Run("a token hash of two tenants identifies only the first", func(t *testing.T) {
		is := is.New(t)
		a := fleet.File{Name: "a.toml", Tenants: []fleet.Tenant{{Name: "a", TokenSHA256: "x"}}}
		b := fleet.File{Name: "b.toml", Tenants: []fleet.Tenant{{Name: "b", TokenSHA256: "x"}}}
		c := Merge([]fleet.File{b, a})
		is.Equal(c.Tenants["x"].Name, "a")
		is.Equal(len(c.Problems), 1)
	})
}

// Guards against nodes that compile the same files to different configurations.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		names := []string{"a", "b"}
		var files []fleet.File
		for _, file := range []string{"1.toml", "2.toml", "3.toml"} {
			files = append(files, fleet.File{
				Name:     file,
				Ranks:    []fleet.Rank{{Name: rapid.SampledFrom(names).Draw(r, "rank"), Share: 0.4}},
				Services: []fleet.Service{{Name: rapid.SampledFrom(names).Draw(r, "service"), Region: file}},
				Routes: []fleet.Route{{
					Name: rapid.SampledFrom(names).Draw(r, "route"), PathPrefix: rapid.SampledFrom(names).Draw(r, "prefix"),
					Service: rapid.SampledFrom(names).Draw(r, "to"), Timeout: 1,
				}},
				Tenants: []fleet.Tenant{{Name: file, TokenSHA256: rapid.SampledFrom(names).Draw(r, "hash")}},
			})
		}
		shuffled := rapid.Permutation(files).Draw(r, "order")
		if a, b := Merge(files), Merge(shuffled); !reflect.DeepEqual(a, b) {
			r.Fatalf("%v differs from %v", a, b)
		}
	})
}

func assertRefuses(t *testing.T, reason string, files ...fleet.File) {
	t.Helper()
	is := is.New(t)
	c := Merge(files)
	is.Equal(len(c.Routes), 2) // without refusing routes, their requests would match a less specific route
	for _, r := range c.Routes {
		is.Equal(r.RefusalReason, reason)
	}
	is.Equal(len(c.Problems), 2)
}
