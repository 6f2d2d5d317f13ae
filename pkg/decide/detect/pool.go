package detect

import (
	"slices"
	"time"
)

const (
	// stallMultiple is the ratio of the stall age to the typical latency. Exponential service times exceed 8 times their
	// mean in 0.03% of requests, well below the healthy failure rate.
	stallMultiple = 8
	// minStallAge is above the pauses that a loaded host and its garbage collector cause.
	minStallAge = 100 * time.Millisecond
	// defaultStallAge applies until the first response shows the latency of the pool.
	defaultStallAge = time.Second
)

// Summary holds the sorted sums, failure rates and latencies of a pool. It lets the rest of the pool be found for each
// server without another pass over the pool.
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
		m.Rates = append(m.Rates, rate(s, now))
		if s.Latency > 0 {
			m.Latencies = append(m.Latencies, s.Latency)
		}
	}
	slices.Sort(m.Sums)
	slices.Sort(m.Rates)
	slices.Sort(m.Latencies)
	return m
}

// Baseline is what the rest of the pool shows; the zero value is a pool of which nothing is known.
type Baseline struct {
	// FailureRate and Sum are medians of the other servers. A median is not moved by the minority that fails.
	FailureRate float64
	Sum         float64
	// Latency is the typical time to the response headers.
	Latency time.Duration
}

// Rest returns the baseline for one server of the pool.
func Rest(m Summary, s *State, now time.Time) Baseline {
	b := Baseline{
		FailureRate: medianWithout(m.Rates, rate(s, now)),
		Sum:         medianWithout(m.Sums, s.Sum),
	}
	if n := len(m.Latencies); n > 0 {
		b.Latency = m.Latencies[(n-1)/2]
	}
	return b
}

// StallAge is the age at which a request counts as failed.
func StallAge(b Baseline) time.Duration {
	if b.Latency == 0 {
		return defaultStallAge
	}
	return max(stallMultiple*b.Latency, minStallAge)
}

// Excess is the part of the sum that the rest of the pool does not share. A pool that stalls as a whole has no excess.
func Excess(s *State, b Baseline) float64 {
	return max(0, s.Sum-b.Sum)
}

func rate(s *State, now time.Time) float64 {
	if s.Failures == 0 {
		return 0
	}
	f := decay(s, now)
	return s.Failures * f / max(s.Weight*f, minWeight)
}

// medianWithout returns the lower median of the sorted values after one value near v is removed.
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
