// Package admission implements admission control for the requests of one node: load shedding, weighted fair queueing by
// rank and tenant, and the concurrency limit of each backend server.
package admission

import (
	"slices"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// MaxWaitingPerRank is the maximum number of requests of one rank that wait for one service at one node. Each waiting
// request holds a connection and a goroutine, so this bounds the memory of a surge to a few MB.
const MaxWaitingPerRank = 1024

// Item is one waiting request.
type Item[T any] struct {
	ID string
	// Rank is the index of the request's rank; rank 0 is the most urgent.
	Rank     int
	Tenant   string
	Arrived  time.Time
	Deadline time.Time
	// Objective is the time until which an answer has its full value; zero if only the deadline counts.
	Objective time.Time
	// Kind names the requests that take about the same time; used only with an objective. Push sets KindTimes, the estimates
	// of the kind.
	Kind      string
	KindTimes *KindTimes
	// Attempt is the number of earlier attempts; 0 for the first attempt.
	Attempt int
	Payload T
}

// Queue holds the waiting requests of one service at one node. The zero value is an empty queue in which no rank has a
// share.
type Queue[T any] struct {
	// Ranks holds one queue per rank, the most urgent first.
	Ranks []RankQueue[T]
	// Slots is the number of requests that the node may have outstanding at the usable backend servers. Zero means
	// unknown; no slot limit applies then.
	Slots int
	// TrialServers is the number of backend servers that may get one trial request each. Slots excludes these servers,
	// because they may still be failing, so trial requests take no slots from other requests.
	TrialServers int
	// MarginDeviations sets the time that a request must have left at dispatch: the mean service time plus this number
	// of mean deviations. Zero means the default. A lower value serves more requests of a burst, but more of them reach
	// their deadline without an answer.
	MarginDeviations float64
	// Kinds estimates the times that requests of a kind take at a server.
	Kinds map[string]*KindTimes
	// WaitingSince is the time since when requests have been waiting without a break; zero if none waits. LastDispatch is
	// when a request last left the queue for a server.
	WaitingSince time.Time
	LastDispatch time.Time
	// StopTime is when the node cancels the requests in progress because it is stopping. It is zero while the node is not
	// stopping.
	StopTime time.Time
}

// RankQueue holds the waiting requests of one rank and accounts for the slot time that the rank uses.
type RankQueue[T any] struct {
	// Share is the fraction of slot time that the rank is guaranteed while it has waiting requests.
	Share float64
	// SlotLimit is the maximum fraction of slots that the rank may hold; zero means all slots.
	SlotLimit float64
	// Waiting is the number of waiting items of all tenants.
	Waiting int
	// Objectives is the number of waiting items with a latency objective.
	Objectives int
	// DueTurns is the number of dispatches that due requests have a claim to.
	DueTurns float64
	// Tenants maps each tenant to its waiting items, in order of arrival.
	Tenants map[string][]Item[T]
	// TenantOrder is the round-robin order of the tenants with waiting items; the first one is served next.
	TenantOrder []string
	// Held is the number of slots that requests of the rank hold.
	Held int
	// Charged is the sum of the estimated slot times that were charged for the held slots at dispatch.
	Charged time.Duration
	// Credit is the unused slot time that the rank was credited while it had waiting requests. It is negative if the
	// rank's requests held slots for longer than it was charged.
	Credit time.Duration
	// ServiceTime estimates how long requests of the rank hold a slot.
	ServiceTime ServiceTime
	// OwnTime and OthersTime are decaying sums of the slot time charged to this rank and to the other ranks while this
	// rank had waiting requests.
	OwnTime, OthersTime time.Duration
}

// Configure sets the shares and slot limits of the ranks, the number of slots and the number of servers that are due
// for a trial request. Waiting items keep their place.
func Configure[T any](q *Queue[T], ranks []fleet.Rank, slots, trialServers int) {
	q.Slots, q.TrialServers = slots, trialServers
	for r, rank := range ranks {
		ensureRank(q, r)
		q.Ranks[r].Share = rank.Share
		q.Ranks[r].SlotLimit = rank.SlotLimit
	}
}

// Push appends the item to the queue of its tenant and rank. A retry goes to the front, because its deadline also
// covers the earlier attempts. Push enforces no limit; use Offer for new requests.
func Push[T any](q *Queue[T], i Item[T]) {
	ensureRank(q, i.Rank)
	setKindTimes(q, &i)
	r := &q.Ranks[i.Rank]
	if !i.Objective.IsZero() {
		r.Objectives++
	}
	if r.Tenants == nil {
		r.Tenants = map[string][]Item[T]{}
	}
	items := r.Tenants[i.Tenant]
	if len(items) == 0 {
		r.TenantOrder = append(r.TenantOrder, i.Tenant)
	}
	if i.Attempt > 0 {
		items = slices.Insert(items, 0, i)
	} else {
		items = append(items, i)
	}
	r.Tenants[i.Tenant] = items
	r.Waiting++
}

// setKindTimes sets the estimates of the item's kind, if it has an objective.
func setKindTimes[T any](q *Queue[T], i *Item[T]) {
	if !i.Objective.IsZero() {
		i.KindTimes = q.kindTimes(i.Kind)
	}
}

// Remove removes the item with the ID from the queue of the rank and reports whether it was there.
func Remove[T any](q *Queue[T], rank int, id string) bool {
	if rank >= len(q.Ranks) {
		return false
	}
	r := &q.Ranks[rank]
	for tenant, items := range r.Tenants {
		k := slices.IndexFunc(items, func(i Item[T]) bool { return i.ID == id })
		if k >= 0 {
			r.removeAt(tenant, k)
			if Waiting(q) == 0 {
				q.WaitingSince = time.Time{}
			}
			return true
		}
	}
	return false
}

// Waiting returns the number of waiting requests of all ranks.
func Waiting[T any](q *Queue[T]) int {
	n := 0
	for _, r := range q.Ranks {
		n += r.Waiting
	}
	return n
}

// Held returns the number of slots that requests of all ranks hold.
func Held[T any](q *Queue[T]) int {
	n := 0
	for _, r := range q.Ranks {
		n += r.Held
	}
	return n
}

// MaxHeld returns the maximum number of slots that the rank may hold, which is at least one. A rank without a slot
// limit may hold the slots of trial requests as well.
func MaxHeld[T any](q *Queue[T], rank int) int {
	limit := q.Ranks[rank].SlotLimit
	if limit == 0 || limit >= 1 || q.Slots == 0 {
		return max(q.Slots+q.TrialServers, 1)
	}
	return max(int(limit*float64(q.Slots)), 1)
}

// ReleaseSlot releases the slot that an item of the rank held. The slot time is zero if the attempt did not reach a
// backend server; such an attempt does not count towards the mean service time.
func ReleaseSlot[T any](q *Queue[T], rank int, slotTime time.Duration) {
	r := &q.Ranks[rank]
	charged := r.Charged / time.Duration(max(r.Held, 1))
	r.Charged -= charged
	chargeExcess(q, rank, slotTime-charged)
	r.Held--
	if slotTime > 0 {
		r.ServiceTime.Observe(slotTime)
	}
}

func ensureRank[T any](q *Queue[T], rank int) {
	for len(q.Ranks) <= rank {
		q.Ranks = append(q.Ranks, RankQueue[T]{})
	}
}

// removeAt removes and returns the tenant's item at index k.
func (r *RankQueue[T]) removeAt(tenant string, k int) Item[T] {
	items := r.Tenants[tenant]
	item := items[k]
	r.Waiting--
	if !item.Objective.IsZero() {
		r.Objectives--
	}
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
	t := slices.Index(r.TenantOrder, tenant)
	r.TenantOrder = slices.Delete(r.TenantOrder, t, t+1)
	return item
}
