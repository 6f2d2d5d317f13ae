package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against limits that grow until several times more requests are outstanding at a server than it has slots.
// Requests queued at the server then hold the workers of the nodes, and requests to idle services wait for a worker.
func TestMaxOutstandingPerNode(t *testing.T) {
	t.Run("the summed limits of the nodes exceed the overcommitted slots by at most one request per node", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			slots, nodes := rapid.IntRange(1, 64).Draw(t, "slots"), rapid.IntRange(1, 32).Draw(t, "nodes")
			total := MaxOutstandingPerNode(slots, nodes, 1) * nodes
			if float64(total) > overcommitFactor*float64(slots)+float64(nodes) || total < min(slots, nodes) {
				t.Fatalf("%d nodes may have %d requests outstanding at %d slots", nodes, total, slots)
			}
		})
	})
	// Guards against many nodes that each send one request to all servers, and against few nodes that use less than they may
	// send to each server.
	t.Run("the share of all servers is exact only below one request for each", func(t *testing.T) {
		is := is.New(t)
		is.Equal(EvenShare(4, 60, 1), 0.1)
		is.Equal(EvenShare(3, 3, 1), 2.0)
		is.Equal(EvenShare(3, 3, 0.5), 3.0)
		is.Equal(EvenShare(3, 0, 1), 3.0)
	})
	t.Run("an unknown number of nodes allows all slots", func(t *testing.T) {
		is.New(t).Equal(MaxOutstandingPerNode(6, 0, 1), 6)
	})
	// Guards against a node that cannot connect to half of the servers and refuses requests although the other nodes leave
	// slots unused.
	t.Run("a node that reaches few servers may use more of their slots", func(t *testing.T) {
		is := is.New(t)
		is.Equal(MaxOutstandingPerNode(6, 3, 1), 3)
		is.Equal(MaxOutstandingPerNode(6, 3, 0.5), 6)
		is.Equal(MaxOutstandingPerNode(6, 3, 0.1), 6) // never more than all slots
	})
	t.Run("successes do not raise the limit over its ceiling", func(t *testing.T) {
		is := is.New(t)
		l := NewLimit(6, 2)
		l.SetCeiling(2)
		for range 100 {
			l.RaiseAfterSuccess(l.Max(), start)
		}
		is.Equal(l.Max(), 2)
		l.SetCeiling(6)
		for range 100 {
			l.RaiseAfterSuccess(l.Max(), start)
		}
		is.Equal(l.Max(), 6) // the limit grows after another node left
	})
}

// assertRandom fails if servers of which the given share of attempts is turned away at little and at much load count as
// turning requests away at random, or do not.
func assertRandom(t *testing.T, littleLoad, muchLoad int, want bool) {
	t.Helper()
	var a Acceptance
	l := NewLimit(4, 1)
	for k := range 100 {
		a.Observe(1, l, k%10 < littleLoad)
		a.Observe(4, l, k%10 < muchLoad)
	}
	is.New(t).Equal(a.Random(), want)
}

// Guards against limits that collapse because servers turn requests away whatever their load.
func TestAcceptance(t *testing.T) {
	t.Run("full servers take requests at little load", func(t *testing.T) { assertRandom(t, 0, 8, false) })
	t.Run("others turn them away at any load", func(t *testing.T) { assertRandom(t, 5, 5, true) })
	t.Run("sound servers", func(t *testing.T) { assertRandom(t, 0, 0, false) })
}

// playShares plays rounds in which nodes share servers of four slots that also queue two requests, and the first node has
// half of the demand, in requests for each slot. It returns the requests of the first node that got a place in the last
// round, the fraction of all requests that was turned away, and the demand of the first node.
func playShares(nodes int, utilization float64, borrow bool) (placed int, turnedAway float64, demand int) {
	const servers, slots, queued, rounds = 30, 4, 2, 40
	demand = int(servers * slots * utilization / 2)
	other := (demand + nodes - 2) / (nodes - 1)
	borrowing := make([]Borrowing, nodes)
	sentTotal := 0
	for round := range rounds {
		now := start.Add(time.Duration(round) * borrowInterval)
		load := make([]int, servers)
		for k := range nodes {
			n := (k + round) % nodes // each node is the last to come in some rounds
			want := other
			if n == 0 {
				want = demand
			}
			perServer := MaxOutstandingPerNode(slots, nodes, 1)
			total := int(math.Ceil(servers * EvenShare(slots, nodes, 1)))
			if borrow {
				perServer, total = borrowing[n].Ceiling(perServer, slots, 1, now), borrowing[n].Ceiling(total, servers*slots, 1, now)
			}
			sent := min(want, total, perServer*servers)
			if sent < want {
				borrowing[n].ObserveWaiting(now)
			}
			sentTotal += sent
			for k := range sent {
				s := (k + n*servers/nodes) % servers
				if load[s] == slots+queued {
					turnedAway++
					borrowing[n].ObserveShed(now)
					continue
				}
				load[s]++
				if n == 0 && round == rounds-1 {
					placed++
				}
			}
		}
	}
	return placed, turnedAway / float64(sentTotal), demand
}

// The load: one entry host has half of the demand of the fleet, whatever the size of the fleet. Guards against a node whose
// requests wait while places that other nodes could use are free, and against nodes that together overfill the servers.
func TestBorrowing(t *testing.T) {
	for _, nodes := range []int{3, 5, 15, 60} {
		t.Run(fmt.Sprint(nodes, " entry hosts"), func(t *testing.T) {
			is := is.New(t)
			even, _, demand := playShares(nodes, 0.9, false)
			placed, turnedAway, _ := playShares(nodes, 0.9, true)
			_, overload, _ := playShares(nodes, 2, true)
			t.Logf("of %d requests, %d get a place in even shares, %d with borrowing; %.3f turned away, %.3f at twice the capacity",
				demand, even, placed, turnedAway, overload)
			is.True(placed >= even && placed >= demand*9/10)
			is.True(turnedAway <= 0.02)
			is.True(overload <= 0.2) // the retry budget
		})
	}
	borrowed := func() *Borrowing {
		b := &Borrowing{}
		for k := range 8 {
			b.ObserveWaiting(start.Add(time.Duration(k-7) * borrowInterval))
		}
		return b
	}
	t.Run("a node without waiting requests returns to its share", func(t *testing.T) {
		is := is.New(t)
		b := borrowed()
		is.Equal(b.Ceiling(2, 4, 1, start.Add(borrowAfterWaiting)), 4)
		is.Equal(b.Ceiling(2, 4, 1, start.Add(borrowAfterWaiting+1)), 2)
		is.Equal(b.Ceiling(2, 4, 2, start), 2) // a server that got slow
	})
	t.Run("full servers end the growth for a time that doubles", func(t *testing.T) {
		is := is.New(t)
		b := borrowed()
		extra := b.Extra
		b.ObserveShed(start)
		b.ObserveShed(start)
		is.True(b.Extra < extra && b.Extra > 0)
		is.Equal(b.PausedUntil, start.Add(firstBorrowPause))
		b.ObserveShed(start.Add(firstBorrowPause))
		is.Equal(b.PausedUntil, start.Add(3*firstBorrowPause))
	})
}

// Guards against a share that overflows while requests wait at servers that turn nothing away, and that returns late.
func TestBorrowingIsBounded(t *testing.T) {
	is := is.New(t)
	var b Borrowing
	now := start
	for range 3 * 60 * 4 {
		now = now.Add(borrowInterval)
		b.ObserveWaiting(now)
	}
	is.Equal(b.Ceiling(1, 8, 1, now), 8)
	for range 8 {
		now = now.Add(returnInterval)
		b.ObserveWaiting(now)
		b.ObserveShed(now)
	}
	is.Equal(b.Ceiling(1, 8, 1, now), 1)
}
