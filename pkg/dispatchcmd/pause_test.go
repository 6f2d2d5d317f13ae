package dispatchcmd

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthcmd"
	"egretline.example/egretline/pkg/table"
)

const (
	// budgetGrace is the time after a response with Retry-After within which requests may still reach the server, and
	// maxDuringPause the number that may reach it after that, until the pause ends.
	budgetGrace    = 500 * time.Millisecond
	maxDuringPause = 2
)

// pausingServers plays servers that turn every request away until a time, and ask for a pause each time.
type pausingServers struct {
	mu sync.Mutex
	// busyUntil is the time from which a server answers, by address, and pause what it asks for before.
	busyUntil map[string]time.Time
	pause     time.Duration
	// pausedFrom and pausedUntil give the longest pause that a server has asked for, and duringPause how many requests
	// reached it in that time.
	pausedFrom, pausedUntil map[string]time.Time
	duringPause             map[string]int
}

func newPausingServers(pause time.Duration, busy map[string]time.Duration) *pausingServers {
	p := &pausingServers{
		pause: pause, busyUntil: map[string]time.Time{}, pausedFrom: map[string]time.Time{}, pausedUntil: map[string]time.Time{},
		duringPause: map[string]int{},
	}
	for address, d := range busy {
		p.busyUntil[address] = time.Now().Add(d)
	}
	return p
}

// arrive records a request at the server and returns its result, and how long the server takes for it.
func (p *pausingServers) arrive(address string) (table.Result, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.After(p.pausedFrom[address].Add(budgetGrace)) && now.Before(p.pausedUntil[address]) {
		p.duringPause[address]++
	}
	if !now.Before(p.busyUntil[address]) {
		return table.Result{Evidence: fleet.Succeeded, Sent: true, Response: true, Status: 200}, 100 * time.Millisecond
	}
	if until := now.Add(p.pause); until.After(p.pausedUntil[address]) {
		p.pausedFrom[address], p.pausedUntil[address] = now, until
	}
	return table.Result{Evidence: fleet.Shed, Sent: true, Status: 503, PauseFor: p.pause}, 5 * time.Millisecond
}

// pausingRunner is a request to pausingServers.
type pausingRunner struct {
	fakeRunner
	servers *pausingServers
}

func (r *pausingRunner) Send(ctx context.Context, s fleet.BackendServer) table.Result {
	result, d := r.servers.arrive(s.Address)
	select {
	case <-time.After(d):
		return result
	case <-ctx.Done():
		return table.Result{Evidence: fleet.Failed, Sent: true, Err: ctx.Err()}
	}
}

// callDuring lets the callers send one request after another for the duration. Refused callers return when they are told
// to. It returns the results in the order of their end.
func callDuring(f *fixture, servers *pausingServers, callers int, d time.Duration) []table.Result {
	var mu sync.Mutex
	var results []table.Result
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for k := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * time.Millisecond)
			for n := 0; time.Now().Before(end); n++ {
				mu.Lock()
				t := f.ticket("", 5*time.Second, nil)
				mu.Unlock()
				t.ID, t.Runner, t.TargetLatency = fmt.Sprint(k, "-", n), &pausingRunner{servers: servers}, 2*time.Second
				r := f.roundTrip(t)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(max(r.RetryAfter, 50*time.Millisecond))
			}
		})
	}
	wg.Wait()
	return results
}

func newPauseFixture(servers int) *fixture {
	f := newFixture(64, servers)
	f.SetRetryBudgetParams(retryBudgetWithoutLimit())
	f.Tables.Config.Write(guard.Held{}, func(_ guard.Held, v *table.Config) {
		s := v.Compiled.Services[service]
		for i := range s.BackendServers {
			s.BackendServers[i].Instance = fmt.Sprint("i-", i)
		}
		(&healthcmd.Commands{Tables: f.Tables}).Sync(time.Now(), v.Compiled)
	})
	return f
}

// Guards against requests to servers that turned a request away with Retry-After, and against callers that wait for
// servers of which none will take a request. The load: 50 callers at three servers that are full for some seconds.
func TestPauses(t *testing.T) {
	const callers = 50
	play := func(t *testing.T, busy map[string]time.Duration, check func(*is.I, *pausingServers, []table.Result)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			f := newPauseFixture(3)
			servers := newPausingServers(3*time.Second, busy)
			results := callDuring(f, servers, callers, 12*time.Second)
			check(is.New(t), servers, results)
			f.Close()
			assertSettled(t, f)
		})
	}
	t.Run("one of three servers", func(t *testing.T) {
		play(t, map[string]time.Duration{"s0": 7 * time.Second}, func(is *is.I, p *pausingServers, results []table.Result) {
			is.True(p.duringPause["s0"] <= maxDuringPause)
			is.Equal(outcomes(results)[fleet.Answered], len(results)) // the other servers take all requests
		})
	})
	t.Run("all servers", func(t *testing.T) {
		busy := map[string]time.Duration{"s0": 4 * time.Second, "s1": 4 * time.Second, "s2": 4 * time.Second}
		play(t, busy, func(is *is.I, p *pausingServers, results []table.Result) {
			for address := range busy {
				is.True(p.duringPause[address] <= maxDuringPause)
			}
			for _, r := range results {
				var refused admission.RefusedError
				if errors.As(r.Err, &refused) && refused.Reason == admission.ServersPaused {
					is.True(r.QueueDelay < budgetGrace) // refused at once
					is.True(r.RetryAfter > 0 && r.RetryAfter <= 4*time.Second)
				}
				is.True(r.Outcome != fleet.Unknown)
			}
			is.True(outcomes(results)[fleet.Answered] > callers) // every caller is served after the pauses
		})
	})
}

// Guards against requests that wait in the queue of a service whose last server has asked for a pause.
func TestPauseWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPauseFixture(1)
		servers := newPausingServers(4*time.Second, map[string]time.Duration{"s0": time.Minute})
		var tickets []*table.Ticket
		for range 10 { // the server has two slots
			ticket := f.ticket("", 5*time.Second, nil)
			ticket.Runner = &pausingRunner{servers: servers}
			tickets = append(tickets, ticket)
		}
		started := time.Now()
		for _, r := range f.start(tickets...)() {
			is.Equal(r.Outcome, fleet.NotRun)
			is.True(r.RetryAfter > 3*time.Second)
		}
		is.True(time.Since(started) < budgetGrace)
		f.Close()
		assertSettled(t, f)
	})
}

func retryBudgetWithoutLimit() retry.BudgetParams {
	return retry.BudgetParams{Deposit: 1, MaxBalance: 1000, InitialBalance: 1000}
}
