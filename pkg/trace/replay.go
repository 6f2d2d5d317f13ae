package trace

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// sweepPeriod is the period of the node's sweeps.
const sweepPeriod = 100 * time.Millisecond

// tail is how long the replay goes on after the last event, so that requests in flight reach their stall age.
const tail = 2 * time.Second

// Outcome is what a trace is stated to lead to.
type Outcome struct {
	// Expected lists the changes that happen. Servers that it does not name do not change.
	Expected []Expectation
}

// Expectation is one change and when it happens, counted from the first event of the trace.
type Expectation struct {
	Service string
	Address string
	Change  Change
	From    time.Duration
	To      time.Duration
}

// MissingError reports an expected change that did not happen in its time.
type MissingError struct {
	Expectation
}

func (e MissingError) Error() string {
	return fmt.Sprintf("backend server %s of service %s was not %s between %s and %s", e.Address, e.Service, e.Change, e.From, e.To)
}

// UnexpectedError reports a change of a server that the outcome does not name.
type UnexpectedError struct {
	Transition
	After time.Duration
}

func (e UnexpectedError) Error() string {
	return fmt.Sprintf("backend server %s of service %s was %s after %s, which is not stated", e.Address, e.Service, e.Change, e.After)
}

// Replay runs the events through the decisions of one member and returns the changes, in order of time.
func Replay(events []Event) []Transition {
	if len(events) == 0 {
		return nil
	}
	p := NewPlayer()
	next := events[0].At
	for _, e := range events {
		for ; next.Before(e.At); next = next.Add(sweepPeriod) {
			p.Sweep(next)
		}
		p.Apply(e)
	}
	for end := next.Add(tail); next.Before(end); next = next.Add(sweepPeriod) {
		p.Sweep(next)
	}
	slices.SortFunc(p.Transitions, func(a, b Transition) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})
	return p.Transitions
}

// Compare returns a MissingError or UnexpectedError for each difference between the changes and the outcome.
func Compare(o Outcome, start time.Time, changes []Transition) []error {
	var differences []error
	named := map[string]bool{}
	for _, x := range o.Expected {
		named[x.Service+" "+x.Address] = true
		if !slices.ContainsFunc(changes, func(t Transition) bool { return meets(x, start, t) }) {
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

func meets(x Expectation, start time.Time, t Transition) bool {
	after := t.At.Sub(start)
	return t.Service == x.Service && t.Address == x.Address && t.Change == x.Change && x.From <= after && after <= x.To
}
