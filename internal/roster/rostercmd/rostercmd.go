// Package rostercmd records contacts with other hosts and selects the entry hosts. It writes the Roster table.
package rostercmd

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/roster"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// directReportMaxAge is how long the state that a host itself sent takes precedence over reports from registrars, which
// may be older.
const directReportMaxAge = 2 * time.Second

// Commands updates the Roster table of one node.
type Commands struct {
	Tables *table.Tables
	Logger zerolog.Logger
}

// New returns the commands for one node.
func New(t *table.Tables, logger zerolog.Logger) *Commands {
	return &Commands{Tables: t, Logger: logger}
}

// Announcement is the state of a host, as reported by itself or by a registrar.
type Announcement struct {
	Host  fleet.Host
	Ready bool
}

// SetReady records whether the node itself can serve callers.
func (c *Commands) SetReady(ready bool) {
	c.Tables.Roster.Write(guard.Held{}, func(_ guard.Held, r *table.Roster) { r.Ready = ready })
}

// SetLeaving records that the node itself is leaving.
func (c *Commands) SetLeaving() {
	c.Tables.Roster.Write(guard.Held{}, func(_ guard.Held, r *table.Roster) { r.Self.Leaving = true })
}

// RecordContact records a request or response from the host.
func (c *Commands) RecordContact(now time.Time, a Announcement) {
	c.Tables.Roster.Write(guard.Held{}, func(_ guard.Held, r *table.Roster) {
		if s := upsertState(r, a); s != nil {
			s.LastContact = now
		}
	})
}

// RecordReports records the hosts that a registrar has been in direct contact with.
func (c *Commands) RecordReports(now time.Time, list []Announcement) {
	c.Tables.Roster.Write(guard.Held{}, func(_ guard.Held, r *table.Roster) {
		for _, a := range list {
			if s, known := r.Hosts[a.Host.ID]; known && now.Sub(s.LastContact) < directReportMaxAge {
				continue
			}
			if s := upsertState(r, a); s != nil {
				s.LastReportedContact = now
			}
		}
	})
}

// AddCandidates adds hosts that are not in the roster yet, without marking them live.
func (c *Commands) AddCandidates(list []Announcement) {
	c.Tables.Roster.Write(guard.Held{}, func(_ guard.Held, r *table.Roster) {
		for _, a := range list {
			if _, known := r.Hosts[a.Host.ID]; !known {
				upsertState(r, a)
			}
		}
	})
}

// RecordFailure records a failed contact with the host whose machine has answered, for example by refusing the connection.
func (c *Commands) RecordFailure(now time.Time, id string) {
	c.Tables.Roster.Write(guard.Held{}, func(_ guard.Held, r *table.Roster) {
		if s, known := r.Hosts[id]; known {
			s.LastFailedContact, s.LastUnanswered = now, time.Time{}
		}
	})
}

// RecordNoAnswer records a contact with the host that failed without a sign of it or its machine. It returns the registrars that
// have to be contacted to learn whether this node is cut off. There are none if they are being contacted.
func (c *Commands) RecordNoAnswer(now time.Time, id string) (check []fleet.Host) {
	c.Tables.Roster.Write(guard.Held{}, func(_ guard.Held, r *table.Roster) {
		s, known := r.Hosts[id]
		if !known {
			return
		}
		s.LastFailedContact, s.LastUnanswered = now, now
		registrars := roster.Registrars(r.EntryHosts)
		isFailed := func(h fleet.Host) bool { return h.ID == id }
		if r.UnansweredSince.IsZero() && slices.ContainsFunc(registrars, isFailed) {
			r.UnansweredSince = now
			check = slices.DeleteFunc(slices.Clone(registrars), isFailed)
		}
	})
	return check
}

// SetLogReachable records whether the last read of the platform's log succeeded.
func (c *Commands) SetLogReachable(reachable bool) {
	c.Tables.Roster.Write(guard.Held{}, func(_ guard.Held, r *table.Roster) { r.LogUnreachable = !reachable })
}

// upsertState updates the state of the host from the announcement and returns it, or nil for the node itself.
func upsertState(r *table.Roster, a Announcement) *roster.State {
	if a.Host.ID == r.Self.ID || a.Host.ID == "" {
		return nil
	}
	s, known := r.Hosts[a.Host.ID]
	if !known {
		s = &roster.State{}
		r.Hosts[a.Host.ID] = s
	}
	s.Host, s.Ready = a.Host, a.Ready
	return s
}

// SelectEntryHosts selects the entry hosts from the live hosts. The load is in requests per second, like the
// capacities of hosts. It does nothing while neither the live hosts nor the load change, because ranking hundreds of hosts
// takes most of a millisecond and nodes call it several times a second. A node that may be cut off keeps its entry hosts: it
// would select hosts that no other one counts as entry hosts, itself among them.
func (c *Commands) SelectEntryHosts(now time.Time, load float64) {
	var before, after []fleet.Host
	c.Tables.Roster.Write(guard.Held{}, func(_ guard.Held, r *table.Roster) {
		if assessReach(r, now) != roster.Reached || !selectionOutdated(r, load, now) {
			return
		}
		r.SelectedFrom, r.SelectedLoad = map[string]fleet.Host{}, load
		for h := range liveHosts(r, now) {
			r.SelectedFrom[h.ID] = h
		}
		before, after = r.EntryHosts, roster.EntryHosts(slices.Collect(maps.Values(r.SelectedFrom)), load)
		r.EntryHosts = after
	})
	if !slices.EqualFunc(before, after, func(a, b fleet.Host) bool { return a.ID == b.ID }) {
		c.Logger.Info().Strs("before", hostIDs(before)).Strs("after", hostIDs(after)).Msg("entry hosts changed")
	}
}

// liveHosts returns the live hosts that are ready, among them the node itself.
func liveHosts(r *table.Roster, now time.Time) iter.Seq[fleet.Host] {
	return func(yield func(fleet.Host) bool) {
		if r.Ready && !r.Self.Leaving && !yield(r.Self) {
			return
		}
		for _, s := range r.Hosts {
			if s.Ready && roster.Live(*s, now) && !yield(s.Host) {
				return
			}
		}
	}
}

// assessReach updates what the node knows of its connection to the other hosts. A leaving node does not keep itself among the
// entry hosts, and is never in doubt.
func assessReach(r *table.Roster, now time.Time) roster.Reach {
	r.Isolated = false
	if r.UnansweredSince.IsZero() || r.Self.Leaving {
		return roster.Reached
	}
	contacts := roster.Contacts{LogUnreachable: r.LogUnreachable}
	for _, h := range roster.Registrars(r.EntryHosts) {
		s, known := r.Hosts[h.ID]
		switch {
		case !known: // the node itself
			contacts.Answered++
		case s.LastUnanswered.After(s.LastContact):
			contacts.Unanswered++
		case s.LastContact.Before(r.UnansweredSince) && s.LastFailedContact.Before(r.UnansweredSince):
			contacts.Unknown++
		default:
			contacts.Answered++
		}
	}
	reach := roster.Assess(contacts, now.Sub(r.UnansweredSince))
	r.Isolated = reach == roster.CutOff
	if reach == roster.Reached {
		r.UnansweredSince = time.Time{}
	}
	return reach
}

// selectionOutdated reports whether the live hosts or the load have changed since the entry hosts were selected.
func selectionOutdated(r *table.Roster, load float64, now time.Time) bool {
	if r.SelectedFrom == nil || load != r.SelectedLoad {
		return true
	}
	count := 0
	for h := range liveHosts(r, now) {
		if old, known := r.SelectedFrom[h.ID]; !known || old != h {
			return true
		}
		count++
	}
	return count != len(r.SelectedFrom)
}

func hostIDs(hosts []fleet.Host) []string {
	list := make([]string, len(hosts))
	for i, h := range hosts {
		list[i] = h.ID
	}
	return list
}
