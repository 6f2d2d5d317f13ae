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

func (f *fifoDispatcher) admit(_ time.Time, r *request) []*request {
	if len(f.queue) >= fifoCapacity {
		return []*request{r}
	}
	f.queue = append(f.queue, r)
	return nil
}

func (f *fifoDispatcher) next(now time.Time) (*request, int, []*request) {
	var late []*request
	for len(f.queue) > 0 && !now.Before(f.queue[0].Deadline) {
		late = append(late, f.queue[0])
		f.queue = f.queue[1:]
	}
	if len(f.queue) == 0 {
		return nil, -1, late
	}
	for range f.servers {
		f.lastServer = (f.lastServer + 1) % len(f.servers)
		if s := &f.servers[f.lastServer]; admission.HasCapacity(*s) {
			r := f.queue[0]
			f.queue = f.queue[1:]
			s.Outstanding++
			return r, f.lastServer, late
		}
	}
	return nil, -1, late
}

func (f *fifoDispatcher) finish(now time.Time, r *request, server int, e fleet.Evidence, _ time.Duration) bool {
	f.servers[server].Outstanding--
	safe := f.deployment.Ranks[r.Rank].Idempotent || e == fleet.Shed
	if e == fleet.Succeeded || !safe || r.Attempt+1 >= fifoMaxAttempts || !now.Before(r.Deadline) {
		return false
	}
	r.Attempt++
	f.queue = append([]*request{r}, f.queue...)
	return true
}
