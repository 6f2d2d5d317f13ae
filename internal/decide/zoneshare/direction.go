package zoneshare

import "time"

const (
	// trickleShare is the share of small requests that leaves in any case, so that this host has evidence about the
	// servers of other zones when it needs them.
	trickleShare = 0.01
	// overflowWaits is the number of tolerated waits after which a request may leave although it is not part of the share.
	// If it did so as soon as it finds no free slot, far more than the share would leave a zone that is well used.
	overflowWaits = 4
	// anywhereFraction is the fraction of its target latency that a request waits before it may go to a zone without room.
	anywhereFraction = 0.25
)

// Request is what the direction of a request depends on.
type Request struct {
	ID string
	// Attempt counts from zero.
	Attempt int
	// Large reports whether the response is expected to be large. Large responses leave only if no server of their zone
	// has a free slot.
	Large bool
	// Waited is the time since its arrival, and Target the time within which its response should arrive.
	Waited time.Duration
	Target time.Duration
}

// Direction tells which zones a request prefers and which it may use.
type Direction struct {
	plan *Plan
	// zone is the preferred zone.
	zone string
	// overflows reports whether zones with room may be used, and anywhere whether all zones may.
	overflows bool
	anywhere  bool
}

// Direct returns the direction of the request. It depends only on the request and the plan: a request that waits keeps
// its direction until the share changes.
func Direct(p *Plan, r Request) Direction {
	d := Direction{
		plan: p, zone: p.Home, overflows: p.Rising || r.Waited > overflowWaits*p.Wait,
		anywhere: r.Attempt > 0 || p.Cause != CutOff && float64(r.Waited) > anywhereFraction*float64(r.Target),
	}
	if p.Cause == Full {
		d.anywhere = d.anywhere || r.Waited > p.Wait
		return d
	}
	share := max(p.Share, trickleShare)
	if r.Large && p.Cause != NoServers {
		share = 0
	}
	point := position(r.ID)
	if point >= share {
		return d
	}
	// The position within the share selects the target.
	point /= share
	for _, t := range p.Targets {
		if point -= t.Weight; point < 0 {
			d.zone, d.overflows = t.Zone, true
			break
		}
	}
	return d
}

// Allows reports whether the request may go to the zone.
func (d Direction) Allows(zone string) bool {
	return d.anywhere || zone == d.plan.Home || d.overflows && d.plan.HasRoom(zone)
}

// Prefers reports whether the request prefers the zone to all others.
func (d Direction) Prefers(zone string) bool { return zone == d.zone }

// HasRoom reports whether the plan sends requests to the zone.
func (p *Plan) HasRoom(zone string) bool {
	_, found := p.target(zone)
	return found
}

// SlotFraction returns the fraction of the slots in the zone that requests of this one take; zero if none are sent there.
func (p *Plan) SlotFraction(zone string) float64 {
	t, _ := p.target(zone)
	return t.SlotFraction
}

func (p *Plan) target(zone string) (Target, bool) {
	for _, t := range p.Targets {
		if t.Zone == zone {
			return t, true
		}
	}
	return Target{}, false
}

// position maps the ID to a number from 0 to 1. It is an FNV-1a hash with the finalizer of SplitMix64, because similar IDs
// differ only in the low bits of the former.
func position(id string) float64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for n := range len(id) {
		h = (h ^ uint64(id[n])) * prime
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	h ^= h >> 31
	return float64(h>>11) / (1 << 53)
}
