package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/fleet"
)

func TestNext(t *testing.T) {
	t.Run("every rank keeps its share while all have waiting work", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			slots := rapid.IntRange(1, 12).Draw(t, "slots")
			weights := rapid.SliceOfN(rapid.IntRange(0, 10), 3, 3).Draw(t, "weights")
			unassigned := rapid.IntRange(0, 5).Draw(t, "unassigned")
			sum := max(weights[0]+weights[1]+weights[2]+unassigned, 1)
			var loads []load
			for _, w := range weights {
				loads = append(loads, load{
					Rank:        fleet.Rank{Share: float64(w) / float64(sum), SlotLimit: 1},
					Tenants:     1,
					ServiceTime: time.Duration(rapid.IntRange(1, 50).Draw(t, "service")) * time.Millisecond,
				})
			}
			used, _ := saturate(loads, slots, 4000)
			assertShares(t, loads, slots, used)
		})
	})
	t.Run("without credit the most urgent rank with waiting work goes first", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			q := &Queue[int]{}
			ranks := rapid.SliceOf(rapid.IntRange(0, 4)).Draw(t, "ranks")
			for n, r := range ranks {
				Push(q, Item[int]{ID: fmt.Sprint(n), Rank: r, Deadline: start.Add(time.Hour)})
			}
			last := 0
			for range ranks {
				p := Next(q, start, nil)
				if !p.Found || p.Item.Rank < last {
					t.Fatalf("rank %d after rank %d, found %v", p.Item.Rank, last, p.Found)
				}
				last = p.Item.Rank
			}
		})
	})
	t.Run("tenants of a rank are served in turn", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			tenants := rapid.IntRange(1, 20).Draw(t, "tenants")
			_, served := saturate([]load{{Tenants: tenants, ServiceTime: time.Millisecond}}, 3, 1000)
			least, most := served["0"], served["0"]
			for _, n := range served {
				least, most = min(least, n), max(most, n)
			}
			if len(served) != tenants || most-least > 1 {
				t.Fatalf("%d of %d tenants served, between %d and %d times", len(served), tenants, least, most)
			}
		})
	})
	t.Run("nothing is lost or dispatched twice", func(t *testing.T) {
		rapid.Check(t, checkConservation)
	})
	t.Run("a rank holds no more slots than its slot limit", func(t *testing.T) {
		is := is.New(t)
		q := &Queue[int]{}
		Configure(q, []fleet.Rank{{}, {SlotLimit: 0.5}}, 10, 0)
		for range 10 {
			Push(q, Item[int]{Rank: 1, Deadline: start.Add(time.Hour)})
		}
		for Next(q, start, nil).Found {
			continue
		}
		is.Equal(q.Ranks[1].Held, 5) // archives leave half of the slots to urgent work
		Finish(q, 1, time.Second)
		is.True(Next(q, start, nil).Found) // a returned slot is used again
	})
	t.Run("an item that does not fit stays and does not hold up others", func(t *testing.T) {
		is := is.New(t)
		q := &Queue[int]{}
		for n := range 2 {
			Push(q, Item[int]{ID: fmt.Sprint(n), Tenant: fmt.Sprint(n), Deadline: start.Add(time.Hour)})
		}
		p := Next(q, start, func(i Item[int]) bool { return i.ID == "1" })
		is.Equal(p.Item.ID, "1")
		is.True(Remove(q, 0, "0"))
	})
}

// checkConservation runs random operations and compares the queue with the set of items that should wait in it.
func checkConservation(t *rapid.T) {
	q := &Queue[int]{}
	Configure(q, []fleet.Rank{{Share: 0.5}, {Share: 0.3, SlotLimit: 0.6}, {Share: 0.2, SlotLimit: 0.3}}, 6, 0)
	waiting := map[string]Item[int]{}
	var held []Item[int]
	now, serial := start, 0
	leave := func(i Item[int]) {
		if _, ok := waiting[i.ID]; !ok {
			t.Fatalf("item %s left the queue twice or never entered it", i.ID)
		}
		delete(waiting, i.ID)
	}
	t.Repeat(map[string]func(*rapid.T){
		"push": func(t *rapid.T) {
			serial++
			i := Item[int]{
				ID: fmt.Sprint(serial), Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Arrived: now,
				Tenant: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"), Attempt: rapid.IntRange(0, 1).Draw(t, "attempt"),
				Deadline: now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "timeout")) * time.Millisecond),
			}
			displaced, err := Offer(q, i, now)
			if err == nil {
				waiting[i.ID] = i
			}
			for _, d := range displaced {
				leave(d)
			}
		},
		"next": func(*rapid.T) {
			p := Next(q, now, nil)
			for _, l := range p.Late {
				leave(l)
			}
			if p.Found {
				leave(p.Item)
				held = append(held, p.Item)
			}
		},
		"late": func(*rapid.T) {
			for _, l := range Late(q, now) {
				leave(l)
			}
		},
		"finish": func(t *rapid.T) {
			if len(held) > 0 {
				Finish(q, held[0].Rank, time.Duration(rapid.IntRange(0, 100).Draw(t, "slot-time"))*time.Millisecond)
				held = held[1:]
			}
		},
		"remove": func(t *rapid.T) {
			rank, id := rapid.IntRange(0, 3).Draw(t, "rank"), fmt.Sprint(rapid.IntRange(0, serial).Draw(t, "id"))
			i, ok := waiting[id]
			if Remove(q, rank, id) != (ok && i.Rank == rank) {
				t.Fatalf("remove of %s in rank %d disagrees with what waits", id, rank)
			}
			if ok && i.Rank == rank {
				delete(waiting, id)
			}
		},
		"wait": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "wait")) * time.Millisecond)
		},
		"": func(t *rapid.T) {
			if Waiting(q) != len(waiting) || Held(q) != len(held) {
				t.Fatalf("%d wait and %d held, want %d and %d", Waiting(q), Held(q), len(waiting), len(held))
			}
		},
	})
}

func TestOffer(t *testing.T) {
	// busy returns a queue of one slot, held, whose requests take 100 ms.
	busy := func() *Queue[int] {
		q := &Queue[int]{}
		Configure(q, []fleet.Rank{{}}, 1, 0)
		q.Ranks[0].ServiceTime = ServiceTime{Mean: 100 * time.Millisecond}
		Push(q, Item[int]{Deadline: start.Add(time.Hour)})
		Next(q, start, nil)
		return q
	}
	item := func(tenant string, timeout time.Duration) Item[int] {
		return Item[int]{Tenant: tenant, Arrived: start, Deadline: start.Add(timeout)}
	}
	t.Run("work that cannot meet its deadline is refused early", func(t *testing.T) {
		is := is.New(t)
		q := busy()
		_, err := Offer(q, item("a", 150*time.Millisecond), start)
		assertRefused(t, err, DeadlineTooClose)
		_, err = Offer(q, item("a", 250*time.Millisecond), start)
		is.NoErr(err) // 100 ms of wait and 100 ms of service fit
	})
	t.Run("a flood of one tenant does not refuse another", func(t *testing.T) {
		is := is.New(t)
		q := busy()
		var err error
		for range 2 * RankCapacity {
			_, err = Offer(q, item("a", time.Second), start)
		}
		assertRefused(t, err, DeadlineTooClose)
		_, err = Offer(q, item("b", time.Second), start)
		is.NoErr(err)
	})
	t.Run("a full rank makes room for a tenant with fewer requests", func(t *testing.T) {
		is := is.New(t)
		q := busy()
		for range RankCapacity {
			Push(q, item("a", time.Hour))
		}
		_, err := Offer(q, item("a", time.Hour), start)
		assertRefused(t, err, QueueFull)
		displaced, err := Offer(q, item("b", time.Hour), start)
		is.NoErr(err)
		is.Equal(len(displaced), 1) // the displaced request is answered as not run
		is.Equal(Waiting(q), RankCapacity)
	})
	t.Run("a free slot is used whatever the service times were", func(t *testing.T) {
		is := is.New(t)
		q := busy()
		Finish(q, 0, time.Hour)
		_, err := Offer(q, item("a", time.Millisecond), start)
		is.NoErr(err)
		is.True(Next(q, start, nil).Found)
	})
	t.Run("waiting work that became late is not dispatched", func(t *testing.T) {
		is := is.New(t)
		q := busy()
		Push(q, item("a", 300*time.Millisecond))
		Push(q, item("b", time.Hour))
		Finish(q, 0, 100*time.Millisecond)
		p := Next(q, start.Add(250*time.Millisecond), nil)
		is.Equal(len(p.Late), 1) // 50 ms are left of the 100 ms that a request takes
		is.Equal(p.Item.Tenant, "b")
	})
}

func TestLimit(t *testing.T) {
	t.Run("stays between one and the slots", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			l := NewLimit(rapid.IntRange(1, 8).Draw(t, "slots"), rapid.IntRange(0, 6).Draw(t, "group"))
			now := start
			for range 50 {
				now = now.Add(growthPause)
				if rapid.Bool().Draw(t, "shed") {
					l.Shed(now)
				} else {
					l.Success(rapid.IntRange(1, 9).Draw(t, "outstanding"), now)
				}
				if l.Value < 1 || l.Value > float64(l.Slots) {
					t.Fatalf("limit %g of %d slots", l.Value, l.Slots)
				}
			}
		})
	})
	t.Run("a shed cuts by 30% and a success at the limit adds one over it", func(t *testing.T) {
		is := is.New(t)
		l := NewLimit(8, 2)
		is.Equal(l.Value, 4.0)
		l.Success(3, start) // below the limit a success proves nothing
		is.Equal(l.Value, 4.0)
		l.Success(4, start)
		is.Equal(l.Value, 4.25)
		before := l.Value
		l.Shed(start)
		is.Equal(l.Value, before*0.7)
		l.Success(4, start.Add(growthPause-1))
		is.Equal(l.Value, before*0.7) // a success soon after a shed proves nothing
		l.Success(4, start.Add(growthPause))
		is.True(l.Value > before*0.7)
	})
}

func TestUsage(t *testing.T) {
	limits := fleet.Limits{RequestsPerSecond: 10, Burst: 5, InFlight: 100}
	t.Run("no more requests pass than the burst and the rate allow", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			u, now, passed := &Usage{}, start, 0
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			for range 200 {
				now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
				if Enter(u, limits, "a", 0, now) == nil {
					passed++
					Leave(u)
				}
			}
			if most := 5 + 10*now.Sub(start).Seconds(); float64(passed) > most {
				t.Fatalf("%d requests passed, at most %g may", passed, most)
			}
		})
	})
	t.Run("a tenant over its rate is refused", func(t *testing.T) {
		u := &Usage{}
		var err error
		for range 6 {
			err = Enter(u, limits, "a", 0, start)
		}
		assertRefused(t, err, TenantRate)
	})
	t.Run("a tenant over its requests in flight is refused until one ends", func(t *testing.T) {
		is := is.New(t)
		u, l := &Usage{}, fleet.Limits{InFlight: 1}
		is.NoErr(Enter(u, l, "a", 0, start))
		assertRefused(t, Enter(u, l, "a", 0, start), TenantInFlight)
		Leave(u)
		is.NoErr(Enter(u, l, "a", 0, start))
	})
}
