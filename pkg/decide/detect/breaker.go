package detect

import (
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// Parameters of the circuit breaker. A server that fails a fraction of its requests while it passes health checks usually
// does so for several seconds and fails at once, before doing any work. A failure after the usual processing time is more
// likely caused by the single request.
const (
	// fastFailureLatencyRatio divides the typical latency of the pool. A failure below the result is a fast failure: it
	// came too early for the server to have done any work.
	fastFailureLatencyRatio = 8
	// defaultFastFailureLatency is the upper bound of a fast failure until the latency of the pool is known.
	defaultFastFailureLatency = 25 * time.Millisecond
	// fastFailureOpenDuration is the open time of the breaker from the first fast failure of a failure phase.
	// repeatedFailureOpenDuration is the least open time after each fast failure.
	fastFailureOpenDuration     = 9 * time.Second
	repeatedFailureOpenDuration = 4500 * time.Millisecond
	// failurePhaseDuration is the time after the first fast failure in which later ones count as part of the same fault,
	// that is, of the same failure phase.
	failurePhaseDuration = 14 * time.Second
	// slowFailurePairInterval is the interval within which two slow failures open the breaker for
	// slowFailureOpenDuration.
	slowFailurePairInterval = 3 * time.Second
	slowFailureOpenDuration = 1500 * time.Millisecond
	// firstUnreachableBackoff is the open time after a failed connection attempt. It doubles with each further failure
	// in a row, up to maxUnreachableBackoff.
	firstUnreachableBackoff = time.Second
	maxUnreachableBackoff   = 4 * time.Second
	// earlyTrialDelay is the time from the last failure to an early trial. The floor of a service, its minimum number
	// of healthy servers, counts servers that have not failed for two seconds as healthy. These must therefore get
	// requests while the service loses many.
	earlyTrialDelay = 1500 * time.Millisecond
	// shedTrialDelay is the delay before the next trial request after a half-open server shed a request.
	shedTrialDelay = time.Second
	// successesToClose is the number of trial requests in a row that must succeed to close the breaker. One success is
	// not enough, because a failing server still passes one trial in five.
	successesToClose = 2
)

// Breaker is the state of the circuit breaker of one server.
type Breaker struct {
	// PhaseStarted is the time of the first fast failure of the current failure phase.
	PhaseStarted time.Time
	// OpenUntil is the end of the open time; zero if the breaker is closed. After that time the breaker is half-open
	// until enough trial requests succeed.
	OpenUntil time.Time
	// LastSlowFailure is the time of the last failure that was not fast, such as an error after the usual processing
	// time.
	LastSlowFailure time.Time
	// TrialSuccesses counts the trial requests in a row that succeeded since the open time ended.
	TrialSuccesses int
	// PeerRecovered is set when a peer reported that the server has recovered.
	PeerRecovered bool
	// ConnectFailures counts the connection attempts in a row that failed.
	ConnectFailures int
}

// BreakerState is the position of the circuit breaker of a server: closed, half-open or open.
type BreakerState int

// Breaker positions.
const (
	// Closed means that the breaker is closed: the server gets requests like any other.
	Closed BreakerState = iota
	// HalfOpen means that the breaker is half-open: the server gets one trial request at a time.
	HalfOpen
	// Open means that the breaker is open: the server gets no request while others can serve.
	Open
)

// String returns the name used in logs.
func (s BreakerState) String() string {
	switch s {
	case HalfOpen:
		return "probation"
	case Open:
		return "avoided"
	default:
		return "welcome"
	}
}

// BreakerStateOf returns the position of the server's breaker. With early set, an open breaker turns half-open
// earlyTrialDelay after the last failure. Callers set it while servers are scarce or the service loses many requests.
func BreakerStateOf(s *State, early bool, now time.Time) BreakerState {
	switch {
	case s.Breaker.OpenUntil.IsZero():
		return Closed
	case !now.Before(s.Breaker.OpenUntil):
		return HalfOpen
	case early && now.Sub(s.LastFailure) >= earlyTrialDelay:
		return HalfOpen
	default:
		return Open
	}
}

// SharesTrials reports whether the nodes take turns in sending trial requests to the server. A trial of a stalling server
// fails so late that the other nodes would send theirs before they hear of it.
func SharesTrials(s *State) bool { return s.LastFailureKind == FailureOverdue }

// openAfterFailure opens the breaker, or extends its open time, as the kind of the failure requires.
func openAfterFailure(s *State, kind FailureKind, jitter time.Duration, now time.Time) {
	b := &s.Breaker
	b.TrialSuccesses = 0
	b.PeerRecovered = false
	switch kind {
	case FailureFast, FailureAtPeer, FailureOverdue:
		if now.Sub(b.PhaseStarted) > failurePhaseDuration {
			b.PhaseStarted = now
		}
		b.extendOpen(now.Add(repeatedFailureOpenDuration + jitter))
		b.extendOpen(b.PhaseStarted.Add(fastFailureOpenDuration + jitter))
	case FailureUnreachable:
		const maxDoublings = 2
		b.extendOpen(now.Add(min(firstUnreachableBackoff<<min(b.ConnectFailures, maxDoublings), maxUnreachableBackoff)))
		b.ConnectFailures++
	case FailureError, FailureStalled:
		if now.Sub(b.LastSlowFailure) < slowFailurePairInterval {
			b.extendOpen(now.Add(slowFailureOpenDuration))
		}
		b.LastSlowFailure = now
	}
	if !b.OpenUntil.IsZero() && !now.Before(b.OpenUntil) {
		b.extendOpen(now.Add(slowFailureOpenDuration)) // the failed request was a trial of a half-open breaker
	}
}

// TryAgain makes the breaker half-open, for a server that was not used for another reason.
func TryAgain(s *State, now time.Time) {
	s.Breaker.OpenUntil = now
	s.Breaker.TrialSuccesses = 0
}

func (b *Breaker) extendOpen(until time.Time) {
	if until.After(b.OpenUntil) {
		b.OpenUntil = until
	}
}

// closeAfterSuccess counts a successful trial and closes the breaker after enough of them. One is enough if no failure
// phase is in progress. It ignores the success of a request that was sent before the last failure.
func closeAfterSuccess(s *State, started, now time.Time) {
	b := &s.Breaker
	b.ConnectFailures = 0
	if b.OpenUntil.IsZero() || !started.After(s.LastFailure) {
		return
	}
	b.TrialSuccesses++
	if b.TrialSuccesses >= successesToClose || now.Sub(b.PhaseStarted) > failurePhaseDuration {
		b.OpenUntil = time.Time{}
		return
	}
	b.OpenUntil = now // half-open: the next trial may follow immediately
}

// delayTrialAfterShed delays the next trial request to a server that shed the last one.
func delayTrialAfterShed(s *State, now time.Time) {
	if !s.Breaker.OpenUntil.IsZero() {
		s.Breaker.extendOpen(now.Add(shedTrialDelay))
	}
}

// isFastFailure reports whether the failure came before the server can have done any work.
func isFastFailure(sample Sample, b Baseline) bool {
	if sample.Evidence != fleet.Failed {
		return false
	}
	if b.Latency == 0 {
		return sample.Latency < defaultFastFailureLatency
	}
	return sample.Latency*fastFailureLatencyRatio < b.Latency
}

// EarlyTrialTurn returns the index of the node that may send an early trial request to the server. The turn rotates among
// the nodes, because a failing server would otherwise lose a request of every node. Clock skew between nodes causes only
// a trial too many or too few.
func EarlyTrialTurn(address string, nodes int, now time.Time) int {
	var offset uint64
	for n := range len(address) {
		offset = offset*31 + uint64(address[n])
	}
	period := uint64(now.UnixNano() / int64(earlyTrialDelay))
	return int((offset + period) % uint64(max(nodes, 1)))
}

// ObservePeerRecovery records a report of the given age in which a peer found the server recovered. One trial request of
// this node must still succeed. The report is ignored if the server has failed since.
func ObservePeerRecovery(s *State, age time.Duration, now time.Time) {
	b := &s.Breaker
	if b.OpenUntil.IsZero() || !s.LastFailure.Before(now.Add(-age)) {
		return
	}
	b.PeerRecovered = true
	b.TrialSuccesses = successesToClose - 1
	if now.Before(b.OpenUntil) {
		b.OpenUntil = now
	}
}

// RecoveredByOwnTrials reports whether the breaker has just closed because of trials of this node alone. The node then
// reports the recovery to its peers. A recovery that a peer reported is not reported again.
func RecoveredByOwnTrials(before, after *Breaker) bool {
	return !before.OpenUntil.IsZero() && after.OpenUntil.IsZero() && !before.PeerRecovered
}

// ObservePeerFailure records a report of the given age in which a peer saw a fast failure. Failures from before the
// server joined the pool are ignored.
func ObservePeerFailure(s *State, age time.Duration, b Baseline, t Settings, now time.Time) {
	if now.Add(-age).Before(s.JoinedAt) {
		return
	}
	recordFailure(s, FailureAtPeer, 1, b, t, now)
}
