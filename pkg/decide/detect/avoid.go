package detect

import "time"

const (
	// avoidSum is the sum from which a server is avoided: one failure in a pool that is healthy.
	avoidSum = 2.5
	// firstAvoidance is how long a server is avoided after one failure. It doubles with each further failure that the sum
	// holds. A server that fails in phases of seconds is tried again within its phase a few times only.
	firstAvoidance = 1500 * time.Millisecond
	// longestAvoidance bounds the time without evidence about a server that may have recovered.
	longestAvoidance = 6 * time.Second
)

// Avoidance says how far a server is to be avoided.
type Avoidance int

// Degrees of avoidance.
const (
	// Welcome means that the server is used like any other.
	Welcome Avoidance = iota
	// Probation means that the server failed, and gets one request at a time until it succeeds.
	Probation
	// Avoid means that the server failed so recently that others go first.
	Avoid
)

// AvoidanceOf returns the degree of avoidance from the failures that the sum holds and the time since the last one.
func AvoidanceOf(s *State, now time.Time) Avoidance {
	if s.Sum < avoidSum {
		return Welcome
	}
	if now.Sub(s.LastFailure) < avoidFor(s.Sum) {
		return Avoid
	}
	return Probation
}

func avoidFor(sum float64) time.Duration {
	const mostDoublings = 2
	doublings := min(int(sum/avoidSum)-1, mostDoublings)
	return min(firstAvoidance<<doublings, longestAvoidance)
}

// ObservePeerFailure counts a failure that a peer saw some time ago.
func ObservePeerFailure(s *State, age time.Duration, b Baseline, t Settings, now time.Time) {
	failed := now.Add(-age)
	if failed.Before(s.Appeared) {
		return
	}
	before := s.LastFailure
	fail(s, SignPeer, 1, b, t, now)
	if failed.Before(before) {
		failed = before
	}
	s.LastFailure = failed
}
