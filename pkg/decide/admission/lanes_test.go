package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

// standingQueue returns a queue of one rank with one slot, which is held, whose kinds take 100 ms (short) and 400 ms (long).
// Requests have been waiting for a minute at the time start.
func standingQueue() *Queue[int] {
	q := &Queue[int]{MarginDeviations: 2}
	Configure(q, []fleet.Rank{{}}, 1, 0)
	for range 100 { // the deviations are close to zero
		ObserveKind(q, "short", 100*time.Millisecond, true)
		ObserveKind(q, "long", 400*time.Millisecond, true)
		q.Ranks[0].ServiceTime.Observe(100 * time.Millisecond)
	}
	q.WaitingSince = start.Add(-time.Minute)
	return q
}

// laneItem returns an item that has been waiting for the time, with an objective of 1 s and a deadline of 6 s.
func laneItem(payload int, kind string, waited time.Duration) Item[int] {
	arrived := start.Add(-waited)
	return Item[int]{
		Kind: kind, Arrived: arrived, Objective: arrived.Add(time.Second), Deadline: arrived.Add(6 * time.Second), Payload: payload,
	}
}

// assertServed fails unless Next returns the items in the order of the payloads.
func assertServed(t *testing.T, q *Queue[int], want ...int) {
	t.Helper()
	var got []int
	for n := Next(q, start, nil); n.Found; n = Next(q, start, nil) {
		got = append(got, n.Item.Payload)
		ReleaseSlot(q, n.Item.Rank, 0)
	}
	is.New(t).Equal(got, want)
}

// TestLanes guards against a surge in which servers spend their time on requests that are late already, and against
// requests that never get their turn.
func TestLanes(t *testing.T) {
	t.Run("requests in time go first by slack, late ones follow by deadline", func(t *testing.T) {
		q := standingQueue()
		Push(q, laneItem(0, "short", 1500*time.Millisecond))
		Push(q, laneItem(1, "short", 2*time.Second))
		Push(q, laneItem(2, "short", 200*time.Millisecond))
		Push(q, laneItem(3, "long", 100*time.Millisecond))
		assertServed(t, q, 3, 2, 1, 0) // the long request has 500 ms of slack, the short one 700 ms
	})
	t.Run("short requests do not starve long ones", func(t *testing.T) {
		q := standingQueue()
		Push(q, laneItem(0, "long", 500*time.Millisecond))
		for k := range 3 {
			Push(q, laneItem(1+k, "short", 300*time.Millisecond))
		}
		assertServed(t, q, 0, 1, 2, 3)
	})
	t.Run("without a standing queue, and without objectives, requests are served in order of arrival", func(t *testing.T) {
		q := standingQueue()
		q.WaitingSince = start
		Push(q, laneItem(0, "short", 2*time.Second))
		Push(q, laneItem(1, "short", 0))
		assertServed(t, q, 0, 1)
		q.WaitingSince = start.Add(-time.Minute)
		Push(q, Item[int]{Arrived: start, Deadline: start.Add(time.Minute), Payload: 2})
		Push(q, Item[int]{Arrived: start, Deadline: start.Add(time.Second), Payload: 3})
		assertServed(t, q, 2, 3)
	})
	t.Run("a retry keeps its place", func(t *testing.T) {
		q := standingQueue()
		Push(q, laneItem(0, "short", 200*time.Millisecond))
		retried := laneItem(1, "short", 2*time.Second)
		retried.Attempt = 1
		Push(q, retried)
		assertServed(t, q, 1, 0)
	})
	t.Run("due requests go first while those in time have slack to spare, and else get their part", func(t *testing.T) {
		is := is.New(t)
		q := standingQueue()
		Push(q, laneItem(0, "short", 5*time.Second))
		Push(q, laneItem(1, "short", 100*time.Millisecond))
		assertServed(t, q, 0, 1)
		turns := 0
		q.WaitingSince = start.Add(-time.Minute)
		for range 100 {
			Push(q, laneItem(0, "short", 5*time.Second))
			Push(q, laneItem(1, "short", 850*time.Millisecond)) // 50 ms of slack
		}
		for range 50 {
			turns += 1 - Next(q, start, nil).Item.Payload
			ReleaseSlot(q, 0, 0)
		}
		is.Equal(turns, 5)
	})
	t.Run("tenants take turns in each lane", func(t *testing.T) {
		q := standingQueue()
		for k, tenant := range []string{"large", "large", "large", "small"} {
			i := laneItem(k, "short", 200*time.Millisecond)
			i.Tenant = tenant
			Push(q, i)
		}
		assertServed(t, q, 0, 3, 1, 2)
	})
	t.Run("a less urgent rank does not go before late requests of a more urgent one", func(t *testing.T) {
		q := standingQueue()
		urgent, other := laneItem(0, "short", 2*time.Second), laneItem(1, "short", 0)
		other.Rank = 1
		Push(q, other)
		Push(q, urgent)
		assertServed(t, q, 0, 1)
	})
}

// TestOfferToStandingQueue guards against requests that are accepted in vain, and against refusing those that could be
// answered in time because late ones wait.
func TestOfferToStandingQueue(t *testing.T) {
	late := func() *Queue[int] { // 60 late requests take 6 s
		q := standingQueue()
		for range 60 {
			Push(q, laneItem(0, "short", 1500*time.Millisecond))
		}
		q.Ranks[0].Held = 1
		return q
	}
	t.Run("a request that can be in time is accepted whatever waits late", func(t *testing.T) {
		_, err := Offer(late(), laneItem(1, "short", 0), start)
		is.New(t).NoErr(err)
	})
	t.Run("a request that can be served neither in time nor late is refused", func(t *testing.T) {
		q := late()
		for range 10 { // 1 s of work in time
			Push(q, laneItem(0, "short", 0))
		}
		_, err := Offer(q, laneItem(1, "short", 0), start)
		assertRefused(t, err, LateBacklog)
	})
	t.Run("estimates refuse nothing while no queue stands", func(t *testing.T) {
		q := late()
		q.WaitingSince = time.Time{}
		Configure(q, []fleet.Rank{{}}, 100, 0)
		_, err := Offer(q, laneItem(1, "long", 0), start)
		is.New(t).NoErr(err)
	})
}

// TestTurnOut guards against requests that wait until their deadline for servers that are all silent.
func TestTurnOut(t *testing.T) {
	stalled := func(at time.Duration) []Turned[int] {
		q := standingQueue()
		q.WaitingSince, q.LastDispatch = start, start
		Push(q, laneItem(0, "short", 0))
		Push(q, Item[int]{Arrived: start, Deadline: start.Add(6 * time.Second), Payload: 1}) // no objective
		return TurnOut(q, start.Add(at))
	}
	t.Run("a wait ends when the stall is expected to outlast it", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(stalled(3900*time.Millisecond)), 0)
		turned := stalled(4 * time.Second) // 1.9 s are left, and the stall is expected to last 2 s more
		is.Equal(len(turned), 1)
		is.Equal(turned[0].Payload, 0)
		assertRefused(t, turned[0].Err, NoProgress)
	})
	t.Run("a request that can no longer meet its deadline is turned out", func(t *testing.T) {
		is := is.New(t)
		q := standingQueue()
		q.LastDispatch = start
		Push(q, laneItem(0, "short", 5950*time.Millisecond))
		Push(q, laneItem(1, "short", 0))
		turned := TurnOut(q, start)
		is.Equal(len(turned), 1)
		assertRefused(t, turned[0].Err, DeadlineTooClose)
		is.Equal(Waiting(q), 1)
	})
}

// Guards against a dispatch that searches a server for the same request in each lane.
func TestLanesSearchOnce(t *testing.T) {
	q := standingQueue()
	Push(q, laneItem(0, "short", 5500*time.Millisecond)) // due, and the first of the late ones
	Push(q, laneItem(1, "short", 0))
	q.Ranks[0].DueTurns = maxDueTurns
	searches := map[int]int{}
	result := Next(q, start, func(i Item[int]) bool {
		searches[i.Payload]++
		return false
	})
	is := is.New(t)
	is.True(!result.Found)
	is.Equal(searches, map[int]int{0: 1, 1: 1})
}
