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
	t.Run("every rank gets its share while all ranks have waiting requests", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			slots := rapid.IntRange(1, 12).Draw(t, "slots")
			weights := rapid.SliceOfN(rapid.IntRange(0, 10), 3, 3).Draw(t, "weights")
			unassigned := rapid.IntRange(0, 5).Draw(t, "unassigned")
			sum := max(weights[0]+weights[1]+weights[2]+unassigned, 1)
			var loads []rankLoad
			for _, w := range weights {
				loads = append(loads, rankLoad{
					Rank:        fleet.Rank{Share: float64(w) / float64(sum), SlotLimit: 1},
					Tenants:     1,
					ServiceTime: time.Duration(rapid.IntRange(1, 50).Draw(t, "service")) * time.Millisecond,
				})
			}
			used, _ := runSaturated(loads, slots, 4000)
			assertShares(t, loads, slots, used)
		})
	})
	t.Run("without credit the most urgent rank with waiting requests goes first", func(t *testing.T) {
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
					t.Fatalf("got an item of rank %d after one of rank %d, found = %v", p.Item.Rank, last, p.Found)
				}
				last = p.Item.Rank
			}
		})
	})
	t.Run("tenants of a rank are served round-robin", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			tenants := rapid.IntRange(1, 20).Draw(t, "tenants")
			_, served := runSaturated([]rankLoad{{Tenants: tenants, ServiceTime: time.Millisecond}}, 3, 1000)
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
		is.Equal(q.Ranks[1].Held, 5) // half of the slots stay free for urgent ranks
		ReleaseSlot(q, 1, time.Second)
		is.True(Next(q, start, nil).Found) // a released slot can be used again
	})
	t.Run("an item that does not fit stays queued and does not block other items", func(t *testing.T) {
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

// checkConservation runs random operations and compares the queue with a model, the set of items that should be
// waiting.
func checkConservation(t *rapid.T) {
	q := &Queue[int]{}
	Configure(q, []fleet.Rank{{Share: 0.5}, {Share: 0.3, SlotLimit: 0.6}, {Share: 0.2, SlotLimit: 0.3}}, 6, 0)
	waiting := map[string]Item[int]{}
	var held []Item[int]
	now, lastID := start, 0
	expectRemoved := func(i Item[int]) {
		if _, ok := waiting[i.ID]; !ok {
			t.Fatalf("item %s was removed from the queue twice or was never queued", i.ID)
		}
		delete(waiting, i.ID)
	}
	t.Repeat(map[string]func(*rapid.T){
		"push": func(t *rapid.T) {
			lastID++
			i := Item[int]{
				ID: fmt.Sprint(lastID), Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Arrived: now,
				Tenant: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"), Attempt: rapid.IntRange(0, 1).Draw(t, "attempt"),
				Deadline: now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "timeout")) * time.Millisecond),
			}
			displaced, err := Offer(q, i, now)
			if err == nil {
				waiting[i.ID] = i
			}
			for _, d := range displaced {
				expectRemoved(d)
			}
		},
		"next": func(*rapid.T) {
			p := Next(q, now, nil)
			for _, l := range p.Late {
				expectRemoved(l)
			}
			if p.Found {
				expectRemoved(p.Item)
				held = append(held, p.Item)
			}
		},
		"late": func(*rapid.T) {
			for _, l := range RemoveLate(q, now) {
				expectRemoved(l)
			}
		},
		"finish": func(t *rapid.T) {
			if len(held) > 0 {
				ReleaseSlot(q, held[0].Rank, time.Duration(rapid.IntRange(0, 100).Draw(t, "slot-time"))*time.Millisecond)
				held = held[1:]
			}
		},
		"remove": func(t *rapid.T) {
			rank, id := rapid.IntRange(0, 3).Draw(t, "rank"), fmt.Sprint(rapid.IntRange(0, lastID).Draw(t, "id"))
			i, ok := waiting[id]
			if Remove(q, rank, id) != (ok && i.Rank == rank) {
				t.Fatalf("the result of Remove for item %s in rank %d does not match the waiting items", id, rank)
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
				t.Fatalf("%d items waiting and %d slots held, want %d and %d", Waiting(q), Held(q), len(waiting), len(held))
			}
		},
	})
}

func TestOffer(t *testing.T) {
	// busy returns a queue whose only slot is held, with a mean service time of 100 ms.
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
	t.Run("a request that cannot meet its deadline is refused on arrival", func(t *testing.T) {
		is := is.New(t)
		q := busy()
		_, err := Offer(q, item("a", 150*time.Millisecond), start)
		assertRefused(t, err, DeadlineTooClose)
		_, err = Offer(q, item("a", 250*time.Millisecond), start)
		is.NoErr(err) // 100 ms of queueing delay plus 100 ms of service time fit into 250 ms
	})
	t.Run("a surge of one tenant does not cause refusals for another", func(t *testing.T) {
		is := is.New(t)
		q := busy()
		var err error
		for range 2 * MaxWaitingPerRank {
			_, err = Offer(q, item("a", time.Second), start)
		}
		assertRefused(t, err, DeadlineTooClose)
		_, err = Offer(q, item("b", time.Second), start)
		is.NoErr(err)
	})
	t.Run("in a full rank, a tenant with fewer requests displaces one of the tenant with the most", func(t *testing.T) {
		is := is.New(t)
		q := busy()
		for range MaxWaitingPerRank {
			Push(q, item("a", time.Hour))
		}
		_, err := Offer(q, item("a", time.Hour), start)
		assertRefused(t, err, QueueFull)
		displaced, err := Offer(q, item("b", time.Hour), start)
		is.NoErr(err)
		is.Equal(len(displaced), 1) // the caller reports the displaced request as not run
		is.Equal(Waiting(q), MaxWaitingPerRank)
	})
	t.Run("a free slot is used regardless of earlier service times", func(t *testing.T) {
		is := is.New(t)
		q := busy()
		ReleaseSlot(q, 0, time.Hour)
		_, err := Offer(q, item("a", time.Millisecond), start)
		is.NoErr(err)
		is.True(Next(q, start, nil).Found)
	})
	t.Run("a waiting request that can no longer meet its deadline is not dispatched", func(t *testing.T) {
		is := is.New(t)
		q := busy()
		Push(q, item("a", 300*time.Millisecond))
		Push(q, item("b", time.Hour))
		ReleaseSlot(q, 0, 100*time.Millisecond)
		p := Next(q, start.Add(250*time.Millisecond), nil)
		is.Equal(len(p.Late), 1) // 50 ms are left, less than the service time of 100 ms
		is.Equal(p.Item.Tenant, "b")
	})
}

func TestLimit(t *testing.T) {
	t.Run("the limit stays between one and the number of slots", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			l := NewLimit(rapid.IntRange(1, 8).Draw(t, "slots"), rapid.IntRange(0, 6).Draw(t, "group"))
			now := start
			for range 50 {
				now = now.Add(growthDelayAfterShed)
				if rapid.Bool().Draw(t, "shed") {
					l.LowerAfterShed(now)
				} else {
					l.RaiseAfterSuccess(rapid.IntRange(1, 9).Draw(t, "outstanding"), now)
				}
				if l.Value < 1 || l.Value > float64(l.Slots) {
					t.Fatalf("limit %g is not between 1 and %d slots", l.Value, l.Slots)
				}
			}
		})
	})
	t.Run("a shed response reduces the limit by 30% and a success at the limit adds the inverse of the limit", func(t *testing.T) {
		is := is.New(t)
		l := NewLimit(8, 2)
		is.Equal(l.Value, 4.0)
		l.RaiseAfterSuccess(3, start) // a success below the limit does not raise it
		is.Equal(l.Value, 4.0)
		l.RaiseAfterSuccess(4, start)
		is.Equal(l.Value, 4.25)
		before := l.Value
		l.LowerAfterShed(start)
		is.Equal(l.Value, before*0.7)
		l.RaiseAfterSuccess(4, start.Add(growthDelayAfterShed-1))
		is.Equal(l.Value, before*0.7) // nor does a success soon after a shed response
		l.RaiseAfterSuccess(4, start.Add(growthDelayAfterShed))
		is.True(l.Value > before*0.7)
	})
}

func TestUsage(t *testing.T) {
	limits := fleet.Limits{RequestsPerSecond: 10, Burst: 5, InFlight: 100}
	t.Run("no more requests are admitted than burst and rate allow", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			u, now, admitted := &TenantUsage{}, start, 0
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			for range 200 {
				now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
				if AdmitTenant(u, limits, "a", 0, now) == nil {
					admitted++
					ReleaseTenant(u)
				}
			}
			if maxAdmitted := 5 + 10*now.Sub(start).Seconds(); float64(admitted) > maxAdmitted {
				t.Fatalf("%d requests were admitted, want at most %g", admitted, maxAdmitted)
			}
		})
	})
	t.Run("a tenant that exceeds its rate is refused", func(t *testing.T) {
		u := &TenantUsage{}
		var err error
		for range 6 {
			err = AdmitTenant(u, limits, "a", 0, start)
		}
		assertRefused(t, err, TenantRate)
	})
	t.Run("a tenant at its limit of requests in flight is refused until one ends", func(t *testing.T) {
		is := is.New(t)
		u, l := &TenantUsage{}, fleet.Limits{InFlight: 1}
		is.NoErr(AdmitTenant(u, l, "a", 0, start))
		assertRefused(t, AdmitTenant(u, l, "a", 0, start), TenantInFlight)
		ReleaseTenant(u)
		is.NoErr(AdmitTenant(u, l, "a", 0, start))
	})
}
