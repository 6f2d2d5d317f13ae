package table

import (
	"time"

	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/fleet"
)

// Members is what the node knows of the hosts of the fleet.
type Members struct {
	Self        fleet.Host
	Incarnation string
	// Started is the time from which the epochs of idempotency keys are counted. It carries the monotonic clock reading.
	Started time.Time
	// View is the knowledge of other hosts. It does not hold the node itself.
	View member.View
	// Groups is keyed by service name.
	Groups map[string]ServiceGroup
	// GroupsRevision, GroupsLive and GroupsKnown are what the groups were computed from. They are replaced as a whole.
	GroupsRevision int64
	GroupsLive     []fleet.Host
	GroupsKnown    []fleet.Host
}

// ServiceGroup is the group of one service. It is replaced as a whole and never changed in place.
type ServiceGroup struct {
	// Members is the group over the live hosts.
	Members []fleet.Host
	// Candidates is the group over the live hosts and the listed ones that cannot be reached.
	Candidates []fleet.Host
}

func newMembers(self fleet.Host, incarnation string) Members {
	return Members{
		Self:        self,
		Incarnation: incarnation,
		Started:     time.Now(),
		View:        member.View{Hosts: map[string]member.State{}},
	}
}
