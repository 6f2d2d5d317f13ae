package detect

import (
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// A server that fails a part of its requests while its health check passes mostly does so for several seconds, and fails
// at once, before it has done any work. A failure after the usual time of the work is more likely that of one request.
const (
	// fastRatio is the part of the typical latency below which a failure came too soon for any work to be done.
	fastRatio = 8
	// defaultFast stands in for it until the latency of the pool is known.
	defaultFast = 25 * time.Millisecond
	// fastHold is how long a server is avoided from the first fast failure of a phase, and fastRetry after each further one.
	fastHold  = 9 * time.Second
	fastRetry = 4500 * time.Millisecond
	// phaseTime is how long after its first failure a further one counts to the same phase.
	phaseTime = 14 * time.Second
	// slowPair is the time within which two slow failures lead to an avoidance, of slowHold.
	slowPair = 3 * time.Second
	slowHold = 1500 * time.Millisecond
	// unreachableHold is how long a server is avoided after a connection could not be made. It doubles with each further
	// failure, up to the longest one.
	unreachableHold    = time.Second
	longestUnreachable = 4 * time.Second
	// earlyHold is how long a server is avoided if it may be tried early. The floor of a service counts servers that have
	// not failed for two seconds as healthy, and while the service loses many requests they have to get some.
	earlyHold = 1500 * time.Millisecond
	// shedHold is how long a server on probation is left alone after it had no room.
	shedHold = time.Second
	// neededPasses is the number of trials in a row that have to succeed: a failing server passes one in five.
	neededPasses = 2
)

// Avoidance is how far a server is to be avoided, as a part of State.
type Avoidance struct {
	// Began is the first fast failure of the current phase.
	Began time.Time
	// Until is the end of the avoidance; zero if the server is not avoided. After it, the server is on probation until a
	// request succeeds.
	Until time.Time
	// LastSlow is the time of the last slow failure.
	LastSlow time.Time
	// Passed counts the trials in a row that succeeded since the avoidance ended.
	Passed int
	// Hinted says that a peer found the server to have recovered.
	Hinted bool
	// Unreached counts connections in a row that could not be made.
	Unreached int
}

// Standing says how a server is to be used after its latest failures.
type Standing int

// Standings of a server.
const (
	// Welcome means that the server is used like any other.
	Welcome Standing = iota
	// Probation means that the server failed, and gets one request at a time until one succeeds.
	Probation
	// Avoid means that the server failed so recently that it gets no request while others can serve.
	Avoid
)

// String returns the name of the standing for logs.
func (s Standing) String() string {
	switch s {
	case Probation:
		return "probation"
	case Avoid:
		return "avoided"
	default:
		return "welcome"
	}
}

// StandingOf returns the standing of a server. Early says that it may be tried soon after a failure, because the service
// loses many requests.
func StandingOf(s *State, early bool, now time.Time) Standing {
	switch {
	case s.Avoidance.Until.IsZero():
		return Welcome
	case !now.Before(s.Avoidance.Until):
		return Probation
	case early && now.Sub(s.LastFailure) >= earlyHold:
		return Probation
	default:
		return Avoid
	}
}

// avoidAfter extends the avoidance after a failure.
func avoidAfter(s *State, sign Sign, spread time.Duration, now time.Time) {
	a := &s.Avoidance
	a.Passed = 0
	a.Hinted = false
	switch sign {
	case SignFast, SignPeer:
		if now.Sub(a.Began) > phaseTime {
			a.Began = now
		}
		a.avoid(now.Add(fastRetry + spread))
		a.avoid(a.Began.Add(fastHold + spread))
	case SignUnreachable:
		const mostDoublings = 2
		a.avoid(now.Add(min(unreachableHold<<min(a.Unreached, mostDoublings), longestUnreachable)))
		a.Unreached++
	case SignError, SignStalled:
		if now.Sub(a.LastSlow) < slowPair {
			a.avoid(now.Add(slowHold))
		}
		a.LastSlow = now
	}
	if !a.Until.IsZero() && !now.Before(a.Until) {
		a.avoid(now.Add(slowHold)) // a failed trial of a server on probation
	}
}

func (a *Avoidance) avoid(until time.Time) {
	if until.After(a.Until) {
		a.Until = until
	}
}

// succeedAfter ends the avoidance after a success, unless the request was sent before the avoidance ended.
func succeedAfter(s *State, started, now time.Time) {
	a := &s.Avoidance
	a.Unreached = 0
	if a.Until.IsZero() || !started.After(s.LastFailure) {
		return
	}
	a.Passed++
	if a.Passed >= neededPasses || now.Sub(a.Began) > phaseTime {
		a.Until = time.Time{}
		return
	}
	a.Until = now // the next trial may follow at once
}

// shedAfter puts off the next trial of a server that had no room for the last one.
func shedAfter(s *State, now time.Time) {
	if !s.Avoidance.Until.IsZero() {
		s.Avoidance.avoid(now.Add(shedHold))
	}
}

// failedFast says that a failure came before the server can have done any work.
func failedFast(x Sample, b Baseline) bool {
	if x.Evidence != fleet.Failed {
		return false
	}
	if b.Latency == 0 {
		return x.Latency < defaultFast
	}
	return x.Latency*fastRatio < b.Latency
}

// TurnOf returns which of the nodes that share a server evenly may try it early. If all of them did, a failing server would
// lose a request of each. Clocks that differ cost a trial too many or too few, and nothing else.
func TurnOf(address string, nodes int, now time.Time) int {
	var offset uint64
	for n := range len(address) {
		offset = offset*31 + uint64(address[n])
	}
	turn := uint64(now.UnixNano() / int64(earlyHold))
	return int((offset + turn) % uint64(max(nodes, 1)))
}

// ObservePeerRecovery counts that a peer found the server to have recovered some time ago. One request of the node's own
// still has to succeed. It does not count if the server has failed since.
func ObservePeerRecovery(s *State, age time.Duration, now time.Time) {
	a := &s.Avoidance
	if a.Until.IsZero() || !s.LastFailure.Before(now.Add(-age)) {
		return
	}
	a.Hinted = true
	a.Passed = neededPasses - 1
	if now.Before(a.Until) {
		a.Until = now
	}
}

// Recovered says that the server has just come back by trials of this node alone, so that its peers do not know it yet.
func Recovered(before, after *Avoidance) bool {
	return !before.Until.IsZero() && after.Until.IsZero() && !before.Hinted
}

// ObservePeerFailure counts a fast failure that a peer saw some time ago.
func ObservePeerFailure(s *State, age time.Duration, b Baseline, t Settings, now time.Time) {
	if now.Add(-age).Before(s.Appeared) {
		return
	}
	fail(s, SignPeer, 1, b, t, now)
}
