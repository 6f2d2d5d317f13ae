// Package retry decides what becomes of a request after a failed attempt.
package retry

import (
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// Terms of the retry budget of a service at one node. A tenth of a retry for each first attempt holds the long-run
// amplification at 1.1; the cap bounds what a quiet period can save up for a burst of failures.
const (
	EarnPerFirstAttempt = 0.1
	CostPerRetry        = 1.0
	BudgetCap           = 10.0
)

// Terms are the parameters of a retry budget.
type Terms struct {
	// Earn is the part of a retry that a first attempt earns.
	Earn float64
	// Cap is the highest balance, and Start the first one.
	Cap   float64
	Start float64
	// UnsentFree says that a retry is free if no byte of the attempt was sent. It suits a budget that bounds arrivals at
	// backend servers.
	UnsentFree bool
}

// DefaultTerms returns the terms of a node that shares the budget with nobody.
func DefaultTerms() Terms {
	return Terms{Earn: EarnPerFirstAttempt, Cap: BudgetCap, Start: BudgetCap}
}

// Budget bounds the retries of one service at one node.
type Budget struct {
	Balance float64
	Terms   Terms
}

// NewBudget returns a full budget with the default terms.
func NewBudget() Budget {
	return NewBudgetOf(DefaultTerms())
}

// NewBudgetOf returns a new budget with the terms.
func NewBudgetOf(t Terms) Budget {
	return Budget{Balance: min(t.Start, t.Cap), Terms: t}
}

// Earn adds the part of a retry that a first attempt earns.
func Earn(b *Budget) {
	b.Balance = min(b.Balance+b.Terms.Earn, b.Terms.Cap)
}

// Attempt describes a finished attempt.
type Attempt struct {
	Evidence   fleet.Evidence
	Idempotent bool
	// Sent says that bytes of the request may have reached the backend server.
	Sent bool
	// MaybeRun says that an earlier attempt of the same request may have run.
	MaybeRun bool
	// BodyLost says that the request body cannot be sent again.
	BodyLost bool
	// Left is the time until the deadline, which covers all attempts.
	Left time.Duration
	// Runs is the number of attempts, this one included, that may have run the request.
	Runs int
	// MaxRuns bounds Runs; zero means that only the budget does.
	MaxRuns int
}

// Reason says why a request is or is not attempted again.
type Reason string

// Reasons of a decision.
const (
	// Allowed means that the request is attempted again.
	Allowed Reason = "retry-allowed"
	// Complete means that the attempt brought a response that stands.
	Complete Reason = "complete"
	// CallerGone means that the caller gave up.
	CallerGone Reason = "caller-gone"
	// PossiblyRun means that a request which is not idempotent may have run.
	PossiblyRun Reason = "possibly-run"
	// BodyLost means that the request body was too large to keep.
	BodyLost Reason = "body-lost"
	// DeadlinePassed means that no time is left.
	DeadlinePassed Reason = "deadline-passed"
	// RunsSpent means that as many backend servers may have run the request as its route allows.
	RunsSpent Reason = "runs-spent"
	// BudgetSpent means that the service has no retries left.
	BudgetSpent Reason = "retry-budget-spent"
)

// Decide says whether the request is attempted again, and spends one retry of the budget if it is.
func Decide(a Attempt, b *Budget) Reason {
	switch {
	case a.Evidence == fleet.Succeeded:
		return Complete
	case a.Evidence == fleet.Canceled:
		return CallerGone
	case a.Left <= 0:
		return DeadlinePassed
	case !a.Idempotent && (a.MaybeRun || !Refused(a)):
		return PossiblyRun
	case a.BodyLost:
		return BodyLost
	case a.MaxRuns > 0 && a.Runs >= a.MaxRuns:
		return RunsSpent
	case b.Terms.UnsentFree && !a.Sent || Pay(b):
		return Allowed
	default:
		return BudgetSpent
	}
}

// Pay charges the budget for one retry if it has enough.
func Pay(b *Budget) bool {
	if b.Balance < CostPerRetry {
		return false
	}
	b.Balance -= CostPerRetry
	return true
}

// Refused says that the attempt was proven not to have run the request: no byte was sent, or the backend server refused
// it explicitly.
func Refused(a Attempt) bool {
	return !a.Sent || a.Evidence == fleet.Shed || a.Evidence == fleet.Draining
}

// Outcome returns what the caller is told if the attempt is the last one and gave no response.
func Outcome(a Attempt) fleet.Outcome {
	if a.MaybeRun || !Refused(a) {
		return fleet.Unknown
	}
	return fleet.NotRun
}
