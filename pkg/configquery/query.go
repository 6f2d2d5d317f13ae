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
	return Match(current, method, path)
}

// Match returns the most specific route of the configuration for the method and path. A prefix matches only up to a
// segment boundary, so that /loan does not match /loans. It looks up each prefix of the path, longest first, so that
// its time depends on the path and not on the number of routes.
func Match(c *fleet.Configuration, method, path string) (fleet.Route, bool) {
	return longestMatch(c, fleet.RouteKey{Method: method}, path)
}

// MatchHost returns the most specific route of the configuration for the host name and path, whatever the method is.
func MatchHost(c *fleet.Configuration, host, path string) (fleet.Route, bool) {
	return longestMatch(c, fleet.RouteKey{Host: host}, path)
}

func longestMatch(c *fleet.Configuration, key fleet.RouteKey, path string) (fleet.Route, bool) {
	for prefix := path; prefix != ""; prefix = shorter(prefix) {
		key.PathPrefix = prefix
		if i, found := c.RouteIndex[key]; found {
			return c.Routes[i], true
		}
	}
	return fleet.Route{}, false
}

// shorter returns the next shorter prefix that ends at a segment boundary: /a/b, then /a/, then /a, then /.
func shorter(prefix string) string {
	if trimmed, ok := strings.CutSuffix(prefix, "/"); ok {
		return trimmed
	}
	return prefix[:strings.LastIndexByte(prefix, '/')+1]
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
