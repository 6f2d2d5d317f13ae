package trace

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// sweepInterval is the time between two sweeps of a node.
const sweepInterval = 100 * time.Millisecond

// replayTailDuration is how long the replay continues after the last event. Requests in flight then reach the age at
// which detection takes them for stalled.
const replayTailDuration = 2 * time.Second

// Outcome is the expected result of a replay.
type Outcome struct {
	// Expected lists the changes that must happen. Servers that it doesn't name must not change.
	Expected []Expectation
}

// Expectation is one change and the interval in which it must happen, counted from the first event of the trace.
type Expectation struct {
	Service string
	Address string
	Change  Change
	From    time.Duration
	To      time.Duration
}

// MissingError reports an expected change that didn't happen in its interval.
type MissingError struct {
	Expectation
}

func (e MissingError) Error() string {
	return fmt.Sprintf("backend server %s of service %s was not %s between %s and %s",
		e.Address, e.Service, e.Change, e.From, e.To)
}

// UnexpectedError reports a change of a server that the outcome doesn't name.
type UnexpectedError struct {
	Transition
	// After is the time from the first event of the trace to the change.
	After time.Duration
}

func (e UnexpectedError) Error() string {
	return fmt.Sprintf("backend server %s of service %s was %s after %s, but the expected outcome does not name it",
		e.Address, e.Service, e.Change, e.After)
}

// Replay applies the events to the decisions of one member and returns the changes in order of time.
func Replay(events []Event) []Transition {
	if len(events) == 0 {
		return nil
	}
	r := NewReplayer()
	next := events[0].At
	for _, e := range events {
		for ; next.Before(e.At); next = next.Add(sweepInterval) {
			r.Sweep(next)
		}
		r.Apply(e)
	}
	for end := next.Add(replayTailDuration); next.Before(end); next = next.Add(sweepInterval) {
		r.Sweep(next)
	}
	slices.SortFunc(r.Transitions, func(a, b Transition) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})
	return r.Transitions
}

// Compare returns a MissingError or UnexpectedError for each difference between the changes and the outcome.
func Compare(o Outcome, start time.Time, changes []Transition) []error {
	var differences []error
	named := map[string]bool{}
	for _, x := range o.Expected {
		named[x.Service+" "+x.Address] = true
		if !slices.ContainsFunc(changes, func(t Transition) bool { return matches(x, start, t) }) {
			differences = append(differences, MissingError{Expectation: x})
		}
	}
	for _, t := range changes {
		if !named[t.Service+" "+t.Address] {
			differences = append(differences, UnexpectedError{Transition: t, After: t.At.Sub(start)})
		}
	}
	return differences
}

func matches(x Expectation, start time.Time, t Transition) bool {
	after := t.At.Sub(start)
	return t.Service == x.Service && t.Address == x.Address && t.Change == x.Change && x.From <= after && after <= x.To
}
