package detect

import "time"

const (
	// secondCount is the multiple of the stall age at which a request counts as a second failure. The slots of a stalled
	// server fill up and it gets no further requests, so that the few in flight have to suffice.
	secondCount = 2
	// maxCounts bounds the weight of one request, so that a single lost response never suffices for suspicion.
	maxCounts = 2
	// lateSweep is how late a sweep has to be for the node to count as paused.
	lateSweep = time.Second
)

// Age is what the time in flight of one request has contributed to the evidence.
type Age struct {
	// Counted is the number of failures counted for the request.
	Counted int
	// Discarded says that the node was paused while the request was in flight, so that its age and failure say nothing.
	Discarded bool
}

// ObserveAge counts a request in flight without response headers as a failure once its age passes the stall age, and
// once more at a multiple of it.
func ObserveAge(s *State, a *Age, age time.Duration, b Baseline, t Settings, now time.Time) {
	if a.Discarded || a.Counted >= maxCounts || Cold(s, t, now) {
		return
	}
	limit := StallAge(b)
	if a.Counted > 0 {
		limit *= secondCount
	}
	if age > limit {
		a.Counted++
		fail(s, SignStalled, 1, b, t, now)
	}
}

// Paused says whether the node itself was paused, from the time of its last sweep and the period of sweeps.
func Paused(last time.Time, period time.Duration, now time.Time) bool {
	return !last.IsZero() && now.Sub(last) > period+lateSweep
}
