package dispatchcmd

import (
	"context"
	"maps"
	"slices"
	"time"

	"egretline.example/egretline/internal/decide/bytebudget"
	"egretline.example/egretline/internal/decide/pause"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
)

// duplicator is a runner that can carry its request over a second connection at the same time.
type duplicator interface {
	// Duplicate returns a runner of the same request, or nil if the request cannot be sent twice.
	Duplicate() table.Runner
}

// finishedAttempt is an attempt that has ended, with its result.
type finishedAttempt struct {
	table.Assignment
	Runner table.Runner
	Result table.Result
}

// sendWithBackup sends the request. If the attempt takes longer than the backup delay, a backup attempt goes to another
// server, and the first complete response wins. The first attempt continues meanwhile: a request that is slow on one
// server is usually as slow on another, and canceling it would waste the work already done. After a pause of the process,
// in which the delay may have passed, the backup attempt waits until responses that have arrived are read.
func (d *Dispatcher) sendWithBackup(a table.Assignment) (table.Assignment, table.Result) {
	t := a.Ticket
	if !allowsBackup(t) {
		return a, d.send(t.Context, t.Runner, a.Server)
	}
	ctx, cancelFirst := context.WithCancelCause(t.Context)
	defer cancelFirst(nil)
	backupCtx, cancelBackup := context.WithCancel(t.Context)
	defer cancelBackup()
	ended := make(chan *finishedAttempt, 1)
	started := time.Now()
	timer := time.AfterFunc(t.BackupDelay, func() {
		if d.pausedSince(started) {
			// The response may have arrived during the pause and not been read yet.
			awaitEnd(backupCtx, pause.UnreadResponseTimeout)
		}
		backup := d.runBackup(backupCtx, a)
		if backup != nil && backup.Result.Evidence == fleet.Succeeded {
			cancelFirst(SupersededError{Address: a.Server.Address})
		}
		ended <- backup
	})
	first := &finishedAttempt{Assignment: a, Runner: t.Runner, Result: d.send(ctx, t.Runner, a.Server)}
	if timer.Stop() {
		return a, first.Result
	}
	if first.Result.Evidence == fleet.Succeeded {
		cancelBackup()
	}
	backup := <-ended
	if backup == nil {
		return a, first.Result
	}
	if first.Result.Evidence == fleet.Canceled && t.Context.Err() == nil {
		first.Result.Evidence = fleet.Failed // the backup attempt, which started later, was faster
		first.Result.Err = SupersededError{Address: a.Server.Address}
	}
	return d.selectWinner(first, backup)
}

// awaitEnd returns when the context has ended, or after the timeout.
func awaitEnd(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	<-ctx.Done()
}

// allowsBackup reports whether the request may run on a second server while the first attempt is in progress.
func allowsBackup(t *table.Ticket) bool {
	_, duplicable := t.Runner.(duplicator)
	return duplicable && t.BackupDelay > 0 && t.Idempotent && (t.MaxPossibleRuns == 0 || t.PossibleRuns+1 < t.MaxPossibleRuns)
}

// selectWinner discards the losing attempt, and returns the assignment and result of the winning one.
func (d *Dispatcher) selectWinner(first, backup *finishedAttempt) (table.Assignment, table.Result) {
	t := first.Ticket
	winner, loser := first, backup
	if resultPreference(backup.Result) > resultPreference(first.Result) {
		winner, loser = backup, first
	}
	loser.Runner.Discard()
	now := time.Now()
	d.Health.Responded(now, loser.Assignment, loser.Result)
	d.Health.Observe(now, loser.Assignment, loser.Result)
	d.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		releaseSlot(b, loser.Assignment, loser.Result, now)
	})
	t.Runner = winner.Runner
	t.Backups++
	t.TriedAddresses = append(t.TriedAddresses, loser.Server.Address)
	if possibleRuns(loser.Result) > 0 {
		t.PossibleRuns++
		t.MayHaveRun = true
	}
	return winner.Assignment, winner.Result
}

// resultPreference orders results: a success is preferred to any other response, and a response to none.
func resultPreference(r table.Result) int {
	switch {
	case r.Evidence == fleet.Succeeded:
		return 2
	case r.Response:
		return 1
	default:
		return 0
	}
}

// DisableBackups disables further backup attempts. A node that is leaving lets servers finish their requests.
func (d *Dispatcher) DisableBackups() { d.backupsDisabled.Store(true) }

// runBackup sends the request to a second server. It returns nil if the remaining time, the concurrency limits or the
// retry budget do not allow it. It runs on a timer goroutine, of which each worker has at most one.
func (d *Dispatcher) runBackup(ctx context.Context, a table.Assignment) *finishedAttempt {
	now := time.Now()
	if ctx.Err() != nil || d.backupsDisabled.Load() || !d.hasTimeForAttempt(a.Ticket, now) {
		return nil
	}
	runner := a.Ticket.Runner.(duplicator).Duplicate()
	if runner == nil {
		return nil
	}
	assignment, reserved := d.reserveBackupSlot(a, now)
	if !reserved {
		return nil
	}
	backup := &finishedAttempt{Assignment: assignment, Runner: runner}
	d.Health.Started(now, assignment)
	backup.Result = d.send(ctx, runner, assignment.Server)
	return backup
}

// reserveBackupSlot takes a slot of a server with a closed circuit breaker, and pays for the attempt
// from the retry budget.
func (d *Dispatcher) reserveBackupSlot(a table.Assignment, now time.Time) (table.Assignment, bool) {
	t := a.Ticket
	var reserved bool
	out := table.Assignment{Ticket: t, BreakerState: detect.Closed}
	d.Tables.Backends.Write(guard.Held{}, func(h guard.Held, b *table.Backends) {
		s := d.chooseBackup(a, b, now)
		if s != nil && !bytebudget.ServerAllows(d.MaxServerBodyBytes, s.OutstandingBytes, t.BodyBytes, d.currentSharing().Nodes) {
			return
		}
		if s == nil {
			return
		}
		d.Tables.Budgets.Write(h, func(_ guard.Held, g *table.Budgets) { reserved = retry.TryWithdraw(d.budgetOf(g, t.Service)) })
		if !reserved {
			return
		}
		takeSlot(s, t, now)
		out.Server, out.Outstanding = s.Server, s.Outstanding
	})
	return out, reserved
}

// chooseBackup returns the server for a backup attempt of the assignment's ticket, or nil if no other server with a closed
// circuit breaker has a free slot.
func (d *Dispatcher) chooseBackup(a table.Assignment, b *table.Backends, now time.Time) *table.Backend {
	p := servicePool{Servers: b.Services[a.Ticket.Service], Placing: d.placing()}
	var candidates []admission.Server
	for _, address := range slices.Sorted(maps.Keys(p.Servers)) {
		s := p.Servers[address]
		if address == a.Server.Address || healthquery.UseOf(s, false, 0, now) != healthquery.NormalUse ||
			detect.BreakerStateOf(&s.State, false, now) != detect.Closed {
			continue
		}
		candidates = append(candidates, admission.Server{
			Address: address, Outstanding: s.Outstanding, Limit: s.Limit, LoadPenalty: stallingPenalty(s, detect.Closed, now),
		})
	}
	p.Placing.describe(candidates, p, a.Ticket, now)
	for n := range candidates {
		candidates[n].Due = false // a backup attempt has no time to find out whether an unused server is fast
	}
	n := admission.Choose(candidates, a.Ticket.ID, nil)
	if n < 0 {
		return nil
	}
	return p.Servers[candidates[n].Address]
}

// hasTimeForAttempt reports whether enough time is left before the deadline for another attempt.
func (d *Dispatcher) hasTimeForAttempt(t *table.Ticket, now time.Time) bool {
	var enough bool
	d.Tables.Queues.Read(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		queue, found := q.Services[t.Service]
		enough = found && admission.HasEnoughTime(queue, queueItem(t), now)
	})
	return enough
}
