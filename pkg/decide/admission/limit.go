package admission

import (
	"math"
	"time"
)

// shedFactor is what a shed response leaves of the limit. A cut by 30% keeps more of the slots in use than halving, and
// is still repeated quickly enough when several nodes share the server.
const shedFactor = 0.7

// growthPause is the time after a shed response in which successes do not raise the limit. Where the nodes of a group
// share six slots, a limit is between 1 and 2 and one success makes up for a cut; without the pause, a quarter to a third
// of the attempts were shed in a surge.
const growthPause = 2 * time.Second

// overcommit is how far the limits of the nodes that share a server may exceed its slots together. A few requests that wait
// at the server keep its slots busy during a round trip. More of them would wait where they cannot go to another server any
// more, and would hold workers that other services need.
const overcommit = 1.5

// Share returns the most requests that one of the nodes which share a server evenly may have outstanding there. Without a
// number of nodes it is all slots. Reach is the part of the servers that the node can connect to: if it cannot connect to
// some, it needs more of the others, and leaves those to the other nodes.
func Share(slots, sharers int, reach float64) int {
	if sharers <= 0 || reach <= 0 {
		return slots
	}
	return min(slots, int(math.Ceil(overcommit*float64(slots)/(float64(sharers)*reach))))
}

// Limit bounds the requests that one node has outstanding at one backend server. It is a fraction, because several
// nodes share the server's slots.
type Limit struct {
	Value float64
	Slots int
	// Most bounds the limit, if it is not zero.
	Most int
	// LastShed is the time of the last shed response; zero if there was none.
	LastShed time.Time
}

// NewLimit returns the limit to start from: the node's part of the slots, if the nodes of the group share them evenly.
func NewLimit(slots, groupSize int) Limit {
	l := Limit{Slots: slots}
	l.set(float64(slots) / float64(max(groupSize, 1)))
	return l
}

// Bound sets the most requests that may be outstanding.
func (l *Limit) Bound(most int) {
	if l.Most != most {
		l.Most = most
		l.set(l.Value)
	}
}

// Allows says that one more request may go to the backend server.
func (l *Limit) Allows(outstanding int) bool {
	return outstanding < l.Max()
}

// Max returns the number of requests that may be outstanding.
func (l *Limit) Max() int {
	return int(l.Value)
}

// Widen returns the limit raised to the given number of requests, unless the server shed a request lately.
func (l *Limit) Widen(most int, now time.Time) Limit {
	wide := *l
	if now.Sub(l.LastShed) >= growthPause {
		wide.Value = max(l.Value, float64(min(most, l.Slots)))
	}
	return wide
}

// Shed lowers the limit after an explicit refusal because of load.
func (l *Limit) Shed(now time.Time) {
	l.LastShed = now
	l.set(l.Value * shedFactor)
}

// Success raises the limit after a response that came while the given number of requests, itself included, was
// outstanding. Below the limit a response says nothing about more load, and nor does it soon after a shed response.
func (l *Limit) Success(outstanding int, now time.Time) {
	if outstanding >= l.Max() && now.Sub(l.LastShed) >= growthPause {
		l.set(l.Value + 1/l.Value)
	}
}

func (l *Limit) set(v float64) {
	most := l.Slots
	if l.Most > 0 {
		most = min(most, l.Most)
	}
	l.Value = max(min(v, float64(most)), 1)
}
