package detect

import "time"

const (
	// secondFailureStallMultiple is the multiple of the stall age at which a request counts as a second failure. The
	// slots of a stalled server fill up and it gets no further requests, so the few requests in flight must provide the
	// evidence.
	secondFailureStallMultiple = 2
	// maxFailuresPerRequest bounds the weight of one request: a single lost response must never cause suspicion.
	maxFailuresPerRequest = 2
	// minPauseDelay is the delay of a sweep beyond its interval above which the node counts as paused.
	minPauseDelay = time.Second
)

// InFlightEvidence records what one request contributed to the failure evidence while it was in flight.
type InFlightEvidence struct {
	// Failures is the number of failures counted for the request.
	Failures int
	// Discarded is set when the node was paused while the request was in flight. The age and a failure of the request
	// are then no evidence about the server.
	Discarded bool
	// Overdue reports whether the request was counted as overdue.
	Overdue bool
}

// ObserveInFlight counts a request without response headers as a failure once its age exceeds the stall age, and a second
// time at secondFailureStallMultiple times the stall age.
func ObserveInFlight(s *State, e *InFlightEvidence, age time.Duration, b Baseline, t Settings, now time.Time) {
	if e.Discarded || e.Failures >= maxFailuresPerRequest || InColdStart(s, t, now) {
		return
	}
	limit := StallAge(b)
	if e.Failures > 0 {
		limit *= secondFailureStallMultiple
	}
	if age > limit {
		e.Failures++
		recordFailure(s, FailureStalled, 1, b, t, now)
	}
}

// Paused reports whether the node itself was paused, given the time of its last sweep and the interval between sweeps.
func Paused(lastSweep time.Time, interval time.Duration, now time.Time) bool {
	return !lastSweep.IsZero() && now.Sub(lastSweep) > interval+minPauseDelay
}
