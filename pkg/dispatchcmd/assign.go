package dispatchcmd

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/decide/group"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
)

// Sweep assigns waiting requests of all services, for which a backend server may have come back into use, and ends those
// that cannot meet their deadline. It drops the accounts of tenants that have been idle.
func (d *Dispatcher) Sweep(now time.Time) {
	d.dropIdle(now)
	d.assignAll(now)
}

func (d *Dispatcher) dropIdle(now time.Time) {
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		for key, u := range q.Tenants {
			if admission.Idle(u, now) {
				delete(q.Tenants, key)
			}
		}
	})
}

func (d *Dispatcher) assignAll(now time.Time) {
	var services []string
	d.Tables.Queues.Read(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		for name, queue := range q.Services {
			if admission.Waiting(queue) > 0 {
				services = append(services, name)
			}
		}
	})
	for _, name := range services {
		d.assign(now, name)
	}
}

func (d *Dispatcher) configuration() *fleet.Configuration {
	var c *fleet.Configuration
	d.Tables.Config.Read(guard.Held{}, func(_ guard.Held, v *table.Config) { c = v.Compiled })
	return c
}

// assign hands waiting requests of the service to workers while there is a free worker and a backend server.
func (d *Dispatcher) assign(now time.Time, service string) {
	var ranks []fleet.Rank
	size := group.DefaultSize
	if c := d.configuration(); c != nil {
		ranks = c.Ranks
		size = cmp.Or(c.Services[service].GroupSize, size)
	}
	sharing := d.currentSharing()
	var late []*table.Ticket
	d.Tables.Backends.Write(guard.Held{}, func(h guard.Held, b *table.Backends) {
		servers := b.Services[service]
		d.Tables.Queues.Write(h, func(_ guard.Held, q *table.Queues) {
			queue, ok := q.Services[service]
			if !ok {
				return
			}
			slots, trials := setLimits(servers, size, sharing.Nodes, now)
			admission.Configure(queue, ranks, slots, trials)
			queue.Deviations = d.Deviations
			p := poolOf(servers, queue, b.Health[service], now)
			p.Sharing = sharing
			for d.assignOne(now, p, q, queue, &late) {
				q.InFlight++
			}
		})
	})
	for _, t := range late {
		d.settle(t, unserved(now, t, admission.RefusedError{
			Reason: admission.DeadlineTooClose, Rank: t.Rank, Tenant: t.Tenant, RetryAfter: d.retryAfter(t),
		}))
	}
}

// setLimits gives servers their first limit, and returns the sum of the limits of those that get work, on which the expected
// wait of a request depends, and the number of those that get trials at most.
func setLimits(servers map[string]*table.Backend, size, sharers int, now time.Time) (slots, trials int) {
	reach := reachOf(servers, now)
	for _, s := range servers {
		if s.Limit.Slots != s.Server.Slots {
			s.Limit = admission.NewLimit(s.Server.Slots, size)
		}
		s.Limit.Bound(admission.Share(s.Server.Slots, sharers, reach))
		if healthquery.UseOf(s, false, 0, now) != healthquery.NormalUse {
			continue
		}
		if detect.StandingOf(&s.State, false, now) == detect.Welcome {
			slots += s.Limit.Max()
		} else {
			trials++
		}
	}
	return slots, trials
}

// reachOf returns the part of the servers that the node can connect to.
func reachOf(servers map[string]*table.Backend, now time.Time) float64 {
	usable, reached := 0, 0
	for _, s := range servers {
		if s.Leaving {
			continue
		}
		usable++
		if detect.StandingOf(&s.State, false, now) == detect.Welcome || s.State.Avoidance.Unreached == 0 {
			reached++
		}
	}
	if usable == 0 {
		return 1
	}
	return float64(reached) / float64(usable)
}

func (d *Dispatcher) assignOne(
	now time.Time, p servicePool, q *table.Queues, queue *admission.Queue[*table.Ticket], late *[]*table.Ticket,
) bool {
	if q.InFlight >= d.Workers || !anyFree(p.Servers, now) {
		return false
	}
	var chosen *table.Backend
	picked := admission.Next(queue, now, func(i admission.Item[*table.Ticket]) bool {
		chosen = choose(p, i.Payload, d.AvailabilityZone, now)
		return chosen != nil
	})
	for _, i := range picked.Late {
		counts(q, i.Payload).Late++
		*late = append(*late, i.Payload)
	}
	if !picked.Found {
		return false
	}
	t := picked.Item.Payload
	if t.Attempt == 0 {
		t.Dispatched = now
	}
	counts(q, t).Attempts++
	chosen.Outstanding++
	if detect.Out(&chosen.State) {
		detect.StartTrial(&chosen.State, t.ID)
	}
	chosen.InFlight[t.ID] = table.InFlight{Started: now}
	// The pool has room for every worker and closes only once no request is open, so that it takes the assignment.
	return d.exchange.TrySubmit(assignment(p, t, chosen, now)) == nil
}

// servicePool is the servers of one service and how far they are loaded.
type servicePool struct {
	Servers map[string]*table.Backend
	Sharing Sharing
	// Backlog is how long the slots will work on the requests that wait.
	Backlog time.Duration
	// Distressed says that the service loses many requests.
	Distressed bool
	// Pressed says that the welcome servers are half full.
	Pressed bool
}

func poolOf(
	servers map[string]*table.Backend, queue *admission.Queue[*table.Ticket], h *table.Health, now time.Time,
) servicePool {
	p := servicePool{Servers: servers, Backlog: admission.Backlog(queue), Distressed: healthquery.Distressed(h, now)}
	outstanding, limit := 0, 0
	for _, s := range servers {
		if !s.Leaving && detect.StandingOf(&s.State, false, now) == detect.Welcome {
			outstanding += s.Outstanding
			limit += s.Limit.Max()
		}
	}
	p.Pressed = 2*outstanding >= limit
	return p
}

// standing returns how the server is to be used for the ticket.
func (p servicePool) standing(s *table.Backend, t *table.Ticket, now time.Time) detect.Standing {
	standing := detect.StandingOf(&s.State, false, now)
	if standing == detect.Avoid && p.early(t) && p.turn(s, now) {
		return detect.StandingOf(&s.State, true, now)
	}
	return standing
}

// early says that the ticket may be the trial of a server that failed a short time ago. While servers are scarce it is
// worth to learn soon that one has recovered, by requests that can be sent to another server, and in an overload by any.
func (p servicePool) early(t *table.Ticket) bool {
	return p.Distressed || p.Pressed && t.Idempotent && t.Attempt == 0 || admission.Crowded(p.Backlog, target(t))
}

// turn says that the early trial of the server is this node's. A node without a place among the others has few requests.
func (p servicePool) turn(s *table.Backend, now time.Time) bool {
	return p.Sharing.Nodes == 0 || detect.TurnOf(s.Server.Address, p.Sharing.Nodes, now) == p.Sharing.Place
}

// target is the time that a response is to take.
func target(t *table.Ticket) time.Duration {
	whole := t.Deadline.Sub(t.Arrived)
	if t.Target > 0 {
		return min(t.Target, whole)
	}
	return whole
}

// assignment notes what the choice of the server was based on.
func assignment(p servicePool, t *table.Ticket, s *table.Backend, now time.Time) table.Assignment {
	a := table.Assignment{
		Ticket: t, Server: s.Server, Standing: p.standing(s, t, now), Outstanding: s.Outstanding,
	}
	t.Trial = a.Standing == detect.Probation
	if !s.State.LastFailure.IsZero() {
		a.Quiet = now.Sub(s.State.LastFailure)
	}
	return a
}

// anyFree says whether some request could be assigned. It saves looking at the waiting requests one by one.
func anyFree(servers map[string]*table.Backend, now time.Time) bool {
	for _, s := range servers {
		if s.Limit.Allows(s.Outstanding) && healthquery.UseOf(s, true, 0, now) != healthquery.NoUse {
			return true
		}
	}
	return false
}

// choose returns the server for the ticket, or nil if it has to wait.
func choose(p servicePool, t *table.Ticket, zone string, now time.Time) *table.Backend {
	candidates := make([]admission.Server, 0, len(p.Servers))
	avoid := mayAvoid(p, t, now)
	for _, address := range slices.Sorted(maps.Keys(p.Servers)) {
		s := p.Servers[address]
		use := healthquery.UseOf(s, t.Idempotent, t.Attempt, now)
		if use == healthquery.NoUse {
			continue
		}
		standing := p.standing(s, t, now)
		if standing == detect.Avoid && avoid || standing == detect.Probation && s.Outstanding > 0 {
			continue
		}
		trial := use == healthquery.TrialUse || standing == detect.Probation && t.Idempotent && t.Attempt == 0
		candidates = append(candidates, admission.Server{
			Address: address, Outstanding: s.Outstanding, Limit: p.limit(s, t, zone, now), Trial: trial,
			Avoided: standing == detect.Avoid, Detour: detour(s, t, zone),
		})
	}
	n := admission.Choose(candidates, t.ID, t.Tried)
	if n < 0 {
		return nil
	}
	return p.Servers[candidates[n].Address]
}

// limit returns the limit of the server for the ticket. Large responses stay in their zone, so that only the nodes of the
// zone share a server with them.
func (p servicePool) limit(s *table.Backend, t *table.Ticket, zone string, now time.Time) admission.Limit {
	if !t.Bulk || p.Sharing.InZone == 0 || s.Server.AvailabilityZone != zone {
		return s.Limit
	}
	return s.Limit.Widen(admission.Share(s.Server.Slots, p.Sharing.InZone, 1), now)
}

// fewestWelcome is the part of a pool that has to be welcome for the others to be avoided altogether. Servers that fail at
// once have room for any number of requests, so that in an overload they would take what the others cannot.
const fewestWelcome = 0.2

// mayAvoid says whether the ticket rather waits for a welcome server than goes to an avoided one: enough servers are
// welcome, and half of its time is left.
func mayAvoid(p servicePool, t *table.Ticket, now time.Time) bool {
	if t.Deadline.Sub(now) < t.Deadline.Sub(t.Arrived)/2 {
		return false
	}
	welcome, usable := 0, 0
	for _, s := range p.Servers {
		if healthquery.UseOf(s, t.Idempotent, t.Attempt, now) == healthquery.NoUse {
			continue
		}
		usable++
		if p.standing(s, t, now) == detect.Welcome {
			welcome++
		}
	}
	return welcome > 0 && float64(welcome) >= fewestWelcome*float64(usable)
}

// detour returns what the way to another zone costs a large response. It crosses zones only if the servers of the node's
// zone have all slots taken.
func detour(s *table.Backend, t *table.Ticket, zone string) int {
	if !t.Bulk || zone == "" || s.Server.AvailabilityZone == zone {
		return 0
	}
	return s.Server.Slots
}
