package configfile

import (
	"cmp"
	"fmt"
	"slices"

	"egretline.example/egretline/pkg/fleet"
)

// Merge combines the files. It does not depend on their order, so that every node compiles the same configuration. If
// two files define the same name, the definition in the file whose name sorts first is used. A route whose service or
// rank no file defines stays in place with a Refusal, so that its requests do not fall through to a less specific route.
func Merge(files []fleet.File) *fleet.Configuration {
	tenants := 0
	for _, f := range files {
		tenants += len(f.Tenants)
	}
	m := merger{
		configuration: &fleet.Configuration{
			Services: map[string]fleet.Service{}, Tenants: make(map[string]fleet.Tenant, tenants),
		},
		origin: make(map[definition]string, 2*tenants),
	}
	sorted := slices.SortedFunc(slices.Values(files), func(a, b fleet.File) int { return cmp.Compare(a.Name, b.Name) })
	for _, f := range sorted {
		m.definitions(f)
	}
	for _, f := range sorted {
		m.references(f)
	}
	m.shares()
	c := m.configuration
	slices.SortStableFunc(c.Routes, func(a, b fleet.Route) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
	c.RouteIndex = make(map[fleet.RouteKey]int, len(c.Routes))
	for i, r := range c.Routes {
		c.RouteIndex[fleet.RouteKey{Method: r.Method, PathPrefix: r.PathPrefix}] = i
	}
	return c
}

type merger struct {
	configuration *fleet.Configuration
	// origin is the file that defines each thing.
	origin map[definition]string
}

// definition is what only one file may define, such as the rank bookings.
type definition struct {
	Kind string
	Name string
}

func (m *merger) definitions(f fleet.File) {
	c := m.configuration
	for _, r := range f.Ranks {
		if m.first(f.Name, "rank", r.Name) {
			c.Ranks = append(c.Ranks, r)
		}
	}
	for _, s := range f.Services {
		if m.first(f.Name, "service", s.Name) {
			c.Services[s.Name] = s
		}
	}
	for _, t := range f.Tenants {
		if m.first(f.Name, "tenant", t.Name) && m.unique(f.Name, "tenant", t.Name, definition{"token hash", t.TokenSHA256}) {
			c.Tenants[t.TokenSHA256] = t
		}
	}
}

// first says whether the definition is the first with its name, and reports it otherwise.
func (m *merger) first(file, kind, name string) bool {
	return m.unique(file, kind, name, definition{kind, name})
}

// unique says whether what the named entry defines is not defined yet, and reports it otherwise.
func (m *merger) unique(file, kind, name string, d definition) bool {
	if origin, defined := m.origin[d]; defined {
		message := d.Kind + " " + d.Name + " is already defined in " + origin
		m.problem(file, kind+"."+name, message, "remove one of the two; the one in "+origin+" is in force")
		return false
	}
	m.origin[d] = file
	return true
}

func (m *merger) references(f fleet.File) {
	c := m.configuration
	for _, r := range f.Routes {
		if !m.first(f.Name, "route", r.Name) || !m.unique(f.Name, "route", r.Name, definition{"route for", r.Method + " " + r.PathPrefix}) {
			continue
		}
		r.Refusal = m.refusal(r)
		if r.Refusal != "" {
			m.problem(f.Name, "route."+r.Name, r.Refusal, "define it in a file, or change the route; until then the route refuses")
		}
		c.Routes = append(c.Routes, r)
	}
	for _, t := range f.Tenants {
		for _, s := range t.Services {
			if _, defined := c.Services[s]; !defined {
				m.problem(f.Name, "tenant."+t.Name, fmt.Sprintf("no file defines service %q", s), "define it in a file, or remove it here")
			}
		}
	}
}

func (m *merger) refusal(r fleet.Route) string {
	if _, defined := m.configuration.Services[r.Service]; !defined {
		return fmt.Sprintf("no file defines service %q", r.Service)
	}
	if !slices.ContainsFunc(m.configuration.Ranks, func(k fleet.Rank) bool { return k.Name == r.Rank }) {
		return fmt.Sprintf("no file defines rank %q", r.Rank)
	}
	return ""
}

func (m *merger) shares() {
	sum := 0.0
	for _, r := range m.configuration.Ranks {
		sum += r.Share
	}
	if sum > 1+shareTolerance {
		m.problem("all files", "rank", fmt.Sprintf("shares of all ranks add up to %.4g", sum), "lower the shares until they add up to 1 or less")
	}
}

func (m *merger) problem(file, key, message, remedy string) {
	m.configuration.Problems = append(m.configuration.Problems, fleet.Problem{
		File: file, Key: key, Message: message, Remedy: remedy,
	})
}
