// Package dispatchcmd dispatches requests: it admits them to the queue of their service, assigns them to backend
// servers, and completes or requeues them after each attempt. It writes the Queues, Backends and Budgets tables.
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

// HealthObserver records the evidence that attempts give about the health of backend servers.
type HealthObserver interface {
	// Started records that an attempt is being sent.
	Started(now time.Time, a table.Assignment)
	// Responded records the arrival of the response headers, or their absence. It is called once for each attempt.
	Responded(now time.Time, a table.Assignment, r table.Result)
	// Observe records the result of an attempt that is still in the table of requests in flight.
	Observe(now time.Time, a table.Assignment, r table.Result)
	// RequestEnded records the end of an admitted request, and whether it was served.
	RequestEnded(now time.Time, service string, served bool)
}

// PauseObserver notices pauses of the node's process.
type PauseObserver interface {
	// PausedSince reports whether a pause has ended after the time. At the first call after a pause, the requests in flight are
	// marked as ones whose ages are no evidence.
	PausedSince(t time.Time) bool
}

// Dispatcher assigns waiting requests to backend servers and runs them on a bounded pool of workers.
type Dispatcher struct {
	Tables  *table.Tables
	Health  HealthObserver
	Workers int
	// AvailabilityZone is the zone of the node; empty if requests have no zone preference.
	AvailabilityZone string
	// MarginDeviations is the value of admission.Queue.MarginDeviations for all queues.
	MarginDeviations float64
	// Conns holds the node's connections. If it is nil, requests are placed by outstanding requests alone.
	Conns WarmConns
	// MaxServerBodyBytes bounds the request bodies outstanding at a backend server from all nodes together; zero means no
	// bound.
	MaxServerBodyBytes int64
	// Pauses notices pauses of the process; nil if only sweeps notice them.
	Pauses PauseObserver

	exchange *pool.Pool[table.Assignment]
	// sharing is the last value given to SetSharing.
	sharing atomic.Pointer[Sharing]
	// backupsDisabled is set once no more backup attempts may start.
	backupsDisabled atomic.Bool
	// drained is closed when the dispatcher is closing and every admitted request has ended.
	drained chan struct{}
}

// New returns a dispatcher over the tables that runs at most the given number of requests at the same time.
func New(t *table.Tables, health HealthObserver, workers int) *Dispatcher {
	d := &Dispatcher{
		Tables: t, Health: health, Workers: workers, drained: make(chan struct{}),
	}
	// At most one assignment for each worker is submitted, so the queue cannot fill.
	d.exchange = pool.New("exchange", workers, workers, d.runAttempt)
	return d
}

// SetRetryBudgetParams sets the parameters of the retry budgets of all services.
func (d *Dispatcher) SetRetryBudgetParams(p retry.BudgetParams) {
	d.Tables.Budgets.Write(guard.Held{}, func(_ guard.Held, b *table.Budgets) {
		if b.Params == p {
			return
		}
		b.Params = p
		for _, budget := range b.Services {
			budget.Params = p
			budget.Balance = min(budget.Balance, p.MaxBalance)
		}
	})
}

// Sharing describes the nodes that share the backend servers evenly. The zero value means that they are not known.
type Sharing struct {
	// NodeIndex is the index of this node among the sharing nodes, and Nodes their number.
	NodeIndex int
	Nodes     int
	// NodesInZone is the number of sharing nodes in the availability zone of this node, including itself.
	NodesInZone int
	// Visitors is the number of sharing nodes that were heard lately, including this one, and VisitorIndex the index of this
	// node among them. VisitorsInZone and VisitorIndexInZone are those of its zone.
	Visitors, VisitorIndex             int
	VisitorsInZone, VisitorIndexInZone int
}

// SetSharing sets the nodes that share the backend servers evenly with this one.
func (d *Dispatcher) SetSharing(s Sharing) { d.sharing.Store(&s) }

func (d *Dispatcher) currentSharing() Sharing {
	if s := d.sharing.Load(); s != nil {
		return *s
	}
	return Sharing{}
}

// StopAt sets the time at which the node cancels the requests in progress because it is stopping. It refuses the waiting
// requests that would not be answered before it; they have not run, and callers can repeat them at another node. New
// requests are then admitted only if they will be answered before it.
func (d *Dispatcher) StopAt(stop, now time.Time) {
	d.DisableBackups()
	var refused []admission.Item[*table.Ticket]
	d.Tables.Queues.Write(guard.Held{}, func(h guard.Held, q *table.Queues) {
		q.StopTime = stop
		refused = d.stopWaiting(h)
		for _, queue := range q.Services {
			refused = append(refused, admission.StopAt(queue, stop, now)...)
		}
		for _, i := range refused {
			countsOf(q, i.Payload).Refused[admission.NodeStopping]++
		}
	})
	for _, i := range refused {
		d.settle(i.Payload, unservedResult(now, i.Payload, admission.StoppingError(i)))
	}
}

// Close stops admission, and waits until all admitted requests, including queued ones, have a result.
func (d *Dispatcher) Close() {
	d.CloseAdmission()
	<-d.drained
	d.exchange.Close()
}

// CloseAdmission makes Admit refuse all requests with ClosingError.
func (d *Dispatcher) CloseAdmission() {
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		if !q.Closing {
			q.Closing = true
			d.closeIfDrained(q)
		}
	})
}

func (d *Dispatcher) closeIfDrained(q *table.Queues) {
	if q.Closing && q.Unfinished == 0 {
		close(d.drained)
	}
}

// Admit puts the ticket into the queue of its service. It returns ServiceError if the service has no backend servers,
// ClosingError after Close, RepeatedError if a repeated request may not be sent, and admission.RefusedError if the request is
// shed. UnsentOutcome then gives its outcome. After a nil error the result arrives on the ticket's Done channel, unless Cancel
// returns true.
func (d *Dispatcher) Admit(now time.Time, t *table.Ticket) error {
	if !d.hasBackends(t.Service) {
		return ServiceError{Service: t.Service}
	}
	if reason := d.decideRepeated(t); reason != retry.Allowed {
		return RepeatedError{Service: t.Service, Reason: reason}
	}
	d.depositArrival(t, now)
	var displaced []*table.Ticket
	var err error
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		displaced, err = enqueue(q, t, now)
	})
	for _, other := range displaced {
		d.settle(other, unservedResult(now, other, admission.RefusedError{
			Reason: admission.QueueFull, Rank: other.Rank, Tenant: other.Tenant, RetryAfter: d.retryAfter(other),
		}))
	}
	if err != nil {
		return err
	}
	d.releaseWaiting(now, t.Service)
	d.assignWaiting(now, t.Service)
	return nil
}

// decideRepeated decides whether a ticket that another node may have sent before is admitted, and charges the retry budget.
func (d *Dispatcher) decideRepeated(t *table.Ticket) retry.Reason {
	if !t.Repeated {
		return retry.Allowed
	}
	var reason retry.Reason
	d.Tables.Queues.Write(guard.Held{}, func(h guard.Held, q *table.Queues) {
		d.Tables.Budgets.Write(h, func(_ guard.Held, b *table.Budgets) {
			reason = retry.DecideRepeated(t.Idempotent, d.budgetOf(b, t.Service))
		})
		if reason == retry.Allowed {
			countsOf(q, t).Retries++
		} else {
			countsOf(q, t).NotRetried[reason]++
		}
	})
	return reason
}

func (d *Dispatcher) hasBackends(service string) bool {
	var found bool
	d.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		found = len(b.Services[service]) > 0
	})
	return found
}

// enqueue puts the ticket into the queue, and returns the tickets that it displaced.
func enqueue(q *table.Queues, t *table.Ticket, now time.Time) ([]*table.Ticket, error) {
	if q.Closing {
		return nil, ClosingError{}
	}
	u := usageOf(q, t)
	if err := admission.AdmitTenant(u, t.Limits, t.Tenant, t.Rank, now); err != nil {
		countRefusal(q, t, err)
		return nil, err
	}
	out, err := admission.Offer(queueOf(q, t.Service), queueItem(t), now)
	if err != nil {
		admission.ReleaseTenant(u)
		countRefusal(q, t, err)
		return nil, err
	}
	q.Unfinished++
	countsOf(q, t).Admitted++
	displaced := make([]*table.Ticket, len(out))
	for n, i := range out {
		displaced[n] = i.Payload
		countsOf(q, i.Payload).Displaced++
	}
	return displaced, nil
}

// Cancel removes a waiting ticket from its queue. It returns false if the ticket is no longer waiting; its result then
// arrives on the Done channel.
func (d *Dispatcher) Cancel(t *table.Ticket) bool {
	var removed bool
	d.Tables.Queues.Write(guard.Held{}, func(h guard.Held, q *table.Queues) {
		queue, ok := q.Services[t.Service]
		removed = ok && admission.Remove(queue, t.Rank, t.ID) || d.removeWaiting(h, t)
		if removed {
			countsOf(q, t).Abandoned++
			d.recordOutcome(q, t, UnsentOutcome(t))
		}
	})
	return removed
}

// Abandoned returns the result of a ticket that was canceled while it waited.
func Abandoned(t *table.Ticket) table.Result {
	return table.Result{
		Outcome: UnsentOutcome(t), Evidence: fleet.Canceled, Attempts: t.Attempt, Err: endError(t.Context, t.Service),
	}
}

// UnsentOutcome returns the outcome of a ticket that is not sent again. An earlier attempt may have run it.
func UnsentOutcome(t *table.Ticket) fleet.Outcome {
	if t.MayHaveRun {
		return fleet.Unknown
	}
	return fleet.NotRun
}

func queueItem(t *table.Ticket) admission.Item[*table.Ticket] {
	i := admission.Item[*table.Ticket]{
		ID: t.ID, Rank: t.Rank, Tenant: t.Tenant, Arrived: t.Arrived, Deadline: t.Deadline, Attempt: t.Attempt, Payload: t,
	}
	if hasObjective(t) {
		i.Objective, i.Kind = t.Arrived.Add(t.TargetLatency), t.Route
	}
	return i
}

// hasObjective reports whether an answer to the ticket loses value before the deadline.
func hasObjective(t *table.Ticket) bool {
	return t.TargetLatency > 0 && t.TargetLatency < t.Deadline.Sub(t.Arrived)
}

func queueOf(q *table.Queues, service string) *admission.Queue[*table.Ticket] {
	queue, ok := q.Services[service]
	if !ok {
		queue = &admission.Queue[*table.Ticket]{StopTime: q.StopTime}
		q.Services[service] = queue
	}
	return queue
}

func usageOf(q *table.Queues, t *table.Ticket) *admission.TenantUsage {
	key := table.TenantRank{Tenant: t.Tenant, Rank: t.Rank}
	u, ok := q.Tenants[key]
	if !ok {
		u = &admission.TenantUsage{}
		q.Tenants[key] = u
	}
	return u
}

func countsOf(q *table.Queues, t *table.Ticket) *table.Counts {
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
		countsOf(q, t).Refused[refused.Reason]++
	}
}
