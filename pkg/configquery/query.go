// Package configquery reads the Config table.
package configquery

import (
	"strings"

	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Query gives read access to the Config table.
type Query struct {
	Config *guard.Guard[table.Config]
}

// Current returns the configuration in force, or nil if the node has none. The caller must not modify it.
func (q Query) Current() (current *fleet.Configuration) {
	q.Config.Read(guard.Held{}, func(_ guard.Held, c *table.Config) { current = c.Compiled })
	return current
}

// Tenant returns the tenant whose bearer token has the SHA-256 hash, in lower-case hex.
func (q Query) Tenant(tokenSHA256 string) (fleet.Tenant, bool) {
	current := q.Current()
	if current == nil {
		return fleet.Tenant{}, false
	}
	t, found := current.Tenants[tokenSHA256]
	return t, found
}

// Route returns the most specific route of the configuration in force for the method and path.
func (q Query) Route(method, path string) (fleet.Route, bool) {
	current := q.Current()
	if current == nil {
		return fleet.Route{}, false
	}
	return Match(current, method, path)
}

// Match returns the most specific route of the configuration for the method and path. A prefix matches only up to a
// segment boundary: /loan does not match /loans. Match looks up each prefix of the path, longest first. Its running
// time therefore depends on the length of the path and not on the number of routes.
func Match(c *fleet.Configuration, method, path string) (fleet.Route, bool) {
	return longestMatch(c, fleet.RouteKey{Method: method}, path)
}

// MatchHost returns the most specific route of the configuration for the host name and path, for any method.
func MatchHost(c *fleet.Configuration, host, path string) (fleet.Route, bool) {
	return longestMatch(c, fleet.RouteKey{Host: host}, path)
}

func longestMatch(c *fleet.Configuration, key fleet.RouteKey, path string) (fleet.Route, bool) {
	for prefix := path; prefix != ""; prefix = parentPrefix(prefix) {
		key.PathPrefix = prefix
		if i, found := c.RouteIndex[key]; found {
			return c.Routes[i], true
		}
	}
	return fleet.Route{}, false
}

// parentPrefix returns the next shorter prefix that ends at a segment boundary: /a/b, then /a/, then /a, then /.
func parentPrefix(prefix string) string {
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

// Decision returns the decision on the apply with the ID.
func (q Query) Decision(applyID string) (fold.Decision, bool) {
	d, found := q.Folded().Decisions[applyID]
	return d, found
}

// Folded returns the state that results from folding the log records. A state is replaced and never modified in place:
// the caller may keep it and must not modify it.
func (q Query) Folded() (s fold.State) {
	q.Config.Read(guard.Held{}, func(_ guard.Held, c *table.Config) { s = c.Fold })
	return s
}
