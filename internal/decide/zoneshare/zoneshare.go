// Package zoneshare decides which share of a service's requests leaves the availability zone of their callers, and for
// which zones. It answers loads that are uneven between zones: callers of one zone surge, callers move to another zone, or
// a zone loses servers. It contains no I/O and reads no clock.
package zoneshare

import (
	"math"
	"time"
)

// Load is what the entry hosts of one zone report about one service.
type Load struct {
	// Demand is the number of slots that requests of the host's callers hold or wait for, wherever the servers are.
	Demand float64
	// Slots is the number of slots of the usable servers in the host's own zone, as the host sees them.
	Slots float64
}

// Zone is the load of one service in one availability zone.
type Zone struct {
	Name string
	// Load is the sum of the demand at the zone's entry hosts, and the slots that they see in their zone.
	Load
	// ReachableSlots is the number of slots of the zone's usable servers as this host sees them.
	ReachableSlots float64
	// Hosts is the number of entry hosts in the zone.
	Hosts int
	// Unknown reports whether the zone has entry hosts none of which reported lately. The zone then gets no requests,
	// because it may be busy.
	Unknown bool
}

// Costs are what it takes to decide how long requests may wait in their zone.
type Costs struct {
	// Crossing is the time that another zone adds to a request, there and back.
	Crossing time.Duration
	// TransferCost is the wait that is accepted to keep a megabyte of request and response in its zone.
	TransferCost time.Duration
	// MeanBytes is the mean size of request and response.
	MeanBytes float64
	// ServiceTime is the mean time for which a request holds a slot, and Target the time within which its response should
	// arrive; zero if unknown.
	ServiceTime time.Duration
	Target      time.Duration
}

const (
	bytesPerMB = 1 << 20
	// maxWaitFraction bounds the mean wait in the zone, as a fraction of the time between the service time and the target
	// latency. With exponentially distributed waits of this mean, e^-10 of the requests would be late.
	maxWaitFraction = 0.1
	// fullLoad is the load of all zones above which they are full. Requests then wait for slots wherever they are sent.
	fullLoad = 1
)

// ToleratedWait returns the mean wait up to which requests stay in their zone. It is never shorter than the crossing.
// Transfer cost can prolong it only as far as responses still arrive in time.
func ToleratedWait(c Costs) time.Duration {
	wait := c.Crossing + time.Duration(float64(c.TransferCost)*c.MeanBytes/bytesPerMB)
	if c.Target > 0 {
		wait = min(wait, time.Duration(maxWaitFraction*float64(c.Target-c.ServiceTime)))
	}
	return max(wait, c.Crossing)
}

// MaxUtilization returns the utilization of a pool of slots at which the mean wait of its requests reaches the given time.
// It uses Sakasegawa's approximation for several servers with a common queue, and at most 0.95, above which small errors of
// the demand change the wait a lot.
func MaxUtilization(slots float64, serviceTime, wait time.Duration) float64 {
	const most, steps = 0.95, 24
	if slots < 1 || serviceTime <= 0 {
		return most
	}
	exponent := math.Sqrt(2*(slots+1)) - 1
	low, high := 0.0, most
	for range steps {
		u := (low + high) / 2
		if math.Pow(u, exponent)/(slots*(1-u))*float64(serviceTime) > float64(wait) {
			high = u
		} else {
			low = u
		}
	}
	return low
}

// Cause is the reason why requests leave their zone or stay in it.
type Cause string

// Causes of a share.
const (
	// Home means that the zone's own servers answer in time.
	Home Cause = "home"
	// Demand means that the zone's callers need more slots than the zone has, and Servers that the zone would have enough if
	// all of its servers were usable.
	Demand  Cause = "demand"
	Servers Cause = "servers"
	// NoServers means that the zone has no usable server of the service.
	NoServers Cause = "no-servers"
	// Full means that all zones together have too few slots. Requests then use any free slot, and the zones share all servers
	// evenly, as far as they need them.
	Full Cause = "all-zones-full"
	// CutOff means that the zone needs more slots, but its hosts hear of no other zone or reach no servers there.
	CutOff Cause = "cut-off"
)

// Target is another zone and the fraction of the leaving requests that it gets.
type Target struct {
	Zone   string
	Weight float64
	// SlotFraction is the fraction of the zone's reachable slots that these requests take.
	SlotFraction float64
}

// Plan tells where requests of one service go. It is replaced, never modified.
type Plan struct {
	// Home is the zone of the callers.
	Home string
	// Share is the fraction of the requests that leaves the zone.
	Share float64
	// Targets are the zones with room for requests that leave, by name; their weights sum to one.
	Targets []Target
	Cause   Cause
	// Wait is the mean wait up to which requests stay in their zone.
	Wait time.Duration
	// Load is the demand of all zones as a fraction of their usable slots, and OwnPart the part of the slots of all zones that
	// the others leave to this one if they take as much as they need, up to even parts.
	Load    float64
	OwnPart float64
	// Rising reports whether the share is still below the one that is wanted. Requests that find no free slot in their zone
	// then leave at once.
	Rising bool
}

// Want returns the plan for the zone at the given index that makes the waits of all zones level, without regard to the
// previous plan. Registered is the number of slots of all servers in that zone, usable or not. Entry hosts with the
// same reports come to plans that fit together: the excess of a zone is divided over the others by their room, and the room
// of a zone over the excess of the others, so that excesses do not meet in the same zone.
func Want(zones []Zone, home int, registered float64, c Costs) Plan {
	b := balance{Zones: zones, Home: home, ServiceTime: c.ServiceTime, Wait: ToleratedWait(c)}
	own := zones[home]
	plan := Plan{Home: own.Name, Cause: Home, Wait: b.Wait}
	plan.Load, plan.OwnPart = b.setLevel()
	plan.Targets = b.targets()
	leaving, limit := b.leaving(), b.limit(own)
	switch {
	case own.Slots < 1:
		if len(plan.Targets) == 0 {
			plan.Targets = b.reachableTargets()
		}
		plan.Share, plan.Cause = 1, NoServers
	case own.Demand > b.capacity(own, own.Slots) && b.isCutOff():
		plan.Cause = CutOff
	case plan.Load > fullLoad:
		plan.Share, plan.Cause = leaving/max(1, leaving+limit), Full
	case leaving > 0 && b.capacity(own, registered) >= own.Demand:
		plan.Share, plan.Cause = leaving/(leaving+limit), Servers
	case leaving > 0:
		plan.Share, plan.Cause = leaving/(leaving+limit), Demand
	}
	b.divide(plan.Targets, leaving)
	return plan
}
