package configfile

import (
	"cmp"
	"slices"

	"egretline.example/egretline/pkg/fleet"
)

// Merge combines the files. It does not depend on their order, so that every node compiles the same configuration. If
// two files define the same name, the definition in the file whose name sorts first is used.
func Merge(files []fleet.File) *fleet.Configuration {
	c := &fleet.Configuration{Services: map[string]fleet.Service{}, Tenants: map[string]fleet.Tenant{}}
	sorted := slices.SortedFunc(slices.Values(files), func(a, b fleet.File) int { return cmp.Compare(a.Name, b.Name) })
	for _, f := range sorted {
		mergeRanks(c, f)
		mergeServices(c, f)
		c.Routes = append(c.Routes, f.Routes...)
		mergeTenants(c, f)
	}
	slices.SortStableFunc(c.Routes, func(a, b fleet.Route) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
	return c
}

func mergeRanks(c *fleet.Configuration, f fleet.File) {
	for _, r := range f.Ranks {
		if !slices.ContainsFunc(c.Ranks, func(o fleet.Rank) bool { return o.Name == r.Name }) {
			c.Ranks = append(c.Ranks, r)
		}
	}
}

func mergeServices(c *fleet.Configuration, f fleet.File) {
	for _, s := range f.Services {
		if _, defined := c.Services[s.Name]; !defined {
			c.Services[s.Name] = s
		}
	}
}

func mergeTenants(c *fleet.Configuration, f fleet.File) {
	for _, t := range f.Tenants {
		if _, defined := c.Tenants[t.TokenSHA256]; !defined {
			c.Tenants[t.TokenSHA256] = t
		}
	}
}
