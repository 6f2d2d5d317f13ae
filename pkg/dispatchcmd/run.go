package dispatchcmd

import (
	"net/http"
	"time"

	"egretline.example/egretline/pkg/decide/admission"
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
	a, r := d.send(a)
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
	if reason != retry.Complete {
		r.Ended = reason
	}
	r.Attempts = t.Attempt + 1
	r.Backups = t.Backups
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
		vacate(b, a, r, now)
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

// vacate returns the slot of the backend server.
func vacate(b *table.Backends, a table.Assignment, r table.Result, now time.Time) {
	if s, ok := b.Services[a.Ticket.Service][a.Server.Address]; ok {
		adapt(s, r.Evidence, now)
		s.Outstanding--
		delete(s.InFlight, a.Ticket.ID)
	}
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
