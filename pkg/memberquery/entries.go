package memberquery

import (
	"time"

	"egretline.example/egretline/pkg/decide/group"
	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/decide/once"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Entry is a node that callers can use for a service.
type Entry struct {
	Host fleet.Host
	// KeyPrefix is the prefix of idempotency keys whose home is the node; empty if this node does not know it.
	KeyPrefix string
}

// Home is the place of the home of an idempotency key, seen from this node.
type Home string

// Places of a home.
const (
	// HomeHere means that this incarnation of this node is the home.
	HomeHere Home = "here"
	// HomeElsewhere means that the home may be another live node, to which the request can be forwarded.
	HomeElsewhere Home = "elsewhere"
	// HomeGone means that the home has ended, or is not known to this node. Whether the key has run is not known.
	HomeGone Home = "gone"
)

// Entries returns the nodes that callers in the availability zone should use for the service, in order of preference.
// Leaving nodes are left out.
func (q *Queries) Entries(s fleet.Service, availabilityZone string, now time.Time) []Entry {
	var entries []Entry
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		for _, h := range group.Order(group.Members(s, live(m, now)), availabilityZone) {
			entries = append(entries, Entry{Host: h, KeyPrefix: keyPrefix(m, h.ID, now)})
		}
	})
	return entries
}

// KeyPrefix returns the prefix of idempotency keys whose home is this node.
func (q *Queries) KeyPrefix(now time.Time) string {
	var prefix string
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		prefix = keyPrefix(m, m.Self.ID, now)
	})
	return prefix
}

// Home returns where the home of the key is, and its host if that is elsewhere.
func (q *Queries) Home(k once.Key) (Home, fleet.Host) {
	home := HomeGone
	var host fleet.Host
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		home, host = place(m, k)
	})
	return home, host
}

// place does not ask whether the other host is live: only a failed forward shows that it cannot be reached.
func place(m *table.Members, k once.Key) (Home, fleet.Host) {
	if k.Host == m.Self.ID {
		if k.Incarnation == m.Incarnation {
			return HomeHere, m.Self
		}
		return HomeGone, fleet.Host{}
	}
	s, known := m.View.Hosts[k.Host]
	if !known {
		return HomeGone, fleet.Host{}
	}
	return HomeElsewhere, s.Host
}

// keyPrefix returns the prefix for a host whose epoch is known to be recent. The home accepts the previous epoch too, so
// an announcement that is less than one epoch old gives callers at least the rest of that epoch.
func keyPrefix(m *table.Members, id string, now time.Time) string {
	if id == m.Self.ID {
		return once.Prefix(id, m.Incarnation, once.Epoch(m.Started, now))
	}
	s, known := m.View.Hosts[id]
	if !known || !member.EpochKnown(s, now, once.EpochLength/2) {
		return ""
	}
	return once.Prefix(id, s.Incarnation, s.Epoch)
}
