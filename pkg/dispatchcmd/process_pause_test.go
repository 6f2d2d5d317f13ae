package dispatchcmd

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/pause"
	"egretline.example/egretline/internal/pause/pausecmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// newPausedFixture returns a dispatcher that notices pauses: times in which nothing reads the clocks.
func newPausedFixture() *fixture {
	f := newFixture(8, 3)
	p := pausecmd.New(f.Tables, func() {}, zerolog.Nop())
	p.ReadClocks = func() pause.Reading { return pause.Reading{Steady: time.Now()} }
	p.Observe()
	f.Pauses = p
	return f
}

// run lets the process run for the duration: it reads the clocks all the time.
func (f *fixture) run(d time.Duration) {
	go func() {
		for end := time.Now().Add(d); time.Now().Before(end); {
			<-time.After(200 * time.Millisecond)
			f.pausedSince(time.Now())
		}
	}()
}

// assertServiceTime compares the mean service time that the dispatcher has measured; zero if it has measured none.
func assertServiceTime(t *testing.T, f *fixture, want time.Duration) {
	t.Helper()
	f.Tables.Queues.Read(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		is.New(t).Equal(q.Services[service].Ranks[0].ServiceTime.Mean, want)
	})
	f.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for _, typical := range b.Typical {
			is.New(t).True(want > 0 && typical != nil)
		}
	})
}

// Guards against requests that are refused after a pause of the process as ones that would be late, and servers that are taken for
// slow or failing, because the time of the pause counted as theirs (docs/incidents/043).
func TestAgesAfterPause(t *testing.T) {
	oneRequest := func(t *testing.T, running bool, result table.Result, want time.Duration) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			const length = 3 * time.Second
			f := newPausedFixture()
			defer f.Close()
			if running {
				f.run(length)
			}
			r := &fakeRunner{Durations: sameDuration(length), Results: map[string]table.Result{"s0": result, "s1": result, "s2": result}}
			one := f.ticket("a", 20*time.Second, r)
			one.MaxPossibleRuns = 1
			f.roundTrip(one)
			assertServiceTime(t, f, want)
			f.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
				for _, s := range b.Services[service] {
					is.New(t).True(running || s.State.LastFailure.IsZero())
				}
			})
			synctest.Wait()
		})
	}
	succeeded := table.Result{Evidence: fleet.Succeeded, Sent: true, Response: true, Status: 200}
	failed := table.Result{Evidence: fleet.Failed, Sent: true}
	t.Run("a request during which the process ran", func(t *testing.T) { oneRequest(t, true, succeeded, 3*time.Second) })
	t.Run("a request during which it was paused", func(t *testing.T) { oneRequest(t, false, succeeded, 0) })
	t.Run("a request that failed while it was paused", func(t *testing.T) { oneRequest(t, false, failed, 0) })
}

// Guards against backup attempts that are all sent at the end of a pause of the process, because their timers fire before the
// responses that arrived meanwhile are read. They go to servers without need and use up the retry budget (docs/incidents/044).
func TestBackupAfterPause(t *testing.T) {
	oneRequest := func(t *testing.T, first, after time.Duration, attempts int) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			f := newPausedFixture()
			defer f.Close()
			durations := sameDuration(50 * time.Millisecond)
			durations["s0"] = first
			id := idSentToS0(f)
			one, record := f.backupTicket(durations, nil)
			one.ID = id
			assertAnswered(t, f, one, record, after, attempts)
			synctest.Wait()
		})
	}
	t.Run("the response arrived during the pause", func(t *testing.T) {
		const readAt = 2010 * time.Millisecond // 10 ms after the timer of the backup attempt
		oneRequest(t, readAt, readAt, 1)
	})
	t.Run("the server stalls", func(t *testing.T) {
		oneRequest(t, 20*time.Second, 2*time.Second+pause.UnreadResponseTimeout+50*time.Millisecond, 2)
	})
}
