package membercmd

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

// Refresh recomputes the service groups if the live hosts, the known hosts or the configuration have changed. Requests
// read the stored groups, because ranking 840 hosts for 260 services is too slow for each request.
func (c *Commands) Refresh(config *fleet.Configuration, now time.Time) {
	var live, known []fleet.Host
	var current bool
	c.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		live, known = liveAndKnownHosts(m, now)
		current = m.GroupsRevision == config.Revision && slices.Equal(m.GroupsLive, live) && slices.Equal(m.GroupsKnown, known)
	})
	if current {
		return
	}
	groups := make(map[string]table.ServiceGroup, len(config.Services))
	for name, s := range config.Services {
		groups[name] = table.ServiceGroup{Members: group.Members(s, live), Candidates: group.Members(s, known)}
	}
	c.Tables.Members.Write(guard.Held{}, func(_ guard.Held, m *table.Members) {
		m.Groups = groups
		m.GroupsRevision = config.Revision
		m.GroupsLive = live
		m.GroupsKnown = known
	})
}

// liveAndKnownHosts returns the live hosts, and the known hosts: the live ones and those on the host list that cannot
// be reached. Both begin with this node, followed by the other hosts sorted by ID.
func liveAndKnownHosts(m *table.Members, now time.Time) (live, known []fleet.Host) {
	live, known = []fleet.Host{m.Self}, []fleet.Host{m.Self}
	for _, id := range slices.Sorted(maps.Keys(m.View.Hosts)) {
		s := m.View.Hosts[id]
		alive := member.Live(m.View, s, now)
		if alive {
			live = append(live, s.Host)
		}
		if alive || s.Listed {
			known = append(known, s.Host)
		}
	}
	return live, known
}
