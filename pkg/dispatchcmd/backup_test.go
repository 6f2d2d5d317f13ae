package dispatchcmd

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// duplicableRunner is a request that can be sent to two servers at the same time. Its duplicates share one record of
// the attempts.
type duplicableRunner struct {
	fakeRunner
	Shared *attemptRecord
}

type attemptRecord struct {
	mu        sync.Mutex
	sent      []string
	delivered int
	discarded int
}

func (d *duplicableRunner) Send(ctx context.Context, s fleet.BackendServer) table.Result {
	d.Shared.mu.Lock()
	d.Shared.sent = append(d.Shared.sent, s.Address)
	d.Shared.mu.Unlock()
	result := d.fakeRunner.Send(ctx, s)
	if ctx.Err() != nil && result.Evidence == fleet.Failed {
		result.Evidence = fleet.Canceled
	}
	return result
}

func (d *duplicableRunner) Deliver(ctx context.Context) table.Result {
	d.Shared.delivered++
	return d.fakeRunner.Deliver(ctx)
}

func (d *duplicableRunner) Discard() { d.Shared.discarded++ }

func (d *duplicableRunner) Duplicate() table.Runner {
	return &duplicableRunner{fakeRunner: fakeRunner{Durations: d.Durations, Results: d.Results}, Shared: d.Shared}
}

// backupTicket returns a ticket with a deadline of four seconds and a backup delay of two.
func (f *fixture) backupTicket(durations map[string]time.Duration, results map[string]table.Result) (*table.Ticket, *attemptRecord) {
	record := &attemptRecord{}
	t := f.ticket("a", 4*time.Second, nil)
	t.Runner = &duplicableRunner{fakeRunner: fakeRunner{Durations: durations, Results: results}, Shared: record}
	t.BackupDelay, t.MaxPossibleRuns = 2*time.Second, 2
	return t, record
}

func sameDuration(d time.Duration) map[string]time.Duration {
	return map[string]time.Duration{"s0": d, "s1": d, "s2": d}
}

// assertAnswered fails unless the request is answered after the given time, with the given number of attempts.
func assertAnswered(t *testing.T, f *fixture, one *table.Ticket, record *attemptRecord, after time.Duration, attempts int) {
	t.Helper()
	is := is.New(t)
	r := f.roundTrip(one)
	is.Equal(r.Outcome, fleet.Answered)
	is.Equal(time.Since(one.Arrived), after)
	is.Equal(len(record.sent), attempts)
	is.Equal(record.delivered, 1)
	is.Equal(record.discarded, attempts-1) // the connection of the losing attempt is closed
}

func TestBackup(t *testing.T) {
	// Guards against a stalled server that uses up the time of a request which another server can answer.
	t.Run("the backup of a stalled attempt wins", func(t *testing.T) {
		runInBubble(t, 8, 2, func(_ *is.I, f *fixture) {
			id := idSentToS0(f)
			one, record := f.backupTicket(map[string]time.Duration{"s0": time.Minute, "s1": time.Second}, nil)
			one.ID = id
			assertAnswered(t, f, one, record, 3*time.Second, 2)
		})
	})
	// Guards against backup attempts at all nodes that go to a server because it was not used for some time.
	t.Run("a backup goes to a server with a warm connection", func(t *testing.T) {
		runInBubble(t, 8, 3, func(is *is.I, f *fixture) {
			f.Conns = &fakeConns{idle: map[string]time.Time{"s0": time.Now().Add(-time.Second), "s1": time.Now()}}
			one, record := f.backupTicket(map[string]time.Duration{"s0": time.Minute, "s1": time.Second, "s2": time.Second}, nil)
			f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
				b.Services[service]["s1"].State.LastRequestResult = time.Now().Add(time.Second)
			})
			f.roundTrip(one)
			is.Equal(record.sent, []string{"s0", "s1"})
		})
	})
	// Guards against canceling a request that is slow on every server: canceled after half of its time, it never
	// completes.
	t.Run("a long request is answered by its first server", func(t *testing.T) {
		runInBubble(t, 8, 3, func(_ *is.I, f *fixture) {
			one, record := f.backupTicket(sameDuration(3*time.Second), nil)
			assertAnswered(t, f, one, record, 3*time.Second, 2)
		})
	})
	t.Run("a short request has no backup", func(t *testing.T) {
		runInBubble(t, 8, 3, func(_ *is.I, f *fixture) {
			one, record := f.backupTicket(sameDuration(time.Second), nil)
			assertAnswered(t, f, one, record, time.Second, 1)
		})
	})
	// Guards against an error response that wins over a success which arrives shortly after it.
	t.Run("the first attempt wins if the backup fails", func(t *testing.T) {
		runInBubble(t, 8, 2, func(_ *is.I, f *fixture) {
			failed := map[string]table.Result{"s1": {Evidence: fleet.Failed, Sent: true, Response: true, Status: 500}}
			id := idSentToS0(f)
			one, record := f.backupTicket(map[string]time.Duration{"s0": 3 * time.Second, "s1": time.Millisecond}, failed)
			one.ID = id
			assertAnswered(t, f, one, record, 3*time.Second, 2)
		})
	})
	t.Run("the backup wins if the first attempt fails", func(t *testing.T) {
		runInBubble(t, 8, 2, func(_ *is.I, f *fixture) {
			failed := map[string]table.Result{"s0": {Evidence: fleet.Failed, Sent: true, Response: true, Status: 500}}
			id := idSentToS0(f)
			one, record := f.backupTicket(map[string]time.Duration{"s0": 2500 * time.Millisecond, "s1": time.Second}, failed)
			one.ID = id
			assertAnswered(t, f, one, record, 3*time.Second, 2)
		})
	})
	// Guards against duplicate work without a benefit, and against more runs than the route allows.
	for name, prepare := range map[string]func(*fixture, *table.Ticket){
		"without retry budget":                       func(f *fixture, _ *table.Ticket) { f.SetRetryBudgetParams(retry.BudgetParams{}) },
		"on a leaving node":                          func(f *fixture, _ *table.Ticket) { f.DisableBackups() },
		"without enough time left":                   func(f *fixture, _ *table.Ticket) { f.observeServiceTime(1500 * time.Millisecond) },
		"of a route that allows one server":          func(_ *fixture, t *table.Ticket) { t.MaxPossibleRuns = 1 },
		"of a request that must not be repeated":     func(_ *fixture, t *table.Ticket) { t.Idempotent = false },
		"while the other server has an open breaker": func(f *fixture, _ *table.Ticket) { f.recordFastFailure("s1", 0) },
		"of a request whose body can be sent once":   func(_ *fixture, t *table.Ticket) { t.Runner = &singleUseRunner{Runner: t.Runner} },
	} {
		t.Run("there is no backup "+name, func(t *testing.T) {
			runInBubble(t, 8, 2, func(_ *is.I, f *fixture) {
				one, record := f.backupTicket(sameDuration(3*time.Second), nil)
				one.ID = idSentToS0(f)
				prepare(f, one)
				one.Arrived, one.Deadline = time.Now(), time.Now().Add(4*time.Second)
				one.Context = context.Background()
				assertAnswered(t, f, one, record, 3*time.Second, 1)
			})
		})
	}
	// Guards against a third run of a request whose route allows two.
	t.Run("there is no third attempt after two failures", func(t *testing.T) {
		runInBubble(t, 8, 3, func(is *is.I, f *fixture) {
			failed := table.Result{Evidence: fleet.Failed, Sent: true, Response: true, Status: 500}
			one, record := f.backupTicket(sameDuration(2500*time.Millisecond), map[string]table.Result{"s0": failed, "s1": failed, "s2": failed})
			one.Deadline = one.Arrived.Add(time.Minute)
			one.Context = context.Background()
			r := f.roundTrip(one)
			is.Equal(len(record.sent), 2)
			is.Equal(r.EndReason, retry.RunsSpent)
		})
	})
	t.Run("a canceled caller ends both attempts", func(t *testing.T) {
		runInBubble(t, 8, 2, func(is *is.I, f *fixture) {
			one, record := f.backupTicket(sameDuration(time.Minute), nil)
			ctx, cancel := context.WithTimeout(one.Context, 3*time.Second)
			defer cancel()
			one.Context = ctx
			r := f.roundTrip(one)
			is.Equal(r.Outcome, fleet.Unknown)
			is.Equal(time.Since(one.Arrived), 3*time.Second)
			is.Equal(len(record.sent), 2)
		})
	})
}

// singleUseRunner hides the Duplicate method of a runner.
type singleUseRunner struct{ table.Runner }

// idSentToS0 returns the ID of a request whose first attempt goes to s0.
func idSentToS0(f *fixture) string {
	for {
		probe := f.ticket("a", time.Minute, &fakeRunner{})
		f.roundTrip(probe)
		if probe.Runner.(*fakeRunner).sent[0] == "s0" {
			return probe.ID
		}
	}
}

// observeServiceTime makes the dispatcher observe requests with the given service time.
func (f *fixture) observeServiceTime(serviceTime time.Duration) {
	for range 20 {
		f.roundTrip(f.ticket("a", time.Minute, &fakeRunner{Durations: map[string]time.Duration{"s0": serviceTime, "s1": serviceTime}}))
	}
	f.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		q.Services[service].Ranks[0].ServiceTime.Deviation = serviceTime
	})
}
