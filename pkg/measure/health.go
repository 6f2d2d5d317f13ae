// Package measure simulates outlier detection and dispatch in virtual time and computes their measurements. It reads no
// wall clock, and the same seed gives the same results.
package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/trace"
)

const (
	simulationStep = 10 * time.Millisecond
	sweepInterval  = 100 * time.Millisecond
	// medianLatency is the median time to the response headers of a healthy server.
	medianLatency = 20 * time.Millisecond
	// latencySigma is the standard deviation of the logarithm of the latency, which is log-normal.
	latencySigma = 0.5
	// requestTimeout bounds a request that gets no response.
	requestTimeout = 2 * time.Second
	// connectTimeout bounds a connection attempt that gets no response.
	connectTimeout = time.Second
	// inFlightLimit is the concurrency limit of a member for one server: 6 slots over 4 members, rounded up.
	inFlightLimit = 2
	// slowFactor multiplies the latency of a slow response.
	slowFactor = 20
	// coldStartDuration is how long a server with a cold start is slow after it joins.
	coldStartDuration = 5 * time.Second
)

// Detector is the outlier detection of one group member.
type Detector interface {
	Apply(e trace.Event)
	Sweep(now time.Time)
	// Permitted returns which requests the member may send to the server.
	Permitted(address string, now time.Time) Permission
	// EjectionCount returns the number of times that the member took the server out of use, by ejection or local avoidance.
	EjectionCount(address string) int
}

// Reporter is a Detector that shares its evidence with the other members.
type Reporter interface {
	// Report returns the suspicions of the member. If maxFailureAge is positive, it returns nothing unless a failure is at
	// most that old.
	Report(member string, now time.Time, maxFailureAge time.Duration) []trace.Event
}

// Permission is the set of requests that a member may send to a server.
type Permission int

// Permissions, from none to normal use. TrialRequest allows one request to a server that is out of use.
const (
	NoRequests Permission = iota
	TrialRequest
	NormalRequests
)

// Fault is the way in which the first server of the service fails, or all servers for SlowPool.
type Fault string

// Simulated faults. All but Crash and ZonePartition leave the health endpoint working.
const (
	NoFault       Fault = "none"
	Stall         Fault = "stall"
	Errors        Fault = "errors"
	HalfErrors    Fault = "half-errors"
	Slow          Fault = "slow"
	Flap          Fault = "flap"
	Crash         Fault = "crash"
	ZonePartition Fault = "partition-one-zone"
	SlowPool      Fault = "slow-pool"
	// ColdStart is a server that joins the pool and is slow at first. It must not count as a failure.
	ColdStart Fault = "cold-start"
)

// Scenario is the input of a simulation: one service, the members of its group, and a fault.
type Scenario struct {
	Service fleet.Service
	// Zones holds the availability zone of each member.
	Zones []string
	// RequestRate is the number of requests per second and server of the pool, summed over all members.
	RequestRate float64
	// HealthyFailureRate is the fraction of requests that fail or are slow at healthy servers. It must be above 0.
	HealthyFailureRate float64
	Fault              Fault
	// ReportInterval is the minimum time between two reports of a member. HeartbeatInterval is the time between regular
	// heartbeats, which report even without a recent failure.
	ReportInterval    time.Duration
	HeartbeatInterval time.Duration
	// FaultAt is the time from the start until the fault begins. Duration is the simulated time.
	FaultAt  time.Duration
	Duration time.Duration
	Seed     uint64
	// NewDetector constructs the detector of a member.
	NewDetector func(s Scenario) Detector
	// Record receives the events of the first member. It may be nil.
	Record func(e trace.Event)
}

// HealthResult is the outcome of a Scenario.
type HealthResult struct {
	// FirstDetectionDelay and FullDetectionDelay are the times from the fault until the first and the last affected member
	// stopped normal use of the server. They are negative if that did not happen.
	FirstDetectionDelay time.Duration
	FullDetectionDelay  time.Duration
	// FalseEjections is the number of times that a member took a healthy server out of use.
	FalseEjections int
}

// harmless reports whether every ejection during the fault is a false ejection.
func (f Fault) harmless() bool {
	return f == NoFault || f == SlowPool || f == ColdStart
}

var healthEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type healthRun struct {
	Scenario
	random       *rand.Rand
	now          time.Time
	members      []*simMember
	result       HealthResult
	requestCount int
}

type simMember struct {
	id          string
	zone        string
	detector    Detector
	nextRequest time.Time
	outstanding map[string]int
	inFlight    []inFlightRequest
	// detected is true once the member has stopped normal use of the failing server.
	detected bool
}

// inFlightRequest holds the event that ends a request.
type inFlightRequest struct {
	endEvent trace.Event
}

// RunHealth simulates the scenario.
func RunHealth(s Scenario) HealthResult {
	r := &healthRun{
		Scenario: s, random: rand.New(rand.NewPCG(s.Seed, 1)), now: healthEpoch,
		result: HealthResult{FirstDetectionDelay: -1, FullDetectionDelay: -1},
	}
	for i, zone := range s.Zones {
		r.members = append(r.members, &simMember{
			id: fmt.Sprint("member-", i), zone: zone, detector: s.NewDetector(s), outstanding: map[string]int{},
		})
	}
	r.definePool(r.Service)
	for r.now = healthEpoch; r.now.Before(healthEpoch.Add(s.Duration)); r.now = r.now.Add(simulationStep) {
		r.step()
	}
	for _, m := range r.members {
		for i, b := range s.Service.BackendServers {
			if s.Fault.harmless() || i > 0 {
				r.result.FalseEjections += m.detector.EjectionCount(b.Address)
			}
		}
	}
	return r.result
}

// definePool sends the definition of the pool to the members. It leaves out a server with a cold start until FaultAt.
func (r *healthRun) definePool(s fleet.Service) {
	if r.Fault == ColdStart && r.now.Sub(healthEpoch) < r.FaultAt {
		s.BackendServers = s.BackendServers[1:]
	}
	for _, m := range r.members {
		r.apply(m, trace.Event{
			At: r.now, Kind: trace.Defined, Service: r.Service.Name, AvailabilityZone: m.zone,
			Definition: trace.DefinitionOf(s),
		})
	}
}

func (r *healthRun) apply(m *simMember, e trace.Event) {
	if r.Record != nil && m == r.members[0] {
		r.Record(e)
	}
	m.detector.Apply(e)
}

func (r *healthRun) step() {
	elapsed := r.now.Sub(healthEpoch)
	if r.Fault == ColdStart && elapsed == r.FaultAt {
		r.definePool(r.Service)
	}
	for i, m := range r.members {
		r.finishRequests(m)
		for !m.nextRequest.After(r.now) {
			r.sendRequest(m)
			m.nextRequest = m.nextRequest.Add(r.drawArrivalInterval(m))
		}
		// The offset makes members sweep at different times, as nodes do.
		if (elapsed+time.Duration(i)*simulationStep)%sweepInterval == 0 {
			m.detector.Sweep(r.now)
		}
		if (elapsed+r.reportOffset(i))%r.ReportInterval == 0 {
			r.sendReports(m, elapsed%r.HeartbeatInterval >= r.ReportInterval)
		}
	}
	r.recordDetections(elapsed)
}

// reportOffset spreads the reports of the members over the report interval.
func (r *healthRun) reportOffset(member int) time.Duration {
	return (r.ReportInterval * time.Duration(member) / time.Duration(len(r.members))).Truncate(simulationStep)
}

// drawArrivalInterval draws the time to the next request of a member. The first call also initializes nextRequest.
func (r *healthRun) drawArrivalInterval(m *simMember) time.Duration {
	if m.nextRequest.IsZero() {
		m.nextRequest = r.now
	}
	rate := r.RequestRate * float64(len(r.Service.BackendServers)) / float64(len(r.members))
	return time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
}

// sendRequest sends a request to the server in use with the fewest outstanding requests, as dispatch does. A server that
// is due for a trial request comes first.
func (r *healthRun) sendRequest(m *simMember) {
	best, ties := "", 0
	for i, b := range r.Service.BackendServers {
		if i == 0 && r.Fault == ColdStart && r.now.Sub(healthEpoch) < r.FaultAt {
			continue
		}
		permission := m.detector.Permitted(b.Address, r.now)
		if permission == NoRequests || m.outstanding[b.Address] >= inFlightLimit {
			continue
		}
		if permission == TrialRequest {
			best = b.Address
			break
		}
		switch {
		case best == "" || m.outstanding[b.Address] < m.outstanding[best]:
			best, ties = b.Address, 1
		case m.outstanding[b.Address] == m.outstanding[best]:
			ties++
			if r.random.IntN(ties) == 0 {
				best = b.Address
			}
		}
	}
	if best == "" {
		return
	}
	r.requestCount++
	id := fmt.Sprint(r.requestCount)
	m.outstanding[best]++
	r.apply(m, trace.Event{At: r.now, Kind: trace.Started, Service: r.Service.Name, Address: best, Request: id})
	evidence, latency := r.drawOutcome(best, m.zone)
	m.inFlight = append(m.inFlight, inFlightRequest{endEvent: trace.Event{
		At: r.now.Add(latency), Kind: trace.Ended, Service: r.Service.Name, Address: best, Request: id,
		Evidence: evidence, Latency: latency,
	}})
}

// drawOutcome draws the result of a request and the time that it takes.
func (r *healthRun) drawOutcome(address, zone string) (fleet.Evidence, time.Duration) {
	latency := time.Duration(float64(medianLatency) * math.Exp(latencySigma*r.random.NormFloat64()))
	if f := r.activeFault(address, zone); f != NoFault {
		return r.drawFaultOutcome(f, latency)
	}
	// Half of the failures of healthy servers are errors, a quarter slow responses and a quarter lost responses.
	switch u := r.random.Float64() / r.HealthyFailureRate; {
	case u < 0.5:
		return fleet.Failed, latency
	case u < 0.75:
		return fleet.Succeeded, slowFactor * latency
	case u < 1:
		return fleet.Failed, requestTimeout
	default:
		return fleet.Succeeded, latency
	}
}

// activeFault returns the fault that affects a request from the zone to the address now.
func (r *healthRun) activeFault(address, zone string) Fault {
	since := r.now.Sub(healthEpoch) - r.FaultAt
	if since < 0 || r.Fault == NoFault {
		return NoFault
	}
	if r.Fault == SlowPool {
		return Slow
	}
	if r.Fault == ColdStart && since > coldStartDuration {
		return NoFault
	}
	if address != r.Service.BackendServers[0].Address || (r.Fault == ZonePartition && zone != r.Zones[0]) {
		return NoFault
	}
	const flapPeriod = 5 * time.Second
	if r.Fault == Flap && (since/flapPeriod)%2 == 1 {
		return NoFault
	}
	return r.Fault
}

func (r *healthRun) drawFaultOutcome(f Fault, latency time.Duration) (fleet.Evidence, time.Duration) {
	switch f {
	case Stall:
		return fleet.Failed, requestTimeout
	case Crash:
		return fleet.Unreachable, time.Millisecond
	case ZonePartition:
		return fleet.Unreachable, connectTimeout
	case Slow, ColdStart:
		return fleet.Succeeded, slowFactor * latency
	case HalfErrors:
		if r.random.Float64() < 0.5 {
			return fleet.Succeeded, latency
		}
		return fleet.Failed, latency
	default:
		return fleet.Failed, latency
	}
}

func (r *healthRun) finishRequests(m *simMember) {
	kept := m.inFlight[:0]
	for _, f := range m.inFlight {
		if f.endEvent.At.After(r.now) {
			kept = append(kept, f)
			continue
		}
		f.endEvent.At = r.now
		m.outstanding[f.endEvent.Address]--
		r.apply(m, f.endEvent)
	}
	m.inFlight = kept
}

// sendReports sends the evidence of a member to the others if its detector is a Reporter. An early report is one between
// two heartbeats.
func (r *healthRun) sendReports(from *simMember, early bool) {
	reporter, ok := from.detector.(Reporter)
	if !ok {
		return
	}
	var maxFailureAge time.Duration
	if early {
		maxFailureAge = r.ReportInterval
	}
	for _, e := range reporter.Report(from.id, r.now, maxFailureAge) {
		for _, to := range r.members {
			if to != from {
				r.apply(to, e)
			}
		}
	}
}

// recordDetections records when the members stopped normal use of the failing server.
func (r *healthRun) recordDetections(elapsed time.Duration) {
	if r.Fault.harmless() || elapsed < r.FaultAt || r.result.FullDetectionDelay >= 0 {
		return
	}
	all := true
	for _, m := range r.members {
		affected := r.Fault != ZonePartition || m.zone == r.Zones[0]
		if affected && !m.detected {
			m.detected = m.detector.Permitted(r.Service.BackendServers[0].Address, r.now) != NormalRequests
			all = all && m.detected
		}
		if m.detected && r.result.FirstDetectionDelay < 0 {
			r.result.FirstDetectionDelay = elapsed - r.FaultAt
		}
	}
	if all {
		r.result.FullDetectionDelay = elapsed - r.FaultAt
	}
}
