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

// Refresh computes the service groups again if the live hosts or the configuration have changed. Ranking 840 hosts for
// 260 services is too slow for each request, so that requests read the last result.
func (c *Commands) Refresh(config *fleet.Configuration, now time.Time) {
	var live, known []fleet.Host
	var current bool
	c.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		live, known = hosts(m, now)
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

// hosts returns the live hosts, and with them the listed ones that cannot be reached, each sorted by ID.
func hosts(m *table.Members, now time.Time) (live, known []fleet.Host) {
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
