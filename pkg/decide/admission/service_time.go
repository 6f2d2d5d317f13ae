package admission

import "time"

const (
	// defaultServiceTime is the assumed service time of a rank before the first observation. Only the ratio between ranks
	// matters, and the first completed request replaces it.
	defaultServiceTime = 100 * time.Millisecond
	// The gains are those of the TCP retransmission timer (RFC 6298). Its four deviations cover 98% of exponentially
	// distributed times; the other requests would be cut off after holding a slot for the longest time, so eight
	// deviations (99.9%) are used.
	meanGain          = 1.0 / 8
	deviationGain     = 1.0 / 4
	defaultDeviations = 8
)

// ServiceTime holds the exponentially weighted mean and mean deviation of the time for which requests hold a slot.
type ServiceTime struct {
	Mean      time.Duration
	Deviation time.Duration
}

// Observe updates the estimates with the slot time of one request.
func (s *ServiceTime) Observe(d time.Duration) {
	if s.Mean == 0 {
		s.Mean = d
		s.Deviation = d / 2
		return
	}
	difference := d - s.Mean
	s.Mean += time.Duration(meanGain * float64(difference))
	s.Deviation += time.Duration(deviationGain * float64(difference.Abs()-s.Deviation))
}

// MeanOrDefault returns the mean slot time of a request, or defaultServiceTime before the first observation.
func (s *ServiceTime) MeanOrDefault() time.Duration {
	if s.Mean == 0 {
		return defaultServiceTime
	}
	return s.Mean
}

// RequiredTime returns the time that a request should have left at dispatch: the mean plus the given number of mean
// deviations, where zero selects the default. The result is zero if no request was observed.
func (s *ServiceTime) RequiredTime(deviations float64) time.Duration {
	if deviations == 0 {
		deviations = defaultDeviations
	}
	return s.Mean + time.Duration(deviations*float64(s.Deviation))
}
