// Package retry decides whether a request is attempted again after a failed attempt, and bounds retries by a budget.
package retry

import (
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// Default parameters of the retry budget of one service at one node. A deposit of a tenth of a retry for each first
// attempt limits the long-run amplification to 1.1. The cap limits the retries that a quiet period accumulates for a
// burst of failures.
const (
	DepositPerFirstAttempt = 0.1
	WithdrawalPerRetry     = 1.0
	DefaultMaxBalance      = 10.0
)

// MaxAttempts is the number of attempts of one request after which no further one follows, whatever the failures were.
// It bounds failures that the budget does not count, such as refused connections.
const MaxAttempts = 32

// BudgetParams are the parameters of a retry budget.
type BudgetParams struct {
	// Deposit is the amount that each first attempt adds to the balance, as a fraction of a retry.
	Deposit float64
	// MaxBalance is the upper bound of the balance, and InitialBalance the balance of a new budget.
	MaxBalance     float64
	InitialBalance float64
	// UnsentIsFree specifies that a retry is free if no byte of the failed attempt was sent. It is meant for a budget that
	// limits the requests that arrive at backend servers.
	UnsentIsFree bool
	// Patient specifies that requests which servers turned away wait at the host while the budget is spent, and that each
	// request earns its deposit when it arrives rather than after its first attempt.
	Patient bool
}

// DefaultBudgetParams returns the parameters of a node that does not share its budget with other nodes.
func DefaultBudgetParams() BudgetParams {
	return BudgetParams{Deposit: DepositPerFirstAttempt, MaxBalance: DefaultMaxBalance, InitialBalance: DefaultMaxBalance}
}

// Budget limits the retries of one service at one node. Balance is the number of retries that it allows at present.
type Budget struct {
	Balance float64
	Params  BudgetParams
}

// NewBudget returns a full budget with the default parameters.
func NewBudget() Budget {
	return NewBudgetWithParams(DefaultBudgetParams())
}

// NewBudgetWithParams returns a new budget with the given parameters.
func NewBudgetWithParams(p BudgetParams) Budget {
	return Budget{Balance: min(p.InitialBalance, p.MaxBalance), Params: p}
}

// Deposit adds the deposit of one first attempt to the budget.
func Deposit(b *Budget) {
	b.Balance = min(b.Balance+b.Params.Deposit, b.Params.MaxBalance)
}

// Attempt describes a finished attempt.
type Attempt struct {
	Evidence   fleet.Evidence
	Idempotent bool
	// Sent reports whether bytes of the request may have reached the backend server.
	Sent bool
	// MayHaveRun reports whether an earlier attempt of the same request may have run.
	MayHaveRun bool
	// BodyLost reports whether the request body is no longer available for another attempt.
	BodyLost bool
	// Attempts is the number of attempts, including this one.
	Attempts int
	// TimeLeft is the time until the deadline, which applies to all attempts together.
	TimeLeft time.Duration
	// PossibleRuns is the number of attempts, including this one, that may have run the request.
	PossibleRuns int
	// MaxPossibleRuns bounds the number of attempts that may have run the request; zero means that only the budget
	// limits retries.
	MaxPossibleRuns int
}

// Reason is the reason why a request is or is not attempted again.
type Reason string

// Reasons of a decision.
const (
	// Allowed means that the request is attempted again.
	Allowed Reason = "retry-allowed"
	// Complete means that the attempt got a final response.
	Complete Reason = "complete"
	// CallerGone means that the caller canceled the request.
	CallerGone Reason = "caller-gone"
	// PossiblyRun means that the request is not idempotent and may have run.
	PossiblyRun Reason = "possibly-run"
	// BodyLost means that the request body was too large to be kept for another attempt.
	BodyLost Reason = "body-lost"
	// DeadlinePassed means that no time is left until the deadline.
	DeadlinePassed Reason = "deadline-passed"
	// AttemptsSpent means that the request reached MaxAttempts.
	AttemptsSpent Reason = "attempts-spent"
	// RunsSpent means that the number of attempts that may have run the request reached the limit of its route.
	RunsSpent Reason = "runs-spent"
	// BudgetSpent means that the balance of the service's retry budget is too low.
	BudgetSpent Reason = "retry-budget-spent"
	// Waits means that the request waits at the host until the budget allows another attempt.
	Waits Reason = "waits-for-retry-budget"
)

// Decide returns Allowed if the request is attempted again, and otherwise the reason why not. It charges the budget for
// an allowed retry, unless the retry is free.
func Decide(a Attempt, b *Budget) Reason {
	switch reason := DecideUnpaid(a); {
	case reason != Allowed:
		return reason
	case b.Params.UnsentIsFree && !a.Sent || TryWithdraw(b):
		return Allowed
	default:
		return BudgetSpent
	}
}

// DecideUnpaid is Decide without the budget.
func DecideUnpaid(a Attempt) Reason {
	switch {
	case a.Evidence == fleet.Succeeded:
		return Complete
	case a.Evidence == fleet.Canceled:
		return CallerGone
	case a.TimeLeft <= 0:
		return DeadlinePassed
	case !a.Idempotent && (a.MayHaveRun || !ProvenNotRun(a)):
		return PossiblyRun
	case a.BodyLost:
		return BodyLost
	case a.MaxPossibleRuns > 0 && a.PossibleRuns >= a.MaxPossibleRuns:
		return RunsSpent
	case a.Attempts >= MaxAttempts:
		return AttemptsSpent
	default:
		return Allowed
	}
}

// DecideRepeated decides whether a request that another node may have sent before is sent by this node, and charges the
// budget for it.
func DecideRepeated(idempotent bool, b *Budget) Reason {
	switch {
	case !idempotent:
		return PossiblyRun
	case TryWithdraw(b):
		return Allowed
	default:
		return BudgetSpent
	}
}

// TryWithdraw charges the budget for one retry and reports whether the balance was sufficient.
func TryWithdraw(b *Budget) bool {
	if b.Balance < WithdrawalPerRetry {
		return false
	}
	b.Balance -= WithdrawalPerRetry
	return true
}

// ProvenNotRun reports whether the attempt certainly did not run the request: no byte was sent, or the backend server
// refused the request explicitly.
func ProvenNotRun(a Attempt) bool {
	return !a.Sent || a.Evidence == fleet.Shed || a.Evidence == fleet.Draining
}

// Outcome returns the outcome that the caller gets if the attempt is the last one and got no response.
func Outcome(a Attempt) fleet.Outcome {
	if a.MayHaveRun || !ProvenNotRun(a) {
		return fleet.Unknown
	}
	return fleet.NotRun
}
