package dispatchcmd

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"egretline.example/egretline/internal/decide/bytebudget"
	"egretline.example/egretline/internal/decide/notice"
	"egretline.example/egretline/internal/decide/zoneshare"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/decide/group"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthquery"
	"egretline.example/egretline/pkg/table"
)

// Sweep assigns the waiting requests of all services, because backend servers may have become usable again, and ends
// requests that can no longer meet their deadline. It deletes the usage records of idle tenants.
func (d *Dispatcher) Sweep(now time.Time) {
	d.dropIdleTenants(now)
	d.releaseAllWaiting(now)
	d.assignAllServices(now)
	d.turnOut(now)
}

func (d *Dispatcher) dropIdleTenants(now time.Time) {
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		for key, u := range q.Tenants {
			if admission.Idle(u, now) {
				delete(q.Tenants, key)
			}
		}
	})
}

func (d *Dispatcher) assignAllServices(now time.Time) {
	var services []string
	d.Tables.Queues.Read(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		for name, queue := range q.Services {
			if admission.Waiting(queue) > 0 {
				services = append(services, name)
			}
		}
	})
	for _, name := range services {
		d.assignWaiting(now, name)
	}
}

func (d *Dispatcher) configuration() *fleet.Configuration {
	var c *fleet.Configuration
	d.Tables.Config.Read(guard.Held{}, func(_ guard.Held, v *table.Config) { c = v.Compiled })
	return c
}

// assignWaiting hands waiting requests of the service to workers while a worker and a backend server are available.
func (d *Dispatcher) assignWaiting(now time.Time, service string) {
	var ranks []fleet.Rank
	groupSize := group.DefaultSize
	if c := d.configuration(); c != nil {
		ranks = c.Ranks
		groupSize = cmp.Or(c.Services[service].GroupSize, groupSize)
	}
	sharing := d.currentSharing()
	zonePlan := d.zonePlan(service)
	var late, refused []*table.Ticket
	var pauses notice.Pool
	d.Tables.Backends.Write(guard.Held{}, func(h guard.Held, b *table.Backends) {
		servers := b.Services[service]
		d.Tables.Queues.Write(h, func(_ guard.Held, q *table.Queues) {
			queue, ok := q.Services[service]
			if !ok {
				return
			}
			slots, trialServers := updateLimits(servers, groupSize, sharing.Nodes, d.borrowing(b, queue, service, now), now)
			if d.Conns != nil {
				slots = min(slots, evenSlots(servers, sharing.Nodes, placesOf(b, service).Borrowing, now))
			}
			admission.Configure(queue, ranks, slots+raisedSlots(servers, zonePlan, sharing, now), trialServers)
			queue.MarginDeviations = d.MarginDeviations
			if admission.Waiting(queue) == 0 {
				return
			}
			p := newServicePool(servers, queue, b.Health[service], now)
			p.Sharing, p.ZonePlan = sharing, zonePlan
			p.Placing = d.placing()
			p.TurnsAwayAtRandom = placesOf(b, service).Acceptance.Random()
			p.MaxServerBodyBytes = d.MaxServerBodyBytes
			pauses = pausesOf(b, service, now)
			for _, t := range removePaused(queue, pauses, now) {
				countsOf(q, t).Refused[admission.ServersPaused]++
				refused = append(refused, t)
			}
			if !q.StopTime.IsZero() {
				// No server may become available before the node stops.
				late = d.removeLate(q, queue, now)
			}
			for d.assignNext(now, p, q, queue, &late, maxDeferrals) {
				q.InFlight++
			}
		})
	})
	for _, t := range refused {
		err, _ := refusalByPause(pauses, t, now)
		d.settle(t, unservedResult(now, t, err))
	}
	for _, t := range late {
		d.settle(t, unservedResult(now, t, d.lateError(t)))
	}
}

func (*Dispatcher) removeLate(q *table.Queues, queue *admission.Queue[*table.Ticket], now time.Time) []*table.Ticket {
	var late []*table.Ticket
	for _, i := range admission.RemoveLate(queue, now) {
		countsOf(q, i.Payload).Late++
		late = append(late, i.Payload)
	}
	return late
}

// lateError returns the error of a ticket that was removed from the queue because it would not be answered in time.
func (d *Dispatcher) lateError(t *table.Ticket) admission.RefusedError {
	var stopping bool
	d.Tables.Queues.Read(guard.Held{}, func(_ guard.Held, q *table.Queues) { stopping = !q.StopTime.IsZero() })
	if stopping {
		return admission.StoppingError(queueItem(t))
	}
	return admission.RefusedError{
		Reason: admission.DeadlineTooClose, Rank: t.Rank, Tenant: t.Tenant, RetryAfter: d.retryAfter(t),
	}
}

// updateLimits initializes and bounds the concurrency limits of the servers. It returns the sum of the limits of the
// servers in normal use, from which the queueing delay of a request is estimated, and the number of servers that get
// only trial requests.
func updateLimits(
	servers map[string]*table.Backend, groupSize, sharingNodes int, borrowing admission.Borrowing, now time.Time,
) (slots, trialServers int) {
	reachable := reachableFraction(servers, now)
	for _, s := range servers {
		if s.Limit.Slots != s.Server.Slots {
			s.Limit = admission.NewLimit(s.Server.Slots, groupSize)
		}
		even := admission.MaxOutstandingPerNode(s.Server.Slots, sharingNodes, reachable)
		s.Limit.SetCeiling(borrowing.Ceiling(even, s.Server.Slots, s.Speed.Slowness(now), now))
		if healthquery.UseOf(s, false, 0, now) != healthquery.NormalUse {
			continue
		}
		if detect.BreakerStateOf(&s.State, false, now) == detect.Closed {
			slots += s.Limit.Max()
		} else {
			trialServers++
		}
	}
	return slots, trialServers
}

// reachableFraction returns the fraction of the servers that the node can connect to.
func reachableFraction(servers map[string]*table.Backend, now time.Time) float64 {
	usable, reached := 0, 0
	for _, s := range servers {
		if s.Leaving {
			continue
		}
		usable++
		if detect.BreakerStateOf(&s.State, false, now) == detect.Closed || s.State.Breaker.ConnectFailures == 0 {
			reached++
		}
	}
	if usable == 0 {
		return 1
	}
	return float64(reached) / float64(usable)
}

// assignNext submits one waiting request of the queue to a worker, and reports whether there was one that could be
// assigned. It appends the requests that can no longer meet their deadline to late.
func (d *Dispatcher) assignNext(
	now time.Time, p servicePool, q *table.Queues, queue *admission.Queue[*table.Ticket], late *[]*table.Ticket, deferrals int,
) bool {
	if q.InFlight >= d.Workers || !p.anyServerAvailable(now) {
		return false
	}
	var chosen *table.Backend
	var uploads []admission.Item[*table.Ticket]
	picked := admission.Next(queue, now, func(i admission.Item[*table.Ticket]) bool {
		chosen = chooseServer(p, i.Payload, d.AvailabilityZone, now)
		if chosen == nil && waitsForMemory(p, i.Payload, d.AvailabilityZone, now) {
			uploads = append(uploads, i)
		}
		return chosen != nil
	})
	for _, i := range picked.Late {
		countsOf(q, i.Payload).Late++
		*late = append(*late, i.Payload)
	}
	if !picked.Found && deferrals > 0 && deferUploads(queue, uploads) {
		return d.assignNext(now, p, q, queue, late, deferrals-1)
	}
	if !picked.Found {
		return false
	}
	t := picked.Item.Payload
	if t.Attempt == 0 {
		t.Dispatched = now
	}
	countsOf(q, t).Attempts++
	takeSlot(chosen, t, now)
	if detect.OutOfUse(&chosen.State) {
		detect.StartTrial(&chosen.State, t.ID)
	}
	// TrySubmit cannot fail: the queue has room for every worker, and the pool closes only after all requests have ended.
	return d.exchange.TrySubmit(newAssignment(p, t, chosen, now)) == nil
}

// maxDeferrals bounds how many uploads are deferred in one search for a request.
const maxDeferrals = 8

// deferUploads moves uploads for which no server has memory behind the other requests of their tenants, which would otherwise
// wait for them although they fit. It reports whether there were such requests.
func deferUploads(queue *admission.Queue[*table.Ticket], uploads []admission.Item[*table.Ticket]) (moved bool) {
	since := queue.WaitingSince
	for _, i := range uploads {
		if alone := len(queue.Ranks[i.Rank].Tenants[i.Tenant]) == 1; i.Attempt > 0 || alone {
			continue
		}
		// Callers choose the IDs, and another request with the same one may wait.
		for _, upload := range admission.RemoveAll(queue, func(o admission.Item[*table.Ticket]) bool { return o.Payload == i.Payload }) {
			admission.Push(queue, upload)
			moved = true
		}
	}
	queue.WaitingSince = since // also if the queue was empty in between
	return moved
}

// waitsForMemory reports whether the ticket would get a server if the servers had memory for its body.
func waitsForMemory(p servicePool, t *table.Ticket, zone string, now time.Time) bool {
	if p.MaxServerBodyBytes <= 0 || t.BodyBytes <= bytebudget.ShortBodyBytes {
		return false
	}
	p.MaxServerBodyBytes = 0
	return chooseServer(p, t, zone, now) != nil
}

// takeSlot counts the ticket as outstanding at the server.
func takeSlot(s *table.Backend, t *table.Ticket, now time.Time) {
	s.Outstanding++
	s.OutstandingBytes += t.BodyBytes
	s.InFlight[t.ID] = table.InFlight{Started: now}
}

// servicePool holds the backend servers of one service and their load.
type servicePool struct {
	Servers map[string]*table.Backend
	// Addresses holds the keys of Servers in order.
	Addresses []string
	Sharing   Sharing
	// ZonePlan tells which requests leave the node's availability zone; nil if zones have no preference.
	ZonePlan *zoneshare.Plan
	// MaxServerBodyBytes is the value of Dispatcher.MaxServerBodyBytes.
	MaxServerBodyBytes int64
	// Backlog is the time that all slots together need to serve the waiting requests.
	Backlog time.Duration
	// HighLossRate reports whether the service is losing a large fraction of its requests.
	HighLossRate bool
	// HalfUtilized reports whether the servers with a closed circuit breaker have at least half of their slots in use.
	HalfUtilized bool
	// TurnsAwayAtRandom reports whether servers turn requests away whatever their load.
	TurnsAwayAtRandom bool
	Placing           placing
}

func newServicePool(
	servers map[string]*table.Backend, queue *admission.Queue[*table.Ticket], h *table.ServiceHealth, now time.Time,
) servicePool {
	p := servicePool{
		Servers: servers, Addresses: slices.Sorted(maps.Keys(servers)), Backlog: admission.Backlog(queue),
		HighLossRate: healthquery.HasHighLoss(h, now),
	}
	outstanding, limit := 0, 0
	for _, s := range servers {
		if !s.Leaving && detect.BreakerStateOf(&s.State, false, now) == detect.Closed {
			outstanding += s.Outstanding
			limit += s.Limit.Max()
		}
	}
	p.HalfUtilized = 2*outstanding >= limit
	return p
}

// breakerState returns the circuit breaker state of the server for the ticket. If the ticket may be an early trial
// request, an open breaker may count as half-open.
func (p servicePool) breakerState(s *table.Backend, t *table.Ticket, now time.Time) detect.BreakerState {
	state := detect.BreakerStateOf(&s.State, false, now)
	if state == detect.HalfOpen && detect.SharesTrials(&s.State) && !p.ownsTrialTurn(s, now) {
		return detect.Open
	}
	if state == detect.Open && p.allowsEarlyTrial(t) && p.ownsTrialTurn(s, now) {
		return detect.BreakerStateOf(&s.State, true, now)
	}
	return state
}

// allowsEarlyTrial reports whether the ticket may be the trial request of a server that failed a short time ago. While
// servers are scarce, early trials detect a recovery sooner: idempotent first attempts serve as trials because another
// server can repeat them; in an overload or at a high loss rate any request may be a trial.
func (p servicePool) allowsEarlyTrial(t *table.Ticket) bool {
	return p.HighLossRate || p.HalfUtilized && t.Idempotent && t.Attempt == 0 ||
		admission.Congested(p.Backlog, targetLatency(t))
}

// ownsTrialTurn reports whether it is this node's turn to send the early trial request to the server. Without a known
// index among the other nodes it returns true, because such a node sends few requests.
func (p servicePool) ownsTrialTurn(s *table.Backend, now time.Time) bool {
	return p.Sharing.Nodes == 0 || detect.EarlyTrialTurn(s.Server.Address, p.Sharing.Nodes, now) == p.Sharing.NodeIndex
}

// targetLatency returns the time within which the response should arrive.
func targetLatency(t *table.Ticket) time.Duration {
	total := t.Deadline.Sub(t.Arrived)
	if t.TargetLatency > 0 {
		return min(t.TargetLatency, total)
	}
	return total
}

// newAssignment returns the assignment of the ticket to the server, with the state on which the choice was based.
func newAssignment(p servicePool, t *table.Ticket, s *table.Backend, now time.Time) table.Assignment {
	a := table.Assignment{
		Ticket: t, Server: s.Server, BreakerState: p.breakerState(s, t, now), Outstanding: s.Outstanding,
	}
	t.Trial = a.BreakerState == detect.HalfOpen
	if !s.State.LastFailure.IsZero() {
		a.SinceLastFailure = now.Sub(s.State.LastFailure)
	}
	return a
}

// anyServerAvailable reports whether any server can take a request. It avoids a scan of all waiting requests.
func (p servicePool) anyServerAvailable(now time.Time) bool {
	for _, s := range p.Servers {
		limit := p.raisedLimit(s, now)
		if limit.Allows(s.Outstanding) && healthquery.UseOf(s, true, 0, now) != healthquery.NoUse {
			return true
		}
	}
	return false
}

// chooseServer returns the server for the ticket, or nil if the ticket has to wait.
func chooseServer(p servicePool, t *table.Ticket, zone string, now time.Time) *table.Backend {
	var candidates []admission.Server
	skipOpen := canWaitForClosed(p, t, now)
	var full *admission.Server
	preference := p.zonePreferenceOf(t, zone, now)
	for _, address := range p.Addresses {
		s := p.Servers[address]
		use := healthquery.UseOf(s, t.Idempotent, t.Attempt, now)
		if use == healthquery.NoUse || !p.allowsBody(s, t) {
			continue
		}
		limit := p.limitFor(s, t, zone, now)
		isFull := !limit.Allows(s.Outstanding)
		if isFull && full != nil {
			continue
		}
		state := p.breakerState(s, t, now)
		if state == detect.Open && skipOpen || state == detect.HalfOpen && s.Outstanding > 0 {
			continue
		}
		penalty, allowed := preference.penalty(s)
		// While servers are scarce, any node may find out that a server has recovered, and so may the one whose turn it is.
		if !allowed && (state != detect.HalfOpen || !p.allowsEarlyTrial(t) && !detect.SharesTrials(&s.State)) {
			continue
		}
		if isFull {
			full = &admission.Server{Address: address, Outstanding: s.Outstanding, Limit: limit}
			continue
		}
		trial := use == healthquery.TrialUse || state == detect.HalfOpen && t.Idempotent && t.Attempt == 0
		if candidates == nil {
			candidates = make([]admission.Server, 0, len(p.Addresses)+1)
		}
		candidates = append(candidates, admission.Server{
			Address: address, Outstanding: s.Outstanding, Limit: limit, TrialDue: trial,
			BreakerOpen: state == detect.Open, LoadPenalty: penalty + stallingPenalty(s, state, now),
			Probation: state == detect.HalfOpen,
		})
	}
	if len(candidates) == 0 {
		return nil
	}
	p.Placing.describe(candidates, p, t, now)
	if full != nil {
		// A request is not sent again to the same server while there is another one, and one full server tells that.
		candidates = append(candidates, *full)
	}
	n := admission.Choose(candidates, t.ID, t.TriedAddresses)
	if n < 0 {
		return nil
	}
	return p.Servers[candidates[n].Address]
}

// allowsBody reports whether the server may hold the request body of the ticket beside those that it has.
func (p servicePool) allowsBody(s *table.Backend, t *table.Ticket) bool {
	return bytebudget.ServerAllows(p.MaxServerBodyBytes, s.OutstandingBytes, t.BodyBytes, p.Sharing.Nodes)
}

// limitFor returns the concurrency limit of the server for the ticket. Large responses stay in their availability zone,
// and therefore only the nodes of that zone share the server's slots for them.
func (p servicePool) limitFor(s *table.Backend, t *table.Ticket, zone string, now time.Time) admission.Limit {
	if !t.Bulk || p.Sharing.NodesInZone == 0 || s.Server.AvailabilityZone != zone {
		return p.raisedLimit(s, now)
	}
	return s.Limit.RaisedTo(admission.MaxOutstandingPerNode(s.Server.Slots, p.Sharing.NodesInZone, 1), now)
}

// stallingPenalty returns the penalty, in outstanding requests, of a server that may be stalling. It gets a request only if
// all slots of the other servers are taken. Trial requests are not held back.
func stallingPenalty(s *table.Backend, state detect.BreakerState, now time.Time) int {
	if state != detect.Closed || !detect.SuspectedOfStalling(&s.State, now) {
		return 0
	}
	return s.Server.Slots
}

// minClosedFraction is the fraction of a pool whose circuit breakers have to be closed before the servers with an open
// breaker are skipped. In an overload, servers that fail fast always have free slots, and would get all requests for
// which the other servers have none.
const minClosedFraction = 0.2

// canWaitForClosed reports whether the ticket should wait for a server with a closed circuit breaker instead of going
// to one with an open breaker: enough breakers are closed, and at least half of the ticket's time is left. Less is enough
// if it exceeds the latency objective and the backlog. Late requests of a surge wait long, and would otherwise end at
// failing servers although servers with a closed breaker get to them in time. The time for which the ticket waited for the
// retry budget does not count.
func canWaitForClosed(p servicePool, t *table.Ticket, now time.Time) bool {
	since, left := t.Arrived, t.Deadline.Sub(now)
	if t.WaitEnded.After(since) {
		since = t.WaitEnded
	}
	waitsLate := hasObjective(t) && left > t.TargetLatency && p.Backlog < left
	if left < t.Deadline.Sub(since)/2 && !waitsLate {
		return false
	}
	closed, usable := 0, 0
	for _, s := range p.Servers {
		if healthquery.UseOf(s, t.Idempotent, t.Attempt, now) == healthquery.NoUse {
			continue
		}
		usable++
		if p.breakerState(s, t, now) == detect.Closed {
			closed++
		}
	}
	return closed > 0 && float64(closed) >= minClosedFraction*float64(usable)
}
