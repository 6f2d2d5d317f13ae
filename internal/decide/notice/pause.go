package notice

import (
	"hash/fnv"
	"time"
)

const (
	// waitFraction is the fraction of the target latency for which a request waits for the end of a pause. The wait then
	// costs the caller less than a refusal, because not every caller retries.
	waitFraction = 1.0 / 8
	// spreadFraction is the fraction of the pause over which refused callers are spread, and minSpread the least such
	// time. Callers that return at the same moment would be turned away again.
	spreadFraction = 0.25
	minSpread      = 500 * time.Millisecond
)

// Pool summarizes the servers of one service.
type Pool struct {
	// Usable is the number of servers that may get a request now, apart from limits and circuit breakers.
	Usable int
	// FirstReturn is the earliest end of a pause among the others; zero if none of them is paused.
	FirstReturn time.Time
}

// Add counts a server that is not leaving.
func (p *Pool) Add(pausedUntil, now time.Time) {
	switch {
	case !now.Before(pausedUntil):
		p.Usable++
	case p.FirstReturn.IsZero() || pausedUntil.Before(p.FirstReturn):
		p.FirstReturn = pausedUntil
	}
}

// Refusal returns the delay after which the caller should return if all servers of the service have asked for a pause that
// is too long to wait for. Callers are spread by the ID of their request.
func (p Pool) Refusal(requestID string, targetLatency time.Duration, now time.Time) (time.Duration, bool) {
	if p.Usable > 0 || p.FirstReturn.IsZero() {
		return 0, false
	}
	pause := p.FirstReturn.Sub(now)
	if pause <= time.Duration(waitFraction*float64(targetLatency)) {
		return 0, false
	}
	spread := max(time.Duration(spreadFraction*float64(pause)), minSpread)
	return pause + time.Duration(spreadOf(requestID)*float64(spread)), true
}

// spreadOf maps the ID to a fraction from 0 to 1.
func spreadOf(requestID string) float64 {
	const buckets = 1000
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID))
	return float64(h.Sum64()%buckets) / buckets
}
