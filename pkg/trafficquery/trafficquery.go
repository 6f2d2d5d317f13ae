// Package trafficquery reads the Traffic table and returns copies.
package trafficquery

import (
	"cmp"
	"slices"
	"time"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Queries reads the Traffic table.
type Queries struct {
	Traffic *guard.Guard[table.Traffic]
}

// Outcomes counts requests by outcome.
type Outcomes struct {
	Answered int64
	NotRun   int64
	Unknown  int64
}

// Class holds the request counts and latencies of one rank and service.
type Class struct {
	Service  string
	Rank     string
	Outcomes Outcomes
	// P50, P99 and Max are latencies of answered requests, weighted towards the last minutes.
	P50 time.Duration
	P99 time.Duration
	Max time.Duration
}

// Tenant holds the request counts and latencies of one tenant since the node started.
type Tenant struct {
	Name     string
	Outcomes Outcomes
	// P50 and P99 are upper bounds: up to 16 s, the latency is at most the bound and more than half of it.
	P50 time.Duration
	P99 time.Duration
}

// Snapshot is a copy of the Traffic table at one time.
type Snapshot struct {
	Classes []Class
	// Tenants lists the tenants with the most requests, in descending order.
	Tenants []Tenant
	// TenantCount is the number of tenants in the table.
	TenantCount int
	Overflow    int64
}

// Snapshot returns all classes and up to limit tenants.
func (q *Queries) Snapshot(limit int) Snapshot {
	var s Snapshot
	q.Traffic.Read(guard.Held{}, func(_ guard.Held, t *table.Traffic) {
		s.TenantCount = len(t.Tenants)
		s.Overflow = t.Overflow
		for key, c := range t.Classes {
			s.Classes = append(s.Classes, class(key, c))
		}
		for name, n := range t.Tenants {
			s.Tenants = append(s.Tenants, tenant(name, n))
		}
	})
	slices.SortFunc(s.Classes, func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	slices.SortFunc(s.Tenants, func(a, b Tenant) int {
		return cmp.Or(cmp.Compare(totalRequests(b.Outcomes), totalRequests(a.Outcomes)), cmp.Compare(a.Name, b.Name))
	})
	s.Tenants = slices.Clone(s.Tenants[:min(limit, len(s.Tenants))])
	return s
}

// Tenant returns the counts of one tenant, or false if the tenant has sent no request to this node.
func (q *Queries) Tenant(name string) (Tenant, bool) {
	var found Tenant
	ok := false
	q.Traffic.Read(guard.Held{}, func(_ guard.Held, t *table.Traffic) {
		n := t.Tenants[name]
		ok = n != nil
		if ok {
			found = tenant(name, n)
		}
	})
	return found, ok
}

func class(key table.TrafficClass, c *table.ClassTraffic) Class {
	// All three values are computed from one copy of the reservoir, which keeps P50 <= P99 <= Max.
	h := c.Latency.Snapshot()
	return Class{
		Service: key.Service,
		Rank:    key.Rank,
		Outcomes: Outcomes{
			Answered: c.Outcomes[fleet.Answered].Count(),
			NotRun:   c.Outcomes[fleet.NotRun].Count(),
			Unknown:  c.Outcomes[fleet.Unknown].Count(),
		},
		P50: microseconds(h.Percentile(0.5)),
		P99: microseconds(h.Percentile(0.99)),
		Max: microseconds(float64(h.Max())),
	}
}

func microseconds(v float64) time.Duration {
	return time.Duration(v * float64(time.Microsecond))
}

func tenant(name string, n *table.TenantTraffic) Tenant {
	return Tenant{
		Name:     name,
		Outcomes: Outcomes{Answered: int64(n.Answered), NotRun: int64(n.NotRun), Unknown: int64(n.Unknown)},
		P50:      quantileBound(n, 0.5),
		P99:      quantileBound(n, 0.99),
	}
}

// quantileBound returns the upper bound of the bucket that contains the quantile, or zero if no request was answered.
func quantileBound(n *table.TenantTraffic, q float64) time.Duration {
	var seen uint32
	for i, count := range n.Latency {
		seen += count
		if count > 0 && float64(seen) >= q*float64(n.Answered) {
			return table.LatencyBound(i)
		}
	}
	return 0
}

func totalRequests(o Outcomes) int64 {
	return o.Answered + o.NotRun + o.Unknown
}
