// Package zonequery reads the Zones table and returns copies of it.
package zonequery

import (
	"cmp"
	"slices"
	"time"

	"egretline.example/egretline/internal/decide/zoneshare"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Queries reads the Zones table of one node.
type Queries struct {
	Tables *table.Tables
}

// minReportedDemand is the demand, in slots, below which a service is not reported. Most of hundreds of services are idle at
// a node.
const minReportedDemand = 0.05

// Loads returns this node's own load of the services that have demand.
func (q *Queries) Loads() map[string]zoneshare.Load {
	loads := map[string]zoneshare.Load{}
	q.Tables.Zones.Read(guard.Held{}, func(_ guard.Held, z *table.Zones) {
		for name, s := range z.Services {
			if s.Load.Demand >= minReportedDemand {
				loads[name] = s.Load
			}
		}
	})
	return loads
}

// HeardSince reports whether a report of the host has arrived since the time.
func (q *Queries) HeardSince(hostID string, since time.Time) (heard bool) {
	q.Tables.Zones.Read(guard.Held{}, func(_ guard.Held, z *table.Zones) {
		r, found := z.Reports[hostID]
		heard = found && r.Received.After(since)
	})
	return heard
}

// Plan is the plan of one service.
type Plan struct {
	Service string
	zoneshare.Plan
}

// Plans returns the plans in force, sorted by service.
func (q *Queries) Plans() []Plan {
	var plans []Plan
	q.Tables.Zones.Read(guard.Held{}, func(_ guard.Held, z *table.Zones) {
		for name, s := range z.Services {
			if s.Plan != nil {
				plans = append(plans, Plan{Service: name, Plan: *s.Plan})
			}
		}
	})
	slices.SortFunc(plans, func(a, b Plan) int { return cmp.Compare(a.Service, b.Service) })
	return plans
}

// Crossing is the traffic of one service between two zones.
type Crossing struct {
	table.ZoneCrossing
	table.CrossedTraffic
}

// Crossings returns the traffic by service and pair of zones, sorted by them.
func (q *Queries) Crossings() []Crossing {
	var list []Crossing
	q.Tables.Zones.Read(guard.Held{}, func(_ guard.Held, z *table.Zones) {
		for key, traffic := range z.Crossed {
			list = append(list, Crossing{ZoneCrossing: key, CrossedTraffic: traffic})
		}
	})
	slices.SortFunc(list, func(a, b Crossing) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return list
}
