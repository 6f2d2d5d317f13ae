package measure

import (
	"time"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
)

// Limits of the baseline. Its queue has the capacity of the three rank queues of admission.Queue together, and a request
// gets three attempts, as is usual for proxies without a retry budget.
const (
	fifoCapacity    = 3 * admission.MaxWaitingPerRank
	fifoMaxAttempts = 3
)

// fifoDispatcher is the baseline: one FIFO queue, round-robin choice of backend servers, and a fixed number of attempts.
// Requests leave the queue when their deadline passes.
type fifoDispatcher struct {
	deployment Deployment
	queue      []*request
	servers    []admission.Server
	// lastServer is the index of the server that got the latest request.
	lastServer int
}

func newFIFODispatcher(d Deployment) *fifoDispatcher {
	return &fifoDispatcher{deployment: d, servers: newServers(d, 1)}
}

func (n *fifoDispatcher) admit(_ time.Time, r *request) []*request {
	if len(n.queue) >= fifoCapacity {
		return []*request{r}
	}
	n.queue = append(n.queue, r)
	return nil
}

func (n *fifoDispatcher) next(now time.Time) (*request, int, []*request) {
	var late []*request
	for len(n.queue) > 0 && !now.Before(n.queue[0].Deadline) {
		late = append(late, n.queue[0])
		n.queue = n.queue[1:]
	}
	if len(n.queue) == 0 {
		return nil, -1, late
	}
	for range n.servers {
		n.lastServer = (n.lastServer + 1) % len(n.servers)
		if s := &n.servers[n.lastServer]; admission.HasCapacity(*s) {
			r := n.queue[0]
			n.queue = n.queue[1:]
			s.Outstanding++
			return r, n.lastServer, late
		}
	}
	return nil, -1, late
}

func (n *fifoDispatcher) finish(now time.Time, r *request, server int, e fleet.Evidence, _ time.Duration) bool {
	n.servers[server].Outstanding--
	safe := n.deployment.Ranks[r.Rank].Idempotent || e == fleet.Shed
	if e == fleet.Succeeded || !safe || r.Attempt+1 >= fifoMaxAttempts || !now.Before(r.Deadline) {
		return false
	}
	r.Attempt++
	n.queue = append([]*request{r}, n.queue...)
	return true
}
