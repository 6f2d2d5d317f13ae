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
	// maxConfigSources is the number of nodes asked for their configuration. The highest revision wins, so a single
	// outdated node does no harm.
	maxConfigSources   = 4
	configFetchTimeout = 2 * time.Second
)

// Directory lists the other nodes.
type Directory interface {
	// Peers returns the local state of every other host.
	Peers() []member.HostState
}

// ConfigFetcher fetches the configurations of other nodes. It implements configcmd.Peers.
type ConfigFetcher struct {
	Client    *Client
	Directory Directory
}

// HighestRevision returns the highest revision that other nodes announced, or 0.
func (f *ConfigFetcher) HighestRevision() int64 {
	var highest int64
	for _, p := range f.Directory.Peers() {
		highest = max(highest, p.Revision)
	}
	return highest
}

// States returns the folded configurations of up to maxConfigSources nodes, preferably in different availability zones.
// Nodes that do not reply are omitted.
func (f *ConfigFetcher) States(ctx context.Context) []fold.State {
	var states []fold.State
	for _, host := range selectSources(f.Directory.Peers()) {
		if state, err := f.fetch(ctx, host); err == nil {
			states = append(states, state)
		}
	}
	return states
}

func (f *ConfigFetcher) fetch(ctx context.Context, host fleet.Host) (fold.State, error) {
	ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	return f.Client.FetchConfig(ctx, host)
}

// selectSources returns reachable nodes, one of each availability zone before all others. Within both, the highest
// announced revision comes first and equal ones are in random order.
func selectSources(peers []member.HostState) []fleet.Host {
	peers = slices.DeleteFunc(peers, func(p member.HostState) bool { return !member.Reachable(p) })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b member.HostState) int { return cmp.Compare(b.Revision, a.Revision) })
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
	return all[:min(len(all), maxConfigSources)]
}
