package detect

import "time"

const (
	firstHoldDown = 5 * time.Second
	maxHoldDown   = 5 * time.Minute
	// quietPeriod is the time without ejection after which the hold-down halves.
	quietPeriod = time.Minute
	// NeededTrials is the number of successful trial requests before readmission.
	NeededTrials = 3
)

// Scope says which members take a server out of use.
type Scope string

// Scopes of an ejection.
const (
	// InUse means that the server is not ejected.
	InUse Scope = ""
	// Avoided means that the server is suspected from one availability zone only, and this member is in it.
	Avoided Scope = "avoided"
	// Ejected means that the server is suspected from several availability zones.
	Ejected Scope = "ejected"
)

// Ejection is the history of ejections of one server at one member.
type Ejection struct {
	Scope Scope
	Since time.Time
	// HoldDown is the duration of the current or last hold-down, and Until its end.
	HoldDown time.Duration
	Until    time.Time
	// Trial is the ticket ID of the trial request in flight; empty if there is none.
	Trial string
	// Successes is the number of successful trial requests since the hold-down.
	Successes int
	// Readmitted is when the server last returned to use.
	Readmitted time.Time
	// ForFloor says that the server returned only because the floor needed it.
	ForFloor bool
}

// Out says whether the server is out of use at this member.
func Out(s *State) bool {
	return s.Ejection.Scope != InUse
}

// Eject takes the server out of use for a hold-down. After a readmission for the floor only, the hold-down is repeated
// and does not double, because the server was not tried in between.
func Eject(s *State, scope Scope, now time.Time) {
	e := &s.Ejection
	e.Scope = scope
	e.Since = now
	if !e.ForFloor {
		e.HoldDown = nextHoldDown(*e, now)
	}
	e.ForFloor = false
	hold(e, now)
}

func hold(e *Ejection, now time.Time) {
	e.Until = now.Add(e.HoldDown)
	e.Trial = ""
	e.Successes = 0
}

// nextHoldDown doubles the last hold-down, after halving it for each quiet period since the readmission.
func nextHoldDown(e Ejection, now time.Time) time.Duration {
	last := e.HoldDown
	for quiet := now.Sub(e.Readmitted); quiet >= quietPeriod && last > 0; quiet -= quietPeriod {
		last /= 2
	}
	return min(max(2*last, firstHoldDown), maxHoldDown)
}

// Readmit returns the server to use. For the floor, the sum is kept, so that the server is ejected again as soon as
// others can take its place.
func Readmit(s *State, forFloor bool, now time.Time) {
	e := &s.Ejection
	e.Scope = InUse
	e.Trial = ""
	e.Readmitted = now
	e.ForFloor = forFloor
	if !forFloor {
		s.Sum = 0
		s.LastSuccess = now
	}
}

// TrialDue says whether an idempotent request may go to the ejected server as a trial. One trial runs at a time.
func TrialDue(s *State, now time.Time) bool {
	return Out(s) && s.Ejection.Trial == "" && !now.Before(s.Ejection.Until)
}

// StartTrial marks the request as the trial in flight.
func StartTrial(s *State, ticket string) {
	s.Ejection.Trial = ticket
}

func observeTrial(s *State, v verdict, now time.Time) {
	e := &s.Ejection
	e.Trial = ""
	switch v {
	case good:
		e.Successes++
		if e.Successes >= NeededTrials {
			Readmit(s, false, now)
		}
	case bad:
		e.HoldDown = min(2*e.HoldDown, maxHoldDown)
		hold(e, now)
	}
}
