package admission

import "time"

const (
	// StandingAfter is the time for which requests must have been waiting without a break until the queue counts as
	// standing. Shorter queues come from the variation of arrivals and drain by themselves.
	StandingAfter = 200 * time.Millisecond
	// laneDeviations is the number of mean deviations of its service time that a request must have as slack to be in time.
	laneDeviations = 1
	// maxRequiredFraction bounds the time that a request is assumed to need by a fraction of its latency objective, so that
	// a wrong or high estimate never makes a request late on arrival.
	maxRequiredFraction = 0.75
	// dueFraction is the fraction of a late request's time, counted back from the last moment at which it can be
	// dispatched, in which it is due.
	dueFraction = 0.3
	// dueDispatchFraction is the fraction of dispatches that due requests get while requests in time wait. Without it, all
	// late requests of a surge that lasts nearly as long as their deadline end unserved, after the longest wait.
	dueDispatchFraction = 0.1
	// spareFraction is the fraction of its objective that a request in time must have as slack to let a due one go first.
	spareFraction = 0.15
	// maxDueTurns bounds the turns that due requests can save up.
	maxDueTurns = 4
)

// lane is the order in which a waiting request of a standing queue is served. Lanes answer a surge in which the servers
// can answer many requests within their latency objective, but in order of arrival all of them would be late.
type lane int

// Lanes of a rank. Requests in time go first, those with the least slack first within a customer. Late requests follow by
// deadline, and get a part of the dispatches when they are due.
const (
	// laneInTime means that the request can still be answered within its latency objective.
	laneInTime lane = iota
	// laneLate means that the request has missed its latency objective but not its deadline.
	laneLate
	// laneDue means that a late request must be dispatched soon to meet its deadline.
	laneDue
	// laneHopeless means that the request can no longer meet its deadline, or be answered before the node stops.
	laneHopeless
)

// isStanding reports whether requests have been waiting for so long that the queue does not drain by itself.
func isStanding[T any](q *Queue[T], now time.Time) bool {
	return !q.WaitingSince.IsZero() && now.Sub(q.WaitingSince) >= StandingAfter
}

// KindTimes estimates the times of the requests of one kind.
type KindTimes struct {
	// Slot is the time for which an attempt holds a slot. It includes failures, which are often fast.
	Slot ServiceTime
	// Answer is the same of attempts that were answered.
	Answer ServiceTime
}

// ObserveKind updates the estimates of the kind after an attempt. The slot time is zero if the attempt did not reach a
// backend server; such an attempt does not count.
func ObserveKind[T any](q *Queue[T], kind string, slotTime time.Duration, answered bool) {
	if slotTime <= 0 {
		return
	}
	k := q.kindTimes(kind)
	k.Slot.Observe(slotTime)
	if answered {
		k.Answer.Observe(slotTime)
	}
}

// maxKinds bounds the kinds of requests with an estimate of their own.
const maxKinds = 1024

// kindTimes returns the estimates of the kind. All estimates start anew when there are too many, because routes come and go
// with the configuration.
func (q *Queue[T]) kindTimes(kind string) *KindTimes {
	s, found := q.Kinds[kind]
	if !found {
		if q.Kinds == nil || len(q.Kinds) >= maxKinds {
			q.Kinds = map[string]*KindTimes{}
		}
		s = &KindTimes{}
		q.Kinds[kind] = s
	}
	return s
}

// answerTime returns the estimated time of an answer to the item: that of its kind once there is evidence, and before that
// the slot time of its rank.
func answerTime[T any](q *Queue[T], i *Item[T]) *ServiceTime {
	if i.KindTimes != nil && i.KindTimes.Answer.Mean > 0 {
		return &i.KindTimes.Answer
	}
	return &q.Ranks[i.Rank].ServiceTime
}

// slotTime returns the mean time for which the item is expected to hold a slot.
func slotTime[T any](q *Queue[T], i *Item[T]) time.Duration {
	if i.KindTimes != nil && i.KindTimes.Slot.Mean > 0 {
		return i.KindTimes.Slot.Mean
	}
	return q.Ranks[i.Rank].ServiceTime.Mean
}

// slack returns the time that the item can wait and still be answered within its latency objective, or before its deadline
// if it has no objective.
func slack[T any](q *Queue[T], i *Item[T], now time.Time) time.Duration {
	objective := i.Objective
	if objective.IsZero() {
		objective = i.Deadline
	}
	required := answerTime(q, i).RequiredTime(laneDeviations)
	longest := time.Duration(maxRequiredFraction * float64(objective.Sub(i.Arrived)))
	return objective.Sub(now) - min(required, longest)
}

// laneOf returns the lane of the item, whose slack is given.
func laneOf[T any](q *Queue[T], i *Item[T], slack time.Duration, now time.Time) lane {
	if !fitsBeforeStop(q, *i, 0, now) {
		return laneHopeless
	}
	if slack > 0 {
		return laneInTime
	}
	left := i.Deadline.Sub(now)
	switch {
	case isLate(q, *i, now):
		return laneHopeless
	case float64(left-requiredTime(q, *i)) < dueFraction*float64(i.Deadline.Sub(i.Arrived)):
		return laneDue
	default:
		return laneLate
	}
}

// laneTurn holds the index of the item that a tenant would send next from each lane, or -1.
type laneTurn struct {
	tenant            string
	inTime, late, due int
}

// drop removes the item at index k, which fits no server, from all lanes. The search for a server is expensive.
func (t *laneTurn) drop(k int) {
	for _, index := range []*int{&t.inTime, &t.late, &t.due} {
		if *index == k {
			*index = -1
		}
	}
}

// laneSummary describes the waiting items of a rank.
type laneSummary struct {
	// anyLate reports whether any item is late or due.
	anyLate bool
	// spare reports whether all items in time have slack to spare, so that a late one can go before them.
	spare bool
}

// laneTurns returns the turn of each tenant of the rank, in round-robin order.
func laneTurns[T any](q *Queue[T], r *RankQueue[T], now time.Time) ([]laneTurn, laneSummary) {
	turns := make([]laneTurn, 0, len(r.TenantOrder))
	summary := laneSummary{spare: true}
	for _, tenant := range r.TenantOrder {
		t := laneTurn{tenant: tenant, inTime: -1, late: -1, due: -1}
		items := r.Tenants[tenant]
		var leastSlack time.Duration
		for k := range items {
			i := &items[k]
			s := slack(q, i, now)
			l := laneOf(q, i, s, now)
			if i.Attempt > 0 && l != laneHopeless {
				t.inTime = k // a retry keeps its place at the front
				break
			}
			switch l {
			case laneInTime:
				if float64(s) < spareFraction*float64(i.Objective.Sub(i.Arrived)) {
					summary.spare = false
				}
				if t.inTime < 0 || s < leastSlack {
					t.inTime, leastSlack = k, s
				}
			case laneDue, laneLate:
				if t.late < 0 || i.Deadline.Before(items[t.late].Deadline) {
					t.late = k
				}
				if l == laneDue && (t.due < 0 || i.Deadline.Before(items[t.due].Deadline)) {
					t.due = k
				}
			case laneHopeless: // removed by TurnOut
			}
		}
		summary.anyLate = summary.anyLate || t.late >= 0
		turns = append(turns, t)
	}
	return turns, summary
}

// popByLane removes the next item of a rank in a standing queue: a due item if it is their turn, else the one in time with
// the least slack, else the late one with the earliest deadline. In each lane the tenants take turns.
func popByLane[T any](q *Queue[T], rank int, now time.Time, fits func(Item[T]) bool, result *NextResult[T]) bool {
	r := &q.Ranks[rank]
	turns, summary := laneTurns(q, r, now)
	due := func(t laneTurn) int { return t.due }
	if summary.spare && r.popFirst(turns, due, fits, result) {
		return true
	}
	if r.DueTurns >= 1 && r.popFirst(turns, due, fits, result) {
		r.DueTurns--
		return true
	}
	if r.popFirst(turns, func(t laneTurn) int { return t.inTime }, fits, result) {
		if summary.anyLate {
			r.DueTurns = min(r.DueTurns+dueDispatchFraction/(1-dueDispatchFraction), maxDueTurns)
		}
		return true
	}
	return r.popFirst(turns, func(t laneTurn) int { return t.late }, fits, result)
}

// popFirst removes the first item that fits among the given items of the tenants, and stores it in result.
func (r *RankQueue[T]) popFirst(turns []laneTurn, index func(laneTurn) int, fits func(Item[T]) bool, result *NextResult[T]) bool {
	for n, t := range turns {
		k := index(t)
		if k < 0 {
			continue
		}
		if fits != nil && !fits(r.Tenants[t.tenant][k]) {
			turns[n].drop(k)
			continue
		}
		result.Item, result.Found = r.removeAt(t.tenant, k), true
		r.moveTenantToBack(t.tenant)
		return true
	}
	return false
}

// offerByLane returns a RefusedError if an item that arrives at a standing queue is expected to be served neither in time
// nor late.
func offerByLane[T any](q *Queue[T], i Item[T], now time.Time) error {
	r := &q.Ranks[i.Rank]
	if q.Slots == 0 {
		return nil
	}
	capacity := float64(q.Slots) * r.slotTimeFraction()
	inTime, late := workAhead(q, r, &i, now)
	if time.Duration(inTime/capacity) <= slack(q, &i, now) {
		return nil
	}
	wait := time.Duration(late / capacity)
	left := i.Deadline.Sub(now) - requiredTime(q, i)
	if wait <= left {
		return nil
	}
	return RefusedError{Reason: LateBacklog, Rank: i.Rank, Tenant: i.Tenant, RetryAfter: clampRetryAfter(wait - left)}
}

// workAhead returns the service time of the items that are served before a new one: of those in time with less slack, and
// of all that have an earlier deadline. Tenants take turns, so each other tenant counts for at most one item more than the
// new one's tenant has.
func workAhead[T any](q *Queue[T], r *RankQueue[T], i *Item[T], now time.Time) (inTime, earlierDeadline float64) {
	ownInTime, ownEarlier, ownInTimeWork, ownEarlierWork := tenantWork(q, r.Tenants[i.Tenant], i, now, -1, -1)
	inTime, earlierDeadline = ownInTimeWork, ownEarlierWork
	for _, tenant := range r.TenantOrder {
		if tenant == i.Tenant {
			continue
		}
		_, _, a, b := tenantWork(q, r.Tenants[tenant], i, now, ownInTime+1, ownEarlier+1)
		inTime += a
		earlierDeadline += b
	}
	return inTime, earlierDeadline
}

// tenantWork counts the items of a tenant that go before i in each lane, up to the limits, and sums their service times.
// A negative limit means no limit.
func tenantWork[T any](
	q *Queue[T], items []Item[T], i *Item[T], now time.Time, limitInTime, limitEarlier int,
) (nInTime, nEarlier int, inTime, earlier float64) {
	ownSlack := slack(q, i, now)
	for k := range items {
		o := &items[k]
		work := float64(slotTime(q, o))
		if s := slack(q, o, now); s > 0 && s <= ownSlack && nInTime != limitInTime {
			nInTime++
			inTime += work
		}
		if !o.Deadline.After(i.Deadline) && nEarlier != limitEarlier {
			nEarlier++
			earlier += work
		}
	}
	return nInTime, nEarlier, inTime, earlier
}

// Turned is an item that was removed because more waiting cannot help it, and the error that its caller gets.
type Turned[T any] struct {
	Item[T]
	Err RefusedError
}

// TurnOut removes the waiting items with a latency objective that can no longer meet their deadline, or will probably not
// because no request has left the queue for long. It answers servers that are all silent, and of which a caller would
// otherwise learn only at its deadline.
func TurnOut[T any](q *Queue[T], now time.Time) []Turned[T] {
	noteWaiting(q, now)
	var turned []Turned[T]
	stalled := stalledFor(q, now)
	for n := range q.Ranks {
		if q.Ranks[n].Objectives == 0 {
			continue
		}
		for _, i := range removeFromRank(q, n, func(i Item[T]) bool {
			return !i.Objective.IsZero() && (isLate(q, i, now) || stallsTooLong(q, i, stalled, now))
		}) {
			e := RefusedError{Reason: DeadlineTooClose, Rank: i.Rank, Tenant: i.Tenant}
			if !isLate(q, i, now) {
				e.Reason = NoProgress
			}
			turned = append(turned, Turned[T]{Item: i, Err: e})
		}
	}
	for k := range turned {
		e := &turned[k].Err
		e.RetryAfter = clampRetryAfter(max(stalled, EstimateWait(q, e.Rank, e.Tenant)))
	}
	return turned
}

// stalledFor returns how long requests have been waiting since the last one left the queue.
func stalledFor[T any](q *Queue[T], now time.Time) time.Duration {
	if q.WaitingSince.IsZero() {
		return 0
	}
	since := q.WaitingSince
	if q.LastDispatch.After(since) {
		since = q.LastDispatch
	}
	return now.Sub(since)
}

// stallsTooLong reports whether a stall is expected to outlast the item: half as long again as it has lasted so far.
func stallsTooLong[T any](q *Queue[T], i Item[T], stalled time.Duration, now time.Time) bool {
	return stalled >= StandingAfter && i.Deadline.Sub(now)-requiredTime(q, i) < stalled/2
}

// LaneCounts describes the waiting requests of one rank.
type LaneCounts struct {
	InTime int
	// Late counts the waiting requests that will miss their latency objective.
	Late int
	// LongestWait is the time for which the oldest one has been waiting.
	LongestWait time.Duration
}

// CountLanes returns the number of waiting requests of the rank in time and late.
func CountLanes[T any](q *Queue[T], rank int, now time.Time) LaneCounts {
	var c LaneCounts
	for _, items := range q.Ranks[rank].Tenants {
		for k := range items {
			if slack(q, &items[k], now) > 0 {
				c.InTime++
			} else {
				c.Late++
			}
			c.LongestWait = max(c.LongestWait, now.Sub(items[k].Arrived))
		}
	}
	return c
}

// noteWaiting records since when requests have been waiting.
func noteWaiting[T any](q *Queue[T], now time.Time) {
	switch {
	case Waiting(q) == 0:
		q.WaitingSince = time.Time{}
	case q.WaitingSince.IsZero():
		q.WaitingSince = now
	}
}
