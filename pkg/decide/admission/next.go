package admission

import (
	"cmp"
	"slices"
	"time"
)

// shareDecayDispatches is the decay constant of RankQueue.OwnTime and RankQueue.OthersTime: each dispatch reduces them
// by the fraction 1/shareDecayDispatches.
const shareDecayDispatches = 32

// NextResult is the result of Next.
type NextResult[T any] struct {
	// Item is the item to dispatch; valid only if Found is true.
	Item  Item[T]
	Found bool
	// Late lists the items that were removed without being dispatched, because they can no longer be answered in time.
	Late []Item[T]
}

// Next removes and returns the item to dispatch next, and charges its rank for the slot. Ranks with credit for at least
// one mean service time go first, ordered by their deficit against their share; after them the most urgent rank with
// waiting items that is below its slot limit. Items for which fits returns false stay queued; a nil fits accepts all
// items.
func Next[T any](q *Queue[T], now time.Time, fits func(Item[T]) bool) NextResult[T] {
	var result NextResult[T]
	for _, r := range dispatchOrder(q) {
		if popFromRank(q, r, now, fits, &result) {
			chargeDispatch(q, r)
			q.LastDispatch = now
			break
		}
	}
	noteWaiting(q, now)
	return result
}

// RemoveLate removes and returns the waiting items that can no longer meet their deadline.
func RemoveLate[T any](q *Queue[T], now time.Time) []Item[T] {
	return RemoveAll(q, func(i Item[T]) bool { return isLate(q, i, now) })
}

// RemoveAll removes and returns the waiting items for which remove returns true.
func RemoveAll[T any](q *Queue[T], remove func(Item[T]) bool) []Item[T] {
	var removed []Item[T]
	for n := range q.Ranks {
		removed = append(removed, removeFromRank(q, n, remove)...)
	}
	return removed
}

func removeFromRank[T any](q *Queue[T], rank int, remove func(Item[T]) bool) []Item[T] {
	var removed []Item[T]
	r := &q.Ranks[rank]
	for _, tenant := range slices.Clone(r.TenantOrder) {
		for k := len(r.Tenants[tenant]) - 1; k >= 0; k-- {
			if remove(r.Tenants[tenant][k]) {
				removed = append(removed, r.removeAt(tenant, k))
			}
		}
	}
	if Waiting(q) == 0 {
		q.WaitingSince = time.Time{}
	}
	return removed
}

// dispatchOrder returns the ranks that have waiting items and are below their slot limit, in the order in which Next
// serves them.
func dispatchOrder[T any](q *Queue[T]) []int {
	var ranks []int
	for n, r := range q.Ranks {
		if r.Waiting > 0 && !atSlotLimit(q, n) {
			ranks = append(ranks, n)
		}
	}
	slices.SortStableFunc(ranks, func(a, b int) int {
		return cmp.Compare(shareDeficit(q.Ranks[b]), shareDeficit(q.Ranks[a]))
	})
	return ranks
}

// shareDeficit returns the rank's credit divided by its share if the credit covers one request, and zero otherwise.
// Comparing the credit itself would favor ranks with long requests and large shares, which hold more credit.
func shareDeficit[T any](r RankQueue[T]) float64 {
	if r.Share == 0 || r.Credit < r.ServiceTime.MeanOrDefault() {
		return 0
	}
	return float64(r.Credit) / r.Share
}

// popFromRank removes the first item of the rank that fits, visiting the tenants round-robin, and stores it in result.
// It reports whether there was one.
func popFromRank[T any](q *Queue[T], rank int, now time.Time, fits func(Item[T]) bool, result *NextResult[T]) bool {
	r := &q.Ranks[rank]
	if r.Objectives > 0 && isStanding(q, now) {
		return popByLane(q, rank, now, fits, result)
	}
	for _, tenant := range slices.Clone(r.TenantOrder) {
		for len(r.Tenants[tenant]) > 0 {
			front := r.Tenants[tenant][0]
			if isLate(q, front, now) {
				result.Late = append(result.Late, r.removeAt(tenant, 0))
				continue
			}
			if fits != nil && !fits(front) {
				break
			}
			result.Item, result.Found = r.removeAt(tenant, 0), true
			r.moveTenantToBack(tenant)
			return true
		}
	}
	return false
}

// moveTenantToBack moves the tenant to the end of the round-robin order.
func (r *RankQueue[T]) moveTenantToBack(tenant string) {
	if t := slices.Index(r.TenantOrder, tenant); t >= 0 {
		r.TenantOrder = append(slices.Delete(r.TenantOrder, t, t+1), tenant)
	}
}

// chargeDispatch charges the rank the mean service time of a request, and credits each rank with waiting items its
// share of that time. The total credit therefore never exceeds the slot time handed out, whatever the actual slot times
// are.
func chargeDispatch[T any](q *Queue[T], rank int) {
	cost := q.Ranks[rank].ServiceTime.MeanOrDefault()
	for n := range q.Ranks {
		r := &q.Ranks[n]
		if n != rank && r.Waiting == 0 {
			continue
		}
		addCredit(q, n, cost)
		r.OwnTime -= r.OwnTime / shareDecayDispatches
		r.OthersTime -= r.OthersTime / shareDecayDispatches
		if n != rank {
			r.OthersTime += cost
		}
	}
	r := &q.Ranks[rank]
	r.Held++
	r.Charged += cost
	r.OwnTime += cost
	if r.Credit > 0 {
		r.Credit = max(r.Credit-cost, 0)
	}
	if r.Waiting == 0 {
		// Without the bound, a rank without waiting requests could save credit and later delay urgent requests.
		r.Credit = min(r.Credit, cost)
	}
}

// chargeExcess charges the rank for slot time beyond the estimate charged at dispatch, and credits the ranks with
// waiting items their share of it. Otherwise a rank with widely varying service times would exceed its share, because
// it is served more often while its mean is underestimated.
func chargeExcess[T any](q *Queue[T], rank int, excess time.Duration) {
	for n := range q.Ranks {
		if n == rank || q.Ranks[n].Waiting > 0 {
			addCredit(q, n, excess)
		}
	}
	r := &q.Ranks[rank]
	// The lower bound lets a rank recover quickly after its requests were stalled.
	r.Credit = max(r.Credit-excess, -maxHeldTime(q, rank))
}

// addCredit credits the rank its share of the slot time. A rank at its slot limit is credited too; otherwise it would
// fall below its share whenever its requests last long. Its credit is then limited to its share of the sum of
// maxHeldTime over all ranks.
func addCredit[T any](q *Queue[T], rank int, slotTime time.Duration) {
	r := &q.Ranks[rank]
	r.Credit += time.Duration(r.Share * float64(slotTime))
	if atSlotLimit(q, rank) && MaxHeld(q, rank) < q.Slots {
		var allHeldTime time.Duration
		for n := range q.Ranks {
			allHeldTime += maxHeldTime(q, n)
		}
		r.Credit = min(r.Credit, time.Duration(r.Share*float64(allHeldTime)))
	}
}

// maxHeldTime returns the mean service time of the rank multiplied by the number of slots that it may hold.
func maxHeldTime[T any](q *Queue[T], rank int) time.Duration {
	return time.Duration(MaxHeld(q, rank)) * q.Ranks[rank].ServiceTime.MeanOrDefault()
}

// atSlotLimit reports whether the rank holds as many slots as its slot limit allows.
func atSlotLimit[T any](q *Queue[T], rank int) bool {
	return q.Slots > 0 && q.Ranks[rank].Held >= MaxHeld(q, rank)
}
