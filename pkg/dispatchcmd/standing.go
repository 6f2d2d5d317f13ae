package dispatchcmd

import (
	"cmp"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// reportStandingAfter is the time after which the begin of a standing queue is reported. Shorter ones affect few callers.
const reportStandingAfter = time.Second

// turnOut ends the waiting requests with a latency objective that more waiting cannot help.
func (d *Dispatcher) turnOut(now time.Time) {
	var turned []admission.Turned[*table.Ticket]
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		for _, queue := range q.Services {
			for _, t := range admission.TurnOut(queue, now) {
				if t.Err.Reason == admission.DeadlineTooClose {
					countsOf(q, t.Payload).Late++
				} else {
					countsOf(q, t.Payload).Refused[t.Err.Reason]++
				}
				turned = append(turned, t)
			}
		}
	})
	for _, t := range turned {
		d.settle(t.Payload, unservedResult(now, t.Payload, t.Err))
	}
}

// StandingChange reports that a service began or ceased to have a standing queue at this node.
type StandingChange struct {
	Service  string
	Standing bool
	// Since is the time since when requests wait; set at the begin.
	Since time.Time
	// Lasted is the time from the begin to the end; set at the end.
	Lasted time.Duration
	// Waiting and Late are the numbers of waiting requests, and of those that will miss their latency objective.
	Waiting, Late int
}

// StandingChanges records which services have a standing queue, and returns the changes since the last call.
func (d *Dispatcher) StandingChanges(now time.Time) []StandingChange {
	var changes []StandingChange
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		for service, queue := range q.Services {
			began, reported := q.Standing[service]
			standing := !queue.WaitingSince.IsZero() && now.Sub(queue.WaitingSince) >= reportStandingAfter
			switch {
			case standing && !reported:
				q.Standing[service] = queue.WaitingSince
				changes = append(changes, standingChange(service, queue, now))
			case reported && !standing:
				delete(q.Standing, service)
				changes = append(changes, StandingChange{Service: service, Lasted: now.Sub(began)})
			}
		}
	})
	slices.SortFunc(changes, func(a, b StandingChange) int { return cmp.Compare(a.Service, b.Service) })
	return changes
}

func standingChange(service string, queue *admission.Queue[*table.Ticket], now time.Time) StandingChange {
	c := StandingChange{Service: service, Standing: true, Since: queue.WaitingSince, Waiting: admission.Waiting(queue)}
	for rank := range queue.Ranks {
		c.Late += admission.CountLanes(queue, rank, now).Late
	}
	return c
}
