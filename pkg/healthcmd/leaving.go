package healthcmd

import (
	"slices"
	"time"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
)

// AdoptHostList marks the backend servers that the platform lists as leaving.
func (c *Commands) AdoptHostList(now time.Time, addresses []string) {
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for _, servers := range b.Services {
			for address, s := range servers {
				if slices.Contains(addresses, address) {
					markLeaving(s, table.LeavingListed, now)
				}
			}
		}
	})
}

func leavingSign(s *table.Backend, e fleet.Evidence, announced bool, now time.Time) {
	switch {
	case announced:
		markLeaving(s, table.LeavingAnnounced, now)
	case e == fleet.Draining:
		markLeaving(s, table.LeavingRefused, now)
	}
}

// markLeaving keeps the first reason, unless it was only reported by a peer and is now confirmed.
func markLeaving(s *table.Backend, reason table.LeavingReason, now time.Time) {
	if !s.Leaving || s.LeavingReason == table.LeavingReported {
		s.LeavingReason = reason
	}
	s.Leaving = true
	s.LeavingSince = now
}

// stayed clears the mark of a server that was restarted at the same address.
func stayed(s *table.Backend, now time.Time) {
	if !s.Leaving || s.LeavingReason == table.LeavingRemoved || now.Sub(s.LeavingSince) < healthquery.LeavingEnds {
		return
	}
	s.Leaving = false
	s.LeavingReason = ""
	s.State.Appeared = now
}
