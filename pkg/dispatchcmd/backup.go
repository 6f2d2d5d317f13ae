package dispatchcmd

import (
	"cmp"
	"context"
	"time"

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

// attempted is an attempt that has ended.
type attempted struct {
	table.Assignment
	Runner table.Runner
	Result table.Result
}

// send sends the request. If the attempt takes longer than the request's patience, a backup attempt goes to another
// server, and the first complete response counts. The first attempt goes on meanwhile: a request that takes long on one
// server mostly takes as long on another one, so that cutting it off would waste the work that was done.
func (d *Dispatcher) send(a table.Assignment) (table.Assignment, table.Result) {
	t := a.Ticket
	if !mayBackUp(t) {
		return a, t.Runner.Send(t.Context, a.Server)
	}
	ctx, overtake := context.WithCancelCause(t.Context)
	defer overtake(nil)
	backupCtx, stop := context.WithCancel(t.Context)
	defer stop()
	ended := make(chan *attempted, 1)
	timer := time.AfterFunc(t.Patience, func() {
		backup := d.backUp(backupCtx, a)
		if backup != nil && backup.Result.Evidence == fleet.Succeeded {
			overtake(OvertakenError{Address: a.Server.Address})
		}
		ended <- backup
	})
	first := &attempted{Assignment: a, Runner: t.Runner, Result: t.Runner.Send(ctx, a.Server)}
	if timer.Stop() {
		return a, first.Result
	}
	if first.Result.Evidence == fleet.Succeeded {
		stop()
	}
	backup := <-ended
	if backup == nil {
		return a, first.Result
	}
	if first.Result.Evidence == fleet.Canceled && t.Context.Err() == nil {
		first.Result.Evidence = fleet.Failed // the server was slower than another one that got the request later
		first.Result.Err = OvertakenError{Address: a.Server.Address}
	}
	return d.join(first, backup)
}

// mayBackUp says that the request may run on a second server while the first one works on it.
func mayBackUp(t *table.Ticket) bool {
	_, twice := t.Runner.(duplicator)
	return twice && t.Patience > 0 && t.Idempotent && (t.MaxRuns == 0 || t.Runs+1 < t.MaxRuns)
}

// join ends the attempt that lost against the other, and returns the one whose result counts.
func (d *Dispatcher) join(first, backup *attempted) (table.Assignment, table.Result) {
	t := first.Ticket
	winner, loser := first, backup
	if rating(backup.Result) > rating(first.Result) {
		winner, loser = backup, first
	}
	loser.Runner.Discard()
	now := time.Now()
	d.Health.Observe(now, loser.Assignment, loser.Result)
	d.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		vacate(b, loser.Assignment, loser.Result, now)
	})
	t.Runner = winner.Runner
	t.Backups++
	t.Tried = append(t.Tried, loser.Server.Address)
	if mayRun(loser.Result) > 0 {
		t.Runs++
		t.MaybeRun = true
	}
	return winner.Assignment, winner.Result
}

// rating orders results: a success, any other response, none.
func rating(r table.Result) int {
	switch {
	case r.Evidence == fleet.Succeeded:
		return 2
	case r.Response:
		return 1
	default:
		return 0
	}
}

// KeepAttempts ends the start of backup attempts. A node that is leaving lets servers finish what they work on.
func (d *Dispatcher) KeepAttempts() { d.keep.Store(true) }

// backUp sends the request to a second server, or returns nil if there is no time, no room or no budget for it. It runs on
// the goroutine of a timer; each worker has at most one.
func (d *Dispatcher) backUp(ctx context.Context, a table.Assignment) *attempted {
	now := time.Now()
	if d.keep.Load() || !d.timeFor(a.Ticket, now) {
		return nil
	}
	runner := a.Ticket.Runner.(duplicator).Duplicate()
	if runner == nil {
		return nil
	}
	server, reserved := d.reserve(a, now)
	if !reserved {
		return nil
	}
	backup := &attempted{Assignment: server, Runner: runner}
	d.Health.Started(now, server)
	backup.Result = runner.Send(ctx, server.Server)
	return backup
}

// reserve takes a slot of the welcome server with the most room, and pays for the attempt.
func (d *Dispatcher) reserve(a table.Assignment, now time.Time) (table.Assignment, bool) {
	t := a.Ticket
	var reserved bool
	out := table.Assignment{Ticket: t, Standing: detect.Welcome}
	d.Tables.Backends.Write(guard.Held{}, func(h guard.Held, b *table.Backends) {
		s := roomiest(b.Services[t.Service], a.Server.Address, now)
		if s == nil {
			return
		}
		d.Tables.Budgets.Write(h, func(_ guard.Held, g *table.Budgets) { reserved = retry.Pay(d.budget(g, t.Service)) })
		if !reserved {
			return
		}
		s.Outstanding++
		s.InFlight[t.ID] = table.InFlight{Started: now}
		out.Server, out.Outstanding = s.Server, s.Outstanding
	})
	return out, reserved
}

// roomiest returns the welcome server with the fewest outstanding requests except for the one at the address, or nil if
// none has room.
func roomiest(servers map[string]*table.Backend, except string, now time.Time) *table.Backend {
	var best *table.Backend
	for address, s := range servers {
		if address == except || !s.Limit.Allows(s.Outstanding) ||
			healthquery.UseOf(s, false, 0, now) != healthquery.NormalUse ||
			detect.StandingOf(&s.State, false, now) != detect.Welcome {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(s.Outstanding, best.Outstanding), cmp.Compare(address, best.Server.Address)) < 0 {
			best = s
		}
	}
	return best
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
