package dispatchcmd

import (
	"hash/fnv"
	"math"
	"time"

	"egretline.example/egretline/internal/decide/speed"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

const (
	// coldAge is the age from which a server gets its first request. A server that has just started is slow for some seconds.
	coldAge = time.Second
	// dueAfter is the time without a result after which a server is due. The floor of a service, of which a service that
	// loses requests has to keep a share in use, is evaluated over two seconds.
	dueAfter = 1500 * time.Millisecond
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

// describe completes the candidates with the speed of the servers, their connections and whether they are due. Each server is
// due at one of the nodes that share it, for a first attempt, so that every server is in use and its failures are found. The
// floor of a service counts the servers in use before a loss as well, of which no node knows in advance.
func (p placing) describe(candidates []admission.Server, pool servicePool, t *table.Ticket, now time.Time) {
	if p.Conns == nil {
		return
	}
	mayVisit := pool.HighLossRate || t.Attempt == 0
	for n := range candidates {
		c := &candidates[n]
		s := pool.Servers[c.Address]
		c.Slowness = s.Speed.Slowness(now)
		if pool.TurnsAwayAtRandom || now.Sub(s.Limit.LastShed) >= turnedAwayMemory {
			c.Warmth = p.warmth(c.Address, t.Idempotent, now)
		}
		c.Due = mayVisit && !c.Probation && !c.BreakerOpen && isDue(s, pool, now)
	}
}

// isDue reports whether this node should send the server a request because it was not used for some time.
func isDue(s *table.Backend, pool servicePool, now time.Time) bool {
	return s.Outstanding == 0 && now.Sub(s.State.LastRequestResult) >= dueAfter && now.Sub(s.FirstSeen) >= coldAge &&
		pool.visits(s)
}

// visits reports whether this node is the one that visits the server, among those that were heard lately. If requests stay in their availability zone, it is one of
// the nodes of the server's zone.
func (p servicePool) visits(s *table.Backend) bool {
	if p.ZonePlan != nil && !p.HighLossRate {
		return s.Server.AvailabilityZone == p.ZonePlan.Home &&
			ownerOf(s.Server.Address, p.Sharing.VisitorsInZone) == p.Sharing.VisitorIndexInZone
	}
	return ownerOf(s.Server.Address, p.Sharing.Visitors) == p.Sharing.VisitorIndex
}

// ownerOf returns the index of the node that visits the server at the address.
func ownerOf(address string, nodes int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(address))
	return int(h.Sum32() % uint32(max(nodes, 1)))
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

// evenSlots returns the number of requests that the node may have outstanding at all servers together.
func evenSlots(servers map[string]*table.Backend, nodes int, b admission.Borrowing, now time.Time) int {
	total, even, reachable := 0, 0.0, reachableFraction(servers, now)
	for _, s := range servers {
		total += s.Server.Slots
		even += admission.EvenShare(s.Server.Slots, nodes, reachable)
	}
	return b.Ceiling(max(1, int(math.Ceil(even))), total, 1, now)
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
