package memberquery

import (
	"maps"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/group"
	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Serves reports whether this node is in the group of the service, as of the last refresh. A service whose group has
// not been computed yet is served by every node.
func (q *Queries) Serves(service string) bool {
	serves := true
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		if g, known := m.Groups[service]; known {
			serves = containsHost(g.Members, m.Self.ID)
		}
	})
	return serves
}

// Targets returns the other members of the service's group to which a request can be forwarded, those in this node's
// availability zone first. Leaving and unreachable hosts are omitted.
func (q *Queries) Targets(service string, now time.Time) []fleet.Host {
	var targets []fleet.Host
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		for _, h := range group.OrderForCaller(m.Groups[service].Members, m.Self.AvailabilityZone) {
			s, known := m.View.Hosts[h.ID]
			if known && member.Live(m.View, s, now) && member.Reachable(s) && !s.Host.Leaving {
				targets = append(targets, s.Host)
			}
		}
	})
	return targets
}

// Entries returns the nodes that callers in the availability zone should use for the service, in order of preference.
// Leaving nodes are omitted.
func (q *Queries) Entries(service, availabilityZone string, now time.Time) []Entry {
	var entries []Entry
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		for _, h := range group.OrderForCaller(m.Groups[service].Members, availabilityZone) {
			if current, ok := entryHost(m, h.ID, now); ok {
				entries = append(entries, Entry{Host: current, KeyPrefix: keyPrefix(m, h.ID, now)})
			}
		}
	})
	return entries
}

// entryHost returns the current state of a host and reports whether callers can be sent to it. The state is read from
// the view, because the hosts in the groups are up to a second old.
func entryHost(m *table.Members, id string, now time.Time) (fleet.Host, bool) {
	if id == m.Self.ID {
		return m.Self, !m.Self.Leaving
	}
	s, known := m.View.Hosts[id]
	return s.Host, known && member.Live(m.View, s, now) && !s.Host.Leaving
}

// maxLeavingTargets is the maximum number of hosts, beyond the members of its groups, that a leaving node sends
// heartbeats to in one period. With 840 hosts, heartbeats to all of them every second would be 356 KB/s.
const maxLeavingTargets = 64

// HeartbeatTargets returns the hosts to send heartbeats to, sorted by ID: the other members of the groups that this
// node is in. They include listed hosts that cannot be reached, because only a successful heartbeat makes a host live
// again. A leaving node sends to all known hosts, a subset in each period, and each host that receives one
// removes the node from its entry responses.
func (q *Queries) HeartbeatTargets(now time.Time) []fleet.Host {
	chosen := map[string]fleet.Host{}
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		for _, g := range m.Groups {
			addOtherMembers(chosen, g.Members, m.Self.ID)
			addOtherMembers(chosen, g.Candidates, m.Self.ID)
		}
		if m.Self.Leaving {
			for _, id := range rotatingSubset(slices.Sorted(maps.Keys(m.View.Hosts)), now) {
				chosen[id] = m.View.Hosts[id].Host
			}
		}
	})
	targets := make([]fleet.Host, 0, len(chosen))
	for _, h := range chosen {
		targets = append(targets, h)
	}
	slices.SortFunc(targets, compareIDs)
	return targets
}

// rotatingSubset returns at most maxLeavingTargets of the IDs. The subset advances each second, and consecutive
// seconds together cover all IDs.
func rotatingSubset(ids []string, now time.Time) []string {
	if len(ids) <= maxLeavingTargets {
		return ids
	}
	first := int(now.Unix() * maxLeavingTargets % int64(len(ids)))
	return slices.Concat(ids[first:], ids[:first])[:maxLeavingTargets]
}

// addOtherMembers adds the members other than self to chosen, if self is a member.
func addOtherMembers(chosen map[string]fleet.Host, members []fleet.Host, self string) {
	if !containsHost(members, self) {
		return
	}
	for _, h := range members {
		if h.ID != self {
			chosen[h.ID] = h
		}
	}
}

func containsHost(hosts []fleet.Host, id string) bool {
	return slices.ContainsFunc(hosts, func(h fleet.Host) bool { return h.ID == id })
}
