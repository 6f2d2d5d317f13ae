package measure

import (
	"time"

	"egretline.example/egretline/internal/decide/zoneshare"
)

// ZoneWay returns the zone for a request that waits in its own zone. It knows the requests in that zone as they are, and
// other zones as they were reported.
type ZoneWay func(pools []zonePool, q zoneRequest, waited time.Duration) int

// NeverLeave serves all requests in their zone.
func NeverLeave(_ []zonePool, q zoneRequest, _ time.Duration) int { return q.From }

// AlwaysSpread sends requests to all zones in proportion to their slots.
func AlwaysSpread(pools []zonePool, q zoneRequest, _ time.Duration) int {
	return chooseByWeight(pools, q, func(p zonePool) float64 { return p.Reported.Slots })
}

// ThresholdOnPlaces leaves a zone without a free slot for the one that reported the most free slots.
func ThresholdOnPlaces(pools []zonePool, q zoneRequest, _ time.Duration) int {
	if !pools[q.From].full() {
		return q.From
	}
	best, most := q.From, 0
	for n, p := range pools {
		if n != q.From && p.ReportedFree > most {
			best, most = n, p.ReportedFree
		}
	}
	return best
}

// RatioOfCapacity keeps as many requests as the zone's part of all slots covers of its part of all entry hosts, as proxies
// with zone-aware routing do, and divides the rest over the zones with more slots than that.
func RatioOfCapacity(pools []zonePool, q zoneRequest, _ time.Duration) int {
	var total float64
	for _, p := range pools {
		total += p.Reported.Slots
	}
	ratio := func(p zonePool) float64 { return p.Reported.Slots / total * zoneCount }
	return chooseByWeight(pools, q, func(p zonePool) float64 {
		if p.Plan.Home == pools[q.From].Plan.Home {
			return min(1, ratio(p))
		}
		return max(0, ratio(p)-1)
	})
}

// WaitsLevel follows the plan of the zone.
func WaitsLevel(pools []zonePool, q zoneRequest, waited time.Duration) int {
	p := &pools[q.From].Plan
	d := zoneshare.Direct(p, zoneshare.Request{ID: q.ID, Waited: waited, Target: zoneTarget})
	keeps := d.Prefers(p.Home)
	if keeps && !pools[q.From].full() {
		return q.From
	}
	return chooseByWeight(pools, q, func(other zonePool) float64 {
		zone := other.Plan.Home
		if zone != p.Home && (d.Prefers(zone) || keeps && d.Allows(zone)) {
			return weightOf(p, zone)
		}
		return 0
	})
}

func weightOf(p *zoneshare.Plan, zone string) float64 {
	for _, t := range p.Targets {
		if t.Zone == zone {
			return t.Weight
		}
	}
	return 0
}

// chooseByWeight returns a zone by weight, and the zone of the request if no zone has a weight. It returns the same zone for
// the same request and weights.
func chooseByWeight(pools []zonePool, q zoneRequest, weight func(zonePool) float64) int {
	var total float64
	for _, p := range pools {
		total += weight(p)
	}
	point := q.Point * total
	for n, p := range pools {
		if point -= weight(p); point < 0 {
			return n
		}
	}
	return q.From
}
