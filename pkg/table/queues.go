package table

import (
	"egretline.example/egretline/internal/decide/split"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/retry"
)

// Queues is the waiting work by service, the use by tenants, and the number of requests that workers hold.
type Queues struct {
	Services map[string]*admission.Queue[*Ticket]
	// Tenants holds the tenants that used the node lately.
	Tenants map[TenantRank]*admission.Usage
	// InFlight is the number of requests that workers hold.
	InFlight int
	// Unfinished is the number of requests that were admitted and have no result yet.
	Unfinished int
	// Closing says that no more requests are admitted.
	Closing bool
	Counts  map[CountKey]*Counts
	// Splits is the account of each route whose requests several services share, by the route's name.
	Splits map[string]*split.State
}

// CountKey names the requests that are counted together.
type CountKey struct {
	Service string
	Rank    int
}

// Counts counts what became of requests since the node started.
type Counts struct {
	Admitted int64
	// Refused counts requests that were turned away on arrival.
	Refused map[admission.Reason]int64
	// Displaced counts waiting requests that made room for those of another tenant.
	Displaced int64
	// Late counts waiting requests that could not meet their deadline any more.
	Late int64
	// Abandoned counts waiting requests that their callers gave up, or whose deadline passed.
	Abandoned int64
	Attempts  int64
	Retries   int64
	// Ended counts failed attempts that were not retried, by reason.
	Ended    map[retry.Reason]int64
	Answered int64
	NotRun   int64
	Unknown  int64
}

// Budgets is the retry budget of each service.
type Budgets struct {
	// Terms are those of a new budget.
	Terms    retry.Terms
	Services map[string]*retry.Budget
}

func newQueues() Queues {
	return Queues{
		Services: map[string]*admission.Queue[*Ticket]{},
		Tenants:  map[TenantRank]*admission.Usage{},
		Counts:   map[CountKey]*Counts{},
		Splits:   map[string]*split.State{},
	}
}

// NewCounts returns counts of zero.
func NewCounts() *Counts {
	return &Counts{Refused: map[admission.Reason]int64{}, Ended: map[retry.Reason]int64{}}
}

// TenantRank is the key of a tenant's usage. The limits of a tenant hold for each rank by itself, so that a surge of a
// tenant's archives does not use up what its bookings need.
type TenantRank struct {
	Tenant string
	Rank   int
}
