package quota

import (
	"time"
)

// minAvailable is the fraction of the limits below which nothing is left beside the parts of other hosts.
const minAvailable = 1e-6

// MayDecide reports whether this host may accept requests, given whether it is an entry host and which others may accept them.
// The hosts that do and are in touch have to count it, and one host at least must have confirmed that: all others set its part
// aside then. Nothing is left to hosts that are only in touch with each other while the entry hosts before them may still accept
// requests. A host that has heard none for maxAlone may be the last one that is left.
func (m *Membership) MayDecide(now time.Time, entryHost bool, s Spenders) bool {
	onlyHost := m.Seeds == 0 && len(m.Hosts) == 0 && m.FirstHeardAt.IsZero()
	switch {
	case onlyHost:
		return true
	case !entryHost:
		return false
	case now.Sub(m.HeardAt) > maxAlone:
		return true
	case max(s.remaining(), s.Own) < minAvailable:
		return false
	}
	counted := false
	for _, h := range m.Hosts {
		if h.inTouch(now) && h.Decides && !h.CountsSelf {
			return false
		}
		counted = counted || h.CountsSelf
	}
	return counted
}

// BecomeEntryHost forgets what a host that was no entry host last knew: that others count it, and which silent hosts may accept
// requests. It is told both again before it decides. Until then it presumes that the entry hosts before it may.
func (m *Membership) BecomeEntryHost(now time.Time) {
	m.HeardAt, m.Decides, m.OwnPart = now, false, 0
	for id, h := range m.Hosts {
		h.CountsSelf = false
		if !h.inTouch(now) {
			m.Hosts[id] = &Host{PresumedPart: h.PresumedPart, EntrySince: h.EntrySince, EntryUntil: h.EntryUntil}
		}
	}
}

// DropPresumed drops the presumption that other hosts accept requests, except for the given ones, which a host that accepts requests
// itself has named.
func (m *Membership) DropPresumed(named map[string]time.Time) {
	for id, h := range m.Hosts {
		if _, found := named[id]; !found && h.presumed() {
			delete(m.Hosts, id)
		}
	}
}

// SetGone records that the process of the host has ended. An entry host goes on setting aside the part of a host that it counted.
func (m *Membership) SetGone(id string, entryHost bool) {
	if h := m.Hosts[id]; h != nil && (h.presumed() || !entryHost) {
		delete(m.Hosts, id)
	}
}

// presumed reports whether the host is only known as an entry host.
func (h *Host) presumed() bool { return h.HeardAt.IsZero() && !h.Counted }

// Counts reports whether this host counts the other one among those that may accept requests: one that is in touch and an entry
// host by its own selection, or one that was told so before and has not reported since that it does not decide. The part of the
// host is set aside from then on if it becomes silent, however short the time was for which it was an entry host.
func (m *Membership) Counts(now time.Time, id string) bool {
	h := m.Host(id)
	h.Counted = h.Counted || h.Entry && h.inTouch(now)
	return h.Counted
}

// Reaches reports whether this host is in touch with a host that accepts requests and that the other one has reported as silent
// for longer than it takes both to notice.
func (m *Membership) Reaches(now time.Time, other *Host) bool {
	for id, since := range other.Silent {
		if h := m.Hosts[id]; h != nil && h.inTouch(now) && h.Decides && now.Sub(since) > MaxSilence {
			return true
		}
	}
	return false
}

// Deciding returns the hosts of which the host with the ID has to be told: the silent ones, and all that accept requests if that
// host does not accept any yet. A host that does not decide itself may know them no more, and one that has started lately knows
// hosts that were entry hosts for a moment only.
func (m *Membership) Deciding(now time.Time, id string, s Spenders) []Part {
	var list []Part
	if m.startedLately(now) {
		return nil
	}
	for _, p := range s.Silent {
		if p.ID != id && !m.Host(p.ID).inTouch(now) && (m.Decides || p.Presumed) {
			list = append(list, p)
		}
	}
	if m.Host(id).Decides || !m.Decides {
		return list
	}
	for other, h := range m.Hosts {
		if other != id && h.Decides && h.inTouch(now) {
			list = append(list, Part{ID: other, Fraction: h.Part})
		}
	}
	return list
}

// SilentFor returns the time since the host was last known to accept requests, or presumed to.
func (m *Membership) SilentFor(now time.Time, id string) time.Duration {
	return now.Sub(m.Host(id).lastSeen())
}

// Relay takes the part of a host that accepts requests from another one that is in touch with this host. The age is the time
// since it was heard there. What this host itself heard later takes precedence.
func (m *Membership) Relay(now time.Time, p Part, age time.Duration) {
	h, at := m.Host(p.ID), now.Add(-age)
	switch {
	case p.Presumed && (h.Counted || !h.HeardAt.IsZero() || !at.After(h.EntryUntil)):
	case p.Presumed:
		h.EntryUntil, h.EntrySince, h.PresumedPart = at, at.Add(-settledEntryDuration), p.Fraction
	case at.After(h.HeardAt) && at.After(h.DecidedAt):
		h.DecidedAt, h.Counted, h.Decides, h.Part = at, true, true, p.Fraction
	}
}
