// Package dispatchcmd moves requests through the node: it admits them to the queue of their service, assigns them to
// backend servers, and settles them after each attempt. It changes the Queues and Backends tables.
package dispatchcmd

import (
	"fmt"
	"time"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/pool"
	"egretline.example/egretline/pkg/table"
)

// ServiceError reports a request for a service that the configuration does not have.
type ServiceError struct {
	Service string
}

func (e ServiceError) Error() string {
	return fmt.Sprintf("service %q has no backend servers in the configuration", e.Service)
}

// ExpiredError reports a request that was not dispatched before its deadline, or that its caller gave up.
type ExpiredError struct {
	Service string
}

func (e ExpiredError) Error() string {
	return fmt.Sprintf("request waited in the queue of service %q until its deadline", e.Service)
}

// Dispatcher assigns waiting requests to backend servers and runs them on a fixed pool of workers.
type Dispatcher struct {
	Tables  *table.Tables
	Workers int

	exchange *pool.Pool[table.Assignment]
}

// New returns a dispatcher over the tables that runs at most the given number of requests at the same time.
func New(t *table.Tables, workers int) *Dispatcher {
	d := &Dispatcher{Tables: t, Workers: workers}
	// Assign never hands out more than one assignment for each worker, so the queue cannot fill.
	d.exchange = pool.New("exchange", workers, workers, d.run)
	return d
}

// Close waits until all requests in flight are settled. No request may be admitted after it.
func (d *Dispatcher) Close() {
	d.exchange.Close()
}

// Admit puts the ticket into the queue of its service. It returns ServiceError if the service has no backend servers.
// After a nil error the result arrives on the ticket's Done channel, unless Cancel returns true.
func (d *Dispatcher) Admit(now time.Time, t *table.Ticket) error {
	var known bool
	d.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		known = len(b.Services[t.Service]) > 0
	})
	if !known {
		return ServiceError{Service: t.Service}
	}
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		enqueue(q, t)
	})
	d.assign(now, t.Service)
	return nil
}

// Cancel takes a waiting ticket out of its queue. It returns false if the ticket does not wait any more; its result
// arrives on the Done channel then.
func (d *Dispatcher) Cancel(t *table.Ticket) bool {
	var removed bool
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		queue, ok := q.Services[t.Service]
		removed = ok && admission.Remove(queue, t.Rank, t.ID)
	})
	return removed
}

func enqueue(q *table.Queues, t *table.Ticket) {
	queue, ok := q.Services[t.Service]
	if !ok {
		queue = &admission.Queue[*table.Ticket]{}
		q.Services[t.Service] = queue
	}
	admission.Push(queue, admission.Item[*table.Ticket]{
		ID: t.ID, Rank: t.Rank, Tenant: t.Tenant, Arrived: t.Arrived, Deadline: t.Deadline, Attempt: t.Attempt, Payload: t,
	})
}

// assign hands waiting requests of the service to workers while there is a free worker and a backend server.
func (d *Dispatcher) assign(now time.Time, service string) {
	d.Tables.Backends.Write(guard.Held{}, func(h guard.Held, b *table.Backends) {
		d.Tables.Queues.Write(h, func(_ guard.Held, q *table.Queues) {
			for d.assignOne(now, service, b, q) {
				q.InFlight++
			}
		})
	})
}

func (d *Dispatcher) assignOne(now time.Time, service string, b *table.Backends, q *table.Queues) bool {
	queue, ok := q.Services[service]
	if !ok || q.InFlight >= d.Workers {
		return false
	}
	if !anyFree(b.Services[service]) {
		return false
	}
	picked := admission.Next(queue, now, nil)
	for _, late := range picked.Late {
		late.Payload.Done <- Abandoned(late.Payload)
	}
	if !picked.Found {
		return false
	}
	t := picked.Item.Payload
	server := choose(b.Services[service], t.Tried)
	server.Outstanding++
	server.InFlight[t.ID] = table.InFlight{Started: now}
	return d.exchange.TrySubmit(table.Assignment{Ticket: t, Server: server.Server}) == nil
}

func anyFree(servers map[string]*table.Backend) bool {
	for _, s := range servers {
		if free(s) {
			return true
		}
	}
	return false
}

func free(s *table.Backend) bool {
	return !s.Leaving && s.Outstanding < s.Server.Slots
}

// choose returns the server with the fewest outstanding requests, and one that was not tried if there is any.
func choose(servers map[string]*table.Backend, tried []string) *table.Backend {
	var best *table.Backend
	for _, s := range servers {
		if free(s) && (best == nil || less(s, best, tried)) {
			best = s
		}
	}
	return best
}

func less(a, b *table.Backend, tried []string) bool {
	at, bt := contains(tried, a.Server.Address), contains(tried, b.Server.Address)
	if at != bt {
		return bt
	}
	return a.Outstanding < b.Outstanding
}

func contains(tried []string, address string) bool {
	for _, a := range tried {
		if a == address {
			return true
		}
	}
	return false
}

// run is the job of an exchange worker: one attempt, from sending the request to settling its result.
func (d *Dispatcher) run(a table.Assignment) {
	t := a.Ticket
	r := t.Runner.Send(t.Context, a.Server)
	d.respond(a)
	if d.mayRetry(a, r) {
		t.Runner.Discard()
		d.release(a)
		d.requeue(a, r)
		return
	}
	if r.Response {
		latency := r.Latency
		r = t.Runner.Deliver(t.Context)
		r.Latency = latency
	} else {
		t.Runner.Discard()
		r.Outcome = retry.Outcome(attempt(a, r))
	}
	d.release(a)
	t.Done <- r
	d.assign(time.Now(), t.Service)
}

func (d *Dispatcher) respond(a table.Assignment) {
	d.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		if s, ok := b.Services[a.Ticket.Service][a.Server.Address]; ok {
			f := s.InFlight[a.Ticket.ID]
			f.Responded = true
			s.InFlight[a.Ticket.ID] = f
		}
	})
}

func attempt(a table.Assignment, r table.Result) retry.Attempt {
	return retry.Attempt{
		Evidence:   r.Evidence,
		Idempotent: a.Ticket.Idempotent,
		Sent:       r.Sent,
		MaybeRun:   a.Ticket.MaybeRun,
	}
}

// mayRetry allows no retry yet.
func (d *Dispatcher) mayRetry(table.Assignment, table.Result) bool {
	return false
}

func (d *Dispatcher) requeue(a table.Assignment, r table.Result) {
	t := a.Ticket
	t.Attempt++
	t.Tried = append(t.Tried, a.Server.Address)
	t.MaybeRun = t.MaybeRun || !retry.Refused(attempt(a, r))
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		enqueue(q, t)
	})
	d.assign(time.Now(), t.Service)
}

// release frees the slot of the backend server and the worker's place.
func (d *Dispatcher) release(a table.Assignment) {
	d.Tables.Backends.Write(guard.Held{}, func(h guard.Held, b *table.Backends) {
		if s, ok := b.Services[a.Ticket.Service][a.Server.Address]; ok {
			s.Outstanding--
			delete(s.InFlight, a.Ticket.ID)
		}
		d.Tables.Queues.Write(h, func(_ guard.Held, q *table.Queues) {
			q.InFlight--
		})
	})
}

// Abandoned returns the result of a ticket that was canceled while it waited.
func Abandoned(t *table.Ticket) table.Result {
	outcome := fleet.NotRun
	if t.MaybeRun {
		outcome = fleet.Unknown
	}
	return table.Result{Outcome: outcome, Evidence: fleet.Canceled, Err: ExpiredError{Service: t.Service}}
}
