package detect

import (
	"slices"
	"time"
)

const (
	// stallLatencyMultiple is the ratio of the stall age to the typical latency. Exponential service times exceed 8
	// times their mean in 0.03% of requests, well below the healthy failure rate.
	stallLatencyMultiple = 8
	// minStallAge exceeds the pauses that a loaded host and its garbage collector cause.
	minStallAge = 100 * time.Millisecond
	// defaultStallAge is the stall age until the latency of the pool is known.
	defaultStallAge = time.Second
)

// Summary holds the sorted CUSUM values, failure rates and latencies of a pool. With it, the baseline of each server is
// computed without another pass over the pool.
type Summary struct {
	Sums      []float64
	Rates     []float64
	Latencies []time.Duration
}

// Summarize returns the summary of the pool.
func Summarize(pool []*State, now time.Time) Summary {
	var m Summary
	for _, s := range pool {
		m.Sums = append(m.Sums, s.Sum)
		m.Rates = append(m.Rates, failureRate(s, now))
		if s.Latency > 0 {
			m.Latencies = append(m.Latencies, s.Latency)
		}
	}
	slices.Sort(m.Sums)
	slices.Sort(m.Rates)
	slices.Sort(m.Latencies)
	return m
}

// Baseline describes the rest of the pool for one server. The zero value is a pool without evidence.
type Baseline struct {
	// FailureRate and Sum are medians of the other servers. A failing minority does not move a median.
	FailureRate float64
	Sum         float64
	// Latency is the median of the smoothed times to the response headers in the whole pool; zero if unknown.
	Latency time.Duration
}

// BaselineFor returns the baseline for one server of the pool.
func BaselineFor(m Summary, s *State, now time.Time) Baseline {
	b := Baseline{
		FailureRate: medianWithout(m.Rates, failureRate(s, now)),
		Sum:         medianWithout(m.Sums, s.Sum),
	}
	if n := len(m.Latencies); n > 0 {
		b.Latency = m.Latencies[(n-1)/2]
	}
	return b
}

// StallAge returns the age at which a request without response headers counts as failed.
func StallAge(b Baseline) time.Duration {
	if b.Latency == 0 {
		return defaultStallAge
	}
	return max(stallLatencyMultiple*b.Latency, minStallAge)
}

// Excess returns the amount by which the server's CUSUM exceeds the median of the rest of the pool. In a pool that stalls
// as a whole the excess is zero.
func Excess(s *State, b Baseline) float64 {
	return max(0, s.Sum-b.Sum)
}

func failureRate(s *State, now time.Time) float64 {
	if s.DecayedFailures == 0 {
		return 0
	}
	factor := decayFactor(s, now)
	return s.DecayedFailures * factor / max(s.DecayedRequests*factor, minDecayedRequests)
}

// medianWithout returns the lower median of the sorted values without v.
func medianWithout(sorted []float64, v float64) float64 {
	if len(sorted) < 2 {
		return 0
	}
	k := (len(sorted) - 2) / 2
	if i, _ := slices.BinarySearch(sorted, v); i <= k {
		return sorted[k+1]
	}
	return sorted[k]
}
