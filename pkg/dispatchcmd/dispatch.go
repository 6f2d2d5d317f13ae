// Package dispatchcmd moves requests through the node: it admits them to the queue of their service, assigns them to
// backend servers, and settles them after each attempt. It changes the Queues, Backends and Budgets tables.
package dispatchcmd

import (
	"errors"
	"sync/atomic"
	"time"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/pool"
	"egretline.example/egretline/pkg/table"
)

// HealthObserver records what attempts show about backend servers.
type HealthObserver interface {
	Started(now time.Time, a table.Assignment)
	// Responded records the response headers, or that none came.
	Responded(now time.Time, a table.Assignment, r table.Result)
	// Observe records the result of an attempt that is still in the table of requests in flight.
	Observe(now time.Time, a table.Assignment, r table.Result)
	// Settled records what became of a request that was admitted.
	Settled(now time.Time, service string, served bool)
}

// Dispatcher assigns waiting requests to backend servers and runs them on a fixed pool of workers.
type Dispatcher struct {
	Tables  *table.Tables
	Health  HealthObserver
	Workers int
	// AvailabilityZone is that of the node; empty if requests have no preference for a zone.
	AvailabilityZone string
	// Deviations is the admission.Queue.Deviations of all queues.
	Deviations float64

	exchange *pool.Pool[table.Assignment]
	// sharing is the node's place among those that share the backend servers evenly.
	sharing atomic.Pointer[Sharing]
	// keep says that stalled attempts are not cut any more.
	keep atomic.Bool
	// idle is closed when the dispatcher is closing and no request is open.
	idle chan struct{}
}

// New returns a dispatcher over the tables that runs at most the given number of requests at the same time.
func New(t *table.Tables, health HealthObserver, workers int) *Dispatcher {
	d := &Dispatcher{
		Tables: t, Health: health, Workers: workers, idle: make(chan struct{}),
	}
	// Assign never hands out more than one assignment for each worker, so the queue cannot fill.
	d.exchange = pool.New("exchange", workers, workers, d.run)
	return d
}

// SetRetries sets the terms of the retry budgets of all services.
func (d *Dispatcher) SetRetries(t retry.Terms) {
	d.Tables.Budgets.Write(guard.Held{}, func(_ guard.Held, b *table.Budgets) {
		if b.Terms == t {
			return
		}
		b.Terms = t
		for _, budget := range b.Services {
			budget.Terms = t
			budget.Balance = min(budget.Balance, t.Cap)
		}
	})
}

// Sharing is the place of a node among the nodes that share the backend servers evenly. The zero value is a node of which
// this is not known.
type Sharing struct {
	Place int
	Nodes int
	// InZone is the number of these nodes in the node's availability zone, itself included.
	InZone int
}

// SetSharing sets the node's place among the nodes that share the backend servers evenly.
func (d *Dispatcher) SetSharing(s Sharing) { d.sharing.Store(&s) }

func (d *Dispatcher) currentSharing() Sharing {
	if s := d.sharing.Load(); s != nil {
		return *s
	}
	return Sharing{}
}

// Close takes no more requests, and waits until all admitted ones, those that wait among them, have their result.
func (d *Dispatcher) Close() {
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		if !q.Closing {
			q.Closing = true
			d.closeIdle(q)
		}
	})
	<-d.idle
	d.exchange.Close()
}

func (d *Dispatcher) closeIdle(q *table.Queues) {
	if q.Closing && q.Open == 0 {
		close(d.idle)
	}
}

// Admit puts the ticket into the queue of its service. It returns ServiceError if the service has no backend servers,
// ClosingError, or admission.RefusedError if the request should not wait. After a nil error the result arrives on the
// ticket's Done channel, unless Cancel returns true.
func (d *Dispatcher) Admit(now time.Time, t *table.Ticket) error {
	if !d.known(t.Service) {
		return ServiceError{Service: t.Service}
	}
	var displaced []*table.Ticket
	var err error
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		displaced, err = admit(q, t, now)
	})
	for _, other := range displaced {
		d.settle(other, unserved(now, other, admission.RefusedError{
			Reason: admission.QueueFull, Rank: other.Rank, Tenant: other.Tenant, RetryAfter: d.retryAfter(other),
		}))
	}
	if err != nil {
		return err
	}
	d.assign(now, t.Service)
	return nil
}

func (d *Dispatcher) known(service string) bool {
	var known bool
	d.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		known = len(b.Services[service]) > 0
	})
	return known
}

// admit enters the ticket, and returns those that it displaced from the queue.
func admit(q *table.Queues, t *table.Ticket, now time.Time) ([]*table.Ticket, error) {
	if q.Closing {
		return nil, ClosingError{}
	}
	u := usage(q, t)
	if err := admission.Enter(u, t.Limits, t.Tenant, t.Rank, now); err != nil {
		countRefusal(q, t, err)
		return nil, err
	}
	out, err := admission.Offer(queueOf(q, t.Service), item(t), now)
	if err != nil {
		admission.Leave(u)
		countRefusal(q, t, err)
		return nil, err
	}
	q.Open++
	counts(q, t).Admitted++
	displaced := make([]*table.Ticket, len(out))
	for n, i := range out {
		displaced[n] = i.Payload
		counts(q, i.Payload).Displaced++
	}
	return displaced, nil
}

// Cancel takes a waiting ticket out of its queue. It returns false if the ticket does not wait any more; its result
// arrives on the Done channel then.
func (d *Dispatcher) Cancel(t *table.Ticket) bool {
	var removed bool
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		queue, ok := q.Services[t.Service]
		removed = ok && admission.Remove(queue, t.Rank, t.ID)
		if removed {
			counts(q, t).Abandoned++
			d.leave(q, t, unsent(t))
		}
	})
	return removed
}

// Abandoned returns the result of a ticket that was canceled while it waited.
func Abandoned(t *table.Ticket) table.Result {
	return table.Result{
		Outcome: unsent(t), Evidence: fleet.Canceled, Attempts: t.Attempt, Err: endError(t.Context, t.Service),
	}
}

// unsent returns the outcome of a ticket that is not sent again. An earlier attempt may have run it.
func unsent(t *table.Ticket) fleet.Outcome {
	if t.MaybeRun {
		return fleet.Unknown
	}
	return fleet.NotRun
}

func item(t *table.Ticket) admission.Item[*table.Ticket] {
	return admission.Item[*table.Ticket]{
		ID: t.ID, Rank: t.Rank, Tenant: t.Tenant, Arrived: t.Arrived, Deadline: t.Deadline, Attempt: t.Attempt, Payload: t,
	}
}

func queueOf(q *table.Queues, service string) *admission.Queue[*table.Ticket] {
	queue, ok := q.Services[service]
	if !ok {
		queue = &admission.Queue[*table.Ticket]{}
		q.Services[service] = queue
	}
	return queue
}

func usage(q *table.Queues, t *table.Ticket) *admission.Usage {
	key := table.TenantRank{Tenant: t.Tenant, Rank: t.Rank}
	u, ok := q.Tenants[key]
	if !ok {
		u = &admission.Usage{}
		q.Tenants[key] = u
	}
	return u
}

func counts(q *table.Queues, t *table.Ticket) *table.Counts {
	key := table.CountKey{Service: t.Service, Rank: t.Rank}
	c, ok := q.Counts[key]
	if !ok {
		c = table.NewCounts()
		q.Counts[key] = c
	}
	return c
}

func countRefusal(q *table.Queues, t *table.Ticket, err error) {
	var refused admission.RefusedError
	if errors.As(err, &refused) {
		counts(q, t).Refused[refused.Reason]++
	}
}
