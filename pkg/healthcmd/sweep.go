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

// SweepPeriod is the time between two sweeps. It adds to the detection time, which has a target of 2 s.
const SweepPeriod = 100 * time.Millisecond

// Swept is what a sweep changed.
type Swept struct {
	// Paused says that the node itself was paused before this sweep.
	Paused   bool
	Isolated bool
	// Services is keyed by service and holds only those with changes.
	Services map[string]floor.Changes
}

// Sweep counts the ages of requests in flight and decides which servers are in use.
func (c *Commands) Sweep(now time.Time) Swept {
	self := c.self()
	swept := Swept{Services: map[string]floor.Changes{}}
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		swept.Paused = detect.Paused(b.LastSweep, SweepPeriod, now)
		b.LastSweep = now
		expireReports(b, now)
		zones := map[string]detect.ZoneState{}
		pools := active(b, now)
		for _, name := range pools {
			sweepAges(b, name, swept.Paused, now)
			addZones(b, name, zones, now)
		}
		b.Isolated = detect.Isolated(zones, self.AvailabilityZone)
		swept.Isolated = b.Isolated
		for _, name := range pools {
			if changes := decide(b, name, self, now); len(changes.Ejected)+len(changes.Readmitted) > 0 {
				swept.Services[name] = changes
			}
			dropEnded(b, name)
		}
	})
	if swept.Paused {
		c.record(trace.Event{At: now, Kind: trace.Paused})
	}
	return swept
}

// active returns the services whose pools have recent evidence.
func active(b *table.Backends, now time.Time) []string {
	var names []string
	for name, health := range b.Health {
		if healthquery.Active(health, now) {
			names = append(names, name)
		}
	}
	return names
}

func (c *Commands) self() floor.Member {
	var m floor.Member
	c.Tables.Members.Read(guard.Held{}, func(_ guard.Held, t *table.Members) {
		m = floor.Member{HostID: t.Self.ID, AvailabilityZone: t.Self.AvailabilityZone}
	})
	return m
}

func sweepAges(b *table.Backends, name string, paused bool, now time.Time) {
	health := b.Health[name]
	for _, s := range b.Services[name] {
		baseline := detect.Rest(health.Summary, &s.State, now)
		for id, f := range s.InFlight {
			f.Age.Discarded = f.Age.Discarded || paused
			if !f.Responded {
				detect.ObserveAge(&s.State, &f.Age, now.Sub(f.Started), baseline, health.Settings, now)
			}
			s.InFlight[id] = f
		}
	}
}

func addZones(b *table.Backends, name string, zones map[string]detect.ZoneState, now time.Time) {
	for _, s := range b.Services[name] {
		if s.Leaving {
			continue
		}
		detect.AddZone(zones, s.Server.AvailabilityZone, &s.State, b.Health[name].Settings, now)
	}
}

func decide(b *table.Backends, name string, self floor.Member, now time.Time) floor.Changes {
	health := b.Health[name]
	self.Reports = reports(b, name)
	pool := make([]floor.Server, 0, len(b.Services[name]))
	for address, s := range b.Services[name] {
		pool = append(pool, floor.Server{Address: address, Leaving: s.Leaving, State: &s.State})
		s.Kept = false
	}
	rule := floor.Rule{Floor: health.Floor, Settings: health.Settings, Isolated: b.Isolated}
	changes := floor.Decide(pool, self, rule, now)
	health.Summary = changes.Summary
	for _, address := range changes.Kept {
		b.Services[name][address].Kept = true
	}
	return changes
}
