package entrynode

import (
	"context"
	"slices"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// After a restart of all hosts, each host is at first the only one in its own roster, and would direct callers to itself
// regardless of its capacity.
const (
	// restartDiscoveryDuration is how long a restarted node looks for the previous entry hosts.
	restartDiscoveryDuration = 2 * time.Second
	// contactInterval is the time between two attempts to contact hosts that have not responded yet.
	contactInterval = 100 * time.Millisecond
	// restartEntryTTL is how long callers may cache a directory response during restartDiscoveryDuration.
	restartEntryTTL = 500 * time.Millisecond
)

// recentlyRestarted reports whether the node started less than restartDiscoveryDuration ago, in a fleet that had been
// running before.
func (n *Node) recentlyRestarted(now time.Time) bool {
	return !n.Options.FirstStart && now.Sub(n.started) < restartDiscoveryDuration
}

// EntryTTL returns how long callers may cache a directory response.
func (n *Node) EntryTTL() time.Duration {
	if n.recentlyRestarted(time.Now()) {
		return min(restartEntryTTL, n.Options.EntryTTL)
	}
	return n.Options.EntryTTL
}

// restartContactLoop reads the topic of hosts, where entry hosts keep a record, and contacts these hosts until they
// respond.
func (n *Node) restartContactLoop(ctx context.Context) {
	if n.Options.FirstStart {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, restartDiscoveryDuration)
	defer cancel()
	var hosts []fleet.Host
	callPeriodically(ctx, contactInterval, func(iteration int) {
		if hosts == nil {
			hosts = n.readHostsTopic(ctx)
			n.wasEntryHost.Store(slices.ContainsFunc(hosts, func(h fleet.Host) bool { return h.ID == n.Options.Self.ID }))
		}
		// Hosts are contacted one at a time, because the first response already contains complete replicas.
		if uncontacted := n.uncontactedHosts(hosts); len(uncontacted) > 0 {
			n.submitSync(uncontacted[iteration%len(uncontacted)])
		}
	})
}

// uncontactedHosts returns the given hosts that the node has not been in direct contact with.
func (n *Node) uncontactedHosts(hosts []fleet.Host) []fleet.Host {
	contacted := map[string]bool{n.Options.Self.ID: true}
	states := n.Roster.RecentContacts(time.Now())
	for _, s := range states {
		contacted[s.Host.ID] = true
	}
	var uncontacted []fleet.Host
	for _, h := range hosts {
		if !contacted[h.ID] {
			uncontacted = append(uncontacted, h)
		}
	}
	return uncontacted
}
