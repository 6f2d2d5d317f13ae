package admission

import "time"

const (
	// unknownCost stands in for the slot time of a rank before its first observation. Only the ratio between ranks
	// matters, and it is replaced by the first completed request.
	unknownCost = 100 * time.Millisecond
	// The gains are those of the retransmission timeout of RFC 6298. Its four deviations cover 98% of exponentially
	// distributed times; the rest is cut off after the longest time in a slot, so that eight are needed (99.9%).
	meanGain         = 1.0 / 8
	deviationGain    = 1.0 / 4
	deviationsNeeded = 8
)

// ServiceTime is the moving mean and mean deviation of the time for which requests hold a slot.
type ServiceTime struct {
	Mean      time.Duration
	Deviation time.Duration
}

// Observe adds the slot time of one request.
func (s *ServiceTime) Observe(d time.Duration) {
	if s.Mean == 0 {
		s.Mean = d
		s.Deviation = d / 2
		return
	}
	off := d - s.Mean
	s.Mean += time.Duration(meanGain * float64(off))
	s.Deviation += time.Duration(deviationGain * float64(off.Abs()-s.Deviation))
}

// Cost returns the mean slot time of a request.
func (s *ServiceTime) Cost() time.Duration {
	if s.Mean == 0 {
		return unknownCost
	}
	return s.Mean
}

// Need returns the time that a request should have left when it is dispatched: the mean and a number of mean deviations,
// zero for the default. It is zero if no request was observed.
func (s *ServiceTime) Need(deviations float64) time.Duration {
	if deviations == 0 {
		deviations = deviationsNeeded
	}
	return s.Mean + time.Duration(deviations*float64(s.Deviation))
}
