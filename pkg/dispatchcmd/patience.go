package dispatchcmd

import (
	"time"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// patienceOf returns the waiting requests of the service.
func patienceOf(b *table.Budgets, service string) *retry.Patience[*table.Ticket] {
	p, ok := b.Patience[service]
	if !ok {
		p = &retry.Patience[*table.Ticket]{}
		b.Patience[service] = p
	}
	return p
}

// depositArrival adds the deposit of a request that arrived. Refused requests earn it too.
func (d *Dispatcher) depositArrival(t *table.Ticket, now time.Time) {
	if t.Repeated {
		return // the node that forwarded the request has counted it
	}
	d.Tables.Budgets.Write(guard.Held{}, func(_ guard.Held, b *table.Budgets) {
		if budget := d.budgetOf(b, t.Service); budget.Params.Patient {
			retry.Deposit(budget)
			patienceOf(b, t.Service).ObserveArrival(now)
		}
	})
}

// waitingOf returns the waiting request of the ticket.
func (d *Dispatcher) waitingOf(q *table.Queues, t *table.Ticket) retry.Waiting[*table.Ticket] {
	var needed time.Duration
	if queue, ok := q.Services[t.Service]; ok && t.Rank < len(queue.Ranks) {
		needed = min(queue.Ranks[t.Rank].ServiceTime.RequiredTime(d.MarginDeviations), t.Deadline.Sub(t.Arrived)/2)
	}
	objective := targetLatency(t)
	end := t.Deadline
	if !q.StopTime.IsZero() && q.StopTime.Before(end) {
		end = q.StopTime
	}
	return retry.Waiting[*table.Ticket]{
		ID: t.ID, Rank: t.Rank, Objective: objective, InTimeUntil: t.Arrived.Add(objective - min(needed, objective/2)),
		LatestStart: end.Add(-needed), Payload: t,
	}
}

// waitingTicket returns the waiting request of a ticket whose attempt had the given evidence.
func (d *Dispatcher) waitingTicket(t *table.Ticket, e fleet.Evidence) (w retry.Waiting[*table.Ticket]) {
	if e == fleet.Shed {
		d.Tables.Queues.Read(guard.Held{}, func(_ guard.Held, q *table.Queues) { w = d.waitingOf(q, t) })
	}
	return w
}

// decidePatiently is decideRetry for a budget whose requests wait while it is spent. A request that a server turned away
// waits; releaseWaiting decides who is sent again and charges the budget.
func (d *Dispatcher) decidePatiently(
	b *table.Budgets, a table.Assignment, r table.Result, w retry.Waiting[*table.Ticket], left time.Duration,
) retry.Reason {
	p, budget := patienceOf(b, a.Ticket.Service), d.budgetOf(b, a.Ticket.Service)
	attempt := retryAttempt(a, r, left)
	if attempt.Sent && r.Evidence != fleet.Canceled && r.Evidence != fleet.IdleClosed {
		p.ObserveAttempt(r.Evidence == fleet.Shed)
	}
	if r.Evidence != fleet.Shed {
		return retry.Decide(attempt, budget)
	}
	if reason := retry.DecideUnpaid(attempt); reason != retry.Allowed {
		return reason
	}
	if !p.CanWait(budget, w, time.Now()) {
		return retry.BudgetSpent
	}
	return retry.Waits
}

// wait adds the ticket to the waiting requests after an attempt that a server turned away.
func (d *Dispatcher) wait(a table.Assignment, r table.Result) {
	t := a.Ticket
	recordAttempt(a, r)
	d.Tables.Queues.Write(guard.Held{}, func(h guard.Held, q *table.Queues) {
		w := d.waitingOf(q, t)
		d.Tables.Budgets.Write(h, func(_ guard.Held, b *table.Budgets) { patienceOf(b, t.Service).Add(w, time.Now()) })
	})
	// A caller that canceled during the attempt found no waiting ticket to remove. The ticket is therefore removed here.
	if t.Context.Err() != nil && d.Cancel(t) {
		t.Done <- Abandoned(t)
		return
	}
	now := time.Now()
	d.releaseWaiting(now, t.Service)
	d.assignWaiting(now, t.Service)
}

// releaseWaiting moves the waiting requests that are sent now into their queue, and refuses those whose time has passed.
func (d *Dispatcher) releaseWaiting(now time.Time, service string) {
	var expired []retry.Waiting[*table.Ticket]
	var after time.Duration
	d.Tables.Queues.Write(guard.Held{}, func(h guard.Held, q *table.Queues) {
		var released []retry.Waiting[*table.Ticket]
		d.Tables.Budgets.Write(h, func(_ guard.Held, b *table.Budgets) {
			p, known := b.Patience[service]
			if !known || len(p.Items) == 0 {
				return
			}
			budget := d.budgetOf(b, service)
			released, expired = p.Release(budget, now), p.Expire(now)
			after = p.RetryAfter(budget, now)
		})
		for _, w := range released {
			countsOf(q, w.Payload).Retries++
			w.Payload.WaitEnded = now
			admission.Push(queueOf(q, service), queueItem(w.Payload))
		}
		for _, w := range expired {
			countsOf(q, w.Payload).NotRetried[retry.BudgetSpent]++
		}
	})
	for _, w := range expired {
		d.settle(w.Payload, unservedResult(now, w.Payload, TurnedAwayError{Service: service, RetryAfter: after}))
	}
}

// releaseAllWaiting is releaseWaiting for all services.
func (d *Dispatcher) releaseAllWaiting(now time.Time) {
	var services []string
	d.Tables.Budgets.Read(guard.Held{}, func(_ guard.Held, b *table.Budgets) {
		for name, p := range b.Patience {
			if len(p.Items) > 0 {
				services = append(services, name)
			}
		}
	})
	for _, name := range services {
		d.releaseWaiting(now, name)
	}
}

// retryAfterTurnedAway returns the delay until the budget will allow another attempt of a request that is refused because
// the budget is spent, if that is longer than the given delay.
func (d *Dispatcher) retryAfterTurnedAway(t *table.Ticket, delay time.Duration) time.Duration {
	d.Tables.Budgets.Read(guard.Held{}, func(_ guard.Held, b *table.Budgets) {
		if p, known := b.Patience[t.Service]; known && b.Services[t.Service] != nil {
			delay = max(delay, p.RetryAfter(b.Services[t.Service], time.Now()))
		}
	})
	return delay
}

// removeWaiting removes a canceled ticket from the waiting requests and reports whether it was there.
func (d *Dispatcher) removeWaiting(h guard.Held, t *table.Ticket) (removed bool) {
	d.Tables.Budgets.Write(h, func(_ guard.Held, b *table.Budgets) {
		p, known := b.Patience[t.Service]
		removed = known && p.Remove(t.ID)
	})
	return removed
}

// stopWaiting removes and returns the waiting requests when the node stops.
func (d *Dispatcher) stopWaiting(h guard.Held) (refused []admission.Item[*table.Ticket]) {
	d.Tables.Budgets.Write(h, func(_ guard.Held, b *table.Budgets) {
		for _, p := range b.Patience {
			for _, w := range p.Items {
				refused = append(refused, queueItem(w.Payload))
			}
			p.Items = nil
		}
	})
	return refused
}
