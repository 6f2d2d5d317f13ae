package dispatchcmd

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

func TestQueueing(t *testing.T) {
	t.Run("an urgent request is dispatched before waiting archive requests", func(t *testing.T) {
		runInBubble(t, 8, 1, func(is *is.I, f *fixture) {
			var tickets []*table.Ticket
			for range 6 {
				tickets = append(tickets, f.ticket("a", time.Minute, &fakeRunner{}))
				tickets[len(tickets)-1].Rank = 1
			}
			urgent := f.ticket("b", time.Minute, &fakeRunner{})
			wait := f.start(append(tickets, urgent)...)
			is.Equal(outcomes(wait())[fleet.Answered], 7)
			is.Equal(urgent.Dispatched.Sub(urgent.Arrived), time.Duration(0)) // the slot limit keeps one slot free
		})
	})
	t.Run("requests are shed early with a retry delay in an overload", func(t *testing.T) {
		runInBubble(t, 8, 1, func(is *is.I, f *fixture) {
			for range 20 { // the dispatcher observes that every request takes 100 ms
				is.Equal(f.roundTrip(f.ticket("a", time.Second, &fakeRunner{})).Outcome, fleet.Answered)
			}
			var tickets []*table.Ticket
			for range 60 {
				tickets = append(tickets, f.ticket("a", time.Second, &fakeRunner{}))
			}
			results := f.start(tickets...)()
			is.True(outcomes(results)[fleet.Answered] >= 14) // two slots, 100 ms each, for most of a second
			for _, r := range results {
				is.True(r.Outcome != fleet.Unknown) // no request is dispatched that cannot meet its deadline
				if r.Outcome == fleet.NotRun {
					is.True(r.RetryAfter >= time.Second)
				}
			}
		})
	})
	t.Run("a request whose deadline passes in the queue is not run", func(t *testing.T) {
		runInBubble(t, 8, 1, func(is *is.I, f *fixture) {
			slow := map[string]time.Duration{"s0": 10 * time.Second}
			wait := f.start(
				f.ticket("a", time.Minute, &fakeRunner{Durations: slow}), f.ticket("a", time.Minute, &fakeRunner{Durations: slow}),
				f.ticket("a", time.Second, &fakeRunner{}),
			)
			results := wait()
			is.Equal(results[2].Outcome, fleet.NotRun)
			is.True(errors.As(results[2].Err, &ExpiredError{}))
			is.Equal(outcomes(results)[fleet.Answered], 2)
		})
	})
	t.Run("a canceled caller leaves the queue and is never dispatched", func(t *testing.T) {
		runInBubble(t, 8, 1, func(is *is.I, f *fixture) {
			canceled := f.ticket("a", time.Minute, &fakeRunner{})
			ctx, cancel := context.WithCancel(canceled.Context)
			canceled.Context = ctx
			wait := f.start(f.ticket("a", time.Minute, &fakeRunner{}), f.ticket("a", time.Minute, &fakeRunner{}), canceled)
			cancel()
			results := wait()
			is.True(errors.As(results[2].Err, &AbandonedError{}))
			is.Equal(len(canceled.Runner.(*fakeRunner).sent), 0)
		})
	})
	t.Run("a tenant's limit in one rank does not affect its other rank", func(t *testing.T) {
		runInBubble(t, 8, 1, func(is *is.I, f *fixture) {
			var tickets []*table.Ticket
			for k := range 5 {
				ticket := f.ticket("a", time.Minute, &fakeRunner{})
				ticket.Limits.InFlight = 2
				if k < 4 {
					ticket.Rank = 1
				}
				tickets = append(tickets, ticket)
			}
			results := f.start(tickets...)()
			is.Equal(outcomes(results)[fleet.NotRun], 2) // archives over the limit
			is.Equal(results[4].Outcome, fleet.Answered)
		})
	})
	t.Run("a tenant over its limit is refused and other tenants are not", func(t *testing.T) {
		runInBubble(t, 8, 4, func(is *is.I, f *fixture) {
			one, two, other := f.ticket("a", time.Second, &fakeRunner{}), f.ticket("a", time.Second, &fakeRunner{}), f.ticket("b", time.Second, &fakeRunner{})
			for _, t := range []*table.Ticket{one, two, other} {
				t.Limits.InFlight = 1
			}
			results := f.start(one, two, other)()
			is.Equal(outcomes(results), map[fleet.Outcome]int{fleet.Answered: 2, fleet.NotRun: 1})
			is.True(errors.As(results[1].Err, &admission.RefusedError{}))
		})
	})
}

func TestAttempts(t *testing.T) {
	failed := table.Result{Evidence: fleet.Failed, Sent: true, Err: context.DeadlineExceeded}
	everywhere := func(r table.Result) map[string]table.Result {
		return map[string]table.Result{"s0": r, "s1": r, "s2": r}
	}
	t.Run("a retry goes to another server", func(t *testing.T) {
		runInBubble(t, 8, 3, func(is *is.I, f *fixture) {
			r := &fakeRunner{Results: everywhere(failed)}
			result := f.roundTrip(f.ticket("a", time.Minute, r))
			is.Equal(result.Outcome, fleet.Unknown)
			is.True(len(r.sent) > 2)
			for k := range r.sent[1:] {
				is.True(r.sent[k] != r.sent[k+1])
			}
		})
	})
	t.Run("the retry budget runs out", func(t *testing.T) {
		runInBubble(t, 8, 3, func(is *is.I, f *fixture) {
			sent := 0
			for range 20 {
				r := &fakeRunner{Results: everywhere(failed)}
				f.roundTrip(f.ticket("a", time.Minute, r))
				sent += len(r.sent)
			}
			is.True(sent <= 20+int(retry.DefaultMaxBalance)+2) // 20 first attempts, the cap, and a tenth of 20
			is.True(sent >= 20+int(retry.DefaultMaxBalance))   // the budget is used
		})
	})
	t.Run("a request that is not idempotent is sent once unless the server refuses it", func(t *testing.T) {
		shed := table.Result{Evidence: fleet.Shed, Sent: true, Err: context.DeadlineExceeded}
		for name, c := range map[string]struct {
			result  table.Result
			once    bool
			outcome fleet.Outcome
		}{
			"failed": {failed, true, fleet.Unknown},
			"shed":   {shed, false, fleet.NotRun},
		} {
			t.Run(name, func(t *testing.T) {
				runInBubble(t, 8, 3, func(is *is.I, f *fixture) {
					r := &fakeRunner{Results: everywhere(c.result)}
					ticket := f.ticket("a", time.Minute, r)
					ticket.Idempotent = false
					is.Equal(f.roundTrip(ticket).Outcome, c.outcome)
					is.Equal(len(r.sent) == 1, c.once)
				})
			})
		}
	})
	t.Run("a request that failed once and was then refused has an unknown outcome", func(t *testing.T) {
		runInBubble(t, 8, 3, func(is *is.I, f *fixture) {
			r := &failsFirstRunner{fakeRunner: fakeRunner{Results: everywhere(table.Result{Evidence: fleet.Shed, Sent: true})}}
			ticket := f.ticket("a", time.Minute, nil)
			ticket.Runner = r
			is.Equal(f.roundTrip(ticket).Outcome, fleet.Unknown)
			is.True(len(r.sent) > 0) // a second attempt was refused
		})
	})
	t.Run("a request that failed once and was then canceled has an unknown outcome", func(t *testing.T) {
		is.New(t).Equal(Abandoned(&table.Ticket{Context: context.Background(), MayHaveRun: true}).Outcome, fleet.Unknown)
	})
	t.Run("requests to a stalled server end at their deadline and do not delay others", func(t *testing.T) {
		runInBubble(t, 16, 3, func(is *is.I, f *fixture) {
			stalled := map[string]time.Duration{"s0": time.Hour}
			var tickets []*table.Ticket
			for range 6 {
				tickets = append(tickets, f.ticket("a", 2*time.Second, &fakeRunner{Durations: stalled}))
			}
			results := f.start(tickets...)()
			is.Equal(outcomes(results), map[fleet.Outcome]int{fleet.Answered: 4, fleet.Unknown: 2})
		})
	})
	t.Run("shed responses lower the limit and the requests go to another server", func(t *testing.T) {
		runInBubble(t, 8, 2, func(is *is.I, f *fixture) {
			r := &fakeRunner{Results: map[string]table.Result{"s0": {Evidence: fleet.Shed, Sent: true, Err: context.Canceled}}}
			for range 10 {
				is.Equal(f.roundTrip(f.ticket("a", time.Minute, r)).Outcome, fleet.Answered)
			}
			f.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
				is.True(b.Services[service]["s0"].Limit.Value < 2)
			})
		})
	})
}

func TestWorkers(t *testing.T) {
	t.Run("at most one request per worker runs at a time", func(t *testing.T) {
		runInBubble(t, 2, 4, func(is *is.I, f *fixture) {
			var tickets []*table.Ticket
			for range 8 {
				tickets = append(tickets, f.ticket("a", time.Minute, &fakeRunner{}))
			}
			begin := time.Now()
			is.Equal(outcomes(f.start(tickets...)())[fleet.Answered], 8)
			is.Equal(time.Since(begin), 400*time.Millisecond) // 8 requests of 100 ms on 2 workers
		})
	})
	t.Run("close completes queued and running requests, and admits no more", func(t *testing.T) {
		runInBubble(t, 8, 1, func(is *is.I, f *fixture) {
			var tickets []*table.Ticket
			for range 5 {
				tickets = append(tickets, f.ticket("a", time.Minute, &fakeRunner{}))
			}
			wait := f.start(tickets...)
			closed := make(chan struct{})
			go func() {
				f.Close()
				close(closed)
			}()
			synctest.Wait()
			is.True(errors.As(f.roundTrip(f.ticket("a", time.Minute, &fakeRunner{})).Err, &ClosingError{}))
			is.Equal(outcomes(wait())[fleet.Answered], 5)
			<-closed
		})
	})
}
