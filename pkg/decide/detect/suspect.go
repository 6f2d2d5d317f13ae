package detect

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// evidenceAge is how long the evidence of a zone counts after its last failure. Failures that only noise spreads over
	// time do not add up, and the reports about an ejected server, which gets no requests, end by themselves.
	evidenceAge = 3 * time.Second
	// zoneAge is how long the last outcome of a server counts when the node judges its own reachability.
	zoneAge = 10 * time.Second
	// neededZones is the number of availability zones whose evidence makes an ejection.
	neededZones = 2
)

// Report is the evidence of one member about one server.
type Report struct {
	// Member is the host ID of the member.
	Member           string
	AvailabilityZone string
	// Excess is the member's own excess, without what its peers reported.
	Excess float64
	// LastFailure is on the clock of the receiving node: the time of receipt less the age that the peer stated.
	LastFailure time.Time
}

// Judge returns the scope in which the server is suspected, from the member's own evidence and the reports of its peers.
// The evidence of several zones is added, and each zone counts for half of the threshold at most, so that no single zone
// ejects a server for the others. The member's own zone alone makes the server avoided.
func Judge(s *State, own Report, peers []Report, t Settings, now time.Time) Scope {
	zones := map[string]float64{}
	for _, r := range slices.Concat(peers, []Report{own}) {
		if now.Sub(r.LastFailure) <= evidenceAge && r.LastFailure.After(s.Ejection.Readmitted) {
			zones[r.AvailabilityZone] += r.Excess
		}
	}
	if total, n := combine(zones, t); n >= neededZones && total >= t.Threshold {
		return Ejected
	}
	if own.Excess >= t.Threshold {
		return Avoided
	}
	return InUse
}

func combine(zones map[string]float64, t Settings) (total float64, contributing int) {
	// The order is fixed, because the sum of floating-point numbers depends on it.
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		excess := zones[zone]
		if excess <= 0 {
			continue
		}
		total += math.Min(excess, t.Threshold/neededZones)
		contributing++
	}
	return total, contributing
}

// Reportable says whether the member has evidence that its peers should hear of.
func Reportable(s *State, b Baseline, now time.Time) bool {
	return Excess(s, b) > 1 && now.Sub(s.LastFailure) <= evidenceAge
}

// ZoneState counts the backend servers of one availability zone about which there is recent evidence.
type ZoneState struct {
	Servers int
	Failing int
}

// AddZone counts the server in its zone, if a real request showed its state recently.
func AddZone(zones map[string]ZoneState, zone string, s *State, t Settings, now time.Time) {
	if now.Sub(s.LastReal) > zoneAge || s.LastReal.IsZero() {
		return
	}
	z := zones[zone]
	z.Servers++
	if s.Sum >= t.Threshold/2 && s.LastFailure.After(s.LastSuccess) {
		z.Failing++
	}
	zones[zone] = z
}

// Isolated says whether the node itself is at fault: most servers of several zones fail at once, its own zone among
// them. If its own zone still works, the zones that fail are cut off or down, and the node can serve.
func Isolated(zones map[string]ZoneState, own string) bool {
	failing := 0
	for _, z := range zones {
		if mostFail(z) {
			failing++
		}
	}
	z, known := zones[own]
	return failing >= neededZones && (!known || mostFail(z))
}

func mostFail(z ZoneState) bool {
	return 2*z.Failing > z.Servers
}
