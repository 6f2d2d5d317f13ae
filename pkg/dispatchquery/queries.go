// Package dispatchquery reads the Queues, Backends and Budgets tables, and explains how requests are dispatched.
package dispatchquery

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
)

// Queries reads the dispatch state of one node.
type Queries struct {
	Tables *table.Tables
}

// RankDepth is the number of waiting and running requests of one rank for one service, with its timing.
type RankDepth struct {
	Service string
	Rank    int
	Waiting int
	// WaitingLate is the number of waiting requests that will miss their latency objective, and LongestWait the time for
	// which the oldest one has been waiting.
	WaitingLate int
	LongestWait time.Duration
	HeldSlots   int
	// MaxHeldSlots is the number of slots that the rank may hold.
	MaxHeldSlots int
	// ExpectedWait is the queueing delay of a new request from a tenant without waiting requests.
	ExpectedWait time.Duration
	// ServiceTime is the mean time for which a request holds a slot; zero if none was observed.
	ServiceTime time.Duration
}

// QueueDepths returns the depths of all queues, sorted by service and rank.
func (q *Queries) QueueDepths(now time.Time) []RankDepth {
	var list []RankDepth
	q.Tables.Queues.Read(guard.Held{}, func(_ guard.Held, v *table.Queues) {
		for name, queue := range v.Services {
			for r := range queue.Ranks {
				list = append(list, rankDepth(name, queue, r, now))
			}
		}
	})
	slices.SortFunc(list, func(a, b RankDepth) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	return list
}

func rankDepth(service string, queue *admission.Queue[*table.Ticket], rank int, now time.Time) RankDepth {
	r := queue.Ranks[rank]
	lanes := admission.CountLanes(queue, rank, now)
	return RankDepth{
		Service: service, Rank: rank, Waiting: r.Waiting, WaitingLate: lanes.Late, LongestWait: lanes.LongestWait,
		HeldSlots: r.Held, MaxHeldSlots: admission.MaxHeld(queue, rank),
		ExpectedWait: admission.EstimateWait(queue, rank, ""), ServiceTime: r.ServiceTime.Mean,
	}
}

// ServiceRankCounts holds the request counters of one service and rank.
type ServiceRankCounts struct {
	table.CountKey
	table.Counts
}

// Counts returns the counters of all services and ranks, sorted by service and rank.
func (q *Queries) Counts() []ServiceRankCounts {
	var list []ServiceRankCounts
	q.Tables.Queues.Read(guard.Held{}, func(_ guard.Held, v *table.Queues) {
		for key, c := range v.Counts {
			copied := *c
			copied.Refused = maps.Clone(c.Refused)
			copied.NotRetried = maps.Clone(c.NotRetried)
			list = append(list, ServiceRankCounts{CountKey: key, Counts: copied})
		}
	})
	slices.SortFunc(list, func(a, b ServiceRankCounts) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	return list
}

// RetryBalance returns the number of retries in the service's budget. It returns false before the first request to the
// service, when the budget is full.
func (q *Queries) RetryBalance(service string) (float64, bool) {
	var balance float64
	var found bool
	q.Tables.Budgets.Read(guard.Held{}, func(_ guard.Held, v *table.Budgets) {
		if b, ok := v.Services[service]; ok {
			balance, found = b.Balance, true
		}
	})
	return balance, found
}

// ServerLoad is the load that this node puts on one backend server.
type ServerLoad struct {
	Address     string
	Outstanding int
	// Limit is the number of requests that this node may have outstanding; zero before the first request to the
	// service.
	Limit int
	// Use is the use that a first attempt of an idempotent request may make of the server.
	Use healthquery.Use
}

// Servers returns the load of the servers of a service, sorted by address.
func (q *Queries) Servers(service string, now time.Time) []ServerLoad {
	var list []ServerLoad
	q.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for address, s := range b.Services[service] {
			list = append(list, ServerLoad{
				Address: address, Outstanding: s.Outstanding, Limit: s.Limit.Max(), Use: healthquery.UseOf(s, true, 0, now),
			})
		}
	})
	slices.SortFunc(list, func(a, b ServerLoad) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

func (q *Queries) configuration() *fleet.Configuration {
	var c *fleet.Configuration
	q.Tables.Config.Read(guard.Held{}, func(_ guard.Held, v *table.Config) { c = v.Compiled })
	return c
}
