package healthcmd

import (
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/decide/floor"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trace"
)

// SweepInterval is the interval between sweeps. It adds to the detection time, which has a target of 2 s.
const SweepInterval = 100 * time.Millisecond

// SweepResult describes the changes made by a sweep.
type SweepResult struct {
	// Paused reports whether this node's process was paused since the previous sweep.
	Paused bool
	// Isolated reports whether this node is at fault itself and ejects no backend server.
	Isolated bool
	// Services is keyed by service name and holds only services with ejections or readmissions.
	Services map[string]floor.Changes
}

// Sweep checks the ages of requests in flight for stalls and decides which backend servers are in use.
func (c *Commands) Sweep(now time.Time) SweepResult {
	self := c.selfMember()
	result := SweepResult{Services: map[string]floor.Changes{}}
	var overdue []overdueServer
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		result.Paused = detect.Paused(b.LastSweep, SweepInterval, now)
		b.LastSweep = now
		expireReports(b, now)
		zones := map[string]detect.ZoneCounts{}
		services := activeServices(b, now)
		for _, name := range services {
			observeInFlight(b, name, result.Paused, now)
			overdue = append(overdue, observeOverdue(b, name, now)...)
			tryRefusedAgain(b, name, now)
			countInZones(b, name, zones, now)
		}
		b.Isolated = detect.Isolated(zones, self.AvailabilityZone)
		result.Isolated = b.Isolated
		for _, name := range services {
			if changes := decideUse(b, name, self, now); len(changes.Ejected)+len(changes.Readmitted) > 0 {
				result.Services[name] = changes
			}
			deleteDrained(b, name)
		}
	})
	for _, o := range overdue {
		if c.Sink != nil {
			c.Sink.Overdue(now, o.Key, o.Instance)
		}
	}
	if result.Paused {
		c.record(trace.Event{At: now, Kind: trace.Paused})
	}
	return result
}

// activeServices returns the names of the services whose pools have recent evidence.
func activeServices(b *table.Backends, now time.Time) []string {
	var names []string
	for name, health := range b.Health {
		if healthquery.HasRecentEvidence(health, now) {
			names = append(names, name)
		}
	}
	return names
}

func (c *Commands) selfMember() floor.Member {
	var m floor.Member
	c.Tables.Members.Read(guard.Held{}, func(_ guard.Held, t *table.Members) {
		m = floor.Member{HostID: t.Self.ID, AvailabilityZone: t.Self.AvailabilityZone}
	})
	return m
}

// observeInFlight counts requests in flight without response headers as failures once they are too old. After a pause of
// this node their ages are discarded, because they include the pause.
func observeInFlight(b *table.Backends, name string, paused bool, now time.Time) {
	health := b.Health[name]
	for _, s := range b.Services[name] {
		baseline := detect.BaselineFor(health.Summary, &s.State, now)
		for id, f := range s.InFlight {
			f.Evidence.Discarded = f.Evidence.Discarded || paused
			if !f.Responded {
				detect.ObserveInFlight(&s.State, &f.Evidence, now.Sub(f.Started), baseline, health.Settings, now)
			}
			s.InFlight[id] = f
		}
	}
}

// countInZones counts the servers of the service that are not leaving in the health summaries of their availability
// zones.
func countInZones(b *table.Backends, name string, zones map[string]detect.ZoneCounts, now time.Time) {
	for _, s := range b.Services[name] {
		if s.Leaving {
			continue
		}
		detect.CountInZone(zones, s.Server.AvailabilityZone, &s.State, b.Health[name].Settings, now)
	}
}

// decideUse decides ejections and readmissions in the pool of one service, and records the servers kept by the floor.
func decideUse(b *table.Backends, name string, self floor.Member, now time.Time) floor.Changes {
	health := b.Health[name]
	self.Reports = reportsByAddress(b, name)
	pool := make([]floor.Server, 0, len(b.Services[name]))
	for address, s := range b.Services[name] {
		pool = append(pool, floor.Server{Address: address, Leaving: s.Leaving, State: &s.State})
		s.KeptByFloor = false
	}
	rule := floor.Rule{Floor: health.Floor, Settings: health.Settings, Isolated: b.Isolated}
	changes := floor.Decide(pool, self, rule, now)
	health.Summary = changes.Summary
	for _, address := range changes.KeptByFloor {
		b.Services[name][address].KeptByFloor = true
	}
	return changes
}
