package zoneshare

import "time"

// balance divides the demand of all zones over their slots, as seen by the zone Home.
type balance struct {
	Zones       []Zone
	Home        int
	ServiceTime time.Duration
	Wait        time.Duration
	// Level is the factor by which demand exceeds the capacity of all zones together; one if it does not. The limits of
	// all zones are raised by it, so that their requests wait equally.
	Level float64
}

// setLevel sets Level. It returns Plan.Load and Plan.OwnPart.
func (b *balance) setLevel() (load, ownPart float64) {
	var demand, capacity, slots float64
	for _, z := range b.Zones {
		if !z.Unknown {
			usable := max(z.Slots, z.ReachableSlots)
			demand += z.Demand
			slots += usable
			capacity += b.capacity(z, usable)
		}
	}
	b.Level = 1
	if demand == 0 || capacity == 0 {
		return 0, 1
	}
	b.Level = max(1, demand/capacity)
	ownPart = 1
	for n, z := range b.Zones {
		if n != b.Home {
			ownPart -= min(z.Demand/slots, 1/float64(len(b.Zones)))
		}
	}
	return demand / slots, ownPart
}

// capacity returns the number of slots that requests can hold before they wait longer than tolerated. The entry hosts of a
// zone do not know each other's requests in flight, so each has its part of the slots as a pool of its own.
func (b *balance) capacity(z Zone, slots float64) float64 {
	return slots * MaxUtilization(slots/float64(max(1, z.Hosts)), b.ServiceTime, b.Wait)
}

// limit returns the number of slots that a zone's own requests can hold in it.
func (b *balance) limit(z Zone) float64 { return b.Level * b.capacity(z, z.Slots) }

// room returns the number of slots that the zone has left for requests of other zones. Its own callers come first, as far
// as their hosts can use the zone's servers.
func (b *balance) room(z Zone) float64 {
	if z.Unknown {
		return 0
	}
	return max(0, b.Level*b.capacity(z, z.ReachableSlots)-min(z.Demand, b.limit(z)))
}

// leaving returns the number of slots that the own zone's requests take in other zones. The zone gets the part of the room
// that its excess is of the excess of all zones.
func (b *balance) leaving() float64 {
	var excess, room float64
	for n, z := range b.Zones {
		excess += max(0, z.Demand-b.limit(z))
		if n != b.Home {
			room += b.room(z)
		}
	}
	own := b.Zones[b.Home]
	if ownExcess := own.Demand - b.limit(own); ownExcess > 0 {
		return min(ownExcess, room*ownExcess/excess)
	}
	return 0
}

// targets returns the other zones with room, weighted by it.
func (b *balance) targets() []Target {
	return b.weighted(b.room)
}

// reachableTargets returns the other zones with reachable servers, weighted by their slots.
func (b *balance) reachableTargets() []Target {
	return b.weighted(func(z Zone) float64 { return z.ReachableSlots })
}

func (b *balance) weighted(weight func(Zone) float64) []Target {
	var targets []Target
	for n, z := range b.Zones {
		if w := weight(z); n != b.Home && w > 0 {
			targets = append(targets, Target{Zone: z.Name, Weight: w})
		}
	}
	return targets
}

// divide makes the weights of the targets sum to one, and divides the slots that leaving requests take by them.
func (b *balance) divide(targets []Target, leaving float64) {
	var sum float64
	for _, t := range targets {
		sum += t.Weight
	}
	for n := range targets {
		t := &targets[n]
		t.Weight /= sum
		for _, z := range b.Zones {
			if z.Name == t.Zone {
				t.SlotFraction = min(1, leaving*t.Weight/z.ReachableSlots)
			}
		}
	}
}

// isCutOff reports whether no other zone is known to have servers that this host reaches.
func (b *balance) isCutOff() bool {
	for n, z := range b.Zones {
		if n != b.Home && !z.Unknown && z.ReachableSlots > 0 {
			return false
		}
	}
	return true
}
