// Package memberquery reads the Members table, which holds this node's view of the hosts of the fleet.
package memberquery

import (
	"cmp"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Queries reads the Members table of one node.
type Queries struct {
	Tables *table.Tables
}

// Self returns this node's host and incarnation.
func (q *Queries) Self() (fleet.Host, string) {
	var host fleet.Host
	var incarnation string
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		host, incarnation = m.Self, m.Incarnation
	})
	return host, incarnation
}

// Live returns the live hosts, including this node and leaving hosts, sorted by ID.
func (q *Queries) Live(now time.Time) []fleet.Host {
	var hosts []fleet.Host
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		hosts = liveHosts(m, now)
	})
	return hosts
}

// Peers returns the state of every other known host, sorted by ID.
func (q *Queries) Peers() []member.HostState {
	var states []member.HostState
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		for _, s := range m.View.Hosts {
			states = append(states, s)
		}
	})
	slices.SortFunc(states, func(a, b member.HostState) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	return states
}

// Group returns the members of the service's group, as of the last refresh.
func (q *Queries) Group(service string) []fleet.Host {
	var members []fleet.Host
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		members = slices.Clone(m.Groups[service].Members)
	})
	return members
}

func liveHosts(m *table.Members, now time.Time) []fleet.Host {
	hosts := []fleet.Host{m.Self}
	for _, s := range m.View.Hosts {
		if member.Live(m.View, s, now) {
			hosts = append(hosts, s.Host)
		}
	}
	slices.SortFunc(hosts, compareIDs)
	return hosts
}

func compareIDs(a, b fleet.Host) int {
	return cmp.Compare(a.ID, b.ID)
}
