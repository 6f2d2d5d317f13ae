package admission

import (
	"math"
	"time"
)

// shedLimitFactor is the factor by which a shed response reduces the limit. Reducing by 30% keeps more slots in use
// than halving, and repeated reductions are still fast enough when several nodes share the server.
const shedLimitFactor = 0.7

// growthDelayAfterShed is the time after a shed response during which successes do not raise the limit. When the nodes
// of a group share six slots, each limit is between 1 and 2 and a single success reverses a reduction; without the
// delay, a quarter to a third of the attempts were shed in a surge.
const growthDelayAfterShed = 2 * time.Second

// overcommitFactor is the maximum ratio of the summed limits of all nodes that share a server to the server's slots. A
// few requests queued at the server keep its slots busy during a round trip. More of them could no longer go to another
// server, and would hold workers that other services need.
const overcommitFactor = 1.5

// MaxOutstandingPerNode returns the maximum number of requests that one node may have outstanding at a server that
// several nodes share evenly. It returns all slots if the number of sharers is unknown (zero). The argument reachable is
// the fraction of the servers that the node can connect to: a node that cannot connect to some servers gets more of the
// slots of the others, and leaves the unreachable servers to the other nodes.
func MaxOutstandingPerNode(slots, sharers int, reachable float64) int {
	if sharers <= 0 || reachable <= 0 {
		return slots
	}
	return min(slots, int(math.Ceil(overcommitFactor*float64(slots)/(float64(sharers)*reachable))))
}

// OutstandingOfPart returns the number of requests that one node may have outstanding at a server of which it gets the given
// part of the slots.
func OutstandingOfPart(slots int, part float64) int {
	return min(slots, int(math.Round(overcommitFactor*float64(slots)*part)))
}

const (
	// acceptanceGain is the weight of one attempt in an Acceptance, and minAcceptanceCount the number of attempts from which
	// it says anything.
	acceptanceGain     = 1.0 / 16
	minAcceptanceCount = 8
	// randomShedFraction is the fraction of attempts at little loaded servers above which being turned away says nothing
	// about the load.
	randomShedFraction = 0.2
)

// EvenShare returns what one server adds to the number of requests that a node may have outstanding at all servers of a
// service. It is MaxOutstandingPerNode where that is at least one request. Where more nodes share a server than it has slots,
// it is a fraction of a request: each of the nodes may send one to the server, but not to all servers at the same time.
func EvenShare(slots, sharers int, reachable float64) float64 {
	if sharers <= 0 || reachable <= 0 {
		return float64(slots)
	}
	share := overcommitFactor * float64(slots) / (float64(sharers) * reachable)
	if share >= 1 {
		return float64(MaxOutstandingPerNode(slots, sharers, reachable))
	}
	return share
}

// Acceptance tells servers that are full from servers that turn requests away at random, whatever their load: a full server
// turns requests away when much is outstanding there and takes them when little is. If servers turn away what reaches them
// at little load as well, a lower limit would leave places unused and get no request more served. The zero value has seen
// nothing.
type Acceptance struct {
	// Shed is a moving average of the fraction of attempts that were turned away by servers at which this node had at most
	// half of its limit outstanding.
	Shed  float64
	Count int
}

// Observe records an attempt. The argument outstanding includes the attempt itself.
func (a *Acceptance) Observe(outstanding int, l Limit, shed bool) {
	if outstanding > max(1, l.Max()/2) {
		return
	}
	value := 0.0
	if shed {
		value = 1
	}
	a.Count++
	a.Shed += max(acceptanceGain, 1/float64(a.Count)) * (value - a.Shed)
}

// Random reports whether servers turn requests away at random.
func (a *Acceptance) Random() bool {
	return a.Count >= minAcceptanceCount && a.Shed > randomShedFraction
}

const (
	// borrowAfterWaiting is the time for which a node that had to let requests wait may use more than its even share.
	borrowAfterWaiting = 2 * time.Second
	// borrowStep is the factor by which the share grows each borrowInterval while requests wait. If all nodes need more,
	// the first step that finds the servers full overfills them by little; a twentyfold share takes 3.5 s.
	borrowStep     = 1.25
	borrowInterval = 250 * time.Millisecond
	// maxBorrowFactor bounds the share in even shares. Without a bound, the share of a node whose requests wait for 50 s exceeds
	// all integers, and falls back to the even one or takes as long again to return.
	maxBorrowFactor = 64
	// returnStep is the factor by which the share shrinks at most each returnInterval while full servers turn requests away.
	returnStep     = 2
	returnInterval = 500 * time.Millisecond
	// firstBorrowPause is the time without growth after a full server turned a request away. It doubles with each time that
	// growth ended so, up to maxBorrowPause: then the other nodes need their places themselves.
	firstBorrowPause = 2 * time.Second
	maxBorrowPause   = 32 * time.Second
	// maxBorrowSlowness is the slowness of a server above which no more than the even share is sent to it.
	maxBorrowSlowness = 1.2
)

// Borrowing decides whether a node may use more than its even share of the servers of a service. It answers demand that
// differs between entry hosts: the share of a node whose requests wait grows into places that the others leave free, until
// a full server turns a request away. A node without waiting requests returns to its share after two seconds. The zero
// value borrows nothing.
type Borrowing struct {
	// Extra is the part of an even share that is used beyond it.
	Extra float64
	// LastWaiting is the time at which requests last waited for a place. LastGrown and LastReturned are the times of the
	// last changes of Extra.
	LastWaiting  time.Time
	LastGrown    time.Time
	LastReturned time.Time
	// PausedUntil is the end of the pause after a full server turned a request away, and Pause its length.
	PausedUntil time.Time
	Pause       time.Duration
}

// ObserveWaiting records that requests wait for a place.
func (b *Borrowing) ObserveWaiting(now time.Time) {
	if now.Sub(b.LastWaiting) > borrowAfterWaiting {
		b.Extra = 0
	}
	b.LastWaiting = now
	if !now.Before(b.PausedUntil) && now.Sub(b.LastGrown) >= borrowInterval {
		b.Extra = min((1+b.Extra)*borrowStep, maxBorrowFactor) - 1
		b.LastGrown = now
	}
}

// ObserveShed records that a full server turned a request away.
func (b *Borrowing) ObserveShed(now time.Time) {
	if now.Sub(b.LastReturned) >= returnInterval {
		b.Extra = max(0, (1+b.Extra)/returnStep-1)
		b.LastReturned = now
	}
	if now.Before(b.PausedUntil) {
		return
	}
	if now.Sub(b.PausedUntil) > maxBorrowPause {
		b.Pause = 0
	}
	b.Pause = min(max(2*b.Pause, firstBorrowPause), maxBorrowPause)
	b.PausedUntil = now.Add(b.Pause)
}

// Ceiling returns the upper bound of the limit at a server with the given slowness, given the even share.
func (b *Borrowing) Ceiling(even, slots int, slowness float64, now time.Time) int {
	if now.Sub(b.LastWaiting) > borrowAfterWaiting || slowness > maxBorrowSlowness {
		return even
	}
	return max(even, min(slots, int(float64(even)*(1+b.Extra))))
}

// Limit is the adaptive concurrency limit of one node at one backend server. Value may be fractional, because several
// nodes share the server's slots.
type Limit struct {
	Value float64
	Slots int
	// Ceiling is the upper bound of Value; zero means that only Slots bounds it.
	Ceiling int
	// LastShed is the time of the last shed response; zero if there was none.
	LastShed time.Time
}

// NewLimit returns the initial limit: the node's share if the nodes of the group divide the slots evenly.
func NewLimit(slots, groupSize int) Limit {
	l := Limit{Slots: slots}
	l.setClamped(float64(slots) / float64(max(groupSize, 1)))
	return l
}

// SetCeiling sets the upper bound of the limit.
func (l *Limit) SetCeiling(ceiling int) {
	if l.Ceiling != ceiling {
		l.Ceiling = ceiling
		l.setClamped(l.Value)
	}
}

// Allows reports whether one more request may be sent when the given number is outstanding.
func (l *Limit) Allows(outstanding int) bool {
	return outstanding < l.Max()
}

// Max returns the maximum number of outstanding requests.
func (l *Limit) Max() int {
	return int(l.Value)
}

// RaisedTo returns a copy of the limit, raised to the given number of requests unless the server shed a request
// recently.
func (l *Limit) RaisedTo(requests int, now time.Time) Limit {
	raised := *l
	if now.Sub(l.LastShed) >= growthDelayAfterShed {
		raised.Value = max(l.Value, float64(min(requests, l.Slots)))
	}
	return raised
}

// LowerAfterShed lowers the limit after the server shed a request.
func (l *Limit) LowerAfterShed(now time.Time) {
	l.LastShed = now
	l.setClamped(l.Value * shedLimitFactor)
}

// RaiseAfterSuccess raises the limit after a response that arrived while the given number of requests, including its
// own, was outstanding. A response below the limit, or soon after a shed response, does not show that the server can
// take more load.
func (l *Limit) RaiseAfterSuccess(outstanding int, now time.Time) {
	if outstanding >= l.Max() && now.Sub(l.LastShed) >= growthDelayAfterShed {
		l.setClamped(l.Value + 1/l.Value)
	}
}

func (l *Limit) setClamped(v float64) {
	ceiling := l.Slots
	if l.Ceiling > 0 {
		ceiling = min(ceiling, l.Ceiling)
	}
	l.Value = max(min(v, float64(ceiling)), 1)
}
