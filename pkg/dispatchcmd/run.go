package dispatchcmd

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// run is the job of an exchange worker: one attempt, from sending the request to settling its result.
func (d *Dispatcher) run(a table.Assignment) {
	t := a.Ticket
	started := time.Now()
	d.Health.Started(started, a)
	r := d.send(a)
	d.Health.Responded(time.Now(), a, r)
	reason := d.decide(a, r)
	if reason == retry.Allowed {
		t.Runner.Discard()
		d.release(a, r, started)
		d.requeue(a, r)
		return
	}
	r = d.end(a, r, reason)
	d.release(a, r, started)
	d.settle(t, r)
}

// send sends the request. An attempt that takes longer than the request's patience is cut off if another server can take
// the request at once and the retry budget allows it, so that a stalled server does not use up the time of a request that
// another one could still answer. Without either, the server goes on working on it.
func (d *Dispatcher) send(a table.Assignment) table.Result {
	t := a.Ticket
	if t.Patience == 0 || !t.Idempotent || t.MaxRuns > 0 && t.Runs+1 >= t.MaxRuns {
		return t.Runner.Send(t.Context, a.Server)
	}
	ctx, cancel := context.WithCancelCause(t.Context)
	defer cancel(nil)
	var reserved atomic.Bool
	timer := time.AfterFunc(t.Patience, func() {
		if d.reserve(a, time.Now()) {
			reserved.Store(true)
			cancel(StalledError{Address: a.Server.Address})
		}
	})
	r := t.Runner.Send(ctx, a.Server)
	timer.Stop()
	if t.Context.Err() == nil && ctx.Err() != nil {
		r.Evidence = fleet.Failed // the node gave up, not the caller
	}
	t.Paid = t.Paid || reserved.Load()
	return r
}

// KeepAttempts ends the cutting of stalled attempts. A node that is leaving lets servers finish what they work on.
func (d *Dispatcher) KeepAttempts() { d.keep.Store(true) }

// reserve pays for another attempt if there is time for it and a welcome server has room.
func (d *Dispatcher) reserve(a table.Assignment, now time.Time) bool {
	if d.keep.Load() || !d.timeFor(a.Ticket, now) {
		return false
	}
	var room, paid bool
	service := a.Ticket.Service
	d.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for address, s := range b.Services[service] {
			room = room || address != a.Server.Address && !s.Leaving && s.Limit.Allows(s.Outstanding) &&
				detect.StandingOf(&s.State, false, now) == detect.Welcome
		}
	})
	if !room {
		return false
	}
	d.Tables.Budgets.Write(guard.Held{}, func(_ guard.Held, b *table.Budgets) { paid = retry.Pay(d.budget(b, service)) })
	return paid
}

// timeFor says that another attempt of the ticket would not be refused for want of time.
func (d *Dispatcher) timeFor(t *table.Ticket, now time.Time) bool {
	var enough bool
	d.Tables.Queues.Read(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		queue, known := q.Services[t.Service]
		enough = known && admission.Enough(queue, item(t), now)
	})
	return enough
}

// end delivers the response, or discards the attempt and says what became of the request.
func (d *Dispatcher) end(a table.Assignment, r table.Result, reason retry.Reason) table.Result {
	t := a.Ticket
	if r.Response {
		latency := r.Latency
		r = t.Runner.Deliver(t.Context)
		r.Latency = latency
	} else {
		t.Runner.Discard()
		r.Outcome = retry.Outcome(attempt(a, r, 0))
		r.RetryAfter = d.retryAfter(t)
		r.Err = AttemptsError{Attempts: t.Attempt + 1, Reason: reason, Err: r.Err}
	}
	r.Attempts = t.Attempt + 1
	r.Address = a.Server.Address
	r.Waited = t.Dispatched.Sub(t.Arrived)
	return r
}

// mayRun is 1 if the attempt may have run the request, and else 0.
func mayRun(r table.Result) int {
	if retry.Refused(retry.Attempt{Evidence: r.Evidence, Sent: r.Sent}) {
		return 0
	}
	return 1
}

func attempt(a table.Assignment, r table.Result, left time.Duration) retry.Attempt {
	return retry.Attempt{
		Evidence:   r.Evidence,
		Idempotent: a.Ticket.Idempotent,
		Sent:       r.Sent,
		MaybeRun:   a.Ticket.MaybeRun,
		BodyLost:   r.BodyLost,
		Left:       left,
		Runs:       a.Ticket.Runs + mayRun(r),
		MaxRuns:    a.Ticket.MaxRuns,
		Paid:       a.Ticket.Paid,
	}
}

// decide asks the retry budget of the service whether the request is attempted again.
func (d *Dispatcher) decide(a table.Assignment, r table.Result) retry.Reason {
	t := a.Ticket
	left := time.Until(t.Deadline)
	if t.Context.Err() != nil {
		left = 0
	}
	var reason retry.Reason
	d.Tables.Budgets.Write(guard.Held{}, func(_ guard.Held, b *table.Budgets) {
		budget := d.budget(b, t.Service)
		if t.Attempt == 0 {
			retry.Earn(budget)
		}
		reason = retry.Decide(attempt(a, r, left), budget)
	})
	if reason == retry.Complete {
		return reason
	}
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		if reason == retry.Allowed {
			counts(q, t).Retries++
		} else {
			counts(q, t).Ended[reason]++
		}
	})
	return reason
}

// budget returns the retry budget of the service.
func (*Dispatcher) budget(b *table.Budgets, service string) *retry.Budget {
	budget, ok := b.Services[service]
	if !ok {
		full := retry.NewBudgetOf(b.Terms)
		budget = &full
		b.Services[service] = budget
	}
	return budget
}

// requeue puts the ticket back into its queue for another attempt.
func (d *Dispatcher) requeue(a table.Assignment, r table.Result) {
	t := a.Ticket
	t.Attempt++
	t.Paid = false
	t.Tried = append(t.Tried, a.Server.Address)
	t.MaybeRun = t.MaybeRun || !retry.Refused(attempt(a, r, 0))
	t.Runs += mayRun(r)
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		admission.Push(queueOf(q, t.Service), item(t))
	})
	// A caller that gave up during the attempt has found the ticket not waiting and does not cancel it again.
	if t.Context.Err() != nil && d.Cancel(t) {
		t.Done <- Abandoned(t)
		return
	}
	d.assign(time.Now(), t.Service)
}

// release records the result of the attempt, and returns the slot of the backend server and the worker's place.
func (d *Dispatcher) release(a table.Assignment, r table.Result, started time.Time) {
	now := time.Now()
	d.Health.Observe(now, a, r)
	var crowded bool
	d.Tables.Backends.Write(guard.Held{}, func(h guard.Held, b *table.Backends) {
		if s, ok := b.Services[a.Ticket.Service][a.Server.Address]; ok {
			adapt(s, r.Evidence, now)
			s.Outstanding--
			delete(s.InFlight, a.Ticket.ID)
		}
		d.Tables.Queues.Write(h, func(_ guard.Held, q *table.Queues) {
			crowded = q.InFlight >= d.Workers
			q.InFlight--
			admission.Finish(queueOf(q, a.Ticket.Service), a.Ticket.Rank, slotTime(r, now.Sub(started)))
		})
	})
	if crowded {
		// Requests of any service may wait for a worker.
		d.assignAll(now)
		return
	}
	d.assign(now, a.Ticket.Service)
}

func adapt(s *table.Backend, e fleet.Evidence, now time.Time) {
	switch e {
	case fleet.Succeeded:
		s.Limit.Success(s.Outstanding, now)
	case fleet.Shed:
		s.Limit.Shed(now)
	}
}

// slotTime returns the time for which a backend server worked on the attempt, or zero if it did not.
func slotTime(r table.Result, d time.Duration) time.Duration {
	if r.Evidence == fleet.Succeeded || r.Evidence == fleet.Failed {
		return d
	}
	return 0
}

// unserved returns the result of a ticket that leaves the queue without a further attempt.
func unserved(now time.Time, t *table.Ticket, err error) table.Result {
	return table.Result{
		Outcome: unsent(t), Attempts: t.Attempt, Waited: now.Sub(t.Arrived), RetryAfter: RetryAfter(err), Err: err,
	}
}

func (d *Dispatcher) retryAfter(t *table.Ticket) time.Duration {
	var wait time.Duration
	d.Tables.Queues.Read(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		if queue, ok := q.Services[t.Service]; ok {
			wait = admission.RetryAfter(queue, t.Rank, t.Tenant)
		}
	})
	return wait
}

// settle ends a ticket and hands its result to the caller.
func (d *Dispatcher) settle(t *table.Ticket, r table.Result) {
	// A lost trial says nothing new. If it counted, trials would lead to distress, and distress to more trials.
	if r.Evidence != fleet.Canceled && !t.Trial {
		served := r.Outcome == fleet.Answered && r.Status < http.StatusInternalServerError
		d.Health.Settled(time.Now(), t.Service, served)
	}
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		d.leave(q, t, r.Outcome)
	})
	t.Done <- r
}

// leave ends the ticket's part in the accounts.
func (d *Dispatcher) leave(q *table.Queues, t *table.Ticket, o fleet.Outcome) {
	c := counts(q, t)
	switch o {
	case fleet.Answered:
		c.Answered++
	case fleet.NotRun:
		c.NotRun++
	case fleet.Unknown:
		c.Unknown++
	}
	admission.Leave(usage(q, t))
	q.Open--
	d.closeIdle(q)
}
