package table

import (
	"time"

	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/fleet"
)

// Members is the node's view of the hosts of the fleet.
type Members struct {
	Self        fleet.Host
	Incarnation string
	// Started is the time from which the epochs of idempotency keys are counted. It includes a monotonic clock reading.
	Started time.Time
	// View holds the states of the other hosts, without the node itself.
	View member.View
	// Groups holds the group of each service, by service name.
	Groups map[string]ServiceGroup
	// GroupsRevision, GroupsLive and GroupsKnown are the inputs from which the groups were computed. The slices are
	// replaced, never modified.
	GroupsRevision int64
	GroupsLive     []fleet.Host
	GroupsKnown    []fleet.Host
}

// ServiceGroup is the group of one service. It is replaced, never modified.
type ServiceGroup struct {
	// Members is the group chosen from the live hosts.
	Members []fleet.Host
	// Candidates is the group chosen from the live hosts and the listed hosts that cannot be reached.
	Candidates []fleet.Host
}

func newMembers(self fleet.Host, incarnation string) Members {
	return Members{
		Self:        self,
		Incarnation: incarnation,
		Started:     time.Now(),
		View:        member.View{Hosts: map[string]member.HostState{}},
	}
}
