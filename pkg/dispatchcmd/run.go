package dispatchcmd

import (
	"context"
	"net/http"
	"time"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// runAttempt is the job of a pool worker: it sends one attempt, and requeues or completes the request.
func (d *Dispatcher) runAttempt(a table.Assignment) {
	t := a.Ticket
	started := time.Now()
	d.Health.Started(started, a)
	a, r := d.sendWithBackup(a)
	d.Health.Responded(time.Now(), a, r)
	reason := d.decideRetry(a, r)
	if reason == retry.Allowed {
		t.Runner.Discard()
		d.releaseAttempt(a, r, started)
		d.requeue(a, r)
		return
	}
	if reason == retry.Waits {
		t.Runner.Discard()
		d.releaseAttempt(a, r, started)
		d.wait(a, r)
		return
	}
	r = d.finish(a, r, reason)
	d.releaseAttempt(a, r, started)
	d.settle(t, r)
}

// send sends one attempt. If the process was paused meanwhile, that is noticed before the latency is used.
func (d *Dispatcher) send(ctx context.Context, r table.Runner, s fleet.BackendServer) table.Result {
	started := time.Now()
	result := r.Send(ctx, s)
	d.pausedSince(started)
	return result
}

func (d *Dispatcher) pausedSince(t time.Time) bool { return d.Pauses != nil && d.Pauses.PausedSince(t) }

// finish delivers the response, or discards the attempt and determines the outcome of the request.
func (d *Dispatcher) finish(a table.Assignment, r table.Result, reason retry.Reason) table.Result {
	t := a.Ticket
	if r.Response {
		sent := r
		r = t.Runner.Deliver(t.Context)
		r.Latency, r.Bytes, r.RegistryAge = sent.Latency, sent.Bytes, sent.RegistryAge
	} else {
		t.Runner.Discard()
		r.Outcome = retry.Outcome(retryAttempt(a, r, 0))
		r.RetryAfter = d.retryAfterTurnedAway(t, d.retryAfter(t))
		r.Err = AttemptsError{Attempts: t.Attempt + 1, Reason: reason, Err: r.Err}
	}
	if reason != retry.Complete {
		r.EndReason = reason
	}
	r.Attempts = t.Attempt + 1
	r.Backups = t.Backups
	r.Address = a.Server.Address
	r.QueueDelay = t.Dispatched.Sub(t.Arrived)
	return r
}

// possibleRuns returns 1 if the attempt may have run the request, and 0 otherwise.
func possibleRuns(r table.Result) int {
	if retry.ProvenNotRun(retry.Attempt{Evidence: r.Evidence, Sent: r.Sent}) {
		return 0
	}
	return 1
}

// retryAttempt returns the input of the retry decision for the attempt. left is the time until the deadline.
func retryAttempt(a table.Assignment, r table.Result, left time.Duration) retry.Attempt {
	return retry.Attempt{
		Evidence:        r.Evidence,
		Idempotent:      a.Ticket.Idempotent,
		Sent:            r.Sent,
		MayHaveRun:      a.Ticket.MayHaveRun,
		BodyLost:        r.BodyLost,
		Attempts:        a.Ticket.Attempt + 1,
		TimeLeft:        left,
		PossibleRuns:    a.Ticket.PossibleRuns + possibleRuns(r),
		MaxPossibleRuns: a.Ticket.MaxPossibleRuns,
	}
}

// decideRetry decides whether the request is attempted again, and charges the service's retry budget for a retry.
func (d *Dispatcher) decideRetry(a table.Assignment, r table.Result) retry.Reason {
	t := a.Ticket
	left := time.Until(t.Deadline)
	if t.Context.Err() != nil {
		left = 0
	}
	w := d.waitingTicket(t, r.Evidence)
	var reason retry.Reason
	d.Tables.Budgets.Write(guard.Held{}, func(_ guard.Held, b *table.Budgets) {
		budget := d.budgetOf(b, t.Service)
		if budget.Params.Patient {
			reason = d.decidePatiently(b, a, r, w, left)
			return
		}
		if t.Attempt == 0 && !t.Repeated {
			retry.Deposit(budget)
		}
		reason = retry.Decide(retryAttempt(a, r, left), budget)
	})
	if reason == retry.Complete {
		return reason
	}
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		switch reason {
		case retry.Allowed:
			countsOf(q, t).Retries++
		case retry.Waits:
			countsOf(q, t).Waited++
		default:
			countsOf(q, t).NotRetried[reason]++
		}
	})
	return reason
}

// budgetOf returns the retry budget of the service.
func (*Dispatcher) budgetOf(b *table.Budgets, service string) *retry.Budget {
	budget, ok := b.Services[service]
	if !ok {
		full := retry.NewBudgetWithParams(b.Params)
		budget = &full
		b.Services[service] = budget
	}
	return budget
}

// requeue puts the ticket back into its queue for another attempt.
func (d *Dispatcher) requeue(a table.Assignment, r table.Result) {
	t := a.Ticket
	recordAttempt(a, r)
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		admission.Push(queueOf(q, t.Service), queueItem(t))
	})
	// A caller that canceled during the attempt found no waiting ticket to remove. The ticket is therefore removed here.
	if t.Context.Err() != nil && d.Cancel(t) {
		t.Done <- Abandoned(t)
		return
	}
	d.assignWaiting(time.Now(), t.Service)
}

// recordAttempt records in its ticket that an attempt ended and that the request is attempted again.
func recordAttempt(a table.Assignment, r table.Result) {
	t := a.Ticket
	t.MayHaveRun = t.MayHaveRun || !retry.ProvenNotRun(retryAttempt(a, r, 0))
	t.PossibleRuns += possibleRuns(r)
	t.TriedAddresses = append(t.TriedAddresses, a.Server.Address)
	t.Attempt++
}

// releaseAttempt records the result of the attempt, and frees the slot of the backend server and the worker.
func (d *Dispatcher) releaseAttempt(a table.Assignment, r table.Result, started time.Time) {
	now := time.Now()
	d.Health.Observe(now, a, r)
	d.recordZone(a, r)
	var allWorkersBusy bool
	d.Tables.Backends.Write(guard.Held{}, func(h guard.Held, b *table.Backends) {
		ageKnown := releaseSlot(b, a, r, now)
		d.Tables.Queues.Write(h, func(_ guard.Held, q *table.Queues) {
			allWorkersBusy = q.InFlight >= d.Workers
			q.InFlight--
			queue := queueOf(q, a.Ticket.Service)
			held := slotTime(r, now.Sub(started))
			if !ageKnown {
				held = 0
			}
			admission.ReleaseSlot(queue, a.Ticket.Rank, held)
			if hasObjective(a.Ticket) {
				admission.ObserveKind(queue, a.Ticket.Route, held, r.Evidence == fleet.Succeeded)
			}
		})
	})
	if allWorkersBusy {
		// Requests of any service may be waiting for a worker.
		d.assignAllServices(now)
		return
	}
	d.assignWaiting(now, a.Ticket.Service)
}

// releaseSlot frees the slot that the attempt holds at its backend server, and updates the concurrency limit of the
// server. It reports whether the age of the attempt is known: a pause of the process makes it seem older than it is.
func releaseSlot(b *table.Backends, a table.Assignment, r table.Result, now time.Time) (ageKnown bool) {
	s, ok := b.Services[a.Ticket.Service][a.Server.Address]
	if !ok {
		return true
	}
	ageKnown = !s.InFlight[a.Ticket.ID].Evidence.Discarded
	updateLimit(b, s, a, r.Evidence, now)
	if ageKnown {
		observeSpeed(b, s, a, r, now)
	}
	s.Outstanding--
	s.OutstandingBytes -= a.Ticket.BodyBytes
	delete(s.InFlight, a.Ticket.ID)
	return ageKnown
}

func updateLimit(b *table.Backends, s *table.Backend, a table.Assignment, e fleet.Evidence, now time.Time) {
	places := placesOf(b, a.Ticket.Service)
	switch e {
	case fleet.Succeeded:
		places.Acceptance.Observe(a.Outstanding, s.Limit, false)
		s.Limit.RaiseAfterSuccess(s.Outstanding, now)
	case fleet.Shed:
		places.Acceptance.Observe(a.Outstanding, s.Limit, true)
		if !places.Acceptance.Random() {
			places.Borrowing.ObserveShed(now)
			s.Limit.LowerAfterShed(now)
		}
	}
}

// slotTime returns the time for which a backend server worked on the attempt, or zero if it did not.
func slotTime(r table.Result, d time.Duration) time.Duration {
	if r.Evidence == fleet.Succeeded || r.Evidence == fleet.Failed {
		return d
	}
	return 0
}

// unservedResult returns the result of a ticket that leaves the queue without a further attempt.
func unservedResult(now time.Time, t *table.Ticket, err error) table.Result {
	return table.Result{
		Outcome: UnsentOutcome(t), Attempts: t.Attempt, QueueDelay: now.Sub(t.Arrived), RetryAfter: RetryAfter(err), Err: err,
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

// settle records the end of a request and sends its result to the caller.
func (d *Dispatcher) settle(t *table.Ticket, r table.Result) {
	// Trial requests are not counted: lost trials would raise the loss rate, which in turn allows more early trials.
	if r.Evidence != fleet.Canceled && !t.Trial {
		served := r.Outcome == fleet.Answered && r.Status < http.StatusInternalServerError
		d.Health.RequestEnded(time.Now(), t.Service, served)
	}
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		d.recordOutcome(q, t, r.Outcome)
	})
	t.Done <- r
}

// recordOutcome counts the outcome of the ticket and removes it from its tenant's usage.
func (d *Dispatcher) recordOutcome(q *table.Queues, t *table.Ticket, o fleet.Outcome) {
	c := countsOf(q, t)
	switch o {
	case fleet.Answered:
		c.Answered++
	case fleet.NotRun:
		c.NotRun++
	case fleet.Unknown:
		c.Unknown++
	}
	admission.ReleaseTenant(usageOf(q, t))
	q.Unfinished--
	d.closeIfDrained(q)
}
