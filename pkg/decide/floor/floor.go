// Package floor decides which ejections a member may make and which readmissions it must make, so that each member keeps
// the configured number of healthy backend servers in use. If each member keeps that number, so does the fleet, whatever
// the other members see and whichever messages are lost.
package floor

import (
	"cmp"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/detect"
)

// Server is one backend server in the view of one member.
type Server struct {
	Address string
	Leaving bool
	State   *detect.State
	// Suspected is the scope that the evidence calls for.
	Suspected detect.Scope
}

// Member is the member that decides, and what its peers reported.
type Member struct {
	HostID           string
	AvailabilityZone string
	// Reports holds the reports of the peers by address of the server.
	Reports map[string][]detect.Report
}

// Rule is what a service states about its pool.
type Rule struct {
	// Floor is the number of servers known to be healthy that stay in use.
	Floor    int
	Settings detect.Settings
	// Isolated says that the node itself is at fault, so that it ejects nothing.
	Isolated bool
}

// Changes lists the addresses whose use changed, and the suspected servers that stay in use because of the floor.
type Changes struct {
	Ejected    []string
	Readmitted []string
	Kept       []string
	// Summary describes the pool as it was judged.
	Summary detect.Summary
}

// Decide judges every server of the pool and applies the result.
func Decide(pool []Server, m Member, r Rule, now time.Time) Changes {
	states := make([]*detect.State, 0, len(pool))
	for _, s := range pool {
		states = append(states, s.State)
	}
	summary := detect.Summarize(states, now)
	for i, s := range pool {
		excess := detect.Excess(s.State, detect.Rest(summary, s.State, now))
		own := detect.Report{
			Member: m.HostID, AvailabilityZone: m.AvailabilityZone, Excess: excess, LastFailure: s.State.LastFailure,
		}
		pool[i].Suspected = detect.Judge(s.State, own, m.Reports[s.Address], r.Settings, now)
	}
	c := Apply(pool, r, now)
	c.Summary = summary
	return c
}

// Apply ejects suspected servers, the most suspected first, as long as the floor holds without them. If the floor does
// not hold, it readmits as many ejected servers as are missing, the least suspected first.
func Apply(pool []Server, r Rule, now time.Time) Changes {
	var c Changes
	for _, s := range suspected(pool) {
		if r.Isolated {
			break
		}
		switch {
		case detect.Out(s.State):
			widen(s)
		case Allowed(pool, s.Address, r, now):
			detect.Eject(s.State, s.Suspected, now)
			c.Ejected = append(c.Ejected, s.Address)
		default:
			c.Kept = append(c.Kept, s.Address)
		}
	}
	for _, s := range missing(pool, r, now) {
		detect.Readmit(s.State, true, now)
		c.Readmitted = append(c.Readmitted, s.Address)
	}
	return c
}

// widen turns an avoided server into an ejected one. The scope does not shrink while the server is out of use.
func widen(s Server) {
	if s.Suspected == detect.Ejected {
		s.State.Ejection.Scope = detect.Ejected
	}
}

// Allowed says whether the floor holds without the server at the address.
func Allowed(pool []Server, address string, r Rule, now time.Time) bool {
	return healthy(pool, address, r, now) >= r.Floor
}

// healthy counts the servers in use that are known to be healthy, without the one at the given address.
func healthy(pool []Server, without string, r Rule, now time.Time) int {
	n := 0
	for _, s := range pool {
		if s.Address == without || s.Leaving || detect.Out(s.State) {
			continue
		}
		if detect.Healthy(s.State, r.Settings, now) {
			n++
		}
	}
	return n
}

func suspected(pool []Server) []Server {
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

func missing(pool []Server, r Rule, now time.Time) []Server {
	count := r.Floor - healthy(pool, "", r, now)
	if count <= 0 {
		return nil
	}
	var out []Server
	for _, s := range pool {
		if detect.Out(s.State) && !s.Leaving {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.State.Sum, b.State.Sum), cmp.Compare(a.Address, b.Address))
	})
	return out[:min(count, len(out))]
}
