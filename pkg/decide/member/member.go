// Package member decides which hosts of the fleet are live, based on heartbeats, the platform's host list, which may be
// out of date, and the results of the node's own contacts.
package member

import (
	"fmt"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

const (
	// HeartbeatInterval is the interval between heartbeats to the same host.
	HeartbeatInterval = time.Second
	// SilenceTimeout is the time for which a host counts as live after its last heartbeat or successful contact. It
	// tolerates four lost heartbeats.
	SilenceTimeout = 5 * HeartbeatInterval
	// FailureLimit is the number of consecutive failed contacts after which a silent host is not live. A single failure
	// can be due to an idle connection that the peer closed.
	FailureLimit = 2
	// PauseThreshold is the delay of the node's own tick above which the node counts as paused. Heartbeats missed during a
	// pause do not indicate a failure of other hosts.
	PauseThreshold = 2 * HeartbeatInterval
)

// View is the membership state of one node: its records of the other hosts.
type View struct {
	// Hosts maps host IDs to states.
	Hosts map[string]HostState
	// ListFetched is the time of the last successful fetch of the host list; zero if there was none.
	ListFetched time.Time
	// LastTick is the time of the last call of Tick; zero before the first.
	LastTick time.Time
	// ResumedAt is the time at which the node last resumed from a pause; zero if there was no pause.
	ResumedAt time.Time
}

// HostState is a node's record of one other host.
type HostState struct {
	Host fleet.Host
	// Incarnation is the incarnation in the last heartbeat or response of the host; empty if there was none.
	Incarnation string
	// Epoch is the last epoch of idempotency keys that the host announced.
	Epoch int64
	// Revision is the last configuration revision that the host announced.
	Revision int64
	// AnnouncedAt is the time of the last announcement of incarnation and epoch; zero if there was none.
	AnnouncedAt time.Time
	// Listed reports whether the host is on the last host list that the node fetched.
	Listed bool
	// LastHeartbeat is the time of the last heartbeat from the host; zero if there was none.
	LastHeartbeat time.Time
	// LastContact is the time of this node's last successful contact with the host; zero if there was none.
	LastContact time.Time
	// Failures is the number of failed contacts since the last successful one.
	Failures int
}

// Heartbeat is the content of a heartbeat: the state that a host announces.
type Heartbeat struct {
	Host        fleet.Host
	Incarnation string
	Epoch       int64
	Revision    int64
}

// Verdict is the result of processing a heartbeat.
type Verdict string

// Verdicts of a heartbeat.
const (
	Adopted Verdict = "adopted"
	// Superseded means that the heartbeat was ignored, because a newer incarnation of the host is live.
	Superseded Verdict = "superseded"
)

// Incarnation returns the identifier of one run of a node. Identifiers sort by start time; the random suffix
// distinguishes two runs that start at the same clock reading because the clock is wrong.
func Incarnation(started time.Time, random uint32) string {
	return fmt.Sprintf("%016x%08x", started.UnixNano(), random)
}

// AdoptHostList updates the view from a newly fetched host list. It does not clear the leaving state of a host that
// was recently alive, because the list lags behind the heartbeat that announced the state.
func AdoptHostList(v *View, self string, hosts []fleet.Host, now time.Time) {
	v.ListFetched = now
	listed := map[string]bool{}
	for _, h := range hosts {
		if h.ID == self {
			continue
		}
		listed[h.ID] = true
		v.Hosts[h.ID] = mergeListedHost(v.Hosts[h.ID], h, recentlyAlive(*v, v.Hosts[h.ID], now))
	}
	for id, s := range v.Hosts {
		if listed[id] {
			continue
		}
		s.Listed = false
		v.Hosts[id] = s
		if !recentlyAlive(*v, s, now) {
			delete(v.Hosts, id)
		}
	}
}

// mergeListedHost merges an entry of the host list into the state of the host. The addresses of a host that was
// recently alive come from its heartbeats, which are more recent than the list.
func mergeListedHost(s HostState, h fleet.Host, alive bool) HostState {
	s.Listed = true
	if alive {
		s.Host.Leaving = s.Host.Leaving || h.Leaving
		s.Host.Weight = h.Weight
		return s
	}
	if s.Host.PeerAddress != h.PeerAddress {
		s.Failures = 0
	}
	s.Host = h
	return s
}

// AdoptHeartbeat records a heartbeat. It ignores a heartbeat of an earlier incarnation as delayed while the later
// incarnation is alive. Once the later one is silent, it adopts the heartbeat, because the host may have restarted
// after its clock was set back.
func AdoptHeartbeat(v *View, heartbeat Heartbeat, now time.Time) Verdict {
	s := v.Hosts[heartbeat.Host.ID]
	if heartbeat.Incarnation < s.Incarnation && recentlyAlive(*v, s, now) {
		return Superseded
	}
	if heartbeat.Incarnation == s.Incarnation {
		// Heartbeats of one incarnation can arrive out of order; a leaving host does not return in the same incarnation.
		heartbeat.Host.Leaving = heartbeat.Host.Leaving || s.Host.Leaving
		heartbeat.Epoch = max(heartbeat.Epoch, s.Epoch)
		heartbeat.Revision = max(heartbeat.Revision, s.Revision)
	}
	if heartbeat.Host.Weight == 0 {
		heartbeat.Host.Weight = s.Host.Weight
	}
	s.Host, s.Incarnation, s.Epoch, s.Revision = heartbeat.Host, heartbeat.Incarnation, heartbeat.Epoch, heartbeat.Revision
	s.LastHeartbeat, s.AnnouncedAt = now, now
	v.Hosts[heartbeat.Host.ID] = s
	return Adopted
}

// RecordContact records the result of an attempt of this node to contact the host.
func RecordContact(v *View, id string, succeeded bool, now time.Time) {
	s, known := v.Hosts[id]
	if !known {
		return
	}
	if succeeded {
		s.Failures = 0
		s.LastContact = now
	} else {
		s.Failures++
	}
	v.Hosts[id] = s
}

// Tick records the time and reports whether the node was paused since the last call. It must be called once per
// HeartbeatInterval.
func Tick(v *View, now time.Time) bool {
	paused := !v.LastTick.IsZero() && now.Sub(v.LastTick) > HeartbeatInterval+PauseThreshold
	v.LastTick = now
	if paused {
		v.ResumedAt = now
	}
	return paused
}

// Live reports whether the host is a live member of the fleet. A recent heartbeat or successful contact takes
// precedence over this node's failed contacts, and these over the host list. The last list stays in use if no newer one
// can be fetched.
func Live(v View, s HostState, now time.Time) bool {
	if recentlyAlive(v, s, now) {
		return true
	}
	if s.Failures >= FailureLimit {
		return false
	}
	return s.Listed
}

// Reachable reports whether this node can probably connect to the host. In a one-way network partition, a host whose
// heartbeats arrive is live but not reachable.
func Reachable(s HostState) bool {
	return s.Failures < FailureLimit
}

// recentlyAlive reports whether the host sent a heartbeat or was contacted successfully within SilenceTimeout. A pause of
// this node does not count towards that time.
func recentlyAlive(v View, s HostState, now time.Time) bool {
	last := s.LastHeartbeat
	if s.LastContact.After(last) {
		last = s.LastContact
	}
	if last.IsZero() {
		return false
	}
	if v.ResumedAt.After(last) {
		last = v.ResumedAt
	}
	return now.Sub(last) <= SilenceTimeout
}

// EpochAnnouncedWithin reports whether the host announced its epoch within the given time.
func EpochAnnouncedWithin(s HostState, now time.Time, within time.Duration) bool {
	return s.Incarnation != "" && !s.AnnouncedAt.IsZero() && now.Sub(s.AnnouncedAt) <= within
}
