// Package registry derives the pools of backend servers from the registrations in the platform's log.
package registry

import (
	"cmp"
	"slices"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

const (
	// reregistrationTimeout is the time after the end of a log outage in which a server whose registration expired during
	// the outage may register again.
	reregistrationTimeout = 2500 * time.Millisecond
	// expiryAfterOutageInterval is the time after the end of a log outage in which the outage may be the cause of a
	// removal.
	expiryAfterOutageInterval = 2 * time.Second
)

// Registration is the record that a backend server writes to the log and keeps alive by heartbeats.
type Registration struct {
	// Instance identifies one run of the server.
	Instance         string
	Service          string
	Address          string
	AvailabilityZone string
	Slots            int
	// Draining is set when the server is leaving and must get no new requests.
	Draining bool
	// StartedAtMs is the start time of the server on its own clock, in milliseconds since 1970 (Unix time); zero if not
	// given.
	StartedAtMs int64
}

// Position is a place in the log. A later era of the log may give out the offsets of an earlier one again.
type Position struct {
	Era    int64
	Offset int64
}

func (p Position) before(other Position) bool {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset)) < 0
}

// Entry is a registration with its position in the log and its pending removal.
type Entry struct {
	Registration
	// First is the position of the first record of this run of the server. Of two entries with the same address, the one
	// with the later position is current.
	First Position
	// RemoveAt is the time at which a removal takes effect unless the server registers again; zero if none is pending.
	RemoveAt time.Time
}

// State is the registry of one node.
type State struct {
	// Entries is keyed by instance.
	Entries map[string]Entry
}

// Register stores a registration that was read from the log at the position.
func Register(s *State, r Registration, at Position) {
	first := at
	if old, known := s.Entries[r.Instance]; known && old.StartedAtMs == r.StartedAtMs && old.Address == r.Address {
		first = old.First
	}
	s.Entries[r.Instance] = Entry{Registration: r, First: first}
}

// Remove removes an instance. The time outageEnd is the end of the last log outage, or zero if there was none. The
// removal of an entry shortly after that is delayed, which gives a live server time to register again. Remove returns the
// time at which a delayed removal takes effect, or zero.
func Remove(s *State, instance string, outageEnd, now time.Time) time.Time {
	e, known := s.Entries[instance]
	if !known {
		return time.Time{}
	}
	if e.Draining || outageEnd.IsZero() || now.Sub(outageEnd) > expiryAfterOutageInterval {
		delete(s.Entries, instance)
		return time.Time{}
	}
	if e.RemoveAt.IsZero() {
		e.RemoveAt = outageEnd.Add(reregistrationTimeout)
		s.Entries[instance] = e
	}
	return e.RemoveAt
}

// RemoveExpired deletes the entries whose pending removal is due, and reports whether there were any.
func RemoveExpired(s *State, now time.Time) bool {
	anyExpired := false
	for instance, e := range s.Entries {
		if !e.RemoveAt.IsZero() && !now.Before(e.RemoveAt) {
			delete(s.Entries, instance)
			anyExpired = true
		}
	}
	return anyExpired
}

// Pools returns the backend servers of each service that take new requests, sorted by address. Of two instances with the
// same address only the later one is listed, because the earlier one must have ended.
func Pools(s *State) map[string][]fleet.BackendServer {
	latest := map[string]Entry{}
	for _, e := range s.Entries {
		if old, known := latest[e.Address]; !known || old.First.before(e.First) {
			latest[e.Address] = e
		}
	}
	pools := map[string][]fleet.BackendServer{}
	for _, e := range latest {
		if e.Draining {
			continue
		}
		pools[e.Service] = append(pools[e.Service], fleet.BackendServer{
			Address: e.Address, Instance: e.Instance, StartedAtMs: e.StartedAtMs, AvailabilityZone: e.AvailabilityZone, Slots: e.Slots,
		})
	}
	for _, pool := range pools {
		slices.SortFunc(pool, func(a, b fleet.BackendServer) int { return cmp.Compare(a.Address, b.Address) })
	}
	return pools
}
