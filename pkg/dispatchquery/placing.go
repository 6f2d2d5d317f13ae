package dispatchquery

import (
	"cmp"
	"slices"

	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// ServicePlacing describes how this node fills the servers of one service, and what waits for its retry budget.
type ServicePlacing struct {
	Service string
	// Waiting is the number of requests that servers turned away and that wait for the budget.
	Waiting int
	// RetryBalance is the number of retries in the budget.
	RetryBalance float64
	// TurnedAway is the fraction of the latest attempts that servers turned away.
	TurnedAway float64
	// ExtraShare is the part of an even share of the servers that the node uses beyond it.
	ExtraShare float64
	// Random reports whether servers turn requests away whatever their load.
	Random bool
}

// Placing returns the state of all services that got requests, sorted by service.
func (q *Queries) Placing() []ServicePlacing {
	var list []ServicePlacing
	q.Tables.Backends.Read(guard.Held{}, func(h guard.Held, b *table.Backends) {
		q.Tables.Budgets.Read(h, func(_ guard.Held, g *table.Budgets) {
			for name, budget := range g.Services {
				s := ServicePlacing{Service: name, RetryBalance: budget.Balance}
				if p, known := g.Patience[name]; known {
					s.Waiting, s.TurnedAway = len(p.Items), p.Turned
				}
				if p, known := b.Places[name]; known {
					s.ExtraShare, s.Random = p.Borrowing.Extra, p.Acceptance.Random()
				}
				list = append(list, s)
			}
		})
	})
	slices.SortFunc(list, func(a, b ServicePlacing) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
