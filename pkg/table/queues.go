package table

import (
	"time"

	"egretline.example/egretline/internal/decide/split"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/retry"
)

// Queues holds the waiting requests of each service, the usage of tenants, and the number of requests in flight.
type Queues struct {
	Services map[string]*admission.Queue[*Ticket]
	// Tenants holds the usage of tenants that sent requests recently.
	Tenants map[TenantRank]*admission.TenantUsage
	// InFlight is the number of requests that workers are processing.
	InFlight int
	// Unfinished is the number of requests that were admitted and have no result yet.
	Unfinished int
	// Closing reports whether admission has stopped.
	Closing bool
	// StopTime is the value of admission.Queue.StopTime for all queues.
	StopTime time.Time
	Counts   map[CountKey]*Counts
	// Standing holds the services that were reported to have a standing queue, and since when.
	Standing map[string]time.Time
	// Splits holds the state of the weighted split of each route with several services, by route name.
	Splits map[string]*split.State
}

// CountKey identifies the requests that are counted together.
type CountKey struct {
	Service string
	Rank    int
}

// Counts holds the request counters of one service and rank since the node started.
type Counts struct {
	Admitted int64
	// Refused counts the requests that were refused before an attempt could be sent, by reason.
	Refused map[admission.Reason]int64
	// Displaced counts the waiting requests that were removed in favor of another tenant's requests.
	Displaced int64
	// Late counts the waiting requests that were dropped because they could no longer meet their deadline.
	Late int64
	// Abandoned counts the waiting requests that were canceled by their callers or whose deadline passed.
	Abandoned int64
	Attempts  int64
	Retries   int64
	// Waited counts the attempts after which the request waited for the retry budget.
	Waited int64
	// NotRetried counts the failed attempts that were not retried, by reason.
	NotRetried map[retry.Reason]int64
	Answered   int64
	NotRun     int64
	Unknown    int64
}

// Budgets holds the retry budget of each service.
type Budgets struct {
	// Params are the parameters of a new budget.
	Params   retry.BudgetParams
	Services map[string]*retry.Budget
	// Patience holds the requests of each service that wait for the budget.
	Patience map[string]*retry.Patience[*Ticket]
}

func newBudgets() Budgets {
	return Budgets{
		Params:   retry.DefaultBudgetParams(),
		Services: map[string]*retry.Budget{},
		Patience: map[string]*retry.Patience[*Ticket]{},
	}
}

func newQueues() Queues {
	return Queues{
		Services: map[string]*admission.Queue[*Ticket]{},
		Tenants:  map[TenantRank]*admission.TenantUsage{},
		Counts:   map[CountKey]*Counts{},
		Standing: map[string]time.Time{},
		Splits:   map[string]*split.State{},
	}
}

// NewCounts returns counters at zero.
func NewCounts() *Counts {
	return &Counts{Refused: map[admission.Reason]int64{}, NotRetried: map[retry.Reason]int64{}}
}

// TenantRank identifies the usage of one tenant in one rank. Tenant limits apply to each rank separately, so a surge of
// a tenant's archive requests does not use up the capacity that its bookings need.
type TenantRank struct {
	Tenant string
	Rank   int
}
