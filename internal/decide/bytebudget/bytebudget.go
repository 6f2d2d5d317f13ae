// Package bytebudget decides which transfers may hold how many bytes in the memory of a node. It answers a load of callers
// and backend servers that read slowly: what a node has received and can't pass on yet fills its memory, and a process over
// its memory limit is killed.
//
// Half of the budget is divided evenly among the ranks, so that no rank can take all of it. The other half is common. Less
// urgent ranks may use only a part of it, and are therefore the first whose transfers are slowed to the pace of the
// slower side. Of its allowance a rank keeps a quarter for transfers that hold little.
package bytebudget

import (
	"slices"
	"time"
)

// Direction is the direction in which bytes pass through the node.
type Direction int

// Directions of transfers.
const (
	Requests Direction = iota
	Responses
	directions
)

const (
	// AheadBytes is how much a transfer may hold before more counts as reading ahead of a slow receiver.
	AheadBytes = 256 << 10
	// maxTransferFraction is the fraction of the budget that a single transfer may hold.
	maxTransferFraction = 8
	// aheadFraction is the part of an allowance that reading ahead and large new work may use. The rest lets small
	// responses pass while large ones are slowed.
	aheadFraction = 0.75
	// leastUrgentFraction is the part of the common half that the least urgent rank may use.
	leastUrgentFraction = 0.5
	// ShortBodyBytes is the length of a request body that a backend server always has memory for.
	ShortBodyBytes = 64 << 10
	// resumeFraction is the part of the budget below which a budget that was short counts as sufficient again.
	resumeFraction = 0.5
	// resumeDelay is the time without slowed or refused transfers after which a budget that was short counts as sufficient again.
	resumeDelay = 2 * time.Second
	// releaseWindow is the time over which the rate of returned bytes is averaged.
	releaseWindow = 4 * time.Second
	// minRetryAfter and maxRetryAfter bound the delay that a refused caller is asked to wait.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Budget is the state of the byte budget of a node.
type Budget struct {
	// LimitBytes bounds the bytes held.
	LimitBytes int64
	// Ranks is the number of ranks; zero counts as one.
	Ranks int
	// Held is the number of bytes held by each rank, HeldByDirection by each direction.
	Held            []int64
	HeldByDirection [directions]int64
	// Waiting lists the slowed transfers, the most urgent first.
	Waiting []Waiter
	// Short reports whether the budget binds: a transfer was slowed or refused, and the budget has not recovered since.
	Short bool
	// ShortAt is when a transfer was last slowed or refused.
	ShortAt time.Time
	// Slowed and Refused count the transfers that had to wait for bytes and those that were refused.
	Slowed  int64
	Refused int64
	// Returned is a decaying sum of the bytes that were given back, as of ReturnedAt.
	Returned   float64
	ReturnedAt time.Time
}

// Need is a number of bytes that a transfer wants to hold.
type Need struct {
	// Rank is the index of the rank of the request, from the most to the least urgent.
	Rank      int
	Direction Direction
	Bytes     int64
	// Held is the number of bytes that the transfer holds already.
	Held int64
	// Large reports whether the bytes are for new work with a large body.
	Large bool
}

// Waiter is a slowed transfer: it does not read on until its need is met or the receiver has taken what it holds.
type Waiter struct {
	ID uint64
	Need
}

// Total returns the number of bytes held.
func Total(b *Budget) int64 {
	var sum int64
	for _, held := range b.Held {
		sum += held
	}
	return sum
}

// Take takes the bytes of the need, and reports whether the budget allows them.
func Take(b *Budget, n Need) bool {
	if !allows(b, n) {
		return false
	}
	take(b, n)
	return true
}

func take(b *Budget, n Need) {
	rank := rankIndex(b, n.Rank)
	for len(b.Held) <= rank {
		b.Held = append(b.Held, 0)
	}
	b.Held[rank] += n.Bytes
	b.HeldByDirection[n.Direction] += n.Bytes
}

// allows reports whether the bytes fit into what is reserved for the rank, or into the part of the common half that the
// rank may use.
func allows(b *Budget, n Need) bool {
	if overTransferLimit(b, n) || Total(b)+n.Bytes > b.LimitBytes {
		return false
	}
	rank, part := rankIndex(b, n.Rank), 1.0
	if n.Large || n.Held+n.Bytes > AheadBytes {
		part = aheadFraction
	}
	beyond := int64(0)
	if rank < len(b.Held) {
		beyond = b.Held[rank]
	}
	beyond += n.Bytes - int64(part*float64(reserve(b)))
	return beyond <= 0 || commonUse(b, rank)+max(beyond, 0) <= int64(part*commonAllowance(b, rank))
}

// overTransferLimit reports whether the transfer would hold more than a single one may.
func overTransferLimit(b *Budget, n Need) bool {
	return n.Held > 0 && n.Held+n.Bytes > b.LimitBytes/maxTransferFraction
}

// reserve returns the bytes that only the requests of one rank may hold.
func reserve(b *Budget) int64 { return b.LimitBytes / 2 / int64(max(b.Ranks, 1)) }

// commonAllowance returns how much of the common half may be in use when the rank takes from it.
func commonAllowance(b *Budget, rank int) float64 {
	fraction := 1.0
	if b.Ranks > 1 {
		fraction -= (1 - leastUrgentFraction) * float64(rank) / float64(b.Ranks-1)
	}
	return fraction * float64(b.LimitBytes/2)
}

// commonUse returns the bytes that the other ranks hold beyond their reserves.
func commonUse(b *Budget, except int) int64 {
	var used int64
	for rank, held := range b.Held {
		if rank != except {
			used += max(held-reserve(b), 0)
		}
	}
	return used
}

func rankIndex(b *Budget, rank int) int { return min(max(rank, 0), max(b.Ranks, 1)-1) }

// SetRanks sets the number of ranks, which a new configuration may change. Bytes of ranks that no longer exist count as
// those of the least urgent rank.
func SetRanks(b *Budget, ranks int) {
	if ranks = max(ranks, 1); ranks == b.Ranks {
		return
	}
	b.Ranks = ranks
	for len(b.Held) > ranks {
		last := len(b.Held) - 1
		b.Held[last-1] += b.Held[last]
		b.Held = b.Held[:last]
	}
}

// Wait adds a slowed transfer behind those of its rank.
func Wait(b *Budget, w Waiter, now time.Time) {
	b.Slowed++
	if !overTransferLimit(b, w.Need) {
		b.Short, b.ShortAt = true, now
	}
	i := slices.IndexFunc(b.Waiting, func(other Waiter) bool { return other.Rank > w.Rank })
	if i < 0 {
		i = len(b.Waiting)
	}
	b.Waiting = slices.Insert(b.Waiting, i, w)
}

// Cancel removes a slowed transfer. It returns false if the transfer does not wait, because its need was met.
func Cancel(b *Budget, id uint64) bool {
	i := slices.IndexFunc(b.Waiting, func(w Waiter) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	b.Waiting = slices.Delete(b.Waiting, i, i+1)
	return true
}

// Release gives back bytes of the transfer, with the rank and direction of the need. It returns the slowed transfers whose
// need is met by that, and takes their bytes.
func Release(b *Budget, id uint64, n Need, now time.Time) []Waiter {
	b.Returned, b.ReturnedAt = returned(b, now)+float64(n.Bytes), now
	left := n.Bytes
	for rank := min(rankIndex(b, n.Rank), len(b.Held)-1); rank >= 0 && left > 0; rank-- {
		// A change of the number of ranks may have moved the bytes to a more urgent rank.
		given := min(left, b.Held[rank])
		b.Held[rank] -= given
		left -= given
	}
	b.HeldByDirection[n.Direction] -= n.Bytes
	if i := slices.IndexFunc(b.Waiting, func(w Waiter) bool { return w.ID == id }); i >= 0 {
		b.Waiting[i].Held -= n.Bytes
	}
	granted := grant(b)
	if len(b.Waiting) == 0 && now.Sub(b.ShortAt) >= resumeDelay && float64(Total(b)) <= resumeFraction*float64(b.LimitBytes) {
		b.Short = false
	}
	return granted
}

// grant takes the bytes of the slowed transfers that the budget allows now, in the order of their ranks, and returns them.
func grant(b *Budget) []Waiter {
	var granted []Waiter
	b.Waiting = slices.DeleteFunc(b.Waiting, func(w Waiter) bool {
		if !Take(b, w.Need) {
			return false
		}
		granted = append(granted, w)
		return true
	})
	return granted
}

// Refuse counts a refusal and returns the delay after which the bytes are likely to be free: what is missing, at the rate at
// which bytes were given back lately.
func Refuse(b *Budget, n Need, now time.Time) time.Duration {
	b.Refused++
	b.Short, b.ShortAt = true, now
	perSecond := returned(b, now) / releaseWindow.Seconds()
	if perSecond <= 0 {
		return maxRetryAfter
	}
	missing := float64(Total(b)) + float64(n.Bytes) - resumeFraction*float64(b.LimitBytes)
	seconds := max(missing, float64(n.Bytes)) / perSecond
	return time.Duration(min(max(seconds, minRetryAfter.Seconds()), maxRetryAfter.Seconds()) * float64(time.Second))
}

// returned returns the decayed sum of the bytes given back.
func returned(b *Budget, now time.Time) float64 {
	elapsed := max(now.Sub(b.ReturnedAt), 0)
	return b.Returned * max(0, 1-float64(elapsed)/float64(releaseWindow))
}

// ServerAllows reports whether a backend server may get a request with a body of the given length, in bytes, when this node
// has outstanding bytes there. It answers uploads that would exceed the memory of a server: the limit for the requests that
// a server holds is divided among the nodes that share it. One request is always allowed, and so are short bodies, of which
// the slots of a server bound the sum.
func ServerAllows(limit, outstanding, body int64, nodes int) bool {
	return limit <= 0 || outstanding == 0 || body <= ShortBodyBytes || outstanding+body <= limit/int64(max(nodes, 1))
}
