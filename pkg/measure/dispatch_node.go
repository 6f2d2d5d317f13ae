package measure

import (
	"fmt"
	"time"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
)

// rankedDispatcher is a dispatcher that uses the project's admission and retry code.
type rankedDispatcher struct {
	deployment Deployment
	queue      admission.Queue[*request]
	servers    []admission.Server
	budget     retry.Budget
	ranks      []fleet.Rank
}

func newRankedDispatcher(d Deployment, nodes int) *rankedDispatcher {
	ranked := &rankedDispatcher{deployment: d, servers: newServers(d, nodes), budget: retry.NewBudget()}
	for _, l := range d.Ranks {
		ranked.ranks = append(ranked.ranks, l.Rank)
	}
	return ranked
}

func newServers(d Deployment, nodes int) []admission.Server {
	servers := make([]admission.Server, d.Servers)
	for k := range servers {
		servers[k] = admission.Server{Address: fmt.Sprint("server-", k), Limit: admission.NewLimit(d.Slots, nodes)}
	}
	return servers
}

func queueItem(r *request) admission.Item[*request] {
	return admission.Item[*request]{
		ID: r.ID, Rank: r.Rank, Arrived: r.Arrived, Deadline: r.Deadline, Attempt: r.Attempt, Payload: r,
	}
}

func (d *rankedDispatcher) admit(now time.Time, r *request) []*request {
	displaced, err := admission.Offer(&d.queue, queueItem(r), now)
	if err != nil {
		return []*request{r}
	}
	return payloads(displaced)
}

func payloads(items []admission.Item[*request]) []*request {
	var out []*request
	for _, i := range items {
		out = append(out, i.Payload)
	}
	return out
}

func (d *rankedDispatcher) next(now time.Time) (*request, int, []*request) {
	slots, free := 0, false
	for _, s := range d.servers {
		slots += s.Limit.Max()
		free = free || admission.HasCapacity(s)
	}
	admission.Configure(&d.queue, d.ranks, slots, 0)
	if !free {
		return nil, -1, nil
	}
	server := -1
	p := admission.Next(&d.queue, now, func(i admission.Item[*request]) bool {
		server = admission.Choose(d.servers, i.ID, i.Payload.TriedServers)
		return server >= 0
	})
	if !p.Found {
		return nil, -1, payloads(p.Late)
	}
	d.servers[server].Outstanding++
	return p.Item.Payload, server, payloads(p.Late)
}

func (d *rankedDispatcher) finish(now time.Time, r *request, server int, e fleet.Evidence, took time.Duration) bool {
	s := &d.servers[server]
	switch e {
	case fleet.Succeeded:
		s.Limit.RaiseAfterSuccess(s.Outstanding, now)
	case fleet.Shed:
		s.Limit.LowerAfterShed(now)
		took = 0
	}
	s.Outstanding--
	admission.ReleaseSlot(&d.queue, r.Rank, took)
	if r.Attempt == 0 {
		retry.Deposit(&d.budget)
	}
	a := retry.Attempt{
		Evidence: e, Idempotent: d.deployment.Ranks[r.Rank].Idempotent, Sent: true, MayHaveRun: r.MayHaveRun, TimeLeft: r.Deadline.Sub(now),
	}
	if retry.Decide(a, &d.budget) != retry.Allowed {
		return false
	}
	r.Attempt++
	r.TriedServers = append(r.TriedServers, s.Address)
	r.MayHaveRun = r.MayHaveRun || !retry.ProvenNotRun(a)
	admission.Push(&d.queue, queueItem(r))
	return true
}
