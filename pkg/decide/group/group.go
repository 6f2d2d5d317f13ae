// Package group chooses which nodes serve a service.
package group

import (
	"cmp"
	"hash/fnv"
	"slices"

	"egretline.example/egretline/pkg/fleet"
)

// DefaultSize is the number of nodes that serve a service if its configuration states none.
const DefaultSize = 4

// Members returns the hosts that serve the service: the one with the highest score in each availability zone, then the
// highest scores, up to the group size of the service. Leaving hosts and hosts of other regions are left out.
func Members(s fleet.Service, hosts []fleet.Host) []fleet.Host {
	ranked := rank(s.Name, eligible(s, hosts))
	size := s.GroupSize
	if size == 0 {
		size = DefaultSize
	}
	seen := map[string]bool{}
	var first, rest []fleet.Host
	for _, h := range ranked {
		if seen[h.AvailabilityZone] {
			rest = append(rest, h)
			continue
		}
		seen[h.AvailabilityZone] = true
		first = append(first, h)
	}
	if spare := size - len(first); spare > 0 {
		first = append(first, rest[:min(spare, len(rest))]...)
	}
	return first
}

func eligible(s fleet.Service, hosts []fleet.Host) []fleet.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h fleet.Host) bool {
		return h.Leaving || h.Region != s.Region
	})
}

func rank(key string, hosts []fleet.Host) []fleet.Host {
	slices.SortFunc(hosts, func(a, b fleet.Host) int {
		return cmp.Or(cmp.Compare(score(key, b.ID), score(key, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return hosts
}

func score(key, host string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(key + "\x00" + host))
	v := f.Sum64()
	// FNV of short keys with a common prefix is correlated in its high bits; the finalizer of SplitMix64 spreads them.
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
