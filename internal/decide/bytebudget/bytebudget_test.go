package bytebudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const limit = 46 << 20 // the budget of the smallest hosts

// world is a budget and the needs that transfers hold, by transfer.
type world struct {
	budget Budget
	held   map[uint64][]Need
	nextID uint64
}

func newWorld(ranks int) *world {
	return &world{budget: Budget{LimitBytes: limit, Ranks: ranks}, held: map[uint64][]Need{}}
}

func (w *world) take(n Need) bool {
	ok := Take(&w.budget, n)
	if ok {
		w.nextID++
		w.held[w.nextID] = append(w.held[w.nextID], n)
	}
	return ok
}

// fill takes pieces of the rank until the budget allows no more, and returns the bytes taken.
func (w *world) fill(rank int, large bool) int64 {
	var taken int64
	for w.take(Need{Rank: rank, Direction: Responses, Bytes: 32 << 10, Large: large}) {
		taken += 32 << 10
	}
	return taken
}

func (w *world) release(id uint64) {
	needs := w.held[id]
	delete(w.held, id)
	for _, n := range needs {
		for _, granted := range Release(&w.budget, id, n, start) {
			w.held[granted.ID] = append(w.held[granted.ID], granted.Need)
		}
	}
}

// assertWithin checks that the budget is not exceeded, and that it counts what the transfers hold.
func assertWithin(t *rapid.T, w *world) {
	var sum int64
	for _, needs := range w.held {
		for _, n := range needs {
			sum += n.Bytes
		}
	}
	if total := Total(&w.budget); total != sum || total > limit {
		t.Fatalf("%d bytes counted, %d held, limit %d", total, sum, limit)
	}
	if got := w.budget.HeldByDirection[Requests] + w.budget.HeldByDirection[Responses]; got != sum {
		t.Fatalf("%d bytes by direction, %d held", got, sum)
	}
}

func drawNeed(t *rapid.T) Need {
	return Need{
		Rank: rapid.IntRange(0, 4).Draw(t, "rank"), Direction: Direction(rapid.IntRange(0, 1).Draw(t, "direction")),
		Bytes: rapid.Int64Range(1, 8<<20).Draw(t, "bytes"), Large: rapid.Bool().Draw(t, "large"),
	}
}

// Guards against a host that ends by its memory limit, and against bytes that are lost to the budget or counted twice when
// transfers are slowed, granted, canceled or ended in any order, or the configuration changes its ranks meanwhile.
func TestNeverOverBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 4).Draw(t, "ranks"))
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) { w.take(drawNeed(t)) },
			"wait": func(t *rapid.T) {
				w.nextID++
				Wait(&w.budget, Waiter{ID: w.nextID, Need: drawNeed(t)}, start)
			},
			"cancel": func(t *rapid.T) { Cancel(&w.budget, rapid.Uint64Range(0, w.nextID).Draw(t, "id")) },
			"end":    func(t *rapid.T) { w.release(rapid.Uint64Range(0, w.nextID).Draw(t, "id")) },
			"ranks":  func(t *rapid.T) { SetRanks(&w.budget, rapid.IntRange(1, 4).Draw(t, "ranks")) },
			"":       func(t *rapid.T) { assertWithin(t, w) },
		})
		for len(w.held) > 0 {
			for id := range w.held {
				w.release(id)
			}
			assertWithin(t, w)
		}
		if Total(&w.budget) != 0 {
			t.Fatalf("%d bytes were not given back", Total(&w.budget))
		}
	})
}

// Guards against a budget that is exceeded because a configuration with more ranks gives each of them a reserve.
func TestMoreRanks(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	is.Equal(w.fill(0, false), int64(limit))
	SetRanks(&w.budget, 4)
	for rank := range 4 {
		is.True(!w.take(Need{Rank: rank, Bytes: 1}))
	}
}

// Guards against slow callers of one rank that take the memory of the others.
func TestShares(t *testing.T) {
	for ranks := 2; ranks <= 4; ranks++ {
		for flooding := range ranks {
			w := newWorld(ranks)
			w.fill(flooding, false)
			for rank := range ranks {
				if rank != flooding && w.fill(rank, false) <= reserve(&w.budget)-32<<10 {
					t.Errorf("%d ranks: rank %d does not get its reserve beside rank %d", ranks, rank, flooding)
				}
			}
		}
	}
	t.Run("an urgent rank finds more room than a less urgent one", func(t *testing.T) {
		is := is.New(t)
		var last int64
		for rank := 2; rank >= 0; rank-- {
			w := newWorld(3)
			w.fill(2, false)
			w.fill(1, false)
			got := newWorld(3).fill(rank, false)
			is.True(got > last)
			last = got
			is.True(rank > 0 || w.fill(0, false) > reserve(&w.budget))
		}
	})
	t.Run("large work leaves room for small answers of its rank", func(t *testing.T) {
		w := newWorld(3)
		w.fill(2, true)
		is.New(t).True(w.fill(2, false) >= reserve(&w.budget)/4)
	})
	t.Run("one transfer does not take the budget", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(3)
		n := Need{Bytes: 32 << 10}
		for Take(&w.budget, n) {
			n.Held += n.Bytes
		}
		is.True(n.Held <= limit/maxTransferFraction)
		Wait(&w.budget, Waiter{ID: 1, Need: n}, start)
		is.True(!w.budget.Short) // others are not slowed
		is.Equal(len(Release(&w.budget, 1, Need{Bytes: n.Bytes}, start)), 1)
	})
}

// Guards against a slowed transfer of an urgent rank that waits behind less urgent ones, or that is forgotten.
func TestGrantOrder(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	for rank := range 3 {
		w.fill(rank, false)
	}
	for id, rank := range []int{2, 1, 0, 0} {
		Wait(&w.budget, Waiter{ID: uint64(id), Need: Need{Rank: rank, Direction: Responses, Bytes: 32 << 10}}, start)
	}
	var order []uint64
	for _, granted := range Release(&w.budget, 9, Need{Rank: 0, Direction: Responses, Bytes: w.budget.Held[0]}, start) {
		order = append(order, granted.ID)
	}
	is.Equal(order, []uint64{2, 3, 1, 0})
	is.Equal(len(w.budget.Waiting), 0)
}

// Guards against refusals whose Retry-After is useless: zero, or far beyond what the callers wait.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.fill(0, false)
	n := Need{Bytes: 128 << 10, Large: true}
	is.Equal(Refuse(&w.budget, n, start), maxRetryAfter) // nothing comes back
	Release(&w.budget, 0, Need{Direction: Responses, Bytes: 16 << 20}, start)
	got := Refuse(&w.budget, n, start)
	is.True(got >= minRetryAfter && got < maxRetryAfter)
	is.Equal(w.budget.Refused, int64(2))
	Release(&w.budget, 0, Need{Direction: Responses, Bytes: 8 << 20}, start)
	is.True(w.budget.Short) // a line for each piece would flood the log
	Release(&w.budget, 0, Need{Direction: Responses, Bytes: 8 << 20}, start.Add(resumeDelay))
	is.True(!w.budget.Short) // the budget has recovered
}

// Guards against a backend server whose memory is exceeded by uploads from many nodes, and against uploads that no node ever
// sends.
func TestServerAllows(t *testing.T) {
	const serverLimit, body = 64 << 20, 1 << 20
	for _, nodes := range []int{1, 5, 15, 60} {
		total := int64(0)
		for range nodes {
			outstanding := int64(0)
			for ServerAllows(serverLimit, outstanding, body, nodes) {
				outstanding += body
			}
			total += outstanding
		}
		is.New(t).True(total >= int64(nodes)*body && total <= serverLimit)
	}
	is.New(t).True(ServerAllows(serverLimit, 0, 2*serverLimit, 60))            // alone
	is.New(t).True(ServerAllows(serverLimit, serverLimit, ShortBodyBytes, 60)) // short
}
