// Package configquery reads the Config table.
package configquery

import (
	"strings"

	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Query answers questions about the configuration.
type Query struct {
	Config *guard.Guard[table.Config]
}

// Current returns the configuration in force, or nil if the node has none. The caller must not change it.
func (q Query) Current() (current *fleet.Configuration) {
	q.Config.Read(guard.Held{}, func(_ guard.Held, c *table.Config) { current = c.Compiled })
	return current
}

// Tenant returns the tenant with the SHA-256 of its token in lower-case hex.
func (q Query) Tenant(tokenSHA256 string) (fleet.Tenant, bool) {
	current := q.Current()
	if current == nil {
		return fleet.Tenant{}, false
	}
	t, found := current.Tenants[tokenSHA256]
	return t, found
}

// Route returns the most specific route of the method and path.
func (q Query) Route(method, path string) (fleet.Route, bool) {
	current := q.Current()
	if current == nil {
		return fleet.Route{}, false
	}
	for _, r := range current.Routes {
		if r.Method == method && below(path, r.PathPrefix) {
			return r, true
		}
	}
	return fleet.Route{}, false
}

// below says whether the path equals the prefix or continues it at a segment boundary, so that /loan does not match
// /loans.
func below(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}

// File returns the current contents and revision of a configuration file.
func (q Query) File(name string) (fold.File, bool) {
	f, found := q.Folded().Files[name]
	return f, found
}

// Decision returns the verdict on an apply ID.
func (q Query) Decision(applyID string) (fold.Decision, bool) {
	d, found := q.Folded().Decisions[applyID]
	return d, found
}

// Folded returns the folded state. States are replaced and never changed in place, so the caller may keep it and must
// not change it.
func (q Query) Folded() (s fold.State) {
	q.Config.Read(guard.Held{}, func(_ guard.Held, c *table.Config) { s = c.Fold })
	return s
}
