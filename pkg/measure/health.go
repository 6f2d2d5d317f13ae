// Package measure drives the decision code with simulated time and reports its figures. It has no wall clock, and the same
// seed gives the same figures.
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
	healthStep = 10 * time.Millisecond
	sweepEvery = 100 * time.Millisecond
	// serviceLatency is the median time to the response headers of a healthy server.
	serviceLatency = 20 * time.Millisecond
	latencySigma   = 0.5
	// requestTimeout ends a request that gets no response.
	requestTimeout = 2 * time.Second
	// connectTimeout ends a connection attempt without a response.
	connectTimeout = time.Second
	// inFlightLimit is the limit of a member for one server: 6 slots over 4 members, rounded up.
	inFlightLimit = 2
	slowFactor    = 20
	// coldTime is how long a server is slow after it joined.
	coldTime = 5 * time.Second
)

// Detector is one member's way to take servers out of use.
type Detector interface {
	Apply(e trace.Event)
	Sweep(now time.Time)
	// Use says what a request may be sent to the server for.
	Use(address string, now time.Time) Use
	// Out returns the number of times that the server was taken out of use.
	Out(address string) int
}

// Reporter is a detector that shares its evidence with the other members.
type Reporter interface {
	// Report returns nothing if early is set and no failure is newer than the given time.
	Report(member string, now time.Time, early time.Duration) []trace.Event
}

// Use is the use of a server at one member.
type Use int

// Uses of a server.
const (
	NoUse Use = iota
	TrialUse
	NormalUse
)

// Fault is the way in which a server fails.
type Fault string

// Faults of a server. All but Crash and Partition leave the health endpoint working.
const (
	NoFault   Fault = "none"
	Stall     Fault = "stall"
	Errors    Fault = "errors"
	Partial   Fault = "half-errors"
	Slow      Fault = "slow"
	Flap      Fault = "flap"
	Crash     Fault = "crash"
	Partition Fault = "partition-one-zone"
	SlowPool  Fault = "slow-pool"
	// ColdStart is a server that joins the pool and is slow at first. It is no fault.
	ColdStart Fault = "cold-start"
)

// Scenario is one service, the members of its group, and a fault.
type Scenario struct {
	Service fleet.Service
	// Zones holds the availability zone of each member.
	Zones []string
	// Rate is the number of requests a second for each server of the pool, over all members.
	Rate float64
	// Noise is the failure rate of healthy servers, above 0.
	Noise float64
	Fault Fault
	// ReportEvery is the least time between two reports of a member, and BeatEvery that between regular heartbeats.
	ReportEvery time.Duration
	BeatEvery   time.Duration
	// FaultAt is when the first server of the service starts to fail; Length is the time that is simulated.
	FaultAt time.Duration
	Length  time.Duration
	Seed    uint64
	// New returns the detector of a member.
	New func(s Scenario) Detector
	// Record receives the events of the first member; nil for none.
	Record func(e trace.Event)
}

// HealthResult is what a run of a scenario showed.
type HealthResult struct {
	// First and All are the times from the fault until the first and the last member that it affects stopped using the
	// server; negative if that did not happen.
	First time.Duration
	All   time.Duration
	// False is the number of times that a member took a healthy server out of use.
	False int
}

func (f Fault) harmless() bool {
	return f == NoFault || f == SlowPool || f == ColdStart
}

var healthEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type healthRun struct {
	Scenario
	random  *rand.Rand
	now     time.Time
	members []*simMember
	result  HealthResult
	number  int
}

type simMember struct {
	id          string
	zone        string
	detector    Detector
	next        time.Time
	outstanding map[string]int
	flights     []flight
	detected    bool
}

// flight holds the event that ends a request in flight.
type flight struct {
	event trace.Event
}

// RunHealth simulates the scenario.
func RunHealth(s Scenario) HealthResult {
	r := &healthRun{
		Scenario: s, random: rand.New(rand.NewPCG(s.Seed, 1)), now: healthEpoch,
		result: HealthResult{First: -1, All: -1},
	}
	for i, zone := range s.Zones {
		r.members = append(r.members, &simMember{
			id: fmt.Sprint("member-", i), zone: zone, detector: s.New(s), outstanding: map[string]int{},
		})
	}
	r.define(r.Service)
	for r.now = healthEpoch; r.now.Before(healthEpoch.Add(s.Length)); r.now = r.now.Add(healthStep) {
		r.step()
	}
	for _, m := range r.members {
		for i, b := range s.Service.BackendServers {
			if s.Fault.harmless() || i > 0 {
				r.result.False += m.detector.Out(b.Address)
			}
		}
	}
	return r.result
}

// define tells the members about the pool. A server with a cold start joins only when that begins.
func (r *healthRun) define(s fleet.Service) {
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
		r.define(r.Service)
	}
	for i, m := range r.members {
		r.finish(m)
		for !m.next.After(r.now) {
			r.arrive(m)
			m.next = m.next.Add(r.gap(m))
		}
		// Members sweep at different times, as nodes do.
		if (elapsed+time.Duration(i)*healthStep)%sweepEvery == 0 {
			m.detector.Sweep(r.now)
		}
		if (elapsed+r.reportOffset(i))%r.ReportEvery == 0 {
			r.report(m, elapsed%r.BeatEvery >= r.ReportEvery)
		}
	}
	r.detect(elapsed)
}

// reportOffset spreads the reports of the members over the period.
func (r *healthRun) reportOffset(member int) time.Duration {
	return (r.ReportEvery * time.Duration(member) / time.Duration(len(r.members))).Truncate(healthStep)
}

// gap draws the time to the next request of a member. The first call also sets the start.
func (r *healthRun) gap(m *simMember) time.Duration {
	if m.next.IsZero() {
		m.next = r.now
	}
	rate := r.Rate * float64(len(r.Service.BackendServers)) / float64(len(r.members))
	return time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
}

// arrive sends a request to the server in use with the fewest outstanding requests, as dispatch does.
func (r *healthRun) arrive(m *simMember) {
	best, ties := "", 0
	for i, b := range r.Service.BackendServers {
		if i == 0 && r.Fault == ColdStart && r.now.Sub(healthEpoch) < r.FaultAt {
			continue
		}
		use := m.detector.Use(b.Address, r.now)
		if use == NoUse || m.outstanding[b.Address] >= inFlightLimit {
			continue
		}
		if use == TrialUse {
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
	r.number++
	id := fmt.Sprint(r.number)
	m.outstanding[best]++
	r.apply(m, trace.Event{At: r.now, Kind: trace.Started, Service: r.Service.Name, Address: best, Request: id})
	evidence, latency := r.outcome(best, m.zone)
	m.flights = append(m.flights, flight{event: trace.Event{
		At: r.now.Add(latency), Kind: trace.Ended, Service: r.Service.Name, Address: best, Request: id,
		Evidence: evidence, Latency: latency,
	}})
}

// outcome draws the result of a request and the time that it takes.
func (r *healthRun) outcome(address, zone string) (fleet.Evidence, time.Duration) {
	latency := time.Duration(float64(serviceLatency) * math.Exp(latencySigma*r.random.NormFloat64()))
	if f := r.faultOf(address, zone); f != NoFault {
		return r.faulty(f, latency)
	}
	// The noise is half errors, a quarter slow responses and a quarter lost responses.
	switch u := r.random.Float64() / r.Noise; {
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

func (r *healthRun) faultOf(address, zone string) Fault {
	since := r.now.Sub(healthEpoch) - r.FaultAt
	if since < 0 || r.Fault == NoFault {
		return NoFault
	}
	if r.Fault == SlowPool {
		return Slow
	}
	if r.Fault == ColdStart && since > coldTime {
		return NoFault
	}
	if address != r.Service.BackendServers[0].Address || (r.Fault == Partition && zone != r.Zones[0]) {
		return NoFault
	}
	const flapPeriod = 5 * time.Second
	if r.Fault == Flap && (since/flapPeriod)%2 == 1 {
		return NoFault
	}
	return r.Fault
}

func (r *healthRun) faulty(f Fault, latency time.Duration) (fleet.Evidence, time.Duration) {
	switch f {
	case Stall:
		return fleet.Failed, requestTimeout
	case Crash:
		return fleet.Unreachable, time.Millisecond
	case Partition:
		return fleet.Unreachable, connectTimeout
	case Slow, ColdStart:
		return fleet.Succeeded, slowFactor * latency
	case Partial:
		if r.random.Float64() < 0.5 {
			return fleet.Succeeded, latency
		}
		return fleet.Failed, latency
	default:
		return fleet.Failed, latency
	}
}

func (r *healthRun) finish(m *simMember) {
	kept := m.flights[:0]
	for _, f := range m.flights {
		if f.event.At.After(r.now) {
			kept = append(kept, f)
			continue
		}
		f.event.At = r.now
		m.outstanding[f.event.Address]--
		r.apply(m, f.event)
	}
	m.flights = kept
}

// report sends the evidence of a member to the others. Only detectors that share evidence report.
func (r *healthRun) report(from *simMember, early bool) {
	reporter, ok := from.detector.(Reporter)
	if !ok {
		return
	}
	var newer time.Duration
	if early {
		newer = r.ReportEvery
	}
	for _, e := range reporter.Report(from.id, r.now, newer) {
		for _, to := range r.members {
			if to != from {
				r.apply(to, e)
			}
		}
	}
}

// detect notes when the members stopped using the server that fails.
func (r *healthRun) detect(elapsed time.Duration) {
	if r.Fault.harmless() || elapsed < r.FaultAt || r.result.All >= 0 {
		return
	}
	all := true
	for _, m := range r.members {
		affected := r.Fault != Partition || m.zone == r.Zones[0]
		if affected && !m.detected {
			m.detected = m.detector.Use(r.Service.BackendServers[0].Address, r.now) != NormalUse
			all = all && m.detected
		}
		if m.detected && r.result.First < 0 {
			r.result.First = elapsed - r.FaultAt
		}
	}
	if all {
		r.result.All = elapsed - r.FaultAt
	}
}
