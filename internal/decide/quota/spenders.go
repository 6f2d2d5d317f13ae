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
	// FirstHeardAt is the time of the first report from any host, and HeardAt that of the last one, or the time at which the
	// process started or this host became an entry host.
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
