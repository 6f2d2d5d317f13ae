package quota

import (
	"cmp"
	"slices"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

const (
	// FormerEntryDuration is how long the part of a host that was an entry host and went silent stays set aside. Callers may
	// use it for as long as they get no new directory response.
	FormerEntryDuration = 60 * time.Second
	// FormerReportDuration is how long a host that is no entry host any more goes on reporting. Callers use a host for up to
	// three times as long as a directory response is valid.
	FormerReportDuration = 10 * time.Second
	// settledEntryDuration is the time as an entry host after which the part of a host stays set aside. While a whole fleet
	// restarts, dozens of hosts are entry hosts for a moment, and at most maxUnsettled of them are counted.
	settledEntryDuration = 3 * time.Second
	maxUnsettled         = 2
	// leavingDuration is how long the part of a leaving host stays set aside. Such a host refuses requests after 2.5 s.
	leavingDuration = 6 * time.Second
	// maxAlone is how long a host that hears no other one keeps their parts set aside.
	maxAlone = 10 * time.Minute
	// unreservedFactor reduces the part of a host for which the others may set nothing aside, to what the tolerance covers.
	unreservedFactor = 4
	// settleDuration is how long after its start a host counts at least the hosts that its settings name.
	settleDuration = 5 * time.Second
	// minAvailable is the fraction of the limits below which nothing is left beside the parts of silent hosts.
	minAvailable = 1e-6
)

// Membership is what a host knows of the hosts that may accept requests.
type Membership struct {
	// Hosts holds the other hosts by ID.
	Hosts map[string]*Host
	// StartedAt is when the process started, and Seeds the number of other hosts that its settings name.
	StartedAt time.Time
	Seeds     int
	// FirstStart is set if all hosts have started for the first time.
	FirstStart bool
	// SeenAt is when the entry hosts were last recorded.
	SeenAt time.Time
	// FirstHeardAt is the time of the first report from any host, and HeardAt that of the last one, or the start of the process.
	FirstHeardAt time.Time
	HeardAt      time.Time
	// Decides reports whether this host accepts requests, and OwnPart is its part while it does.
	Decides bool
	OwnPart float64
	// InformedSince is the time since which this host was told what others accept: the start of the process, or the first
	// report after FormerEntryDuration without any.
	InformedSince time.Time
}

// Spenders returns the other hosts that may accept requests, sorted by ID. A host that has heard no other one for
// FormerEntryDuration, or since its start, counts unreservedFactor times as many.
func (m *Membership) Spenders(now time.Time) Spenders {
	var s Spenders
	alone := now.Sub(m.HeardAt)
	var unsettled []string
	for id, h := range m.Hosts {
		switch {
		case !h.maySpend(now, alone):
		case h.inTouch(now) && h.Shared:
			s.Silent = append(s.Silent, Part{ID: id, Fraction: h.Part})
		case h.inTouch(now) && (h.settled() || !m.startedLately(now)):
			s.Hosts = append(s.Hosts, id)
		case h.Counted && !h.inTouch(now) && !m.momentary(now, h):
			s.Silent = append(s.Silent, Part{ID: id, Fraction: h.Part})
		case !h.settled():
			unsettled = append(unsettled, id)
		case h.EntryUntil.Equal(m.SeenAt):
			s.Hosts = append(s.Hosts, id)
		case !m.Decides:
			s.Silent = append(s.Silent, Part{ID: id, Fraction: h.PresumedPart, Presumed: true})
		}
	}
	s.Own = m.OwnPart
	slices.Sort(unsettled)
	s.Hosts = append(s.Hosts, unsettled[:min(len(unsettled), maxUnsettled)]...)
	slices.Sort(s.Hosts)
	slices.SortFunc(s.Silent, func(a, b Part) int { return cmp.Compare(a.ID, b.ID) })
	if alone > maxAlone {
		return s
	}
	if !m.FirstStart && (now.Sub(m.StartedAt) < settleDuration || m.neverHeard()) {
		s.Unknown = max(0, m.Seeds-len(s.Hosts)-len(s.Silent))
	}
	s.fillParts()
	if m.unreserved(now) {
		s.Unknown += (unreservedFactor - 1) * s.Count()
	}
	return s
}

// momentary reports whether the host was heard for a moment while this one restarted. While a whole fleet restarts, dozens of
// hosts are entry hosts for a moment, and little would be left beside their parts.
func (m *Membership) momentary(now time.Time, h *Host) bool {
	return m.startedLately(now) && !h.HeardAt.IsZero() && !h.inTouch(now) && !h.settled()
}

// fillParts gives equal parts to the silent hosts whose parts are not known.
func (s *Spenders) fillParts() {
	for i, p := range s.Silent {
		if p.Fraction == 0 {
			s.Silent[i].Fraction = 1 / float64(s.Count())
		}
	}
}

// unreserved reports whether the other hosts may set aside nothing for this one.
func (m *Membership) unreserved(now time.Time) bool {
	return !m.FirstStart && m.neverHeard() || len(m.Hosts) > 0 && now.Sub(m.HeardAt) > FormerEntryDuration
}

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
	case max(s.unreserved(), s.Own) < minAvailable:
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

// Renounce forgets what a host that was no entry host last knew: that others count it, and which silent hosts may accept
// requests. It is told both again before it decides. Until then it presumes that the entry hosts before it may.
func (m *Membership) Renounce(now time.Time) {
	m.HeardAt, m.Decides, m.OwnPart = now, false, 0
	for id, h := range m.Hosts {
		h.CountsSelf = false
		if !h.inTouch(now) {
			m.Hosts[id] = &Host{PresumedPart: h.PresumedPart, EntrySince: h.EntrySince, EntryUntil: h.EntryUntil}
		}
	}
}

// TakeOver drops the presumption that other hosts accept requests, except for the given ones, which a host that accepts requests
// itself has named.
func (m *Membership) TakeOver(named map[string]time.Time) {
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

// inTouch reports whether the host was heard lately.
func (h *Host) inTouch(now time.Time) bool {
	return !h.HeardAt.IsZero() && now.Sub(h.HeardAt) <= MaxSilence
}

// neverHeard reports whether the host has others to hear and has heard none of them since its start.
func (m *Membership) neverHeard() bool {
	return m.HeardAt.Equal(m.StartedAt) && m.Seeds+len(m.Hosts) > 0
}

// maySpend reports whether the host may accept requests, given how long no host was heard. Silence of all hosts does not
// end the time for which parts are set aside, because then this host is the one that is cut off.
func (h *Host) maySpend(now time.Time, alone time.Duration) bool {
	switch {
	case alone > maxAlone:
		return false
	case !h.LeavingSince.IsZero() && now.Sub(h.LeavingSince) > leavingDuration:
		return false
	case now.Sub(h.EntryUntil) <= MaxSilence:
		return true
	case h.Counted || h.presumed() && h.settled():
		return now.Sub(h.lastSeen()) <= FormerEntryDuration+alone
	}
	return false
}

// lastSeen returns when the host was last known to accept requests, or presumed to.
func (h *Host) lastSeen() time.Time {
	switch {
	case h.presumed():
		return h.EntryUntil
	case h.HeardAt.After(h.DecidedAt):
		return h.HeardAt
	}
	return h.DecidedAt
}

// settled reports whether the host was an entry host for long enough that callers are likely to use it for long.
func (h *Host) settled() bool { return h.EntryUntil.Sub(h.EntrySince) >= settledEntryDuration }

func (s Spenders) hasOthers() bool { return len(s.Hosts)+len(s.Silent) > 0 }

// Isolated reports whether the host has heard none of the hosts that may accept requests for longer than MaxSilence.
func (m *Membership) Isolated(now time.Time) bool {
	return m.Spenders(now).hasOthers() && now.Sub(m.HeardAt) > MaxSilence
}

// InitialLevel returns the level of a new bucket. Without one, this host has heard of no requests of the customer. It may have
// missed some that were accepted before it started, or while it was out of touch for so long that nothing is set aside for
// it.
func (m *Membership) InitialLevel(now time.Time, q fleet.Quota) float64 {
	if m.FirstStart && m.InformedSince.Equal(m.StartedAt) {
		return float64(q.Burst)
	}
	if now.Sub(m.HeardAt) > FormerEntryDuration && m.Spenders(now).hasOthers() {
		return 0
	}
	if m.RestartedLately(now) {
		// The others may have restarted at the same time, and each of them would start with the same tokens.
		return 0
	}
	return now.Sub(m.InformedSince).Seconds() * q.RequestsPerSecond
}

// RestartedLately reports whether the process has started a short time ago, and not with the whole fleet for the first time.
func (m *Membership) RestartedLately(now time.Time) bool {
	return !m.FirstStart && m.startedLately(now)
}

// startedLately reports whether the process has started a short time ago.
func (m *Membership) startedLately(now time.Time) bool { return now.Sub(m.StartedAt) < settleDuration }

// Hear records a report from the host with the ID.
func (m *Membership) Hear(now time.Time, id string, incarnation int64, sequence uint64) (Arrival, bool) {
	arrival, accepted := m.Host(id).Hear(now, incarnation, sequence)
	if !accepted {
		return arrival, false
	}
	if now.Sub(m.HeardAt) > FormerEntryDuration {
		m.InformedSince = now
	}
	m.HeardAt = now
	if m.FirstHeardAt.IsZero() {
		m.FirstHeardAt = now
	}
	return arrival, true
}

// Host returns what is known of the host with the ID.
func (m *Membership) Host(id string) *Host {
	h, known := m.Hosts[id]
	if !known {
		h = &Host{}
		m.Hosts[id] = h
	}
	return h
}

// SeeEntryHosts records the current entry hosts, without this host.
func (m *Membership) SeeEntryHosts(now time.Time, ids []string) {
	for _, id := range ids {
		h := m.Host(id)
		if h.EntryUntil.IsZero() || h.EntryUntil.Before(m.SeenAt) {
			h.EntrySince = now
		}
		h.EntryUntil, h.LeavingSince, h.PresumedPart = now, time.Time{}, 1/float64(len(ids))
	}
	m.SeenAt = now
	for id, h := range m.Hosts {
		if m.momentary(now, h) {
			h.Counted = false
		}
		if now.Sub(h.lastSeen()) > maxAlone && now.Sub(h.EntryUntil) > maxAlone {
			delete(m.Hosts, id)
		}
	}
}
