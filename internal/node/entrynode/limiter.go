package entrynode

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"egretline.example/egretline/internal/customer/quotacmd"
	"egretline.example/egretline/internal/decide/quota"
	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/pkg/fleet"
)

const (
	// maxGranters bounds the entry hosts that are asked about one request.
	maxGranters = 2
	// granterBackoff is the time for which an entry host that has not answered is not asked again, because each question
	// to it delays a request by the timeout of the message.
	granterBackoff = time.Second
)

// customerLimiter decides on requests of customers with a limit. On a host that may not decide, it asks entry hosts, which
// charge the request to their own buckets. It implements hostfront.CustomerLimiter.
type customerLimiter struct {
	*quotacmd.Commands
	// Ask asks the host about a request of the customer.
	Ask func(ctx context.Context, h fleet.Host, customer string) (peerapi.GrantResponse, error)
	// EntryHosts returns the entry hosts other than this one, and Isolated reports whether none of them is likely to answer.
	EntryHosts func() []fleet.Host
	Isolated   func() bool
	// AvailabilityZone is that of this host, whose entry hosts are asked first.
	AvailabilityZone string

	mu sync.Mutex
	// failed holds the times of failed questions by host ID.
	failed map[string]time.Time
}

func (n *Node) newLimiter() *customerLimiter {
	return &customerLimiter{
		Commands: n.reports.quotas, EntryHosts: n.otherEntryHosts, Isolated: n.Roster.Isolated, AvailabilityZone: n.Options.Self.AvailabilityZone,
		Ask: func(ctx context.Context, h fleet.Host, customer string) (peerapi.GrantResponse, error) {
			return n.peers.Grant(ctx, h.PeerAddress, peerapi.GrantRequest{From: peerapi.HostMessage(n.Roster.Self()), Customer: customer})
		},
		failed: map[string]time.Time{},
	}
}

// Take implements hostfront.CustomerLimiter.
func (l *customerLimiter) Take(ctx context.Context, now time.Time, t fleet.Tenant) quota.Verdict {
	v := l.Commands.Take(now, t)
	if !v.Undecided || l.Isolated() {
		return v
	}
	for _, h := range l.granters(now) {
		r, err := l.Ask(ctx, h, t.Name)
		if err != nil {
			l.setFailed(h.ID)
			continue
		}
		if !r.Undecided {
			return quota.Verdict{
				Accepted: r.Accepted, Remote: true, RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
			}
		}
	}
	return v
}

// granters returns the entry hosts to ask, those of this host's availability zone first.
func (l *customerLimiter) granters(now time.Time) []fleet.Host {
	hosts := slices.Clone(l.EntryHosts())
	l.mu.Lock()
	hosts = slices.DeleteFunc(hosts, func(h fleet.Host) bool { return now.Sub(l.failed[h.ID]) < granterBackoff })
	l.mu.Unlock()
	distance := func(h fleet.Host) int {
		if h.AvailabilityZone == l.AvailabilityZone {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(hosts, func(a, b fleet.Host) int { return cmp.Compare(distance(a), distance(b)) })
	return hosts[:min(len(hosts), maxGranters)]
}

func (l *customerLimiter) setFailed(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for k, at := range l.failed {
		if now.Sub(at) >= granterBackoff {
			delete(l.failed, k)
		}
	}
	l.failed[id] = now
}
