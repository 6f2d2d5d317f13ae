package entrynode

import (
	"context"
	"slices"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// When all hosts restart, each of them knows only itself at first, and would send callers to itself, however weak it is.
const (
	// restartTime is the time after a start in which a node looks for the entry hosts of before.
	restartTime = 2 * time.Second
	// contactPeriod is the time between two tries to reach those that were not heard yet.
	contactPeriod = 100 * time.Millisecond
	// restartTTL is how long callers may keep an answer of the directory meanwhile.
	restartTTL = 500 * time.Millisecond
)

// restarting says that the node started a short time ago, in a fleet that had started before.
func (n *Node) restarting(now time.Time) bool {
	return !n.Options.FirstStart && now.Sub(n.started) < restartTime
}

// EntryTTL returns how long callers may keep an answer of the directory.
func (n *Node) EntryTTL() time.Duration {
	if n.restarting(time.Now()) {
		return min(restartTTL, n.Options.EntryTTL)
	}
	return n.Options.EntryTTL
}

// contactLoop learns the hosts of the topic, where entry hosts enter themselves, and contacts them until they are heard.
func (n *Node) contactLoop(ctx context.Context) {
	if n.Options.FirstStart {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, restartTime)
	defer cancel()
	var hosts []fleet.Host
	every(ctx, contactPeriod, func(turn int) {
		if hosts == nil {
			hosts = n.learnHosts(ctx)
			n.former.Store(slices.ContainsFunc(hosts, func(h fleet.Host) bool { return h.ID == n.Options.Self.ID }))
		}
		// One at a time: the first that answers sends whole copies.
		if left := n.unheard(hosts); len(left) > 0 {
			n.submitSync(left[turn%len(left)])
		}
	})
}

// unheard returns the hosts that the node has not heard itself.
func (n *Node) unheard(hosts []fleet.Host) []fleet.Host {
	heard := map[string]bool{n.Options.Self.ID: true}
	states, _ := n.Roster.Heard(time.Now())
	for _, s := range states {
		heard[s.Host.ID] = true
	}
	var left []fleet.Host
	for _, h := range hosts {
		if !heard[h.ID] {
			left = append(left, h)
		}
	}
	return left
}
