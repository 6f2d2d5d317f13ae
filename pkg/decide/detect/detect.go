// Package detect turns evidence about a backend server into suspicion. It holds the sequential test, the comparison with
// the rest of the pool, hold-down and readmission, and the signs of faults of the node itself. It has no I/O, no clock and
// no locks.
package detect

import (
	"math"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// Failure rates of the sequential test. A healthy server fails 2% of its requests in the noisiest expected traffic; a
// server that fails half of them is of no use.
const (
	HealthyRate = 0.02
	FailingRate = 0.5
)

// Thresholds of the sum for each preference. One failure adds ln(0.5/0.02) = 3.2, so they correspond to 4, 6 and 10
// failures in a row. docs/decisions/002-detection.md has the measured detection times and false ejections.
const (
	thresholdFaster   = 12
	thresholdBalanced = 18
	thresholdFewer    = 30
)

const (
	// probeWeight is small because health checks lag behind and mislead.
	probeWeight = 0.25
	// rateWindow is the time constant of the decayed failure rate. At 1.5 requests a second and member it averages about
	// 15 requests.
	rateWindow = 10 * time.Second
	// minWeight keeps a single failure of a server with little traffic from counting as a high failure rate.
	minWeight = 5
	// maxSum bounds the sum where the threshold does not, so that a server that was down for long needs no more than some
	// twenty successes to clear it.
	maxSum = 2 * thresholdFewer
	// latencyGain is the weight of one response in the smoothed latency.
	latencyGain = 0.1
	// RecentSuccess is how long a successful response proves that a server works.
	RecentSuccess = 10 * time.Second
)

// Settings are the parameters of a service that detection depends on.
type Settings struct {
	// Threshold is the excess of the sum at which a server is suspected.
	Threshold float64
	// ColdStart is how long after a server appeared its slow responses do not count.
	ColdStart time.Duration
	// Spread lengthens avoidances. It differs between nodes, so that one of them tries a server first and its failure
	// spares the requests of the others.
	Spread time.Duration
}

// SettingsOf returns the parameters for the service. The balanced preference is the default.
func SettingsOf(s fleet.Service) Settings {
	t := Settings{Threshold: thresholdBalanced, ColdStart: s.ColdStart}
	switch s.Preference {
	case fleet.FasterDetection:
		t.Threshold = thresholdFaster
	case fleet.FewerFalseEjections:
		t.Threshold = thresholdFewer
	case fleet.AvoidOnly:
		t.Threshold = math.Inf(1)
	}
	return t
}

// Sign is the kind of a failure, for explanations.
type Sign string

// Signs of failure.
const (
	SignError       Sign = "error"
	SignUnreachable Sign = "unreachable"
	SignSlow        Sign = "slow"
	SignStalled     Sign = "stalled"
	SignProbe       Sign = "probe"
	// SignFast is an error before the server can have done any work.
	SignFast Sign = "fast error"
	// SignPeer is a fast error that a peer saw.
	SignPeer Sign = "fast error at a peer"
)

// State is what one member knows about the health of one backend server.
type State struct {
	// Appeared is when the server joined a pool that was already known; zero if it was there from the start.
	Appeared time.Time
	// Sum is the CUSUM of the log-likelihood ratio of failing against healthy. It is never below zero.
	Sum float64
	// LastSuccess is the time of the last success that shows the server to be healthy.
	LastSuccess time.Time
	LastFailure time.Time
	LastSign    Sign
	// LastReal is the time of the last evidence by a real request, whether it succeeded or failed.
	LastReal time.Time
	// Weight and Failures are decayed counts of requests and failures as of RateAt.
	Weight   float64
	Failures float64
	RateAt   time.Time
	// Latency is the smoothed time to the response headers; zero if no response was seen.
	Latency   time.Duration
	Ejection  Ejection
	Avoidance Avoidance
}

// Sample is the result of one attempt or probe.
type Sample struct {
	Evidence fleet.Evidence
	// Latency is the time to the response headers, or to the failure.
	Latency time.Duration
	Probe   bool
	// Ticket identifies the request, so that the result of a trial request is told from those of earlier requests.
	Ticket string
	// Age is what was already counted while the request was in flight.
	Age Age
}

// Observe adds the result of an attempt or probe to the state. The baseline describes the rest of the pool.
func Observe(s *State, x Sample, b Baseline, t Settings, now time.Time) {
	sign, verdict := classify(s, x, b, t, now)
	if x.Evidence == fleet.Succeeded && !x.Probe {
		smooth(s, x.Latency)
	}
	switch {
	case x.Probe:
		observeProbe(s, verdict, b, t, now)
	case verdict == good:
		succeed(s, b, now)
		succeedAfter(s, now.Add(-x.Latency), now)
	case x.Evidence == fleet.Shed:
		shedAfter(s, now)
	case verdict == bad && x.Age.Counted == 0:
		fail(s, sign, 1, b, t, now)
	}
	if x.Ticket != "" && x.Ticket == s.Ejection.Trial {
		observeTrial(s, verdict, now)
	}
}

type verdict int

const (
	neutral verdict = iota
	good
	bad
)

func classify(s *State, x Sample, b Baseline, t Settings, now time.Time) (Sign, verdict) {
	slow := x.Latency > StallAge(b)
	if slow && Cold(s, t, now) && x.Evidence != fleet.Unreachable {
		return "", neutral
	}
	switch x.Evidence {
	case fleet.Succeeded:
		if slow || x.Age.Counted > 0 {
			return SignSlow, late(x)
		}
		return "", good
	case fleet.Failed:
		if failedFast(x, b) {
			return SignFast, late(x)
		}
		return SignError, late(x)
	case fleet.Unreachable:
		return SignUnreachable, late(x)
	default:
		return "", neutral
	}
}

// late is the verdict on a failure or slow response. A request that was in flight while the node was paused says nothing.
func late(x Sample) verdict {
	if x.Age.Discarded {
		return neutral
	}
	return bad
}

// Cold says whether the server appeared so recently that slow responses do not count.
func Cold(s *State, t Settings, now time.Time) bool {
	return !s.Appeared.IsZero() && now.Sub(s.Appeared) < t.ColdStart
}

func succeed(s *State, b Baseline, now time.Time) {
	count(s, 0, now)
	s.LastReal = now
	s.LastSuccess = now
	_, down := steps(b)
	s.Sum = max(0, s.Sum+down)
}

func fail(s *State, sign Sign, weight float64, b Baseline, t Settings, now time.Time) {
	if sign != SignProbe {
		count(s, 1, now)
		s.LastReal = now
	}
	avoidAfter(s, sign, t.Spread, now)
	s.LastFailure = now
	s.LastSign = sign
	up, _ := steps(b)
	// The cap makes servers that fail together equal, so that none of them is an outlier of the pool.
	s.Sum = min(s.Sum+weight*up, 2*t.Threshold, maxSum)
}

// observeProbe counts a failed probe with low weight. A successful one never outweighs failures of real requests, because
// servers pass health checks yet stall real work; it only confirms a server that already served real requests.
func observeProbe(s *State, v verdict, b Baseline, t Settings, now time.Time) {
	switch {
	case v == bad:
		fail(s, SignProbe, probeWeight, b, t, now)
	case v == good && s.LastSign == SignProbe:
		_, down := steps(b)
		s.Sum = max(0, s.Sum+probeWeight*down)
	case v == good && s.Sum == 0 && !s.LastSuccess.IsZero():
		s.LastSuccess = now
	}
}

// steps returns what a failure and a success add to the sum. The healthy rate is raised to the rate of the rest of the
// pool, so that a pool that fails as a whole has no outlier.
func steps(b Baseline) (up, down float64) {
	healthy := min(max(HealthyRate, b.FailureRate), 0.95)
	failing := max(FailingRate, (1+healthy)/2)
	return math.Log(failing / healthy), math.Log((1 - failing) / (1 - healthy))
}

func count(s *State, failures float64, now time.Time) {
	f := decay(s, now)
	s.Weight = s.Weight*f + 1
	s.Failures = s.Failures*f + failures
	s.RateAt = now
}

func decay(s *State, now time.Time) float64 {
	elapsed := max(0, now.Sub(s.RateAt))
	return math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
}

func smooth(s *State, latency time.Duration) {
	if s.Latency == 0 {
		s.Latency = latency
		return
	}
	s.Latency += time.Duration(latencyGain * float64(latency-s.Latency))
}

// Healthy says whether the server is known to be healthy: a real request succeeded recently and the sum is below half of
// the threshold. A server of unknown health is not healthy.
func Healthy(s *State, t Settings, now time.Time) bool {
	return !s.LastSuccess.IsZero() && now.Sub(s.LastSuccess) <= RecentSuccess && s.Sum < t.Threshold/2
}
