package admission

import (
	"fmt"
	"time"
)

// Bounds of the wait that a refused caller is told to keep. The header Retry-After counts whole seconds; half a minute
// is the time for which callers may cache an entry response.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Reason says why a request was refused before any attempt.
type Reason string

// Reasons of a refusal.
const (
	// DeadlineTooClose means that the request would reach its deadline before it is answered.
	DeadlineTooClose Reason = "deadline-too-close"
	// QueueFull means that as many requests of the rank wait as may wait.
	QueueFull Reason = "queue-full"
	// TenantRate means that the tenant sends more requests per second than it may.
	TenantRate Reason = "tenant-rate"
	// TenantInFlight means that the tenant has as many requests in the node as it may.
	TenantInFlight Reason = "tenant-in-flight"
)

// OfTenant says that the request exceeded a limit of its tenant.
func (r Reason) OfTenant() bool {
	return r == TenantRate || r == TenantInFlight
}

// RefusedError reports a request that was refused before any attempt, so that it was not run.
type RefusedError struct {
	Reason Reason
	Rank   int
	Tenant string
	// RetryAfter is the wait after which the request has a chance.
	RetryAfter time.Duration
}

func (e RefusedError) Error() string {
	return fmt.Sprintf("request of tenant %s in rank %d refused: %s; retry after %s", e.Tenant, e.Rank, e.Reason, e.RetryAfter)
}

// Offer puts the item into the queue if it can meet its deadline and there is room, and else returns RefusedError. If
// the rank is full, a tenant with fewer waiting requests displaces the newest request of the tenant with the most; the
// displaced item was never dispatched and is returned.
func Offer[T any](q *Queue[T], i Item[T], now time.Time) ([]Item[T], error) {
	grow(q, i.Rank)
	r := &q.Ranks[i.Rank]
	wait := Wait(q, i.Rank, i.Tenant)
	if left := i.Deadline.Sub(now); left <= 0 || wait > 0 && wait+need(q, i) > left {
		return nil, RefusedError{
			Reason: DeadlineTooClose, Rank: i.Rank, Tenant: i.Tenant, RetryAfter: clampRetryAfter(wait + need(q, i) - left),
		}
	}
	var displaced []Item[T]
	if r.Waiting >= RankCapacity {
		longest := r.longest()
		if len(r.Tenants[longest]) <= len(r.Tenants[i.Tenant])+1 {
			return nil, RefusedError{Reason: QueueFull, Rank: i.Rank, Tenant: i.Tenant, RetryAfter: clampRetryAfter(wait)}
		}
		displaced = append(displaced, r.cut(longest, len(r.Tenants[longest])-1))
	}
	Push(q, i)
	return displaced, nil
}

// Wait returns how long a new request of the tenant would wait in the rank: the slot time of the requests that are
// served before it, over the slot time that the rank gets. It is zero while a slot is free or no service time is known.
func Wait[T any](q *Queue[T], rank int, tenant string) time.Duration {
	r := &q.Ranks[rank]
	if Held(q)+Waiting(q) < q.Slots || q.Slots == 0 {
		return 0
	}
	work := float64(r.ahead(tenant)+1) * float64(r.ServiceTime.Mean)
	return time.Duration(work / (float64(q.Slots) * r.portion()))
}

// crowdedPart is the part of the time which a response is to take that the backlog may fill before the queue counts as
// crowded. It is reached well before requests are refused for want of time.
const crowdedPart = 1.0 / 6

// Backlog returns how long the slots will work on the requests that wait.
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

// Crowded says that with the backlog some requests will be refused whose responses are to take no longer than the target.
// Then a request that is lost in the trial of a failed server costs nothing, because another one is served in its place.
func Crowded(backlog, target time.Duration) bool {
	return float64(backlog) > crowdedPart*float64(target)
}

// ahead returns the number of waiting requests that are served before a new one of the tenant. Tenants are served in
// turn, so that no other tenant counts for more than the tenant's own number of requests and one.
func (r *RankQueue[T]) ahead(tenant string) int {
	own := len(r.Tenants[tenant])
	n := own
	for _, t := range r.Turns {
		if t != tenant {
			n += min(len(r.Tenants[t]), own+1)
		}
	}
	return n
}

// portion returns the fraction of slot time that the rank got lately while it waited, and at least its share.
func (r *RankQueue[T]) portion() float64 {
	const least = 0.01
	if r.Got+r.Passed == 0 {
		return 1
	}
	return max(float64(r.Got)/float64(r.Got+r.Passed), r.Share, least)
}

func (r *RankQueue[T]) longest() string {
	longest := ""
	for _, t := range r.Turns {
		if len(r.Tenants[t]) > len(r.Tenants[longest]) {
			longest = t
		}
	}
	return longest
}

// need returns the time that the item should have left when it is dispatched.
func need[T any](q *Queue[T], i Item[T]) time.Duration {
	return atMostHalf(i, q.Ranks[i.Rank].ServiceTime.Need(q.Deviations))
}

// Enough says that the item has the time left that a request should have when it is dispatched, so that it would not be
// refused while others wait.
func Enough[T any](q *Queue[T], i Item[T], now time.Time) bool {
	return i.Rank < len(q.Ranks) && i.Deadline.Sub(now) > need(q, i)
}

// atMostHalf bounds the time by half of the item's whole time, so that a rank whose service times vary widely, or were
// long in a fault, is not refused for that alone.
func atMostHalf[T any](i Item[T], d time.Duration) time.Duration {
	return min(d, i.Deadline.Sub(i.Arrived)/2)
}

// late says that the item cannot meet its deadline. An item that waits alone is dispatched if it has more than the mean
// service time left, because its slot would otherwise stay free; with less it would most likely end as unknown.
func late[T any](q *Queue[T], i Item[T], now time.Time) bool {
	left := i.Deadline.Sub(now)
	if left <= atMostHalf(i, q.Ranks[i.Rank].ServiceTime.Mean) {
		return true
	}
	return Waiting(q) > 1 && left < need(q, i)
}

// RetryAfter returns the wait that a request which left the queue unserved should keep.
func RetryAfter[T any](q *Queue[T], rank int, tenant string) time.Duration {
	if rank >= len(q.Ranks) {
		return minRetryAfter
	}
	return clampRetryAfter(Wait(q, rank, tenant))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
