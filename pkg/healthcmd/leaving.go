package healthcmd

import (
	"slices"
	"time"

	"egretline.example/egretline/internal/decide/notice"
	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
)

// MarkListedLeaving marks the backend servers at the given addresses, which the platform's host list reports as leaving.
func (c *Commands) MarkListedLeaving(now time.Time, addresses []string) {
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

// recordLeavingSign marks the server as leaving if it announced that it is, or refused a request because it is draining.
func recordLeavingSign(s *table.Backend, e fleet.Evidence, announced bool, now time.Time) {
	switch {
	case announced:
		markLeaving(s, table.LeavingAnnounced, now)
	case e == fleet.Draining:
		markLeaving(s, table.LeavingRefused, now)
	}
}

// refusedHoldDuration is how long a server that refused a request as not meant for it gets none. A registration of a server
// that has ended is removed by then, or its address has another one.
const refusedHoldDuration = 10 * time.Second

// tryRefusedAgain lets the servers of the service that refused a request some time ago, and are still registered, get a trial
// request. Services whose servers get health checks learn from them that a server is back.
func tryRefusedAgain(b *table.Backends, name string, now time.Time) {
	if !b.Health[name].Settings.AvoidOnly {
		return
	}
	for _, s := range b.Services[name] {
		if s.Leaving && s.LeavingReason == table.LeavingRefused && now.Sub(s.LeavingSince) >= refusedHoldDuration {
			s.Leaving, s.LeavingReason = false, ""
			detect.TryAgain(&s.State, now)
		}
	}
}

// recordNotice records what the server that handled the attempt asked for, and reports whether this node learned only now
// that it is leaving. The server in the table may be a later run at the same address, to which the notice does not apply.
func recordNotice(b *table.Backends, a table.Assignment, r table.Result, now time.Time) bool {
	run := notice.RunOf(a.Server)
	asked := r.Leaving || r.PauseFor > 0
	if !asked || run.Instance == "" {
		return false
	}
	news := r.Leaving && !b.Notices.Get(run).Leaving
	b.Notices.Record(run, r.Leaving, r.PauseFor, now)
	applyNotice(b, b.Services[a.Ticket.Service][a.Server.Address], table.LeavingAnnounced, now)
	return news
}

// applyNotice applies what the run of the server asked for earlier. The server may be nil.
func applyNotice(b *table.Backends, s *table.Backend, reason table.LeavingReason, now time.Time) {
	if s == nil {
		return
	}
	n := b.Notices.Get(notice.RunOf(s.Server))
	s.PausedUntil = n.PausedUntil
	if n.Leaving && !s.Leaving {
		markLeaving(s, reason, now)
	}
}

// ObservePeerLeaving records that another node learned from a run of a backend server that it is leaving.
func (c *Commands) ObservePeerLeaving(now time.Time, service string, run notice.Run) {
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		b.Notices.Record(run, true, 0, now)
		applyNotice(b, b.Services[service][run.Address], table.LeavingReported, now)
	})
}

// markLeaving marks the server as leaving. The first reason is kept, except that a sign seen by this node replaces the
// report of a peer.
func markLeaving(s *table.Backend, reason table.LeavingReason, now time.Time) {
	if !s.Leaving || s.LeavingReason == table.LeavingReported {
		s.LeavingReason = reason
	}
	s.Leaving = true
	s.LeavingSince = now
}

// clearLeaving returns a leaving server to use after a probe found it healthy without a sign of leaving, for example
// after a restart at the same address. It does nothing until LeavingHoldDuration has passed since the last sign, or if
// the configuration removed the server.
func clearLeaving(s *table.Backend, now time.Time) {
	if !s.Leaving || s.LeavingReason == table.LeavingRemoved || now.Sub(s.LeavingSince) < healthquery.LeavingHoldDuration {
		return
	}
	s.Leaving = false
	s.LeavingReason = ""
	s.State.JoinedAt = now
}
