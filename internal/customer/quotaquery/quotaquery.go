// Package quotaquery reads what customers have used of their limits.
package quotaquery

import (
	"cmp"
	"slices"
	"time"

	"egretline.example/egretline/internal/decide/quota"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Queries reads the Quotas table of one node.
type Queries struct {
	Tables *table.Tables
}

// Customer is the state of one customer's limit.
type Customer struct {
	Name   string
	Quota  fleet.Quota
	Counts quota.Counts
	// Level is the number of tokens that this host counts for the whole fleet, and Spendable the number of requests that
	// it would accept now.
	Level     float64
	Spendable int
}

// State is the state of all limits.
type State struct {
	// Limited is the number of customers with a limit, and Active the number of those that were active lately.
	Limited int
	Active  int
	// Spenders is the number of hosts that may accept requests, including this one, and Isolated is set while this host
	// hears none of the others.
	Spenders int
	Isolated bool
	// Decides reports whether this host accepts requests itself. Available is the fraction of each limit that the parts of hosts
	// out of touch leave to this host and those in touch with it.
	Decides   bool
	Available float64
	// Customers are the customers that were refused most, at most as many as were asked for.
	Customers []Customer
}

// State returns the state of all limits, with at most the given number of customers.
func (q *Queries) State(now time.Time, maxCustomers int) State {
	var s State
	q.Tables.Quotas.Read(guard.Held{}, func(_ guard.Held, t *table.Quotas) {
		s.Limited, s.Active = len(t.Limits), len(t.Buckets)
		s.Spenders, s.Isolated = t.Spenders.Count(), t.Isolated
		s.Decides, s.Available = t.MayDecide, t.Spenders.Available()
		for name, b := range t.Buckets {
			s.Customers = append(s.Customers, customer(now, name, *b, t))
		}
	})
	slices.SortFunc(s.Customers, func(a, b Customer) int {
		return cmp.Or(
			cmp.Compare(b.Counts.Refused, a.Counts.Refused), cmp.Compare(b.Counts.Taken, a.Counts.Taken),
			cmp.Compare(a.Name, b.Name),
		)
	})
	s.Customers = s.Customers[:min(len(s.Customers), maxCustomers)]
	return s
}

// customer returns the state of one customer. It settles a copy of the bucket.
func customer(now time.Time, name string, b quota.Bucket, t *table.Quotas) Customer {
	b.Settle(now)
	c := Customer{Name: name, Quota: b.Quota, Counts: b.Counts, Level: b.Level}
	if t.MayDecide {
		c.Spendable = max(0, int((b.Level+t.Tolerance.Allowance(b.Quota))/t.Spenders.Charge()))
	}
	return c
}
