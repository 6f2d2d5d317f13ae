package configfile

import (
	"cmp"
	"fmt"
	"slices"

	"egretline.example/egretline/pkg/fleet"
)

// Merge combines the files. The result does not depend on their order: every node compiles the same configuration.
// If two files define the same name, the definition in the file whose name sorts first is used. A route whose service
// or rank is undefined is kept with a RefusalReason, because its requests would otherwise match a less specific route.
func Merge(files []fleet.File) *fleet.Configuration {
	tenants := 0
	for _, f := range files {
		tenants += len(f.Tenants)
	}
	m := merger{
		configuration: &fleet.Configuration{
			Services: map[string]fleet.Service{}, Tenants: make(map[string]fleet.Tenant, tenants),
		},
		definedIn: make(map[definitionKey]string, 2*tenants),
	}
	sorted := slices.SortedFunc(slices.Values(files), func(a, b fleet.File) int { return cmp.Compare(a.Name, b.Name) })
	for _, f := range sorted {
		m.mergeDefinitions(f)
	}
	for _, f := range sorted {
		m.resolveReferences(f)
	}
	m.checkShares()
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
	// definedIn maps each definition to the name of its file.
	definedIn map[definitionKey]string
}

// definitionKey identifies a definition that only one file may hold, such as the rank bookings.
type definitionKey struct {
	Kind string
	Name string
}

func (m *merger) mergeDefinitions(f fleet.File) {
	c := m.configuration
	for _, r := range f.Ranks {
		if m.claimName(f.Name, "rank", r.Name) {
			c.Ranks = append(c.Ranks, r)
		}
	}
	for _, s := range f.Services {
		if m.claimName(f.Name, "service", s.Name) {
			c.Services[s.Name] = s
		}
	}
	for _, t := range f.Tenants {
		if m.claimName(f.Name, "tenant", t.Name) &&
			m.claim(f.Name, "tenant", t.Name, definitionKey{"token hash", t.TokenSHA256}) {
			c.Tenants[t.TokenSHA256] = t
		}
	}
}

// claimName reports whether no file has defined the name yet, and adds a problem otherwise.
func (m *merger) claimName(file, kind, name string) bool {
	return m.claim(file, kind, name, definitionKey{kind, name})
}

// claim reports whether no file holds the definition yet, and adds a problem at the key kind.name otherwise.
func (m *merger) claim(file, kind, name string, definition definitionKey) bool {
	if otherFile, defined := m.definedIn[definition]; defined {
		message := definition.Kind + " " + definition.Name + " is already defined in " + otherFile
		m.addProblem(file, kind+"."+name, message, "remove one of the two; the one in "+otherFile+" is in force")
		return false
	}
	m.definedIn[definition] = file
	return true
}

// resolveReferences merges the routes of the file and reports references to undefined services and ranks.
func (m *merger) resolveReferences(f fleet.File) {
	c := m.configuration
	for _, r := range f.Routes {
		if !m.claimName(f.Name, "route", r.Name) ||
			!m.claim(f.Name, "route", r.Name, definitionKey{"route for", r.Method + " " + r.PathPrefix}) {
			continue
		}
		r.RefusalReason = m.refusalReason(r)
		if r.RefusalReason != "" {
			m.addProblem(f.Name, "route."+r.Name, r.RefusalReason,
				"define it in a file, or change the route; until then the route refuses")
		}
		c.Routes = append(c.Routes, r)
	}
	for _, t := range f.Tenants {
		for _, s := range t.Services {
			if _, defined := c.Services[s]; !defined {
				m.addProblem(f.Name, "tenant."+t.Name, fmt.Sprintf("no file defines service %q", s),
					"define it in a file, or remove it here")
			}
		}
	}
}

// refusalReason returns why requests of the route are refused, or an empty string.
func (m *merger) refusalReason(r fleet.Route) string {
	if _, defined := m.configuration.Services[r.Service]; !defined {
		return fmt.Sprintf("no file defines service %q", r.Service)
	}
	if !slices.ContainsFunc(m.configuration.Ranks, func(k fleet.Rank) bool { return k.Name == r.Rank }) {
		return fmt.Sprintf("no file defines rank %q", r.Rank)
	}
	return ""
}

func (m *merger) checkShares() {
	sum := 0.0
	for _, r := range m.configuration.Ranks {
		sum += r.Share
	}
	if sum > 1+shareTolerance {
		m.addProblem("all files", "rank", fmt.Sprintf("shares of all ranks add up to %.4g", sum),
			"lower the shares until they add up to 1 or less")
	}
}

func (m *merger) addProblem(file, key, message, remedy string) {
	m.configuration.Problems = append(m.configuration.Problems, fleet.Problem{
		File: file, Key: key, Message: message, Remedy: remedy,
	})
}
