package admission

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Bounds of the retry delay that a refused caller gets. The Retry-After header has a resolution of one second; 30 s is
// the time for which callers may cache a response that lists the entry hosts.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// StoppingRetryAfter is the retry delay of a request that is refused because the node is stopping. It is short because
// the other nodes can serve the request.
const StoppingRetryAfter = 100 * time.Millisecond

// Reason is the reason why a request was refused before any attempt.
type Reason string

// Reasons of a refusal.
const (
	// DeadlineTooClose means that the request would not be answered before its deadline.
	DeadlineTooClose Reason = "deadline-too-close"
	// LateBacklog means that the request would be answered neither within its latency objective nor later, because of the
	// late requests that wait already.
	LateBacklog Reason = "late-backlog"
	// NoProgress means that no request has left the queue for so long that the request would wait in vain.
	NoProgress Reason = "no-progress"
	// QueueFull means that the maximum number of requests of the rank is already waiting.
	QueueFull Reason = "queue-full"
	// ServersPaused means that all servers of the service asked for no requests for some time.
	ServersPaused Reason = "servers-paused"
	// NodeStopping means that the request would not be answered before the node stops.
	NodeStopping Reason = "node-stopping"
	// TenantRate means that the tenant exceeded its limit of requests per second.
	TenantRate Reason = "tenant-rate"
	// TenantInFlight means that the tenant reached its limit of requests in flight at the node.
	TenantInFlight Reason = "tenant-in-flight"
)

// IsTenantLimit reports whether the request exceeded a limit of its tenant.
func (r Reason) IsTenantLimit() bool {
	return r == TenantRate || r == TenantInFlight
}

// RefusedError is returned for a request that was refused before any attempt. No backend server has executed it.
type RefusedError struct {
	Reason Reason
	Rank   int
	Tenant string
	// RetryAfter is the delay after which a retry may be admitted.
	RetryAfter time.Duration
}

func (e RefusedError) Error() string {
	return fmt.Sprintf("request of tenant %s in rank %d refused: %s; retry after %s", e.Tenant, e.Rank, e.Reason, e.RetryAfter)
}

// StoppingError returns the error of an item that is refused because the node is stopping.
func StoppingError[T any](i Item[T]) RefusedError {
	return RefusedError{Reason: NodeStopping, Rank: i.Rank, Tenant: i.Tenant, RetryAfter: StoppingRetryAfter}
}

// Offer queues the item, or returns a RefusedError if the item cannot meet its deadline, cannot be answered before the
// node stops, or the rank is full. In a full rank, an item of a tenant with fewer waiting requests displaces the newest
// item of the tenant with the most. The displaced item, which was never dispatched, is returned.
func Offer[T any](q *Queue[T], i Item[T], now time.Time) ([]Item[T], error) {
	ensureRank(q, i.Rank)
	r := &q.Ranks[i.Rank]
	setKindTimes(q, &i)
	wait := EstimateWait(q, i.Rank, i.Tenant)
	if err := refusalByDeadline(q, i, wait, now); err != nil {
		return nil, err
	}
	if !fitsBeforeStop(q, i, wait, now) {
		return nil, StoppingError(i)
	}
	var displaced []Item[T]
	if r.Waiting >= MaxWaitingPerRank {
		longest := r.tenantWithMostWaiting()
		if len(r.Tenants[longest]) <= len(r.Tenants[i.Tenant])+1 {
			return nil, RefusedError{Reason: QueueFull, Rank: i.Rank, Tenant: i.Tenant, RetryAfter: clampRetryAfter(wait)}
		}
		displaced = append(displaced, r.removeAt(longest, len(r.Tenants[longest])-1))
	}
	Push(q, i)
	noteWaiting(q, now)
	return displaced, nil
}

// refusalByDeadline returns a RefusedError if the item is not expected to meet its deadline. In a standing queue, requests
// with a latency objective are not served in order of arrival, and the wait of a new one depends on its lane.
func refusalByDeadline[T any](q *Queue[T], i Item[T], wait time.Duration, now time.Time) error {
	left := i.Deadline.Sub(now)
	if left > 0 && wait > 0 && !i.Objective.IsZero() && isStanding(q, now) {
		return offerByLane(q, i, now)
	}
	if left <= 0 || wait > 0 && wait+requiredTime(q, i) > left {
		return RefusedError{
			Reason: DeadlineTooClose, Rank: i.Rank, Tenant: i.Tenant, RetryAfter: clampRetryAfter(wait + requiredTime(q, i) - left),
		}
	}
	return nil
}

// EstimateWait estimates the queueing delay of a new request of the tenant in the rank: the total service time of the
// requests served before it, divided by the rank's fraction of the slots. It returns zero while a slot is free or the
// service time is unknown.
func EstimateWait[T any](q *Queue[T], rank int, tenant string) time.Duration {
	r := &q.Ranks[rank]
	if Held(q)+Waiting(q) < q.Slots || q.Slots == 0 {
		return 0
	}
	work := float64(r.requestsAhead(tenant)+1) * float64(r.ServiceTime.Mean)
	return time.Duration(work / (float64(q.Slots) * r.slotTimeFraction()))
}

// congestedBacklogFraction is the fraction of the target response time above which the backlog counts as congestion.
// The backlog exceeds it well before requests are refused because of their deadline.
const congestedBacklogFraction = 1.0 / 6

// Backlog returns the time that all slots together need to serve the waiting requests.
func Backlog[T any](q *Queue[T]) time.Duration {
	if q.Slots == 0 {
		return 0
	}
	var work time.Duration
	for n := range q.Ranks {
		work += time.Duration(q.Ranks[n].Waiting) * q.Ranks[n].ServiceTime.Mean
	}
	return work / time.Duration(q.Slots)
}

// Congested reports whether the backlog is so long that some requests with the target response time will be refused. A
// request that fails as the trial of an ejected server then costs nothing, because another request is served in its
// place.
func Congested(backlog, target time.Duration) bool {
	return float64(backlog) > congestedBacklogFraction*float64(target)
}

// requestsAhead returns the number of waiting requests that are served before a new one of the tenant. Tenants are
// served round-robin, so each other tenant counts for at most one request more than this tenant has waiting.
func (r *RankQueue[T]) requestsAhead(tenant string) int {
	ownWaiting := len(r.Tenants[tenant])
	n := ownWaiting
	for _, t := range r.TenantOrder {
		if t != tenant {
			n += min(len(r.Tenants[t]), ownWaiting+1)
		}
	}
	return n
}

// slotTimeFraction returns the fraction of slot time that the rank got recently while it had waiting requests, or its
// share if that is larger.
func (r *RankQueue[T]) slotTimeFraction() float64 {
	const minFraction = 0.01
	if r.OwnTime+r.OthersTime == 0 {
		return 1
	}
	return max(float64(r.OwnTime)/float64(r.OwnTime+r.OthersTime), r.Share, minFraction)
}

// tenantWithMostWaiting returns the tenant with the most waiting requests, or the empty string if there is none.
func (r *RankQueue[T]) tenantWithMostWaiting() string {
	longest := ""
	for _, t := range r.TenantOrder {
		if len(r.Tenants[t]) > len(r.Tenants[longest]) {
			longest = t
		}
	}
	return longest
}

// requiredTime returns the time that the item must have left at dispatch.
func requiredTime[T any](q *Queue[T], i Item[T]) time.Duration {
	return capAtHalfTimeout(i, answerTime(q, &i).RequiredTime(q.MarginDeviations))
}

// HasEnoughTime reports whether the item has enough time left to be dispatched even while other requests wait.
func HasEnoughTime[T any](q *Queue[T], i Item[T], now time.Time) bool {
	return i.Rank < len(q.Ranks) && i.Deadline.Sub(now) > requiredTime(q, i) && fitsBeforeStop(q, i, 0, now)
}

// fitsBeforeStop reports whether the item is answered before the node stops if it is dispatched after the wait. It uses
// the default number of deviations, because a request that is cut by the stop may have run, while a refused one can be
// repeated at another node.
func fitsBeforeStop[T any](q *Queue[T], i Item[T], wait time.Duration, now time.Time) bool {
	return q.StopTime.IsZero() || wait+q.Ranks[i.Rank].ServiceTime.RequiredTime(defaultDeviations) < q.StopTime.Sub(now)
}

// StopAt sets the time at which the node stops, and removes and returns the waiting items that would not be answered
// before it.
func StopAt[T any](q *Queue[T], stop, now time.Time) []Item[T] {
	q.StopTime = stop
	waiting := RemoveAll(q, func(Item[T]) bool { return true })
	// The items are queued again in the order in which they are served, which gives each of them its estimated wait.
	slices.SortStableFunc(waiting, func(a, b Item[T]) int {
		return cmp.Or(-cmp.Compare(a.Attempt, b.Attempt), a.Arrived.Compare(b.Arrived))
	})
	var refused []Item[T]
	for _, i := range waiting {
		if fitsBeforeStop(q, i, EstimateWait(q, i.Rank, i.Tenant), now) {
			Push(q, i)
		} else {
			refused = append(refused, i)
		}
	}
	return refused
}

// capAtHalfTimeout limits the duration to half of the item's timeout. Otherwise requests of a rank would be refused
// only because its service times vary widely or were long during a fault.
func capAtHalfTimeout[T any](i Item[T], d time.Duration) time.Duration {
	return min(d, i.Deadline.Sub(i.Arrived)/2)
}

// isLate reports whether the item cannot meet its deadline or be answered before the node stops. An item that waits alone
// is dispatched if it has more than the mean service time left, because its slot would otherwise stay unused; with less
// time left its outcome would most likely be unknown.
func isLate[T any](q *Queue[T], i Item[T], now time.Time) bool {
	left := i.Deadline.Sub(now)
	if left <= capAtHalfTimeout(i, answerTime(q, &i).Mean) || !fitsBeforeStop(q, i, 0, now) {
		return true
	}
	return Waiting(q) > 1 && left < requiredTime(q, i)
}

// RetryAfter returns the retry delay for a request that was removed from the queue without being served.
func RetryAfter[T any](q *Queue[T], rank int, tenant string) time.Duration {
	if rank >= len(q.Ranks) {
		return minRetryAfter
	}
	return clampRetryAfter(EstimateWait(q, rank, tenant))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
