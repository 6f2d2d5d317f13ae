package measure

import (
	"time"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
)

// Terms of the baseline: the queue holds as much as the three ranks of the project's own, and a request is attempted
// three times, as is usual for proxies without a retry budget.
const (
	fifoCapacity = 3 * admission.MaxWaitingPerRank
	fifoAttempts = 3
)

// fifo is the baseline: one queue in order of arrival, backend servers in turn, and a fixed number of attempts. Requests
// leave the queue when their callers give up at the deadline.
type fifo struct {
	deployment Deployment
	queue      []*request
	servers    []admission.Server
	turn       int
}

func newFIFO(d Deployment) *fifo {
	return &fifo{deployment: d, servers: newServers(d, 1)}
}

func (n *fifo) admit(_ time.Time, r *request) []*request {
	if len(n.queue) >= fifoCapacity {
		return []*request{r}
	}
	n.queue = append(n.queue, r)
	return nil
}

func (n *fifo) next(now time.Time) (*request, int, []*request) {
	var late []*request
	for len(n.queue) > 0 && !now.Before(n.queue[0].Deadline) {
		late = append(late, n.queue[0])
		n.queue = n.queue[1:]
	}
	if len(n.queue) == 0 {
		return nil, -1, late
	}
	for range n.servers {
		n.turn = (n.turn + 1) % len(n.servers)
		if s := &n.servers[n.turn]; admission.HasCapacity(*s) {
			r := n.queue[0]
			n.queue = n.queue[1:]
			s.Outstanding++
			return r, n.turn, late
		}
	}
	return nil, -1, late
}

func (n *fifo) finish(now time.Time, r *request, server int, e fleet.Evidence, _ time.Duration) bool {
	n.servers[server].Outstanding--
	safe := n.deployment.Ranks[r.Rank].Idempotent || e == fleet.Shed
	if e == fleet.Succeeded || !safe || r.Attempt+1 >= fifoAttempts || !now.Before(r.Deadline) {
		return false
	}
	r.Attempt++
	n.queue = append([]*request{r}, n.queue...)
	return true
}
