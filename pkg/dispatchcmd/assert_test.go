package dispatchcmd

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthcmd"
	"egretline.example/egretline/pkg/table"
)

const service = "rental-desk"

// fakeRunner is a request that takes a given duration at each server (100 ms by default) and then has the given result.
type fakeRunner struct {
	Durations map[string]time.Duration
	Results   map[string]table.Result
	sent      []string
}

func (r *fakeRunner) Send(ctx context.Context, s fleet.BackendServer) table.Result {
	r.sent = append(r.sent, s.Address)
	duration, ok := r.Durations[s.Address]
	if !ok {
		duration = 100 * time.Millisecond
	}
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		return table.Result{Evidence: fleet.Failed, Sent: true, Err: ctx.Err()}
	}
	if result, ok := r.Results[s.Address]; ok {
		return result
	}
	return table.Result{Evidence: fleet.Succeeded, Sent: true, Response: true, Status: 200}
}

func (r *fakeRunner) Deliver(context.Context) table.Result {
	return table.Result{Outcome: fleet.Answered, Evidence: fleet.Succeeded, Sent: true, Response: true, Status: 200}
}

func (r *fakeRunner) Discard() {}

// failsFirstRunner is a request whose first attempt fails after it was sent.
type failsFirstRunner struct {
	fakeRunner
	failed bool
}

func (f *failsFirstRunner) Send(ctx context.Context, s fleet.BackendServer) table.Result {
	if !f.failed {
		f.failed = true
		return table.Result{Evidence: fleet.Failed, Sent: true}
	}
	return f.fakeRunner.Send(ctx, s)
}

// fixture is a dispatcher over servers with two slots each. Its ranks are urgent, with a share of 0.7, and archive.
type fixture struct {
	*Dispatcher
	lastID int
}

func newFixture(workers, servers int) *fixture {
	t := table.New(fleet.Host{ID: "self"}, "1")
	c := &fleet.Configuration{
		Ranks:    []fleet.Rank{{Name: "urgent", Share: 0.7}, {Name: "archive", Share: 0.3, SlotLimit: 0.5}},
		Services: map[string]fleet.Service{},
	}
	s := fleet.Service{Name: service, GroupSize: 1, Floor: servers}
	for n := range servers {
		s.BackendServers = append(s.BackendServers, fleet.BackendServer{Address: fmt.Sprint("s", n), Slots: 2})
	}
	c.Services[service] = s
	t.Config.Write(guard.Held{}, func(_ guard.Held, v *table.Config) { v.Compiled = c })
	health := &healthcmd.Commands{Tables: t}
	health.Sync(time.Now(), c)
	return &fixture{Dispatcher: New(t, health, workers)}
}

// ticket returns a ticket of the tenant with the given time until its deadline.
func (f *fixture) ticket(tenant string, timeout time.Duration, r *fakeRunner) *table.Ticket {
	f.lastID++
	now := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), now.Add(timeout))
	context.AfterFunc(ctx, cancel)
	return &table.Ticket{
		ID: fmt.Sprint(f.lastID), Service: service, Tenant: tenant, Idempotent: true, Arrived: now,
		Deadline: now.Add(timeout), Context: ctx, Runner: r, Done: make(chan table.Result, 1),
	}
}

// roundTrip admits the ticket and returns its result, as the front end of a host does.
func (f *fixture) roundTrip(t *table.Ticket) table.Result {
	if err := f.Admit(time.Now(), t); err != nil {
		return table.Result{Outcome: fleet.NotRun, RetryAfter: RetryAfter(err), Err: err}
	}
	select {
	case r := <-t.Done:
		return r
	case <-t.Context.Done():
	}
	if f.Cancel(t) {
		return Abandoned(t)
	}
	return <-t.Done
}

// start runs roundTrip for each ticket on its own goroutine. The returned function waits for all results.
func (f *fixture) start(tickets ...*table.Ticket) func() []table.Result {
	results := make([]table.Result, len(tickets))
	done := make(chan struct{})
	for k, t := range tickets {
		go func() {
			results[k] = f.roundTrip(t)
			done <- struct{}{}
		}()
		synctest.Wait()
	}
	return func() []table.Result {
		for range tickets {
			<-done
		}
		return results
	}
}

func outcomes(results []table.Result) map[fleet.Outcome]int {
	m := map[fleet.Outcome]int{}
	for _, r := range results {
		m[r.Outcome]++
	}
	return m
}

// assertSettled fails if the tables still hold a request.
func assertSettled(t *testing.T, f *fixture) {
	t.Helper()
	is := is.New(t)
	f.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for _, s := range b.Services[service] {
			is.Equal(s.Outstanding, 0)
			is.Equal(len(s.InFlight), 0)
		}
	})
	f.Tables.Queues.Read(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		is.Equal(q.InFlight, 0)
		is.Equal(q.Unfinished, 0)
		for _, u := range q.Tenants {
			is.Equal(u.InFlight, 0)
		}
		for _, r := range q.Services[service].Ranks {
			is.Equal(r.Held, 0)
			is.Equal(r.Waiting, 0)
		}
	})
}

// runInBubble runs a test in a synctest bubble, closes the dispatcher and asserts that no request is left.
func runInBubble(t *testing.T, workers, servers int, run func(*is.I, *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(workers, servers)
		run(is.New(t), f)
		f.Close()
		assertSettled(t, f)
	})
}
