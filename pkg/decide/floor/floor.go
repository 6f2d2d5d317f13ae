// Package floor limits ejections: each member keeps at least the configured number of healthy backend servers (the
// floor) in use. It refuses ejections that would violate the floor and readmits ejected servers when the pool is below
// it. If each member keeps the floor, so does the fleet, whatever the other members see and whichever messages are
// lost.
package floor

import (
	"cmp"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/detect"
)

// Server is one backend server as seen by one member.
type Server struct {
	Address string
	Leaving bool
	State   *detect.State
	// Suspected is the ejection scope that the evidence supports.
	Suspected detect.EjectionScope
}

// Member identifies the deciding member and holds the reports of its peers.
type Member struct {
	HostID           string
	AvailabilityZone string
	// Reports holds the peers' reports, keyed by server address.
	Reports map[string][]detect.Report
}

// Rule holds the limits and detection settings that apply to a pool.
type Rule struct {
	// Floor is the least number of servers known to be healthy that must stay in use.
	Floor    int
	Settings detect.Settings
	// Isolated is set when the node itself is at fault. It then ejects no server.
	Isolated bool
}

// Changes lists the addresses of servers that were ejected or readmitted, and of suspected servers that were kept in use
// because of the floor.
type Changes struct {
	Ejected     []string
	Readmitted  []string
	KeptByFloor []string
	// Summary is the pool summary that the decision was based on.
	Summary detect.Summary
}

// Decide determines the suspected scope of every server in the pool and applies the resulting changes.
func Decide(pool []Server, m Member, r Rule, now time.Time) Changes {
	states := make([]*detect.State, 0, len(pool))
	for _, s := range pool {
		states = append(states, s.State)
	}
	summary := detect.Summarize(states, now)
	for i, s := range pool {
		excess := detect.Excess(s.State, detect.BaselineFor(summary, s.State, now))
		own := detect.Report{
			Member: m.HostID, AvailabilityZone: m.AvailabilityZone, Excess: excess, LastFailure: s.State.LastFailure,
		}
		pool[i].Suspected = detect.SuspectedScope(s.State, own, m.Reports[s.Address], r.Settings, now)
	}
	c := Apply(pool, r, now)
	c.Summary = summary
	return c
}

// Apply ejects suspected servers in descending order of their CUSUM while the floor holds without them. If the pool is
// below the floor, it readmits as many ejected servers as are missing, in ascending order of their CUSUM.
func Apply(pool []Server, r Rule, now time.Time) Changes {
	var c Changes
	for _, s := range suspectedServers(pool) {
		if r.Isolated {
			break
		}
		switch {
		case detect.OutOfUse(s.State):
			widenScope(s)
		case HoldsWithout(pool, s.Address, r, now):
			detect.Eject(s.State, s.Suspected, now)
			c.Ejected = append(c.Ejected, s.Address)
		default:
			c.KeptByFloor = append(c.KeptByFloor, s.Address)
		}
	}
	for _, s := range serversToReadmit(pool, r, now) {
		detect.Readmit(s.State, true, now)
		c.Readmitted = append(c.Readmitted, s.Address)
	}
	return c
}

// widenScope changes the scope of an ejected server from EjectedInZone to Ejected. The scope never narrows while the
// server is out of use.
func widenScope(s Server) {
	if s.Suspected == detect.Ejected {
		s.State.Ejection.Scope = detect.Ejected
	}
}

// HoldsWithout reports whether the floor holds without the server at the address.
func HoldsWithout(pool []Server, address string, r Rule, now time.Time) bool {
	return countHealthy(pool, address, r, now) >= r.Floor
}

// countHealthy counts the servers in use that are known to be healthy, excluding the one at the given address.
func countHealthy(pool []Server, excluded string, r Rule, now time.Time) int {
	n := 0
	for _, s := range pool {
		if s.Address == excluded || s.Leaving || detect.OutOfUse(s.State) {
			continue
		}
		if detect.Healthy(s.State, r.Settings, now) {
			n++
		}
	}
	return n
}

func suspectedServers(pool []Server) []Server {
	var list []Server
	for _, s := range pool {
		if s.Suspected != detect.InUse && !s.Leaving {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Server) int {
		return cmp.Or(cmp.Compare(b.State.Sum, a.State.Sum), cmp.Compare(a.Address, b.Address))
	})
	return list
}

func serversToReadmit(pool []Server, r Rule, now time.Time) []Server {
	count := r.Floor - countHealthy(pool, "", r, now)
	if count <= 0 {
		return nil
	}
	var ejected []Server
	for _, s := range pool {
		if detect.OutOfUse(s.State) && !s.Leaving {
			ejected = append(ejected, s)
		}
	}
	slices.SortFunc(ejected, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.State.Sum, b.State.Sum), cmp.Compare(a.Address, b.Address))
	})
	return ejected[:min(count, len(ejected))]
}
