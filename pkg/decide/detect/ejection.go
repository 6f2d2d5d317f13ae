package detect

import "time"

const (
	minHoldDown = 5 * time.Second
	maxHoldDown = 5 * time.Minute
	// holdDownHalvingInterval is the time without an ejection after which the hold-down halves.
	holdDownHalvingInterval = time.Minute
	// TrialsToReadmit is the number of successful trial requests before readmission.
	TrialsToReadmit = 3
)

// EjectionScope is the set of members that take a server out of use.
type EjectionScope string

// Ejection scopes.
const (
	// InUse means that the server is not ejected.
	InUse EjectionScope = ""
	// EjectedInZone means that this member's own evidence reaches the threshold, but that of several availability zones does
	// not.
	EjectedInZone EjectionScope = "avoided"
	// Ejected means that several availability zones suspect the server.
	Ejected EjectionScope = "ejected"
)

// Ejection is the current or last ejection of one server at one member.
type Ejection struct {
	Scope     EjectionScope
	EjectedAt time.Time
	// HoldDown is the duration of the current or last hold-down; Until is its end.
	HoldDown time.Duration
	Until    time.Time
	// TrialTicket is the ticket ID of the trial request in flight; empty if there is none.
	TrialTicket string
	// Successes is the number of successful trial requests since the hold-down ended.
	Successes int
	// ReadmittedAt is the time of the last readmission.
	ReadmittedAt time.Time
	// ForFloor is set when the server was readmitted only because the pool was below its floor.
	ForFloor bool
}

// OutOfUse reports whether the server is out of use at this member.
func OutOfUse(s *State) bool {
	return s.Ejection.Scope != InUse
}

// Eject takes the server out of use for a hold-down. After a readmission for the floor the hold-down does not double,
// because the server passed no trial requests in between.
func Eject(s *State, scope EjectionScope, now time.Time) {
	e := &s.Ejection
	e.Scope = scope
	e.EjectedAt = now
	if !e.ForFloor {
		e.HoldDown = nextHoldDown(*e, now)
	}
	e.ForFloor = false
	startHoldDown(e, now)
}

func startHoldDown(e *Ejection, now time.Time) {
	e.Until = now.Add(e.HoldDown)
	e.TrialTicket = ""
	e.Successes = 0
}

// nextHoldDown doubles the last hold-down after halving it for each interval without ejection since the readmission.
func nextHoldDown(e Ejection, now time.Time) time.Duration {
	last := e.HoldDown
	for inUse := now.Sub(e.ReadmittedAt); inUse >= holdDownHalvingInterval && last > 0; inUse -= holdDownHalvingInterval {
		last /= 2
	}
	return min(max(2*last, minHoldDown), maxHoldDown)
}

// Readmit returns the server to use. A readmission for the floor keeps the CUSUM, and the server is ejected again as soon
// as the floor holds without it.
func Readmit(s *State, forFloor bool, now time.Time) {
	e := &s.Ejection
	e.Scope = InUse
	e.TrialTicket = ""
	e.ReadmittedAt = now
	e.ForFloor = forFloor
	if !forFloor {
		s.Sum = 0
		s.LastSuccess = now
	}
}

// TrialDue reports whether an idempotent request may be sent to the ejected server as a trial request. One trial request
// runs at a time.
func TrialDue(s *State, now time.Time) bool {
	return OutOfUse(s) && s.Ejection.TrialTicket == "" && !now.Before(s.Ejection.Until)
}

// StartTrial marks the request with the ticket ID as the trial request in flight.
func StartTrial(s *State, ticket string) {
	s.Ejection.TrialTicket = ticket
}

func recordTrial(s *State, v verdict, now time.Time) {
	e := &s.Ejection
	e.TrialTicket = ""
	switch v {
	case verdictSuccess:
		e.Successes++
		if e.Successes >= TrialsToReadmit {
			Readmit(s, false, now)
		}
	case verdictFailure:
		e.HoldDown = min(2*e.HoldDown, maxHoldDown)
		startHoldDown(e, now)
	}
}
