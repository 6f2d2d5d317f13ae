package dispatchcmd

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// slowRunner is a request that takes the duration at the first server.
func slowRunner(d time.Duration) *fakeRunner {
	return &fakeRunner{Durations: map[string]time.Duration{"s0": d}}
}

// objectiveTicket returns a ticket with a latency objective of 1 s and a deadline after 6 s.
func (f *fixture) objectiveTicket(r *fakeRunner) *table.Ticket {
	t := f.ticket("a", 6*time.Second, r)
	t.Route, t.TargetLatency = "commands", time.Second
	return t
}

// sweepFor sweeps every 200 ms for the duration, and returns the changes of standing queues.
func (f *fixture) sweepFor(d time.Duration) []StandingChange {
	var changes []StandingChange
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(200 * time.Millisecond)
		f.Sweep(time.Now())
		changes = append(changes, f.StandingChanges(time.Now())...)
		synctest.Wait()
	}
	return changes
}

// assertEnded fails unless the result is a refusal for the reason after the given wait.
func assertEnded(t *testing.T, r table.Result, reason admission.Reason, wait time.Duration) {
	t.Helper()
	is := is.New(t)
	var refused admission.RefusedError
	is.True(errors.As(r.Err, &refused))
	is.Equal(refused.Reason, reason)
	is.Equal(r.Outcome, fleet.NotRun)
	is.Equal(r.QueueDelay, wait)
}

func TestStandingQueue(t *testing.T) {
	// Guards against callers that are held until their deadline, and then told nothing, by servers that are all silent.
	t.Run("a request behind silent servers is refused before its deadline", func(t *testing.T) {
		runInBubble(t, 8, 1, func(is *is.I, f *fixture) {
			silent := func() *table.Ticket { return f.ticket("a", time.Minute, slowRunner(time.Hour)) }
			waitSilent := f.start(silent(), silent())
			wait := f.start(f.objectiveTicket(slowRunner(0)))
			f.sweepFor(6 * time.Second)
			assertEnded(t, wait()[0], admission.NoProgress, 4200*time.Millisecond)
			f.Tables.Queues.Read(guard.Held{}, func(_ guard.Held, q *table.Queues) {
				is.Equal(q.Counts[table.CountKey{Service: service}].Refused[admission.NoProgress], int64(1))
			})
			waitSilent()
		})
	})
	t.Run("the begin and the end of a standing queue are reported once", func(t *testing.T) {
		runInBubble(t, 8, 1, func(is *is.I, f *fixture) {
			hold := func() *table.Ticket { return f.ticket("a", time.Minute, slowRunner(2900*time.Millisecond)) }
			waitHeld := f.start(hold(), hold())
			wait := f.start(f.objectiveTicket(slowRunner(0)))
			changes := f.sweepFor(5 * time.Second)
			is.Equal(len(changes), 2)
			is.True(changes[0].Standing && !changes[1].Standing)
			is.Equal(changes[0].Waiting, 1)
			is.Equal(changes[1].Lasted, 3*time.Second) // noticed by the next sweep
			is.Equal(outcomes(append(wait(), waitHeld()...))[fleet.Answered], 3)
		})
	})
	// Guards against service times that mix the work of different routes, and against those of fast failures.
	t.Run("the service time of a route comes from its answers", func(t *testing.T) {
		runInBubble(t, 8, 1, func(is *is.I, f *fixture) {
			failing := f.objectiveTicket(&fakeRunner{Results: map[string]table.Result{"s0": {Evidence: fleet.Failed, Sent: true}}})
			failing.Idempotent = false
			other := f.objectiveTicket(slowRunner(800 * time.Millisecond))
			other.Route = "polls"
			f.start(f.objectiveTicket(slowRunner(300*time.Millisecond)), failing)()
			f.start(other)()
			f.Tables.Queues.Read(guard.Held{}, func(_ guard.Held, q *table.Queues) {
				is.Equal(q.Services[service].Kinds["commands"].Answer.Mean, 300*time.Millisecond)
				is.True(q.Services[service].Kinds["commands"].Slot.Mean < 300*time.Millisecond) // the failure held a slot too
				is.Equal(q.Services[service].Kinds["polls"].Answer.Mean, 800*time.Millisecond)
			})
		})
	})
}

// Guards against late requests of a surge that all end at failing servers, and against waiting for sound servers that do
// not get to them.
func TestLateRequestWaitsForSoundServer(t *testing.T) {
	for name, c := range map[string]struct {
		objective, backlog, left time.Duration
		want                     bool
	}{
		"half of the time is left":                {time.Second, time.Hour, 3 * time.Second, true},
		"the backlog is below the time left":      {time.Second, 2 * time.Second, 2500 * time.Millisecond, true},
		"the backlog is too long":                 {time.Second, 3 * time.Second, 2500 * time.Millisecond, false},
		"no more than the objective is left":      {time.Second, 0, time.Second, false},
		"the request has only a deadline":         {0, 0, 2500 * time.Millisecond, false},
		"the objective is not below the deadline": {6 * time.Second, 0, 2500 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, 8, 2, func(is *is.I, f *fixture) {
				f.recordFastFailure("s1", 0)
				request := f.objectiveTicket(nil)
				request.TargetLatency = c.objective
				f.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
					p := servicePool{Servers: b.Services[service], Backlog: c.backlog}
					is.Equal(canWaitForClosed(p, request, request.Deadline.Add(-c.left)), c.want)
				})
				f.roundTrip(f.ticket("a", time.Minute, &fakeRunner{})) // assertSettled expects a queue
			})
		})
	}
}
