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
