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

// failFast records a fast failure of the server some time ago.
func (n *node) failFast(address string, ago time.Duration) {
	n.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s := &b.Services[service][address].State
		settings := detect.SettingsOf(fleet.Service{Preference: fleet.AvoidOnly})
		x := detect.Sample{Evidence: fleet.Failed, Latency: time.Millisecond}
		detect.Observe(s, x, detect.Baseline{Latency: time.Second}, settings, time.Now().Add(-ago))
	})
}

// assertSent runs the tickets one after another and compares the servers that got them with those allowed.
func assertSent(t *testing.T, n *node, tickets []*table.Ticket, allowed ...string) {
	t.Helper()
	is := is.New(t)
	for _, one := range tickets {
		is.Equal(n.do(one).Outcome, fleet.Answered)
		for _, address := range one.Runner.(*runner).sent {
			ok := false
			for _, a := range allowed {
				ok = ok || a == address
			}
			is.True(ok)
		}
	}
}

func (n *node) tickets(count int) []*table.Ticket {
	var list []*table.Ticket
	for range count {
		list = append(list, n.ticket("a", time.Minute, &runner{}))
	}
	return list
}

// TestReach guards against a node behind a partial cut that keeps to its even share of the few servers that it reaches.
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
			trial(t, 32, 3, func(is *is.I, n *node) {
				n.SetSharing(Sharing{Nodes: 3})
				for range 6 {
					n.do(n.ticket("a", time.Minute, &runner{Results: c.results}))
				}
				takes := map[string]time.Duration{"s0": time.Second, "s1": time.Second, "s2": time.Second}
				var busy []*table.Ticket
				for range 8 {
					busy = append(busy, n.ticket("a", time.Minute, &runner{Takes: takes, Results: c.results}))
				}
				wait := n.start(busy...)
				is.Equal(n.outstanding("s2"), c.want)
				wait()
			})
		})
	}
}

// TestBulk guards against downloads that cross zones although the servers of the zone have free slots.
func TestBulk(t *testing.T) {
	for name, c := range map[string]struct {
		bulk bool
		want int
	}{
		"downloads use all slots of the zone": {true, 2},
		"other requests use the even share":   {false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			trial(t, 32, 3, func(is *is.I, n *node) {
				n.AvailabilityZone = "here"
				n.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
					b.Services[service]["s1"].Server.AvailabilityZone = "here"
				})
				n.SetSharing(Sharing{Nodes: 3, InZone: 1})
				var busy []*table.Ticket
				for range 3 {
					one := n.ticket("a", time.Minute, &runner{})
					one.Bulk = c.bulk
					busy = append(busy, one)
				}
				wait := n.start(busy...)
				is.Equal(n.outstanding("s1"), c.want)
				wait()
			})
		})
	}
}

func TestAvoidance(t *testing.T) {
	t.Run("an avoided server gets nothing while others serve", func(t *testing.T) {
		trial(t, 8, 3, func(_ *is.I, n *node) {
			n.failFast("s0", 0)
			assertSent(t, n, n.tickets(20), "s1", "s2")
		})
	})
	// Guards against trials that use up the retry budget: a pool with room tries a server when its time is over, not
	// before.
	t.Run("an idle pool does not try a server early", func(t *testing.T) {
		trial(t, 8, 3, func(_ *is.I, n *node) {
			n.failFast("s0", 3*time.Second)
			assertSent(t, n, n.tickets(20), "s1", "s2")
		})
	})
	t.Run("a pool that is half full tries it early by an idempotent request", func(t *testing.T) {
		trial(t, 8, 3, func(is *is.I, n *node) {
			n.failFast("s0", 3*time.Second)
			busy := n.start(n.tickets(2)...)
			tried := n.ticket("a", time.Minute, &runner{})
			other := n.ticket("a", time.Minute, &runner{})
			other.Idempotent = false
			wait := n.start(other, tried)
			wait()
			busy()
			is.Equal(tried.Runner.(*runner).sent, []string{"s0"})
			is.True(other.Runner.(*runner).sent[0] != "s0")
		})
	})
	// Guards against an overload in which servers that have recovered stay unused: requests that cannot be repeated are
	// refused while the pool waits for the end of an avoidance.
	t.Run("a crowded pool tries it early by any request", func(t *testing.T) {
		trial(t, 32, 3, func(is *is.I, n *node) {
			n.learn(time.Second)
			n.failFast("s0", 3*time.Second)
			flood := n.unsafe(30, 6*time.Second)
			n.start(flood...)()
			is.True(count(flood, "s0") > 2) // two trials and regular requests after them
		})
	})
	// Guards against a failing server that loses a request of each node of a crowded fleet at a time.
	t.Run("a crowded pool leaves the trial to the node whose turn it is", func(t *testing.T) {
		tried := 0
		for place := range 4 {
			trial(t, 32, 3, func(_ *is.I, n *node) {
				n.learn(time.Second) // takes the same time at each node, so that all of them look at the same time
				n.SetSharing(Sharing{Place: place, Nodes: 4})
				n.failFast("s0", 3*time.Second)
				wait := n.start(n.unsafe(24, 6*time.Second)...)
				tried += n.outstanding("s0")
				wait()
			})
		}
		is.New(t).Equal(tried, 1)
	})
	// Guards against bookings that are lost to trials of a pool which serves all of them in time.
	t.Run("a pool with a short queue does not", func(t *testing.T) {
		trial(t, 32, 3, func(is *is.I, n *node) {
			n.learn(time.Second)
			n.failFast("s0", 3*time.Second)
			queued := n.unsafe(6, 20*time.Second)
			n.start(queued...)()
			is.Equal(count(queued, "s0"), 0)
		})
	})
	// Guards against a pool without a welcome server that serves nobody.
	t.Run("with all servers avoided requests are still sent", func(t *testing.T) {
		trial(t, 8, 2, func(_ *is.I, n *node) {
			n.failFast("s0", 0)
			n.failFast("s1", 0)
			assertSent(t, n, n.tickets(2), "s0", "s1")
		})
	})
}

// unsafe returns tickets of requests that are not idempotent and take a second at each server.
func (n *node) unsafe(count int, timeout time.Duration) []*table.Ticket {
	takes := map[string]time.Duration{"s0": time.Second, "s1": time.Second, "s2": time.Second}
	var list []*table.Ticket
	for range count {
		one := n.ticket("a", timeout, &runner{Takes: takes})
		one.Idempotent = false
		list = append(list, one)
	}
	return list
}

// outstanding returns the requests that the server has from the node.
func (n *node) outstanding(address string) (number int) {
	n.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		number = b.Services[service][address].Outstanding
	})
	return number
}

// count returns how many requests the server got.
func count(tickets []*table.Ticket, address string) int {
	got := 0
	for _, t := range tickets {
		for _, to := range t.Runner.(*runner).sent {
			if to == address {
				got++
			}
		}
	}
	return got
}
