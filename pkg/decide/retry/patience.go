package retry

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// acceptanceGain is the weight of one attempt in Patience.Accepted.
	acceptanceGain = 1.0 / 16
	// acceptingFraction is the fraction of attempts above which servers count as accepting. A pool that is in order turns
	// away few requests.
	acceptingFraction = 0.9
	// arrivalTimeConstant is the time constant of the decaying count of requests, from which the refill of the budget is
	// estimated.
	arrivalTimeConstant = 2 * time.Second
	// feasibleFraction is the part of the expected refill that waiting requests may count on.
	feasibleFraction = 0.9
	// maxWaitObjectives bounds the wait of a request while servers turn requests away, in latency objectives. The longer
	// they have done so, the less it is worth to delay a refusal.
	maxWaitObjectives = 2
	// impatientWaitFraction bounds the wait of a request whose deadline is soon after its latency objective, as a fraction
	// of the objective.
	impatientWaitFraction = 4
)

// Waiting is a request that waits at the host while backend servers turn requests away.
type Waiting[T any] struct {
	ID   string
	Rank int
	// Objective is the latency objective of the request.
	Objective time.Duration
	// InTimeUntil is the latest start of an attempt that still meets the objective, LatestStart of one that meets the
	// deadline.
	InTimeUntil time.Time
	LatestStart time.Time
	// GiveUp is when the wait ends if servers still turn requests away. Add sets it.
	GiveUp  time.Time
	Payload T
}

// Patient reports whether the deadline is so much later than the objective that a wait can outlast a fault.
func (w Waiting[T]) Patient() bool { return w.LatestStart.Sub(w.InTimeUntil) >= w.Objective }

func (w Waiting[T]) inTime(now time.Time) bool { return !now.After(w.InTimeUntil) }

// Patience holds the requests of one service that wait at one node for the retry budget or for servers that accept again.
// The load that it answers: all servers of a service turn away a large part of what reaches them, whatever their load, for
// longer than the budget lasts. Requests that have much time left then wait instead of being refused; the others get what
// the budget allows beyond the need of those. The zero value is ready for use.
type Patience[T any] struct {
	// Items is ordered by LatestStart.
	Items []Waiting[T]
	// Turned is a moving average of the fraction of attempts that servers turned away.
	Turned float64
	// Arrivals is a decaying count of requests, as of CountedAt.
	Arrivals  float64
	CountedAt time.Time
}

// ObserveArrival counts a request for the service.
func (p *Patience[T]) ObserveArrival(now time.Time) {
	p.Arrivals = p.arrivalsAt(now) + 1
	p.CountedAt = now
}

func (p *Patience[T]) arrivalsAt(now time.Time) float64 {
	return p.Arrivals * math.Exp(-max(0, now.Sub(p.CountedAt).Seconds())/arrivalTimeConstant.Seconds())
}

// ObserveAttempt records whether a server turned an attempt away.
func (p *Patience[T]) ObserveAttempt(turnedAway bool) {
	value := 0.0
	if turnedAway {
		value = 1
	}
	p.Turned += acceptanceGain * (value - p.Turned)
}

// Accepting reports whether servers take nearly all requests.
func (p *Patience[T]) Accepting() bool { return 1-p.Turned >= acceptingFraction }

// refillPerSecond returns the expected deposits.
func (p *Patience[T]) refillPerSecond(b *Budget, now time.Time) float64 {
	return p.arrivalsAt(now) / arrivalTimeConstant.Seconds() * b.Params.Deposit
}

// CanWait reports whether the budget will allow another attempt of the request in time, given the requests that wait
// already. A request that is not patient waits only for a part of its objective.
func (p *Patience[T]) CanWait(b *Budget, w Waiting[T], now time.Time) bool {
	until := w.LatestStart
	if !w.Patient() {
		until = w.giveUp(now)
	}
	if !until.After(now) {
		return false
	}
	needed := WithdrawalPerRetry
	for _, i := range p.Items {
		if i.inTime(now) && i.Rank <= w.Rank || !i.LatestStart.After(until) {
			needed += WithdrawalPerRetry
		}
	}
	return needed <= b.Balance+feasibleFraction*p.refillPerSecond(b, now)*until.Sub(now).Seconds()
}

// giveUp returns when the wait of the request ends if it begins now and servers go on turning requests away.
func (w Waiting[T]) giveUp(now time.Time) time.Time {
	longest := maxWaitObjectives * w.Objective
	if !w.Patient() {
		longest = w.Objective / impatientWaitFraction
	}
	if end := now.Add(longest); end.Before(w.LatestStart) {
		return end
	}
	return w.LatestStart
}

// Add adds a waiting request.
func (p *Patience[T]) Add(w Waiting[T], now time.Time) {
	w.GiveUp = w.giveUp(now)
	k, _ := slices.BinarySearchFunc(p.Items, w, func(a, b Waiting[T]) int {
		return cmp.Or(a.LatestStart.Compare(b.LatestStart), cmp.Compare(a.ID, b.ID))
	})
	p.Items = slices.Insert(p.Items, k, w)
}

// Remove removes the request with the ID and reports whether it was waiting.
func (p *Patience[T]) Remove(id string) bool {
	k := slices.IndexFunc(p.Items, func(w Waiting[T]) bool { return w.ID == id })
	if k >= 0 {
		p.Items = slices.Delete(p.Items, k, k+1)
	}
	return k >= 0
}

// Release removes and returns the requests that are sent now, and charges the budget for them. What can still be in time
// goes first, by rank.
func (p *Patience[T]) Release(b *Budget, now time.Time) []Waiting[T] {
	var released []Waiting[T]
	for {
		k := p.next(now)
		if k < 0 || !TryWithdraw(b) {
			return released
		}
		released = append(released, p.Items[k])
		p.Items = slices.Delete(p.Items, k, k+1)
	}
}

// next returns the index of the request that is sent next, or -1 if none can still be sent. Of the requests of a rank that can be in
// time, the newest is sent first: when the budget is short, the oldest would reach servers only after their objective. What
// can no longer be in time is sent in order of its latest start.
func (p *Patience[T]) next(now time.Time) int {
	best := -1
	for k, w := range p.Items {
		if !w.inTime(now) {
			continue
		}
		if best < 0 || cmp.Or(cmp.Compare(w.Rank, p.Items[best].Rank), p.Items[best].InTimeUntil.Compare(w.InTimeUntil)) < 0 {
			best = k
		}
	}
	if best < 0 {
		return slices.IndexFunc(p.Items, func(w Waiting[T]) bool { return !now.After(w.LatestStart) })
	}
	return best
}

// Expire removes and returns the requests whose wait has ended.
func (p *Patience[T]) Expire(now time.Time) []Waiting[T] {
	var expired []Waiting[T]
	accepting := p.Accepting()
	p.Items = slices.DeleteFunc(p.Items, func(w Waiting[T]) bool {
		ended := now.After(w.LatestStart) || !accepting && now.After(w.GiveUp)
		if ended {
			expired = append(expired, w)
		}
		return ended
	})
	return expired
}

// RetryAfter returns the time after which the budget will allow another attempt, given the requests that wait already.
// It returns zero if that is not known.
func (p *Patience[T]) RetryAfter(b *Budget, now time.Time) time.Duration {
	refill := p.refillPerSecond(b, now)
	if refill <= 0 {
		return 0
	}
	missing := max(0, WithdrawalPerRetry*float64(len(p.Items)+1)-b.Balance)
	return time.Duration(min(missing/refill, time.Minute.Seconds()) * float64(time.Second))
}
