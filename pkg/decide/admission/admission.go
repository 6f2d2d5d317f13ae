// Package admission decides which requests may wait, in which order waiting requests are dispatched to backend servers,
// and how many requests a node may have outstanding at each backend server.
package admission

import (
	"slices"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// RankCapacity is the number of requests of one rank that may wait for one service at one node. Waiting requests hold a
// connection and a goroutine each, so the bound keeps a surge within a few MB.
const RankCapacity = 1024

// Item is one waiting request.
type Item[T any] struct {
	ID string
	// Rank is the index of the request's rank; 0 is the most urgent.
	Rank     int
	Tenant   string
	Arrived  time.Time
	Deadline time.Time
	// Attempt is 0 for the first attempt.
	Attempt int
	Payload T
}

// Queue holds the waiting requests of one service at one node. The zero value is an empty queue without shares.
type Queue[T any] struct {
	// Ranks is indexed by rank, the most urgent first.
	Ranks []RankQueue[T]
	// Slots is the number of requests that the node may have outstanding at the usable backend servers. Zero means that
	// it is not known, and then no slot limit applies.
	Slots int
	// Trials is the number of servers that may get a trial request each. They are not counted in Slots, because it is not
	// known whether they work; trials take no slot from the others.
	Trials int
	// Deviations is the number of mean deviations beyond the mean that a request should have left when it is dispatched;
	// zero means the default. Few of them serve more of a burst, and leave more requests without an answer at their deadline.
	Deviations float64
}

// RankQueue holds the waiting requests of one rank and its account of slot time.
type RankQueue[T any] struct {
	// Share is the fraction of slot time that the rank keeps while it has waiting work.
	Share float64
	// SlotLimit is the fraction of slots that the rank may hold; zero means all.
	SlotLimit float64
	// Waiting is the number of items in Tenants.
	Waiting int
	// Tenants holds the waiting items of each tenant in order of arrival.
	Tenants map[string][]Item[T]
	// Turns lists the tenants with waiting items; the first is served next.
	Turns []string
	// Held is the number of slots that the rank holds.
	Held int
	// Charged is what was paid for the held slots when they were handed out.
	Charged time.Duration
	// Credit is the slot time that the rank has earned while waiting and not yet used; below zero if it
	// used more than it was charged for.
	Credit time.Duration
	// ServiceTime describes how long the rank's requests hold a slot.
	ServiceTime ServiceTime
	// Got and Passed are decaying sums of the slot time that the rank and the other ranks were given while it waited.
	Got, Passed time.Duration
}

// Configure sets the shares and slot limits of the ranks and the numbers of slots and of servers on trial. Items that wait
// stay in place.
func Configure[T any](q *Queue[T], ranks []fleet.Rank, slots, trials int) {
	q.Slots, q.Trials = slots, trials
	for r, rank := range ranks {
		grow(q, r)
		q.Ranks[r].Share = rank.Share
		q.Ranks[r].SlotLimit = rank.SlotLimit
	}
}

// Push appends the item to those of its tenant and rank. A retry goes to the front, because its deadline covers the
// earlier attempts. Push applies no bound; Offer does.
func Push[T any](q *Queue[T], i Item[T]) {
	grow(q, i.Rank)
	r := &q.Ranks[i.Rank]
	if r.Tenants == nil {
		r.Tenants = map[string][]Item[T]{}
	}
	items := r.Tenants[i.Tenant]
	if len(items) == 0 {
		r.Turns = append(r.Turns, i.Tenant)
	}
	if i.Attempt > 0 {
		items = slices.Insert(items, 0, i)
	} else {
		items = append(items, i)
	}
	r.Tenants[i.Tenant] = items
	r.Waiting++
}

// Remove takes the item with the ID out of the queue. It returns false if the item does not wait there.
func Remove[T any](q *Queue[T], rank int, id string) bool {
	if rank >= len(q.Ranks) {
		return false
	}
	r := &q.Ranks[rank]
	for tenant, items := range r.Tenants {
		k := slices.IndexFunc(items, func(i Item[T]) bool { return i.ID == id })
		if k >= 0 {
			r.cut(tenant, k)
			return true
		}
	}
	return false
}

// Waiting returns the number of requests that wait in all ranks.
func Waiting[T any](q *Queue[T]) int {
	n := 0
	for _, r := range q.Ranks {
		n += r.Waiting
	}
	return n
}

// Held returns the number of slots that all ranks hold.
func Held[T any](q *Queue[T]) int {
	n := 0
	for _, r := range q.Ranks {
		n += r.Held
	}
	return n
}

// MaxHeld returns the number of slots that the rank may hold of the queue's slots: at least one. A rank without a limit may
// also hold those of trials.
func MaxHeld[T any](q *Queue[T], rank int) int {
	limit := q.Ranks[rank].SlotLimit
	if limit == 0 || limit >= 1 || q.Slots == 0 {
		return max(q.Slots+q.Trials, 1)
	}
	return max(int(limit*float64(q.Slots)), 1)
}

// Finish returns the slot that an item of the rank held. A positive slot time is that of an attempt which a backend
// server worked on; zero stands for an attempt that never got that far.
func Finish[T any](q *Queue[T], rank int, slotTime time.Duration) {
	r := &q.Ranks[rank]
	charged := r.Charged / time.Duration(max(r.Held, 1))
	r.Charged -= charged
	settle(q, rank, slotTime-charged)
	r.Held--
	if slotTime > 0 {
		r.ServiceTime.Observe(slotTime)
	}
}

func grow[T any](q *Queue[T], rank int) {
	for len(q.Ranks) <= rank {
		q.Ranks = append(q.Ranks, RankQueue[T]{})
	}
}

// cut removes and returns the item at index k of the tenant.
func (r *RankQueue[T]) cut(tenant string, k int) Item[T] {
	items := r.Tenants[tenant]
	item := items[k]
	r.Waiting--
	if k == 0 && len(items) > 1 {
		items[0] = Item[T]{}
		r.Tenants[tenant] = items[1:]
		return item
	}
	if len(items) > 1 {
		r.Tenants[tenant] = slices.Delete(items, k, k+1)
		return item
	}
	delete(r.Tenants, tenant)
	t := slices.Index(r.Turns, tenant)
	r.Turns = slices.Delete(r.Turns, t, t+1)
	return item
}
