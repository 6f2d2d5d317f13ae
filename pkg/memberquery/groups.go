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

// Serves says whether this node is in the group of the service, as of the last refresh. A node that has not computed
// groups yet serves every service.
func (q *Queries) Serves(service string) bool {
	serves := true
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		if g, known := m.Groups[service]; known {
			serves = contains(g.Members, m.Self.ID)
		}
	})
	return serves
}

// Targets returns the other members of the group of the service to which a request can be forwarded, those of this
// node's zone first. Hosts that are leaving or cannot be reached are left out.
func (q *Queries) Targets(service string, now time.Time) []fleet.Host {
	var targets []fleet.Host
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		for _, h := range group.Order(m.Groups[service].Members, m.Self.AvailabilityZone) {
			s, known := m.View.Hosts[h.ID]
			if known && member.Live(m.View, s, now) && member.Reachable(s) && !s.Host.Leaving {
				targets = append(targets, s.Host)
			}
		}
	})
	return targets
}

// Entries returns the nodes that callers in the availability zone should use for the service, in order of preference.
// Leaving nodes are left out.
func (q *Queries) Entries(service, availabilityZone string, now time.Time) []Entry {
	var entries []Entry
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		for _, h := range group.Order(m.Groups[service].Members, availabilityZone) {
			if current, ok := usable(m, h.ID, now); ok {
				entries = append(entries, Entry{Host: current, KeyPrefix: keyPrefix(m, h.ID, now)})
			}
		}
	})
	return entries
}

// usable returns the current state of a host, if callers can be sent to it. The groups are up to a second old.
func usable(m *table.Members, id string, now time.Time) (fleet.Host, bool) {
	if id == m.Self.ID {
		return m.Self, !m.Self.Leaving
	}
	s, known := m.View.Hosts[id]
	return s.Host, known && member.Live(m.View, s, now) && !s.Host.Leaving
}

// leavingTargets is the number of hosts outside its groups that a leaving node tells in one period. At 840 hosts, telling
// all of them every second would send 356 KB/s.
const leavingTargets = 64

// HeartbeatTargets returns the hosts that get heartbeats: the other members of the groups that this node is in. Listed
// hosts that cannot be reached are among them, because only a successful heartbeat brings them back. A leaving node sends
// to all known hosts, some in each period, so that each of them takes it out of its entry responses.
func (q *Queries) HeartbeatTargets(now time.Time) []fleet.Host {
	chosen := map[string]fleet.Host{}
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		for _, g := range m.Groups {
			addOthers(chosen, g.Members, m.Self.ID)
			addOthers(chosen, g.Candidates, m.Self.ID)
		}
		if m.Self.Leaving {
			for _, id := range window(slices.Sorted(maps.Keys(m.View.Hosts)), now) {
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

// window returns the hosts whose turn it is, so that consecutive seconds cover all of them.
func window(ids []string, now time.Time) []string {
	if len(ids) <= leavingTargets {
		return ids
	}
	first := int(now.Unix() * leavingTargets % int64(len(ids)))
	return slices.Concat(ids[first:], ids[:first])[:leavingTargets]
}

func addOthers(chosen map[string]fleet.Host, members []fleet.Host, self string) {
	if !contains(members, self) {
		return
	}
	for _, h := range members {
		if h.ID != self {
			chosen[h.ID] = h
		}
	}
}

func contains(hosts []fleet.Host, id string) bool {
	return slices.ContainsFunc(hosts, func(h fleet.Host) bool { return h.ID == id })
}
