// Package detect decides from the results of requests and probes whether a backend server is an outlier of its pool. It
// contains the sequential test (CUSUM), the comparison with the rest of the pool, the circuit breaker, ejection with
// hold-down and readmission, and the detection of faults of the node itself. It has no I/O, no clock and no locks.
package detect

import (
	"math"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// Failure rates of the sequential test. A healthy server fails 2% of its requests in the noisiest expected traffic; a
// server that fails half of them is of no use.
const (
	HealthyFailureRate = 0.02
	FaultyFailureRate  = 0.5
)

// Thresholds of the CUSUM for each preference. One failure adds ln(0.5/0.02) = 3.2, so they correspond to 4, 6 and 10
// failures in a row. docs/decisions/002-detection.md has the measured detection times and false ejections.
const (
	fasterDetectionThreshold     = 12
	balancedThreshold            = 18
	fewerFalseEjectionsThreshold = 30
)

const (
	// probeWeight is the weight of a failed probe relative to a failed request. It is small because health checks lag
	// behind the state of the server and often pass while requests fail.
	probeWeight = 0.25
	// failureRateTimeConstant is the time constant of the exponential decay of the failure rate. At 1.5 requests a second
	// and member, the rate averages about 15 requests.
	failureRateTimeConstant = 10 * time.Second
	// minDecayedRequests is the least denominator of a failure rate. It keeps a single failure of a server with little
	// traffic from counting as a high rate.
	minDecayedRequests = 5
	// maxSum bounds the CUSUM where the threshold is infinite. A server that was down for a long time then needs no more
	// than about twenty successes to clear it.
	maxSum = 2 * fewerFalseEjectionsThreshold
	// latencySmoothingFactor is the weight of one response in the smoothed latency.
	latencySmoothingFactor = 0.1
	// MaxSuccessAge is the age up to which a successful response proves that a server works.
	MaxSuccessAge = 10 * time.Second
)

// Settings are the detection parameters of a service.
type Settings struct {
	// Threshold is the excess of the CUSUM over the rest of the pool at which a server is suspected.
	Threshold float64
	// ColdStart is the time after a server joined the pool during which its slow responses do not count.
	ColdStart time.Duration
	// OpenJitter is a jitter added to the open time of breakers. It differs between nodes: the node that tries a failing
	// server first reports the failure, which spares requests of the others.
	OpenJitter time.Duration
	// AvoidOnly reports whether only breakers keep requests from servers: nothing is ejected and no health checks are sent.
	AvoidOnly bool
}

// SettingsOf returns the parameters for the service. The balanced preference is the default.
func SettingsOf(s fleet.Service) Settings {
	t := Settings{Threshold: balancedThreshold, ColdStart: s.ColdStart}
	switch s.Preference {
	case fleet.FasterDetection:
		t.Threshold = fasterDetectionThreshold
	case fleet.FewerFalseEjections:
		t.Threshold = fewerFalseEjectionsThreshold
	case fleet.AvoidOnly:
		t.Threshold = math.Inf(1)
		t.AvoidOnly = true
	}
	return t
}

// FailureKind is the kind of a failure, as named in explanations.
type FailureKind string

// Kinds of failure.
const (
	FailureError       FailureKind = "error"
	FailureUnreachable FailureKind = "unreachable"
	FailureSlow        FailureKind = "slow"
	FailureStalled     FailureKind = "stalled"
	FailureProbe       FailureKind = "probe"
	// FailureFast is an error that came before the server can have done any work.
	FailureFast FailureKind = "fast error"
	// FailureOverdue is a run of requests that took far longer than usual.
	FailureOverdue FailureKind = "overdue"
	// FailureAtPeer is a fast error reported by a peer.
	FailureAtPeer FailureKind = "fast error at a peer"
)

// State is the health evidence of one member about one backend server.
type State struct {
	// JoinedAt is the time when the server joined a pool that was already known; zero if it was in the pool from the
	// start.
	JoinedAt time.Time
	// Sum is the CUSUM of the log-likelihood ratio of failing against healthy. It is never below zero.
	Sum float64
	// LastSuccess is the time of the last success that shows the server to be healthy.
	LastSuccess     time.Time
	LastFailure     time.Time
	LastFailureKind FailureKind
	// LastRequestResult is the time of the last success or failure of a request. Probes do not change it.
	LastRequestResult time.Time
	// DecayedRequests and DecayedFailures are exponentially decayed counts as of DecayedAt.
	DecayedRequests float64
	DecayedFailures float64
	DecayedAt       time.Time
	// Latency is the smoothed time to the response headers; zero before the first response.
	Latency  time.Duration
	Ejection Ejection
	Breaker  Breaker
	Stalling Stalling
}

// Sample is the result of one attempt or probe.
type Sample struct {
	Evidence fleet.Evidence
	// Latency is the time to the response headers, or to the failure.
	Latency time.Duration
	Probe   bool
	// Ticket is the ID of the request. It distinguishes the result of a trial request from results of earlier requests.
	Ticket string
	// InFlight is the evidence that was already counted while the request was in flight.
	InFlight InFlightEvidence
}

// Observe updates the state with the result of an attempt or probe. The baseline describes the rest of the pool.
func Observe(s *State, sample Sample, b Baseline, t Settings, now time.Time) {
	kind, verdict := classify(s, sample, b, t, now)
	if sample.Evidence == fleet.Succeeded && !sample.Probe {
		updateLatency(s, sample.Latency)
	}
	switch {
	case sample.Probe:
		recordProbe(s, verdict, b, t, now)
	case verdict == verdictSuccess:
		recordSuccess(s, b, now)
		closeAfterSuccess(s, now.Add(-sample.Latency), now)
	case sample.Evidence == fleet.Shed:
		delayTrialAfterShed(s, now)
	case verdict == verdictFailure && sample.InFlight.Failures == 0:
		recordFailure(s, kind, 1, b, t, now)
	}
	if sample.Ticket != "" && sample.Ticket == s.Ejection.TrialTicket {
		recordTrial(s, verdict, now)
	}
}

type verdict int

const (
	verdictNeutral verdict = iota
	verdictSuccess
	verdictFailure
)

// classify returns the verdict on the sample, and the kind of the failure if there is one.
func classify(s *State, sample Sample, b Baseline, t Settings, now time.Time) (FailureKind, verdict) {
	slow := sample.Latency > StallAge(b)
	if slow && InColdStart(s, t, now) && sample.Evidence != fleet.Unreachable {
		return "", verdictNeutral
	}
	switch sample.Evidence {
	case fleet.Succeeded:
		if slow || sample.InFlight.Failures > 0 {
			return FailureSlow, failureVerdict(sample)
		}
		return "", verdictSuccess
	case fleet.Failed:
		if isFastFailure(sample, b) {
			return FailureFast, failureVerdict(sample)
		}
		return FailureError, failureVerdict(sample)
	case fleet.Unreachable:
		return FailureUnreachable, failureVerdict(sample)
	default:
		return "", verdictNeutral
	}
}

// failureVerdict returns the verdict on a failure or slow response. It is neutral if the node was paused while the
// request was in flight.
func failureVerdict(sample Sample) verdict {
	if sample.InFlight.Discarded {
		return verdictNeutral
	}
	return verdictFailure
}

// InColdStart reports whether the server joined the pool so recently that its slow responses do not count.
func InColdStart(s *State, t Settings, now time.Time) bool {
	return !s.JoinedAt.IsZero() && now.Sub(s.JoinedAt) < t.ColdStart
}

func recordSuccess(s *State, b Baseline, now time.Time) {
	countRequest(s, 0, now)
	s.LastRequestResult = now
	s.LastSuccess = now
	_, down := cusumIncrements(b)
	s.Sum = max(0, s.Sum+down)
}

func recordFailure(s *State, kind FailureKind, weight float64, b Baseline, t Settings, now time.Time) {
	if kind != FailureProbe {
		countRequest(s, 1, now)
		s.LastRequestResult = now
	}
	openAfterFailure(s, kind, t.OpenJitter, now)
	s.LastFailure = now
	s.LastFailureKind = kind
	up, _ := cusumIncrements(b)
	// The bound gives servers that fail together equal sums, and none of them is then an outlier of the pool.
	s.Sum = min(s.Sum+weight*up, 2*t.Threshold, maxSum)
}

// recordProbe counts a failed probe with low weight. A successful probe never outweighs failed requests, because servers
// pass health checks while they stall requests; it only confirms a server that already served requests.
func recordProbe(s *State, v verdict, b Baseline, t Settings, now time.Time) {
	switch {
	case v == verdictFailure:
		recordFailure(s, FailureProbe, probeWeight, b, t, now)
	case v == verdictSuccess && s.LastFailureKind == FailureProbe:
		_, down := cusumIncrements(b)
		s.Sum = max(0, s.Sum+probeWeight*down)
	case v == verdictSuccess && s.Sum == 0 && !s.LastSuccess.IsZero():
		s.LastSuccess = now
	}
}

// cusumIncrements returns the increments of the CUSUM for a failure and for a success. The healthy rate is raised to the
// failure rate of the rest of the pool: a pool that fails as a whole has no outlier.
func cusumIncrements(b Baseline) (up, down float64) {
	healthy := min(max(HealthyFailureRate, b.FailureRate), 0.95)
	failing := max(FaultyFailureRate, (1+healthy)/2)
	return math.Log(failing / healthy), math.Log((1 - failing) / (1 - healthy))
}

func countRequest(s *State, failures float64, now time.Time) {
	factor := decayFactor(s, now)
	s.DecayedRequests = s.DecayedRequests*factor + 1
	s.DecayedFailures = s.DecayedFailures*factor + failures
	s.DecayedAt = now
}

func decayFactor(s *State, now time.Time) float64 {
	elapsed := max(0, now.Sub(s.DecayedAt))
	return math.Exp(-elapsed.Seconds() / failureRateTimeConstant.Seconds())
}

func updateLatency(s *State, latency time.Duration) {
	if s.Latency == 0 {
		s.Latency = latency
		return
	}
	s.Latency += time.Duration(latencySmoothingFactor * float64(latency-s.Latency))
}

// Healthy reports whether the server is known to be healthy: a request succeeded recently and the CUSUM is below half of
// the threshold. A server without recent evidence does not count as healthy.
func Healthy(s *State, t Settings, now time.Time) bool {
	return !s.LastSuccess.IsZero() && now.Sub(s.LastSuccess) <= MaxSuccessAge && s.Sum < t.Threshold/2
}
