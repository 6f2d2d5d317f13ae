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

// load is one rank of a trial: every tenant always has work waiting.
type load struct {
	Rank        fleet.Rank
	Tenants     int
	ServiceTime time.Duration
}

// running is an item that holds a slot until a time.
type running struct {
	Item[int]
	Until time.Time
}

// saturate dispatches the given number of items of the loads, once each service time is known, and returns the slot time by rank and the items by tenant.
func saturate(loads []load, slots, dispatches int) ([]time.Duration, map[string]int) {
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
	var held []running
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
			held = append(held, running{p.Item, now.Add(loads[p.Item.Rank].ServiceTime)})
		}
		now, held = finishNext(q, loads, held)
	}
	return used, served
}

func finishNext(q *Queue[int], loads []load, held []running) (time.Time, []running) {
	first := 0
	for k := range held {
		if held[k].Until.Before(held[first].Until) {
			first = k
		}
	}
	done := held[first]
	Finish(q, done.Rank, loads[done.Rank].ServiceTime)
	return done.Until, append(held[:first:first], held[first+1:]...)
}

// assertShares fails if a rank got less than its share of the slot time, except for one round of the slots for each rank
// and one request: a dispatch is not preempted, each of the other ranks may have more credit once, and a rank earns the
// credit for its first request while others are served.
func assertShares(t interface{ Fatalf(string, ...any) }, loads []load, slots int, used []time.Duration) {
	var total, round time.Duration
	for r, u := range used {
		total += u
		round += time.Duration(slots) * loads[r].ServiceTime
	}
	for r, u := range used {
		want := time.Duration(loads[r].Rank.Share * float64(total))
		if u+round+loads[r].ServiceTime < want {
			t.Fatalf("rank %d got %s of %s slot time, below its share %s", r, u, total, want)
		}
	}
}

func assertRefused(t *testing.T, err error, reason Reason) {
	t.Helper()
	is := is.New(t)
	var refused RefusedError
	is.True(errors.As(err, &refused))          // a refusal has its type
	is.Equal(refused.Reason, reason)           // callers learn why
	is.True(refused.RetryAfter >= time.Second) // callers learn when to come back
}
