package dispatchcmd

import (
	"time"

	"egretline.example/egretline/internal/decide/notice"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/table"
)

// pausesOf summarizes the pauses that the servers of a service asked for. Servers that get no requests for another reason
// are left out. The summary is empty if no server of any service is paused.
func pausesOf(b *table.Backends, service string, now time.Time) notice.Pool {
	var p notice.Pool
	if !b.Notices.AnyPaused(now) {
		return p
	}
	for _, s := range b.Services[service] {
		if !s.Leaving && !detect.OutOfUse(&s.State) {
			p.Add(s.PausedUntil, now)
		}
	}
	return p
}

// refusalByPause returns the error that refuses the ticket if all servers of its service asked for a pause.
func refusalByPause(p notice.Pool, t *table.Ticket, now time.Time) (admission.RefusedError, bool) {
	wait, paused := p.Refusal(t.ID, targetLatency(t), now)
	return admission.RefusedError{Reason: admission.ServersPaused, Rank: t.Rank, Tenant: t.Tenant, RetryAfter: wait}, paused
}

// removePaused removes the waiting tickets that are refused because of a pause.
func removePaused(q *admission.Queue[*table.Ticket], p notice.Pool, now time.Time) []*table.Ticket {
	var refused []*table.Ticket
	for _, i := range admission.RemoveAll(q, func(i admission.Item[*table.Ticket]) bool {
		_, paused := refusalByPause(p, i.Payload, now)
		return paused
	}) {
		refused = append(refused, i.Payload)
	}
	return refused
}
