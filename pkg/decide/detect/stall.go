package detect

import (
	"math"
	"slices"
	"time"
)

// Parameters of the detection of stalling servers. The load that it answers: a server that accepts requests, passes health
// checks and answers a part of its requests not at all, before requests whose timeout is only a few times their usual
// latency. The stall age of a pool (StallAge) lies beyond such timeouts.
const (
	// overdueDeviations is the number of mean deviations above the mean latency of a route from which a request is overdue.
	// Some 2% of the requests of healthy servers take longer.
	overdueDeviations = 4
	// minOverdueSamples is the number of responses after which the latency of a route is known well enough.
	minOverdueSamples = 20
	// stallingRate is the least fraction of overdue requests of a stalling server.
	stallingRate = 0.5
	// stallingEvidence is the log-likelihood ratio at which the breaker opens. Two overdue requests in a row reach it
	// while fewer than 5% of the requests of most servers are overdue.
	stallingEvidence = 4.2
	// suspectEvidence is the evidence from which other servers are preferred: that of one overdue request for some seconds.
	suspectEvidence = 1.5
	// stallingTimeConstant is the time constant with which the evidence decays.
	stallingTimeConstant = 5 * time.Second
	// overdueRateTimeConstant is the time constant of the overdue rate of a server, and minOverdueRate the least rate that
	// is assumed for servers that work.
	overdueRateTimeConstant = 10 * time.Second
	minOverdueRate          = 0.03
	// maxServedFraction is the fraction of overdue requests that are answered after all, up to which being overdue is evidence
	// against a server; minOverdueEnded is the number of ended requests that it takes to tell. In an overload, or with
	// servers that are slow, most overdue requests are answered.
	maxServedFraction = 0.5
	minOverdueEnded   = 8
	// overdueEndedTimeConstant is the time constant of these counts.
	overdueEndedTimeConstant = 20 * time.Second
)

// Latencies is the mean and the mean deviation of the latency of a route's responses.
type Latencies struct {
	Mean, Deviation time.Duration
	Samples         int
}

// Observe adds the latency of a response.
func (l *Latencies) Observe(latency time.Duration) {
	const meanGain, deviationGain = 1.0 / 16, 1.0 / 16
	if l.Samples == 0 {
		l.Mean, l.Deviation = latency, latency/2
	}
	l.Samples++
	difference := latency - l.Mean
	l.Mean += time.Duration(meanGain * float64(difference))
	l.Deviation += time.Duration(deviationGain * float64(difference.Abs()-l.Deviation))
}

// OverdueAge returns the age from which a request of the route is overdue, or zero if that is not known.
func (l *Latencies) OverdueAge() time.Duration {
	if l.Samples < minOverdueSamples {
		return 0
	}
	return max(l.Mean+overdueDeviations*l.Deviation, minStallAge)
}

// OverdueResults counts how overdue requests of a pool ended, as decayed counts as of At.
type OverdueResults struct {
	Served, Unserved float64
	At               time.Time
}

// Observe records the end of an overdue request.
func (r *OverdueResults) Observe(served bool, now time.Time) {
	f := math.Exp(-max(0, now.Sub(r.At).Seconds()) / overdueEndedTimeConstant.Seconds())
	r.Served, r.Unserved, r.At = r.Served*f, r.Unserved*f, now
	if served {
		r.Served++
	} else {
		r.Unserved++
	}
}

// ShowStalling reports whether overdue requests of the pool are mostly lost, so that each of them is evidence.
func (r *OverdueResults) ShowStalling() bool {
	ended := r.Served + r.Unserved
	return ended >= minOverdueEnded && r.Served <= maxServedFraction*ended
}

// Stalling is the evidence that a server stalls.
type Stalling struct {
	// Evidence is the log-likelihood ratio of stalling against working, as of At. It is never below zero.
	Evidence float64
	// Requests and Overdue are decayed counts of this node's requests with a result, as of At.
	Requests, Overdue float64
	At                time.Time
}

// SuspectedOfStalling reports whether a request to the server was overdue a short time ago.
func SuspectedOfStalling(s *State, now time.Time) bool {
	if s.Stalling.Evidence < suspectEvidence {
		return false
	}
	evidence := s.Stalling
	evidence.decay(now)
	return evidence.Evidence >= suspectEvidence
}

func (s *Stalling) decay(now time.Time) {
	elapsed := max(0, now.Sub(s.At).Seconds())
	s.Evidence *= math.Exp(-elapsed / stallingTimeConstant.Seconds())
	f := math.Exp(-elapsed / overdueRateTimeConstant.Seconds())
	s.Requests, s.Overdue, s.At = s.Requests*f, s.Overdue*f, now
}

// UsualOverdueRate returns the fraction of overdue requests of servers that work: the median of the pool, which a stalling
// minority does not move, and which is high in a pool that is slow as a whole.
func UsualOverdueRate(pool []*State) float64 {
	rates := make([]float64, 0, len(pool))
	for _, s := range pool {
		if s.Stalling.Requests > 0 {
			rates = append(rates, s.Stalling.Overdue/max(s.Stalling.Requests, 1))
		}
	}
	if len(rates) == 0 {
		return minOverdueRate
	}
	slices.Sort(rates)
	return max(minOverdueRate, rates[len(rates)/2])
}

// ObserveInTime records a response of the server that was not overdue. The usual rate is that of UsualOverdueRate.
func ObserveInTime(s *State, usualRate float64, now time.Time) {
	s.Stalling.decay(now)
	s.Stalling.Requests++
	s.Stalling.Evidence = max(0, s.Stalling.Evidence+math.Log((1-stallingRate)/max(1-usualRate, 1-stallingRate)))
}

// ObserveOverdue records a request of this node that is overdue at the server. If overdue requests are evidence, it opens the
// breaker of a server that stalls.
func ObserveOverdue(s *State, usualRate float64, evidence bool, t Settings, now time.Time) {
	s.Stalling.decay(now)
	if evidence {
		recordOverdue(s, usualRate, t, now)
	}
	s.Stalling.Requests++
	s.Stalling.Overdue++
}

// ObservePeerOverdue records a report of the given age about a request of a peer that was overdue at the server.
func ObservePeerOverdue(s *State, usualRate float64, age time.Duration, t Settings, now time.Time) {
	if age < stallingTimeConstant && !now.Add(-age).Before(s.JoinedAt) {
		recordOverdue(s, usualRate, t, now)
	}
}

func recordOverdue(s *State, usualRate float64, t Settings, now time.Time) {
	s.Stalling.decay(now)
	s.Stalling.Evidence = min(s.Stalling.Evidence+max(0, math.Log(stallingRate/max(usualRate, minOverdueRate))), stallingEvidence)
	trialFailed := !s.Breaker.OpenUntil.IsZero() && !now.Before(s.Breaker.OpenUntil)
	if s.Stalling.Evidence < stallingEvidence && !trialFailed {
		return
	}
	openAfterFailure(s, FailureOverdue, t.OpenJitter, now)
	s.LastFailure, s.LastFailureKind = now, FailureOverdue
}
