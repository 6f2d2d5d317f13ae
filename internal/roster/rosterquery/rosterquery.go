// Package rosterquery reads the membership state of the fleet's hosts.
package rosterquery

import (
	"cmp"
	"hash/maphash"
	"slices"
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

// Isolated reports whether the node is cut off from most registrars and from the platform's log.
func (q *Queries) Isolated() (isolated bool) {
	q.Tables.Roster.Read(guard.Held{}, func(_ guard.Held, r *table.Roster) { isolated = r.Isolated })
	return isolated
}

// InDoubt reports whether the node may be cut off from most registrars.
func (q *Queries) InDoubt() (inDoubt bool) {
	q.Tables.Roster.Read(guard.Held{}, func(_ guard.Held, r *table.Roster) { inDoubt = !r.UnansweredSince.IsZero() })
	return inDoubt
}

// EntryHostsFor returns the entry hosts for a caller in the availability zone: those in the same zone or, if there are
// none, all of them. An isolated host does not name itself beside others, because it can share no state with them.
func (q *Queries) EntryHostsFor(zone string) []fleet.Host {
	entryHosts := q.EntryHosts()
	if len(entryHosts) > 1 && q.Isolated() {
		self, _ := q.Self()
		entryHosts = slices.DeleteFunc(slices.Clone(entryHosts), func(h fleet.Host) bool { return h.ID == self.ID })
	}
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

// contact holds what the digest of a list of contacts covers.
type contact struct {
	ID, PeerAddress string
	Ready, Leaving  bool
}

// digestSeed differs between processes. A digest is compared only with earlier ones of the same process.
var digestSeed = maphash.MakeSeed()

// ContactsDigest returns a digest of the hosts that had recent direct contact with the node. It does not depend on their
// order, because sorting hundreds of hosts for each message would take more time than the message.
func (q *Queries) ContactsDigest(now time.Time) (digest uint64) {
	q.Tables.Roster.Read(guard.Held{}, func(_ guard.Held, r *table.Roster) {
		for _, s := range r.Hosts {
			if roster.HasRecentDirectContact(*s, now) {
				digest += maphash.Comparable(digestSeed, contact{s.Host.ID, s.Host.PeerAddress, s.Ready, s.Host.Leaving})
			}
		}
	})
	return digest
}

// RecentContacts returns the hosts that had recent direct contact with the node, sorted by ID.
func (q *Queries) RecentContacts(now time.Time) []roster.State {
	var list []roster.State
	q.Tables.Roster.Read(guard.Held{}, func(_ guard.Held, r *table.Roster) {
		for _, s := range r.Hosts {
			if roster.HasRecentDirectContact(*s, now) {
				list = append(list, *s)
			}
		}
	})
	slices.SortFunc(list, func(a, b roster.State) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	return list
}
