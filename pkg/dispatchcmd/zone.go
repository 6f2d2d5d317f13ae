package dispatchcmd

import (
	"time"

	"egretline.example/egretline/internal/decide/zoneshare"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
)

// zonePlan returns the plan by which requests of the service leave the node's availability zone, or nil if zones have no
// preference.
func (d *Dispatcher) zonePlan(service string) *zoneshare.Plan {
	var plan *zoneshare.Plan
	d.Tables.Zones.Read(guard.Held{}, func(_ guard.Held, z *table.Zones) {
		if s, found := z.Services[service]; found {
			plan = s.Plan
		}
	})
	return plan
}

// zonePreference tells how well the availability zones of servers suit one request.
type zonePreference struct {
	zone string
	bulk bool
	// direction is the direction of the request if planned is set.
	direction zoneshare.Direction
	planned   bool
}

// zonePreferenceOf returns the preference of the ticket. While a service loses many requests, all of its servers are used
// without preference, so that enough of the sound ones get requests. The limits stay as the plan has them, because requests
// in flight above the limits would count as a backlog and let new ones be refused.
func (p servicePool) zonePreferenceOf(t *table.Ticket, zone string, now time.Time) zonePreference {
	v := zonePreference{zone: zone, bulk: t.Bulk}
	if p.ZonePlan == nil || p.HighLossRate {
		return v
	}
	v.planned = true
	v.direction = zoneshare.Direct(p.ZonePlan, zoneshare.Request{
		ID: t.ID, Attempt: t.Attempt, Large: t.Bulk, Waited: now.Sub(t.Arrived), Target: targetLatency(t),
	})
	return v
}

// penalty returns the penalty, in outstanding requests, of a server in its availability zone, and whether the request may
// go there at all.
func (v zonePreference) penalty(s *table.Backend) (int, bool) {
	switch serverZone := s.Server.AvailabilityZone; {
	case !v.planned:
		return crossZonePenalty(s, v.bulk, v.zone), true
	case v.direction.Prefers(serverZone):
		return 0, true
	default:
		return s.Server.Slots, v.direction.Allows(serverZone)
	}
}

// crossZonePenalty returns the penalty, in outstanding requests, of sending a large response from another availability
// zone if there is no plan. The response crosses zones only if all slots in the node's zone are taken.
func crossZonePenalty(s *table.Backend, bulk bool, zone string) int {
	if !bulk || zone == "" || s.Server.AvailabilityZone == zone {
		return 0
	}
	return s.Server.Slots
}

// zoneSlots returns the number of requests up to which the node's limit at the server is raised because requests mostly
// stay in their zone. It returns zero if the limit is not raised. The nodes of a zone share its servers among themselves, and
// those of other zones as far as their plan needs them: more would only queue at the servers.
func zoneSlots(s *table.Backend, plan *zoneshare.Plan, sharing Sharing) int {
	zone := s.Server.AvailabilityZone
	switch {
	case plan == nil || sharing.NodesInZone == 0:
		return 0
	case plan.Cause == zoneshare.Full:
		// The slots that other zones do not need; without them, nodes of a surging zone would leave them idle.
		return int(float64(s.Server.Slots) * plan.OwnPart / float64(sharing.NodesInZone))
	case zone == plan.Home:
		return admission.MaxOutstandingPerNode(s.Server.Slots, sharing.NodesInZone, 1)
	default:
		return admission.OutstandingOfPart(s.Server.Slots, plan.SlotFraction(zone)/float64(sharing.NodesInZone))
	}
}

// raisedLimit returns the limit of the server for any request.
func (p servicePool) raisedLimit(s *table.Backend, now time.Time) admission.Limit {
	if slots := zoneSlots(s, p.ZonePlan, p.Sharing); slots > 0 {
		return s.Limit.RaisedTo(slots, now)
	}
	return s.Limit
}

// raisedSlots returns the number of slots by which raisedLimit raises the limits of all usable servers.
func raisedSlots(servers map[string]*table.Backend, plan *zoneshare.Plan, sharing Sharing, now time.Time) int {
	raised := 0
	for _, s := range servers {
		slots := zoneSlots(s, plan, sharing)
		if slots > s.Limit.Max() && healthquery.UseOf(s, false, 0, now) == healthquery.NormalUse &&
			detect.BreakerStateOf(&s.State, false, now) == detect.Closed {
			limit := s.Limit.RaisedTo(slots, now)
			raised += limit.Max() - s.Limit.Max()
		}
	}
	return raised
}

// meanGain is the weight of one request in the mean size and target latency of its service.
const meanGain = 1.0 / 32

// recordZone counts an attempt by the zones of caller and server.
func (d *Dispatcher) recordZone(a table.Assignment, r table.Result) {
	t := a.Ticket
	d.Tables.Zones.Write(guard.Held{}, func(_ guard.Held, z *table.Zones) {
		s, found := z.Services[t.Service]
		if !found {
			return
		}
		key := table.ZoneCrossing{Service: t.Service, From: d.AvailabilityZone, To: a.Server.AvailabilityZone}
		crossed := z.Crossed[key]
		crossed.Requests++
		crossed.Bytes += r.Bytes
		z.Crossed[key] = crossed
		if r.Response {
			s.MeanBytes += meanGain * (float64(r.Bytes) - s.MeanBytes)
		}
		if s.Target == 0 {
			s.Target = targetLatency(t)
		}
		s.Target += time.Duration(meanGain * float64(targetLatency(t)-s.Target))
	})
}
