package configquery

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/configfile"
	"egretline.example/egretline/pkg/fleet"
)

// Guards against requests that match a wrong route, which gives them a wrong rank or service.
func TestMatch(t *testing.T) {
	c := configurationWithRoutes("/", "/loans", "/loans/open", "/files/")
	for path, want := range map[string]string{
		"/":             "/",
		"/loans":        "/loans",
		"/loans/":       "/loans",
		"/loans/7":      "/loans",
		"/loansome":     "/",
		"/loans/open":   "/loans/open",
		"/loans/open/7": "/loans/open",
		"/loans/opened": "/loans",
		"/files":        "/",
		"/files/":       "/files/",
		"/files/a/b":    "/files/",
		"":              "",
		"loans":         "",
	} {
		t.Run(path, func(t *testing.T) { assertMatch(t, c, path, want) })
	}
	t.Run("another method", func(t *testing.T) {
		_, found := Match(c, http.MethodPost, "/loans")
		is.New(t).True(!found)
	})
}

// Guards against a route index that gives another result than a linear search through all routes.
func TestMatchAgainstSearch(t *testing.T) {
	path := rapid.StringMatching(`(/[ab]{0,2}){1,4}`)
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfNDistinct(path, 1, 8, rapid.ID[string]).Draw(t, "prefixes")
		p := path.Draw(t, "path")
		got, _ := Match(configurationWithRoutes(prefixes...), http.MethodGet, p)
		if want := longestPrefix(prefixes, p); got.PathPrefix != want {
			t.Fatalf("path %q: got %q, want %q", p, got.PathPrefix, want)
		}
	})
}

func longestPrefix(prefixes []string, path string) (best string) {
	for _, p := range prefixes {
		rest, ok := strings.CutPrefix(path, p)
		matches := ok && (rest == "" || strings.HasSuffix(p, "/") || rest[0] == '/')
		if matches && len(p) > len(best) {
			best = p
		}
	}
	return best
}

func configurationWithRoutes(prefixes ...string) *fleet.Configuration {
	f := fleet.File{Ranks: []fleet.Rank{{Name: "r"}}, Services: []fleet.Service{{Name: "s"}}}
	for _, p := range prefixes {
		f.Routes = append(f.Routes, fleet.Route{Name: p, Service: "s", Rank: "r", Method: http.MethodGet, PathPrefix: p})
	}
	return configfile.Merge([]fleet.File{f})
}

func assertMatch(t *testing.T, c *fleet.Configuration, path, want string) {
	t.Helper()
	got, found := Match(c, http.MethodGet, path)
	is := is.New(t)
	is.Equal(found, want != "")
	is.Equal(got.PathPrefix, want)
}
