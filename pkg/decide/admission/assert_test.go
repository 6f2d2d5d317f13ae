package admission

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// rankLoad describes one rank of a simulation in which every tenant always has waiting requests.
type rankLoad struct {
	Rank        fleet.Rank
	Tenants     int
	ServiceTime time.Duration
}

// runningItem is an item that holds a slot until the given time.
type runningItem struct {
	Item[int]
	Until time.Time
}

// runSaturated dispatches the given number of items of the loads, after one observation of each service time. It
// returns the slot time used by each rank and the number of items served of each tenant.
func runSaturated(loads []rankLoad, slots, dispatches int) ([]time.Duration, map[string]int) {
	q := &Queue[int]{}
	ranks := make([]fleet.Rank, len(loads))
	for r, l := range loads {
		ranks[r] = l.Rank
	}
	Configure(q, ranks, slots, 0)
	for r, l := range loads {
		q.Ranks[r].ServiceTime.Observe(l.ServiceTime)
	}
	used, served := make([]time.Duration, len(loads)), map[string]int{}
	var held []runningItem
	for now := start; dispatches > 0; {
		for r, l := range loads {
			for n := range l.Tenants {
				tenant := strconv.Itoa(100*r + n)
				for len(q.Ranks[r].Tenants[tenant]) < 2 {
					Push(q, Item[int]{Rank: r, Tenant: tenant, Arrived: now, Deadline: now.Add(1000 * time.Hour)})
				}
			}
		}
		for len(held) < slots {
			p := Next(q, now, nil)
			if !p.Found {
				break
			}
			dispatches--
			used[p.Item.Rank] += loads[p.Item.Rank].ServiceTime
			served[p.Item.Tenant]++
			held = append(held, runningItem{p.Item, now.Add(loads[p.Item.Rank].ServiceTime)})
		}
		now, held = finishEarliest(q, loads, held)
	}
	return used, served
}

func finishEarliest(q *Queue[int], loads []rankLoad, held []runningItem) (time.Time, []runningItem) {
	first := 0
	for k := range held {
		if held[k].Until.Before(held[first].Until) {
			first = k
		}
	}
	done := held[first]
	ReleaseSlot(q, done.Rank, loads[done.Rank].ServiceTime)
	return done.Until, append(held[:first:first], held[first+1:]...)
}

// assertShares fails if a rank got less than its share of the slot time. It tolerates one request and, for each rank,
// one request in every slot: dispatched requests are not preempted, each other rank may go first once because of higher
// credit, and a rank gets the credit for its first request while other ranks are served.
func assertShares(t interface{ Fatalf(string, ...any) }, loads []rankLoad, slots int, used []time.Duration) {
	var total, tolerance time.Duration
	for r, slotTime := range used {
		total += slotTime
		tolerance += time.Duration(slots) * loads[r].ServiceTime
	}
	for r, slotTime := range used {
		want := time.Duration(loads[r].Rank.Share * float64(total))
		if slotTime+tolerance+loads[r].ServiceTime < want {
			t.Fatalf("rank %d got %s of %s slot time, below its share %s", r, slotTime, total, want)
		}
	}
}

func assertRefused(t *testing.T, err error, reason Reason) {
	t.Helper()
	is := is.New(t)
	var refused RefusedError
	is.True(errors.As(err, &refused))          // refusals are of type RefusedError
	is.Equal(refused.Reason, reason)           // the reason is returned to callers
	is.True(refused.RetryAfter >= time.Second) // the retry delay is at least one second
}
