package dispatchcmd

import (
	"time"

	"egretline.example/egretline/internal/decide/speed"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

const (
	// introductionAge is the time after which a server that got no request of this node is introduced. A server that has
	// just started is slow for some seconds.
	introductionAge = time.Second
	// unusedDuration is the time without a result after which a server goes first while the service loses many requests. The
	// floor of a service is evaluated over two seconds.
	unusedDuration = time.Second
	// turnedAwayMemory is the time after a server turned a request away in which its warm connection is no advantage. It
	// answers at once, and would otherwise get the next request as well.
	turnedAwayMemory = time.Second
)

// WarmConns tells to which backend servers the node has a connection that can be used again.
type WarmConns interface {
	// HasWarm reports whether an idle connection to the address can carry a request.
	HasWarm(address string, idempotent bool, now time.Time) bool
}

// placing is what is known about the servers of a pool beyond their outstanding requests. The zero value knows nothing.
type placing struct {
	Conns WarmConns
}

func (d *Dispatcher) placing() placing { return placing{Conns: d.Conns} }

// placesOf returns what is known about the places of the service.
func placesOf(b *table.Backends, service string) *table.ServicePlaces {
	p, known := b.Places[service]
	if !known {
		p = &table.ServicePlaces{}
		b.Places[service] = p
	}
	return p
}

// borrowing records whether requests of the service wait, and returns whether the node may use more than its even share. A
// node that does not place by speed keeps to its share.
func (d *Dispatcher) borrowing(
	b *table.Backends, q *admission.Queue[*table.Ticket], service string, now time.Time,
) admission.Borrowing {
	if d.Conns == nil {
		return admission.Borrowing{}
	}
	p := placesOf(b, service)
	if admission.Waiting(q) > 1 {
		p.Borrowing.ObserveWaiting(now)
	}
	return p.Borrowing
}

// describe completes the candidates with the speed of the servers, their connections and whether they are to be introduced.
// While the service loses many requests, servers that were not used for a second go first, so that all stay in use.
func (p placing) describe(candidates []admission.Server, pool servicePool, t *table.Ticket, now time.Time) {
	if p.Conns == nil {
		return
	}
	introduce := pool.HighLossRate || t.Idempotent && t.Attempt == 0 && !pool.HalfUtilized
	for n := range candidates {
		c := &candidates[n]
		s := pool.Servers[c.Address]
		c.Slowness = s.Speed.Slowness(now)
		if pool.TurnsAwayAtRandom || now.Sub(s.Limit.LastShed) >= turnedAwayMemory {
			c.Warmth = p.warmth(c.Address, t.Idempotent, now)
		}
		c.Introduced = !c.Probation && !c.BreakerOpen && isUnused(s, pool.HighLossRate, now)
		if c.Introduced && s.Outstanding > 0 && !pool.HighLossRate {
			introduce = false // one at a time
		}
	}
	for n := range candidates {
		candidates[n].Introduced = candidates[n].Introduced && introduce
	}
}

// isUnused reports whether the server should get a request because this node has not used it.
func isUnused(s *table.Backend, highLossRate bool, now time.Time) bool {
	if highLossRate {
		return now.Sub(s.State.LastRequestResult) >= unusedDuration
	}
	return s.State.LastRequestResult.IsZero() && now.Sub(s.FirstSeen) >= introductionAge
}

// warmth returns how well the idle connections to the address suit the request. An idempotent request leaves the connections
// that were used last to those that are not idempotent, which can use no others.
func (p placing) warmth(address string, idempotent bool, now time.Time) int {
	switch {
	case !p.Conns.HasWarm(address, idempotent, now):
		return 0
	case idempotent && p.Conns.HasWarm(address, false, now):
		return 1
	}
	return 2
}

// evenSlots returns the number of requests that the node may have outstanding at all servers together. Where more nodes share
// a server than it has slots, each of them may send one request to it, and the even share of all slots is what binds.
func evenSlots(servers map[string]*table.Backend, nodes int, b admission.Borrowing, now time.Time) int {
	total := 0
	for _, s := range servers {
		if !s.Leaving {
			total += s.Server.Slots
		}
	}
	return b.Ceiling(max(1, admission.MaxOutstandingPerNode(total, nodes, reachableFraction(servers, now))), total, 1, now)
}

// observeSpeed records the latency of an attempt that a server completed.
func observeSpeed(b *table.Backends, s *table.Backend, a table.Assignment, r table.Result, now time.Time) {
	if r.Evidence != fleet.Succeeded || r.Latency <= 0 {
		return
	}
	key := table.ServiceRoute{Service: a.Ticket.Service, Route: a.Ticket.Route}
	typical, known := b.Typical[key]
	if !known {
		typical = &speed.Typical{}
		b.Typical[key] = typical
	}
	s.Speed.Observe(typical.Ratio(r.Latency), now)
	if a.Outstanding <= 1 {
		typical.Observe(r.Latency)
	}
}
