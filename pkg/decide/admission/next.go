package admission

import (
	"cmp"
	"slices"
	"time"
)

// historyDispatches is the number of dispatches over which a rank's portion of slot time decays.
const historyDispatches = 32

// Picked is the result of Next.
type Picked[T any] struct {
	// Item is the item to dispatch, if Found.
	Item  Item[T]
	Found bool
	// Late are items that were taken out because they cannot meet their deadline any more. They were not dispatched.
	Late []Item[T]
}

// Next removes and returns the item to dispatch next, and accounts for the slot that it takes. A rank with credit for
// one mean service time goes first, the one furthest behind its share if there are several; otherwise the most urgent
// rank with waiting work and a free slot under its slot limit. Items for which fits returns false stay in place; a nil fits
// accepts all.
func Next[T any](q *Queue[T], now time.Time, fits func(Item[T]) bool) Picked[T] {
	var p Picked[T]
	for _, r := range order(q) {
		if take(q, r, now, fits, &p) {
			pay(q, r)
			break
		}
	}
	return p
}

// Late removes and returns the waiting items that cannot meet their deadline any more.
func Late[T any](q *Queue[T], now time.Time) []Item[T] {
	var out []Item[T]
	for n := range q.Ranks {
		r := &q.Ranks[n]
		for _, tenant := range slices.Clone(r.Turns) {
			for k := len(r.Tenants[tenant]) - 1; k >= 0; k-- {
				if late(q, r.Tenants[tenant][k], now) {
					out = append(out, r.cut(tenant, k))
				}
			}
		}
	}
	return out
}

// order returns the ranks with waiting work in the order in which they are to be served.
func order[T any](q *Queue[T]) []int {
	var ranks []int
	for n, r := range q.Ranks {
		if r.Waiting > 0 && !full(q, n) {
			ranks = append(ranks, n)
		}
	}
	slices.SortStableFunc(ranks, func(a, b int) int {
		return cmp.Compare(behind(q.Ranks[b]), behind(q.Ranks[a]))
	})
	return ranks
}

// behind returns the slot time of all ranks by which the rank is behind its share, if it has credit for one request, and
// zero otherwise. Credit itself would favor ranks with long requests and large shares, which hold more of it.
func behind[T any](r RankQueue[T]) float64 {
	if r.Share == 0 || r.Credit < r.ServiceTime.Cost() {
		return 0
	}
	return float64(r.Credit) / r.Share
}

// take moves the first item of the rank that fits to p, tenants in turn. It returns false if there is none.
func take[T any](q *Queue[T], rank int, now time.Time, fits func(Item[T]) bool, p *Picked[T]) bool {
	r := &q.Ranks[rank]
	for _, tenant := range slices.Clone(r.Turns) {
		for len(r.Tenants[tenant]) > 0 {
			front := r.Tenants[tenant][0]
			if late(q, front, now) {
				p.Late = append(p.Late, r.cut(tenant, 0))
				continue
			}
			if fits != nil && !fits(front) {
				break
			}
			p.Item, p.Found = r.cut(tenant, 0), true
			r.passTurn(tenant)
			return true
		}
	}
	return false
}

// passTurn moves the tenant behind the others that wait.
func (r *RankQueue[T]) passTurn(tenant string) {
	if t := slices.Index(r.Turns, tenant); t >= 0 {
		r.Turns = append(slices.Delete(r.Turns, t, t+1), tenant)
	}
}

// pay charges the rank for a dispatch, and credits the ranks with waiting work with their shares of it, so that the ranks
// together never earn more than is handed out, however long the requests then hold their slots.
func pay[T any](q *Queue[T], rank int) {
	cost := q.Ranks[rank].ServiceTime.Cost()
	for n := range q.Ranks {
		r := &q.Ranks[n]
		if n != rank && r.Waiting == 0 {
			continue
		}
		earn(q, n, cost)
		r.Got -= r.Got / historyDispatches
		r.Passed -= r.Passed / historyDispatches
		if n != rank {
			r.Passed += cost
		}
	}
	r := &q.Ranks[rank]
	r.Held++
	r.Charged += cost
	r.Got += cost
	if r.Credit > 0 {
		r.Credit = max(r.Credit-cost, 0)
	}
	if r.Waiting == 0 {
		// Credit is a claim of waiting work. Without the bound, a rank could save it up and later hold up urgent work.
		r.Credit = min(r.Credit, cost)
	}
}

// settle charges the rank for the slot time beyond its charge, and credits the ranks that wait with their shares of it.
// Without it, a rank whose requests vary widely would gain: it is served more often while its mean is underestimated.
func settle[T any](q *Queue[T], rank int, excess time.Duration) {
	for n := range q.Ranks {
		if n == rank || q.Ranks[n].Waiting > 0 {
			earn(q, n, excess)
		}
	}
	r := &q.Ranks[rank]
	// The bound on debt lets a rank recover soon after its requests were stalled.
	r.Credit = max(r.Credit-excess, -round(q, rank))
}

// earn credits a rank with its share of slot time. A rank at its slot limit earns too, or it would fall short of its
// share whenever its requests happen to last long. What it can save up then is bounded to its share of one round of the
// slots for each rank.
func earn[T any](q *Queue[T], rank int, slotTime time.Duration) {
	r := &q.Ranks[rank]
	r.Credit += time.Duration(r.Share * float64(slotTime))
	if full(q, rank) && MaxHeld(q, rank) < q.Slots {
		var rounds time.Duration
		for n := range q.Ranks {
			rounds += round(q, n)
		}
		r.Credit = min(r.Credit, time.Duration(r.Share*float64(rounds)))
	}
}

// round returns the slot time of as many requests of the rank as may hold slots.
func round[T any](q *Queue[T], rank int) time.Duration {
	return time.Duration(MaxHeld(q, rank)) * q.Ranks[rank].ServiceTime.Cost()
}

// full says that the rank holds as many slots as its slot limit allows.
func full[T any](q *Queue[T], rank int) bool {
	return q.Slots > 0 && q.Ranks[rank].Held >= MaxHeld(q, rank)
}
