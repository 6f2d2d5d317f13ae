package detect

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxEvidenceAge is the time after the last failure during which a report counts. It keeps unrelated failures spread
	// over time from adding up, and ends the reports about an ejected server, which gets no requests.
	maxEvidenceAge = 3 * time.Second
	// maxZoneEvidenceAge is the age up to which the last result of a server counts when the node checks whether it is
	// isolated itself.
	maxZoneEvidenceAge = 10 * time.Second
	// minZonesToEject is the number of availability zones that must report evidence before a server is ejected
	// everywhere.
	minZonesToEject = 2
)

// Report is the evidence of one member about one server.
type Report struct {
	// Member is the host ID of the member.
	Member           string
	AvailabilityZone string
	// Excess is the excess from the member's own requests and probes, without reports of its peers.
	Excess float64
	// LastFailure is on the clock of the receiving node: the time of receipt minus the age in the report.
	LastFailure time.Time
}

// SuspectedScope returns the scope in which the server is suspected, from the member's own evidence and the reports of
// its peers. The evidence of the zones is added. Each zone counts for at most half of the threshold, which keeps a single
// zone from ejecting a server for the others. If only the member's own evidence reaches the threshold, the scope is
// EjectedInZone.
func SuspectedScope(s *State, own Report, peers []Report, t Settings, now time.Time) EjectionScope {
	if own.Excess <= 0 && len(peers) == 0 {
		return InUse
	}
	zones := map[string]float64{}
	for _, r := range slices.Concat(peers, []Report{own}) {
		if now.Sub(r.LastFailure) <= maxEvidenceAge && r.LastFailure.After(s.Ejection.ReadmittedAt) {
			zones[r.AvailabilityZone] += r.Excess
		}
	}
	if total, n := combineZones(zones, t); n >= minZonesToEject && total >= t.Threshold {
		return Ejected
	}
	if own.Excess >= t.Threshold {
		return EjectedInZone
	}
	return InUse
}

func combineZones(zones map[string]float64, t Settings) (total float64, contributing int) {
	// The order is fixed because floating-point addition depends on it.
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		excess := zones[zone]
		if excess <= 0 {
			continue
		}
		total += math.Min(excess, t.Threshold/minZonesToEject)
		contributing++
	}
	return total, contributing
}

// Reportable reports whether the member's evidence is strong and recent enough to be sent to its peers.
func Reportable(s *State, b Baseline, now time.Time) bool {
	return Excess(s, b) > 1 && now.Sub(s.LastFailure) <= maxEvidenceAge
}

// ZoneCounts counts the backend servers of one availability zone that have recent evidence.
type ZoneCounts struct {
	Servers int
	Failing int
}

// CountInZone counts the server in its zone if a request to it ended recently.
func CountInZone(zones map[string]ZoneCounts, zone string, s *State, t Settings, now time.Time) {
	if now.Sub(s.LastRequestResult) > maxZoneEvidenceAge || s.LastRequestResult.IsZero() {
		return
	}
	z := zones[zone]
	z.Servers++
	if s.Sum >= t.Threshold/2 && s.LastFailure.After(s.LastSuccess) {
		z.Failing++
	}
	zones[zone] = z
}

// Isolated reports whether the node itself is at fault: most servers of several zones fail at once, including those of
// its own zone. If its own zone works, the failing zones are down or partitioned from it, and the node can serve.
func Isolated(zones map[string]ZoneCounts, own string) bool {
	failing := 0
	for _, z := range zones {
		if mostServersFail(z) {
			failing++
		}
	}
	z, present := zones[own]
	return failing >= minZonesToEject && (!present || mostServersFail(z))
}

func mostServersFail(z ZoneCounts) bool {
	return 2*z.Failing > z.Servers
}
