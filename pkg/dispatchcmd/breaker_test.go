package dispatchcmd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// recordFastFailure records a fast failure of the server, the given time ago, and thereby opens its circuit breaker.
func (f *fixture) recordFastFailure(address string, ago time.Duration) {
	f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s := &b.Services[service][address].State
		settings := detect.SettingsOf(fleet.Service{Preference: fleet.AvoidOnly})
		sample := detect.Sample{Evidence: fleet.Failed, Latency: time.Millisecond}
		detect.Observe(s, sample, detect.Baseline{Latency: time.Second}, settings, time.Now().Add(-ago))
	})
}

// assertSent runs the tickets one after another and fails if a server that is not allowed gets one.
func assertSent(t *testing.T, f *fixture, tickets []*table.Ticket, allowed ...string) {
	t.Helper()
	is := is.New(t)
	for _, one := range tickets {
		is.Equal(f.roundTrip(one).Outcome, fleet.Answered)
		for _, address := range one.Runner.(*fakeRunner).sent {
			ok := false
			for _, a := range allowed {
				ok = ok || a == address
			}
			is.True(ok)
		}
	}
}

func (f *fixture) tickets(count int) []*table.Ticket {
	var list []*table.Ticket
	for range count {
		list = append(list, f.ticket("a", time.Minute, &fakeRunner{}))
	}
	return list
}

// Guards against a node behind a partial network partition that limits itself to its even share of the few servers that
// it can reach.
func TestReach(t *testing.T) {
	unreachable := table.Result{Evidence: fleet.Unreachable}
	for name, c := range map[string]struct {
		results map[string]table.Result
		want    int
	}{
		"all servers are reached":      {nil, 1},
		"two of three are unreachable": {map[string]table.Result{"s0": unreachable, "s1": unreachable}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, 32, 3, func(is *is.I, f *fixture) {
				f.SetSharing(Sharing{Nodes: 3})
				for range 6 {
					f.roundTrip(f.ticket("a", time.Minute, &fakeRunner{Results: c.results}))
				}
				durations := map[string]time.Duration{"s0": time.Second, "s1": time.Second, "s2": time.Second}
				var busy []*table.Ticket
				for range 8 {
					busy = append(busy, f.ticket("a", time.Minute, &fakeRunner{Durations: durations, Results: c.results}))
				}
				wait := f.start(busy...)
				is.Equal(f.outstanding("s2"), c.want)
				wait()
			})
		})
	}
}

// Guards against downloads that cross availability zones while the servers of the node's zone have free slots.
func TestBulk(t *testing.T) {
	for name, c := range map[string]struct {
		bulk bool
		want int
	}{
		"downloads use all slots of the zone": {true, 2},
		"other requests use the even share":   {false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, 32, 3, func(is *is.I, f *fixture) {
				f.AvailabilityZone = "here"
				f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
					b.Services[service]["s1"].Server.AvailabilityZone = "here"
				})
				f.SetSharing(Sharing{Nodes: 3, NodesInZone: 1})
				var busy []*table.Ticket
				for range 3 {
					one := f.ticket("a", time.Minute, &fakeRunner{})
					one.Bulk = c.bulk
					busy = append(busy, one)
				}
				wait := f.start(busy...)
				is.Equal(f.outstanding("s1"), c.want)
				wait()
			})
		})
	}
}

func TestBreaker(t *testing.T) {
	t.Run("a server with an open breaker gets no requests while others serve", func(t *testing.T) {
		runInBubble(t, 8, 3, func(_ *is.I, f *fixture) {
			f.recordFastFailure("s0", 0)
			assertSent(t, f, f.tickets(20), "s1", "s2")
		})
	})
	// Guards against trial requests that use up the retry budget: a lightly loaded pool sends one only after the open
	// time of the breaker.
	t.Run("an idle pool sends no early trial request", func(t *testing.T) {
		runInBubble(t, 8, 3, func(_ *is.I, f *fixture) {
			f.recordFastFailure("s0", 3*time.Second)
			assertSent(t, f, f.tickets(20), "s1", "s2")
		})
	})
	t.Run("a half utilized pool sends an idempotent request as an early trial", func(t *testing.T) {
		runInBubble(t, 8, 3, func(is *is.I, f *fixture) {
			f.recordFastFailure("s0", 3*time.Second)
			busy := f.start(f.tickets(2)...)
			tried := f.ticket("a", time.Minute, &fakeRunner{})
			other := f.ticket("a", time.Minute, &fakeRunner{})
			other.Idempotent = false
			wait := f.start(other, tried)
			wait()
			busy()
			is.Equal(tried.Runner.(*fakeRunner).sent, []string{"s0"})
			is.True(other.Runner.(*fakeRunner).sent[0] != "s0")
		})
	})
	// Guards against recovered servers that stay unused in an overload: requests that cannot be retried were refused
	// while the breakers stayed open.
	t.Run("an overloaded pool sends any request as an early trial", func(t *testing.T) {
		runInBubble(t, 32, 3, func(is *is.I, f *fixture) {
			f.observeServiceTime(time.Second)
			f.recordFastFailure("s0", 3*time.Second)
			burst := f.nonIdempotentTickets(30, 6*time.Second)
			f.start(burst...)()
			is.True(sendCount(burst, "s0") > 2) // two trial requests, then regular requests
		})
	})
	// Guards against every node of an overloaded fleet losing a request to the same failing server at the same time.
	t.Run("in an overload only the node whose turn it is sends the trial", func(t *testing.T) {
		tried := 0
		for nodeIndex := range 4 {
			runInBubble(t, 32, 3, func(_ *is.I, f *fixture) {
				f.observeServiceTime(time.Second) // takes equally long for each node, which keeps their clocks equal
				f.SetSharing(Sharing{NodeIndex: nodeIndex, Nodes: 4})
				f.recordFastFailure("s0", 3*time.Second)
				wait := f.start(f.nonIdempotentTickets(24, 6*time.Second)...)
				tried += f.outstanding("s0")
				wait()
			})
		}
		is.New(t).Equal(tried, 1)
	})
	// Guards against bookings that fail as trial requests although the pool could serve all of them in time.
	t.Run("a pool with a short queue sends no non-idempotent request as a trial", func(t *testing.T) {
		runInBubble(t, 32, 3, func(is *is.I, f *fixture) {
			f.observeServiceTime(time.Second)
			f.recordFastFailure("s0", 3*time.Second)
			queued := f.nonIdempotentTickets(6, 20*time.Second)
			f.start(queued...)()
			is.Equal(sendCount(queued, "s0"), 0)
		})
	})
	// Guards against a pool that serves no requests because no circuit breaker is closed.
	t.Run("with all breakers open requests are still sent", func(t *testing.T) {
		runInBubble(t, 8, 2, func(_ *is.I, f *fixture) {
			f.recordFastFailure("s0", 0)
			f.recordFastFailure("s1", 0)
			assertSent(t, f, f.tickets(2), "s0", "s1")
		})
	})
}

// nonIdempotentTickets returns tickets of requests that take a second at each server.
func (f *fixture) nonIdempotentTickets(count int, timeout time.Duration) []*table.Ticket {
	durations := map[string]time.Duration{"s0": time.Second, "s1": time.Second, "s2": time.Second}
	var list []*table.Ticket
	for range count {
		one := f.ticket("a", timeout, &fakeRunner{Durations: durations})
		one.Idempotent = false
		list = append(list, one)
	}
	return list
}

// outstanding returns the number of requests that the dispatcher has outstanding at the server.
func (f *fixture) outstanding(address string) (number int) {
	f.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		number = b.Services[service][address].Outstanding
	})
	return number
}

// sendCount returns the number of attempts that the server got.
func sendCount(tickets []*table.Ticket, address string) int {
	got := 0
	for _, t := range tickets {
		for _, to := range t.Runner.(*fakeRunner).sent {
			if to == address {
				got++
			}
		}
	}
	return got
}
