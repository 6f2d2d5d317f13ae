package peer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/fleet"
)

const (
	// configSources is the number of nodes that are asked for their configuration at a time. The highest revision wins,
	// so that a single node that is behind does no harm.
	configSources = 4
	configTimeout = 2 * time.Second
)

// Directory lists the other nodes.
type Directory interface {
	// Peers returns what this node knows of every other host.
	Peers() []member.State
}

// States reads configurations of other nodes. It implements configcmd.Peers.
type States struct {
	Client    *Client
	Directory Directory
}

// HighestRevision returns the highest revision that other nodes announced, or 0.
func (s *States) HighestRevision() int64 {
	var highest int64
	for _, p := range s.Directory.Peers() {
		highest = max(highest, p.Revision)
	}
	return highest
}

// States returns the folded configurations of several nodes in different availability zones, as far as they reply.
func (s *States) States(ctx context.Context) []fold.State {
	var states []fold.State
	for _, host := range sources(s.Directory.Peers()) {
		if state, err := s.fetch(ctx, host); err == nil {
			states = append(states, state)
		}
	}
	return states
}

func (s *States) fetch(ctx context.Context, host fleet.Host) (fold.State, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	return s.Client.Config(ctx, host)
}

// sources returns the node with the highest announced revision, then nodes at random, those of further zones first.
func sources(peers []member.State) []fleet.Host {
	peers = slices.DeleteFunc(peers, func(p member.State) bool { return !member.Reachable(p) })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b member.State) int { return cmp.Compare(b.Revision, a.Revision) })
	seen := map[string]bool{}
	var first, rest []fleet.Host
	for _, p := range peers {
		if seen[p.Host.AvailabilityZone] {
			rest = append(rest, p.Host)
			continue
		}
		seen[p.Host.AvailabilityZone] = true
		first = append(first, p.Host)
	}
	all := slices.Concat(first, rest)
	return all[:min(len(all), configSources)]
}
