// Package zonecmd writes the Zones table: it takes reports of other entry hosts, and decides periodically which share of
// each service's requests leaves the availability zone of this node.
package zonecmd

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/zoneshare"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
)

const (
	// StepInterval is the time between two steps. The reports that a step uses are older by at most this time and the
	// delay of a message.
	StepInterval = 200 * time.Millisecond
	// maxReportAge is the age above which a report is not used. It leaves room for a few lost messages.
	maxReportAge = time.Second
	// MaxSilence is the time without a report after which a host counts as one that sends no requests. The floor of a service
	// is evaluated over two seconds, in which the servers that such a host used have to be found and used by others.
	MaxSilence = 3 * StepInterval
	// reportRetention is the time for which a host without a new report still counts as one that this node has lost
	// contact with.
	reportRetention = 30 * time.Second
)

// Settings are the operator's settings of zones.
type Settings struct {
	// Enabled reports whether requests prefer the availability zone of their callers.
	Enabled bool
	// Crossing is the time that another zone adds to a request, there and back.
	Crossing time.Duration
	// TransferCost is the wait that is accepted to keep a megabyte in its zone.
	TransferCost time.Duration
}

// Commands writes the Zones table of one node.
type Commands struct {
	Tables   *table.Tables
	Settings Settings
	Logger   zerolog.Logger
}

// New returns commands on the tables.
func New(t *table.Tables, s Settings, logger zerolog.Logger) *Commands {
	return &Commands{Tables: t, Settings: s, Logger: logger}
}

// ObserveReport records the report of another entry host, unless a newer one has arrived.
func (c *Commands) ObserveReport(hostID string, r table.ZoneReport) {
	c.Tables.Zones.Write(guard.Held{}, func(_ guard.Held, z *table.Zones) {
		last, found := z.Reports[hostID]
		if found && (r.Incarnation < last.Incarnation || r.Incarnation == last.Incarnation && r.Sequence < last.Sequence) {
			return
		}
		z.Reports[hostID] = r
	})
}

// pool is the state of one service at this node.
type pool struct {
	// Slots holds the slots of usable servers by zone, and Registered the slots of all servers in this node's zone.
	Slots       map[string]float64
	Registered  float64
	Demand      float64
	ServiceTime time.Duration
}

// change is a change of a plan that is logged.
type change struct {
	Service     string
	Before      zoneshare.Plan
	Now         zoneshare.Plan
	Load        zoneshare.Load
	ServiceTime time.Duration
}

// Step updates the plans of all services. A node that is not an entry host has none, because other nodes do not report to
// it.
func (c *Commands) Step(now time.Time, self fleet.Host, entryHosts []fleet.Host) {
	if !c.Settings.Enabled {
		return
	}
	isEntryHost := slices.ContainsFunc(entryHosts, func(h fleet.Host) bool { return h.ID == self.ID })
	pools := c.pools(self.AvailabilityZone, now)
	var changes []change
	c.Tables.Zones.Write(guard.Held{}, func(_ guard.Held, z *table.Zones) {
		maps.DeleteFunc(z.Reports, func(_ string, r table.ZoneReport) bool { return now.Sub(r.Received) > reportRetention })
		maps.DeleteFunc(z.Services, func(name string, _ *table.ZoneService) bool {
			_, found := pools[name]
			return !found || !isEntryHost
		})
		if !isEntryHost {
			return
		}
		for name, p := range pools {
			s, found := z.Services[name]
			if !found {
				s = &table.ZoneService{SteppedAt: now}
				z.Services[name] = s
			}
			s.Load.Demand = zoneshare.Smooth(s.Load.Demand, p.Demand, now.Sub(s.SteppedAt))
			s.Load.Slots = p.Slots[self.AvailabilityZone]
			if changed, logged := c.stepService(now, z, name, p, self, entryHosts); logged {
				changes = append(changes, changed)
			}
			s.SteppedAt = now
		}
	})
	for _, changed := range changes {
		c.log(changed)
	}
}

// stepService replaces the plan of the service. It reports whether the change is worth a log line.
func (c *Commands) stepService(
	now time.Time, z *table.Zones, name string, p pool, self fleet.Host, entryHosts []fleet.Host,
) (change, bool) {
	s := z.Services[name]
	zones := zonesOf(now, z, name, p, self, entryHosts)
	if len(zones) < 2 || hasUnservedZone(now, z, zones, entryHosts, self) && !hasLostContact(now, z, self.AvailabilityZone) {
		s.Plan = nil
		return change{}, false
	}
	home := slices.IndexFunc(zones, func(zone zoneshare.Zone) bool { return zone.Name == self.AvailabilityZone })
	before := zoneshare.Plan{Home: self.AvailabilityZone, Cause: zoneshare.Home}
	if s.Plan != nil {
		before = *s.Plan
	}
	wanted := zoneshare.Want(zones, home, p.Registered, zoneshare.Costs{
		Crossing: c.Settings.Crossing, TransferCost: c.Settings.TransferCost, MeanBytes: s.MeanBytes,
		ServiceTime: p.ServiceTime, Target: s.Target,
	})
	next := zoneshare.Step(before, wanted, now.Sub(s.SteppedAt))
	s.Plan = &next
	logged := before.Cause != next.Cause || next.Cause != zoneshare.Full && (before.Share > 0) != (next.Share > 0)
	return change{Service: name, Before: before, Now: next, Load: s.Load, ServiceTime: p.ServiceTime}, logged
}

// zonesOf returns the load of the service in each zone that has entry hosts or servers, sorted by name.
func zonesOf(
	now time.Time, z *table.Zones, service string, p pool, self fleet.Host, entryHosts []fleet.Host,
) []zoneshare.Zone {
	byName := map[string]*zoneshare.Zone{self.AvailabilityZone: {Name: self.AvailabilityZone}}
	zone := func(name string) *zoneshare.Zone {
		if byName[name] == nil {
			byName[name] = &zoneshare.Zone{Name: name}
		}
		return byName[name]
	}
	for name, slots := range p.Slots {
		zone(name).ReachableSlots = slots
	}
	reported := map[string]int{}
	for _, h := range entryHosts {
		zone(h.AvailabilityZone).Hosts++
		load, fresh := z.Services[service].Load, true
		if h.ID != self.ID {
			r, found := z.Reports[h.ID]
			load, fresh = r.Services[service], found && now.Sub(r.Received) <= maxReportAge
		}
		if fresh {
			reported[h.AvailabilityZone]++
			byName[h.AvailabilityZone].Demand += load.Demand
			byName[h.AvailabilityZone].Slots = max(byName[h.AvailabilityZone].Slots, load.Slots)
		}
	}
	lostContact := hasLostContact(now, z, self.AvailabilityZone)
	zones := make([]zoneshare.Zone, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		zone := byName[name]
		if name != self.AvailabilityZone {
			zone.Unknown = lostContact || zone.Hosts > 0 && reported[name] == 0
		}
		// Hosts of a zone whose report is missing have as much demand as the others.
		if n := reported[name]; n > 0 {
			zone.Demand *= float64(zone.Hosts) / float64(n)
		}
		zones = append(zones, *zone)
	}
	return zones
}

// hasUnservedZone reports whether a zone has servers and no entry host that is known to send them requests. Its servers are then
// used by all others without a preference: while a zone's callers are not served, the floor of the service requires most of
// the sound servers to be in use.
func hasUnservedZone(now time.Time, z *table.Zones, zones []zoneshare.Zone, entryHosts []fleet.Host, self fleet.Host) bool {
	heard := map[string]bool{self.AvailabilityZone: true}
	for _, h := range entryHosts {
		if r, found := z.Reports[h.ID]; found && now.Sub(r.Received) <= MaxSilence {
			heard[h.AvailabilityZone] = true
		}
	}
	return slices.ContainsFunc(zones, func(zone zoneshare.Zone) bool { return zone.ReachableSlots > 0 && !heard[zone.Name] })
}

// hasLostContact reports whether hosts of other zones reported, but none of them lately.
func hasLostContact(now time.Time, z *table.Zones, zone string) bool {
	var others, fresh int
	for _, r := range z.Reports {
		if r.AvailabilityZone != zone {
			others++
			if now.Sub(r.Received) <= maxReportAge {
				fresh++
			}
		}
	}
	return others > 0 && fresh == 0
}

// pools returns the state of the services that the node has queues for.
func (c *Commands) pools(zone string, now time.Time) map[string]pool {
	pools := map[string]pool{}
	c.Tables.Backends.Read(guard.Held{}, func(h guard.Held, b *table.Backends) {
		c.Tables.Queues.Read(h, func(_ guard.Held, q *table.Queues) {
			for name, queue := range q.Services {
				p := pool{
					Slots: map[string]float64{}, ServiceTime: serviceTime(queue),
					Demand: float64(admission.Held(queue) + admission.Waiting(queue)),
				}
				for _, s := range b.Services[name] {
					p.add(s, zone, now)
				}
				pools[name] = p
			}
		})
	})
	return pools
}

func (p *pool) add(s *table.Backend, zone string, now time.Time) {
	if s.Leaving {
		return
	}
	if s.Server.AvailabilityZone == zone {
		p.Registered += float64(s.Server.Slots)
	}
	if healthquery.UseOf(s, false, 0, now) == healthquery.NormalUse &&
		detect.BreakerStateOf(&s.State, false, now) == detect.Closed {
		p.Slots[s.Server.AvailabilityZone] += float64(s.Server.Slots)
	}
}

// serviceTime returns the mean service time of the requests in the queue and at servers.
func serviceTime(q *admission.Queue[*table.Ticket]) time.Duration {
	var total time.Duration
	var requests int
	for n := range q.Ranks {
		r := &q.Ranks[n]
		if r.ServiceTime.Mean > 0 {
			weight := 1 + r.Held + r.Waiting
			total += time.Duration(weight) * r.ServiceTime.Mean
			requests += weight
		}
	}
	if requests == 0 {
		return 0
	}
	return total / time.Duration(requests)
}

func (c *Commands) log(changed change) {
	targets := zerolog.Dict()
	for _, t := range changed.Now.Targets {
		targets.Float64(t.Zone, t.Weight)
	}
	c.Logger.Info().Str("service", changed.Service).Str("availability-zone", changed.Now.Home).
		Float64("share", changed.Now.Share).Str("cause", string(changed.Now.Cause)).
		Str("previous-cause", string(changed.Before.Cause)).Dict("targets", targets).
		Float64("demand", changed.Load.Demand).Float64("slots", changed.Load.Slots).
		Dur("service-time-ms", changed.ServiceTime).
		Msg("share of requests that leaves the availability zone changed")
}
