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
	// Started is the time from which the node counts its idempotency key epochs.
	Started time.Time
	// View is the knowledge of other hosts. It does not hold the node itself.
	View member.View
}

func newMembers(self fleet.Host, incarnation string) Members {
	return Members{
		Self:        self,
		Incarnation: incarnation,
		Started:     time.Now(),
		View:        member.View{Hosts: map[string]member.State{}},
	}
}
