// Package rosterquery reads the membership state of the fleet's hosts.
package rosterquery

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
	"strconv"
	"time"

	"egretline.example/egretline/internal/decide/roster"
	"egretline.example/egretline/pkg/decide/group"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Queries reads the Roster table of one node.
type Queries struct {
	Tables *table.Tables
}

// Self returns the node's own host and reports whether it is ready.
func (q *Queries) Self() (self fleet.Host, ready bool) {
	q.Tables.Roster.Read(guard.Held{}, func(_ guard.Held, r *table.Roster) { self, ready = r.Self, r.Ready })
	return self, ready
}

// EntryHosts returns the entry hosts, which callers are sent to. The caller must not modify the slice.
func (q *Queries) EntryHosts() (entryHosts []fleet.Host) {
	q.Tables.Roster.Read(guard.Held{}, func(_ guard.Held, r *table.Roster) { entryHosts = r.EntryHosts })
	return entryHosts
}

// EntryHostsFor returns the entry hosts for a caller in the availability zone: those in the same zone or, if there are
// none, all of them.
func (q *Queries) EntryHostsFor(zone string) []fleet.Host {
	entryHosts := q.EntryHosts()
	var sameZone []fleet.Host
	for _, h := range entryHosts {
		if h.AvailabilityZone == zone {
			sameZone = append(sameZone, h)
		}
	}
	if len(sameZone) == 0 {
		return group.OrderForCaller(entryHosts, zone)
	}
	return sameZone
}

// Registrars returns the registrars other than the node itself. A registrar is an entry host that reads the platform's
// log and distributes its replicas of the log's topics to the other nodes.
func (q *Queries) Registrars() []fleet.Host {
	self, _ := q.Self()
	others := slices.Clone(roster.Registrars(q.EntryHosts()))
	return slices.DeleteFunc(others, func(h fleet.Host) bool { return h.ID == self.ID })
}

// RegistrarIndex returns the index of the node among the registrars, or -1 if it is not a registrar.
func (q *Queries) RegistrarIndex() int {
	self, _ := q.Self()
	return slices.IndexFunc(roster.Registrars(q.EntryHosts()), func(h fleet.Host) bool { return h.ID == self.ID })
}

// KnownHosts returns all other hosts in the roster, live or not, most recent contact first.
func (q *Queries) KnownHosts() []fleet.Host {
	var states []roster.State
	q.Tables.Roster.Read(guard.Held{}, func(_ guard.Held, r *table.Roster) {
		for _, s := range r.Hosts {
			states = append(states, *s)
		}
	})
	slices.SortFunc(states, func(a, b roster.State) int {
		return cmp.Or(b.LastContact.Compare(a.LastContact), cmp.Compare(a.Host.ID, b.Host.ID))
	})
	hosts := make([]fleet.Host, len(states))
	for i, s := range states {
		hosts[i] = s.Host
	}
	return hosts
}

// RecentContacts returns the hosts that had recent direct contact with the node, sorted by ID, and a digest of the list.
func (q *Queries) RecentContacts(now time.Time) ([]roster.State, uint64) {
	var list []roster.State
	q.Tables.Roster.Read(guard.Held{}, func(_ guard.Held, r *table.Roster) {
		for _, s := range r.Hosts {
			if roster.HasRecentDirectContact(*s, now) {
				list = append(list, *s)
			}
		}
	})
	slices.SortFunc(list, func(a, b roster.State) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	digest := fnv.New64a()
	for _, s := range list {
		_, _ = io.WriteString(digest, s.Host.ID+" "+s.Host.PeerAddress+" "+
			strconv.FormatBool(s.Ready)+strconv.FormatBool(s.Host.Leaving)+"\n")
	}
	return list, digest.Sum64()
}
