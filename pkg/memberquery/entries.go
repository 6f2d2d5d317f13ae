package memberquery

import (
	"time"

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

// KeyPrefix returns the prefix of idempotency keys whose home is this node.
func (q *Queries) KeyPrefix(now time.Time) string {
	var prefix string
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		prefix = keyPrefix(m, m.Self.ID, now)
	})
	return prefix
}

// Epoch returns the current epoch of idempotency keys of this node.
func (q *Queries) Epoch(now time.Time) int64 {
	var epoch int64
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		epoch = once.Epoch(m.Started, now)
	})
	return epoch
}

// Locate returns where the home of the key is, and its host if that is another one.
func (q *Queries) Locate(k once.Key) (once.Place, fleet.Host) {
	var place once.Place
	var host fleet.Host
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		place = once.Locate(k, m.Self.ID, m.Incarnation)
		s, known := m.View.Hosts[k.Host]
		if place == once.Elsewhere && !known {
			place = once.Gone
		}
		host = s.Host
	})
	return place, host
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
