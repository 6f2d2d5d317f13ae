package memberquery

import (
	"time"

	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/decide/once"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Entry is a node that callers can send requests for a service to.
type Entry struct {
	Host fleet.Host
	// KeyPrefix is the prefix of idempotency keys that the node owns; empty if the node's current epoch is unknown.
	KeyPrefix string
}

// KeyPrefix returns the prefix of idempotency keys that this node owns.
func (q *Queries) KeyPrefix(now time.Time) string {
	var prefix string
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		prefix = keyPrefix(m, m.Self.ID, now)
	})
	return prefix
}

// Epoch returns this node's current epoch for idempotency keys.
func (q *Queries) Epoch(now time.Time) int64 {
	var epoch int64
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		epoch = once.Epoch(m.Started, now)
	})
	return epoch
}

// Locate returns the location of the key's owner, and the owner's host if it is a known host other than this node.
func (q *Queries) Locate(k once.Key) (once.OwnerLocation, fleet.Host) {
	var location once.OwnerLocation
	var host fleet.Host
	q.Tables.Members.Read(guard.Held{}, func(_ guard.Held, m *table.Members) {
		location = once.LocateOwner(k, m.Self.ID, m.Incarnation)
		s, known := m.View.Hosts[k.Host]
		if location == once.OwnerRemote && !known {
			location = once.OwnerGone
		}
		host = s.Host
	})
	return location, host
}

// keyPrefix returns the key prefix of a host, or an empty string if the host did not announce its epoch recently. The
// owner also accepts keys of the previous epoch, so a prefix from an announcement less than one epoch old stays valid
// for at least the rest of that epoch.
func keyPrefix(m *table.Members, id string, now time.Time) string {
	if id == m.Self.ID {
		return once.Prefix(id, m.Incarnation, once.Epoch(m.Started, now))
	}
	s, known := m.View.Hosts[id]
	if !known || !member.EpochAnnouncedWithin(s, now, once.EpochDuration/2) {
		return ""
	}
	return once.Prefix(id, s.Incarnation, s.Epoch)
}
