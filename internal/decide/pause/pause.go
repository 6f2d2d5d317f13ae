// Package pause decides whether the process of a node was paused: stopped by a signal, or suspended with its host. It answers
// the load that reaches a node whose knowledge of the fleet has become old without any sign of it: requests that were read
// before the pause, and timers that all fire when it ends.
package pause

import "time"

const (
	// MinLength is the length from which a pause matters. Replicas are usually up to 1 s old, and a request must not reach a
	// backend server later than 2 s after its removal.
	MinLength = 500 * time.Millisecond
	// UnreadResponseTimeout is the time in which the responses that arrived during a pause are read after it. Timers that passed
	// during the pause fire before.
	UnreadResponseTimeout = 100 * time.Millisecond
	// leastProcessorShare is the fraction of a core that a busy process gets at least: that of the smallest hosts while they
	// are slowed to a fifth.
	leastProcessorShare = 1.0 / 16
)

// Reading is what the clocks of a process show.
type Reading struct {
	// Steady is the time of the runtime. On some hosts it stands still while the host is suspended.
	Steady time.Time
	// SinceBoot is the time since the host was booted, including the time for which it was suspended; zero if it is not known.
	SinceBoot time.Duration
	// Processor is the processor time that the process has used; zero if it is not known.
	Processor time.Duration
}

// Pause is a pause that has ended.
type Pause struct {
	// Length is the time between two readings, less the time for which the process may have been running.
	Length time.Duration
	// Hidden is the part of Length by which the steady clock did not advance.
	Hidden time.Duration
}

// State is what is known of the pauses of a process. The zero value has no reading yet.
type State struct {
	// Last is the newest reading.
	Last Reading
	// Ended is the end of the last pause; zero if there was none.
	Ended time.Time
	// Count is the number of pauses.
	Count int
}

// Observe takes a reading, and returns the pause that ended since the reading before it, if there was one. Readings must be
// more frequent than MinLength. A process that waited for a busy processor, or did not come round to a reading, has used
// processor time meanwhile and was not paused.
func Observe(s *State, r Reading) (Pause, bool) {
	last := s.Last
	s.Last = r
	if last.Steady.IsZero() {
		return Pause{}, false
	}
	steady := max(0, r.Steady.Sub(last.Steady))
	hidden := max(0, r.SinceBoot-last.SinceBoot-steady)
	running := time.Duration(float64(max(0, r.Processor-last.Processor)) / leastProcessorShare)
	p := Pause{Length: steady + hidden - running}
	if p.Length < MinLength {
		return Pause{}, false
	}
	p.Hidden = min(hidden, p.Length)
	s.Ended = r.Steady
	s.Count++
	return p, true
}
