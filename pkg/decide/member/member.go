// Package member decides which hosts of the fleet are live. It weighs heartbeats, the platform's host list, which lags,
// and the node's own contacts.
package member

import (
	"fmt"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

const (
	// HeartbeatInterval is the time between two heartbeats to the same host.
	HeartbeatInterval = time.Second
	// Silence is how long a host counts as live after its last sign of life: four heartbeats may be lost.
	Silence = 5 * HeartbeatInterval
	// FailureLimit is the number of consecutive failed contacts after which a silent host is not live. One failure can be
	// a connection that the other side closed while idle.
	FailureLimit = 2
	// PauseLimit is the lateness of the node's own clock tick from which the node was paused. What it did not hear in
	// that time says nothing about other hosts.
	PauseLimit = 2 * HeartbeatInterval
)

// View is what a node knows of the other hosts.
type View struct {
	// Hosts is keyed by host ID.
	Hosts map[string]State
	// ListFetched is the time of the last successful fetch of the host list; zero if there was none.
	ListFetched time.Time
	// LastTick is the time of the last Tick; zero before the first.
	LastTick time.Time
	// Awake is the time at which the node last resumed from a pause; zero if it never did.
	Awake time.Time
}

// State is what a node knows of one other host.
type State struct {
	Host fleet.Host
	// Incarnation is that of the last heartbeat or response; empty if there was none.
	Incarnation string
	// Epoch is the idempotency key epoch that the host last announced.
	Epoch int64
	// Revision is the configuration revision that the host last announced.
	Revision int64
	// Announced is when the incarnation and the epoch were last learned; zero if never.
	Announced time.Time
	// Listed says that the host is on the last host list that the node fetched.
	Listed bool
	// LastHeard is the time of the last heartbeat from the host; zero if there was none.
	LastHeard time.Time
	// LastContact is the time of the last successful contact that this node made; zero if there was none.
	LastContact time.Time
	// Failures counts the failed contacts since the last successful one.
	Failures int
}

// Heartbeat is what a host says about itself.
type Heartbeat struct {
	Host        fleet.Host
	Incarnation string
	Epoch       int64
	Revision    int64
}

// Verdict says what became of a heartbeat.
type Verdict string

// Verdicts of a heartbeat.
const (
	Adopted Verdict = "adopted"
	// Superseded means that a newer incarnation of the host is known.
	Superseded Verdict = "superseded"
)

// Incarnation returns the name of a node's run. Names order by start time, and the random part keeps two runs apart
// whose host starts with the same wrong clock.
func Incarnation(started time.Time, random uint32) string {
	return fmt.Sprintf("%016x%08x", started.UnixNano(), random)
}

// AdoptList replaces the membership that the host list states. Leaving is sticky for a known incarnation, because the
// list lags behind the heartbeat that announced it.
func AdoptList(v *View, self string, hosts []fleet.Host, now time.Time) {
	v.ListFetched = now
	listed := map[string]bool{}
	for _, h := range hosts {
		if h.ID == self {
			continue
		}
		listed[h.ID] = true
		v.Hosts[h.ID] = adoptListed(v.Hosts[h.ID], h, heardRecently(*v, v.Hosts[h.ID], now))
	}
	for id, s := range v.Hosts {
		if listed[id] {
			continue
		}
		s.Listed = false
		v.Hosts[id] = s
		if !heardRecently(*v, s, now) {
			delete(v.Hosts, id)
		}
	}
}

// adoptListed merges a listed host into its state. A host that is heard knows its addresses better than the list.
func adoptListed(s State, h fleet.Host, heard bool) State {
	s.Listed = true
	if heard {
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

// AdoptHeartbeat records a heartbeat. One of an earlier incarnation is ignored while the later one is heard, because it
// was delayed on its way. After that it is adopted: the host restarted with a clock that went back.
func AdoptHeartbeat(v *View, b Heartbeat, now time.Time) Verdict {
	s := v.Hosts[b.Host.ID]
	if b.Incarnation < s.Incarnation && heardRecently(*v, s, now) {
		return Superseded
	}
	if b.Incarnation == s.Incarnation {
		// Messages of one incarnation can overtake each other; a leaving host does not come back in the same run.
		b.Host.Leaving = b.Host.Leaving || s.Host.Leaving
		b.Epoch = max(b.Epoch, s.Epoch)
		b.Revision = max(b.Revision, s.Revision)
	}
	if b.Host.Weight == 0 {
		b.Host.Weight = s.Host.Weight
	}
	s.Host, s.Incarnation, s.Epoch, s.Revision = b.Host, b.Incarnation, b.Epoch, b.Revision
	s.LastHeard, s.Announced = now, now
	v.Hosts[b.Host.ID] = s
	return Adopted
}

// Contacted records the result of a contact that this node made to the host.
func Contacted(v *View, id string, succeeded bool, now time.Time) {
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

// Tick records that the node runs, and returns whether it was paused since the last Tick. It must be called once per
// HeartbeatInterval.
func Tick(v *View, now time.Time) bool {
	paused := !v.LastTick.IsZero() && now.Sub(v.LastTick) > HeartbeatInterval+PauseLimit
	v.LastTick = now
	if paused {
		v.Awake = now
	}
	return paused
}

// Live says whether the host takes part in the fleet. Signs of life come first, then the node's own failed contacts,
// then the list. A stale list changes nothing: the last one stays in force.
func Live(v View, s State, now time.Time) bool {
	if heardRecently(v, s, now) {
		return true
	}
	if s.Failures >= FailureLimit {
		return false
	}
	return s.Listed
}

// Reachable says whether this node can expect to reach the host. A host behind a one-way partition is heard, and
// therefore live, but not reachable.
func Reachable(s State) bool {
	return s.Failures < FailureLimit
}

// heardRecently says whether there was a sign of life within Silence. The time of a pause does not count.
func heardRecently(v View, s State, now time.Time) bool {
	last := s.LastHeard
	if s.LastContact.After(last) {
		last = s.LastContact
	}
	if last.IsZero() {
		return false
	}
	if v.Awake.After(last) {
		last = v.Awake
	}
	return now.Sub(last) <= Silence
}

// EpochKnown says whether the host announced its epoch within the given time.
func EpochKnown(s State, now time.Time, within time.Duration) bool {
	return s.Incarnation != "" && !s.Announced.IsZero() && now.Sub(s.Announced) <= within
}
