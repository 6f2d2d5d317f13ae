// Package group chooses which nodes serve a service.
package group

import (
	"cmp"
	"math"
	"slices"

	"egretline.example/egretline/pkg/fleet"
)

// DefaultSize is the number of nodes that serve a service if its configuration states none.
const DefaultSize = 4

// Members returns the hosts that serve the service, by weighted rendezvous hashing: the one with the highest score in each availability zone, then the
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
			if len(rest) < size {
				rest = append(rest, h)
			}
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

// Order returns the hosts in the order in which a caller in the availability zone should use them: those of its zone,
// which are nearest, then one of each other zone in turn, so that consecutive choices do not fail together.
func Order(hosts []fleet.Host, availabilityZone string) []fleet.Host {
	var near []fleet.Host
	var zones []string
	far := map[string][]fleet.Host{}
	for _, h := range hosts {
		if h.AvailabilityZone == availabilityZone {
			near = append(near, h)
			continue
		}
		if far[h.AvailabilityZone] == nil {
			zones = append(zones, h.AvailabilityZone)
		}
		far[h.AvailabilityZone] = append(far[h.AvailabilityZone], h)
	}
	ordered := near
	for len(ordered) < len(hosts) {
		for _, z := range zones {
			if len(far[z]) > 0 {
				ordered = append(ordered, far[z][0])
				far[z] = far[z][1:]
			}
		}
	}
	return ordered
}

// Probers returns the members of a service group that probe the backend server: the two with the highest scores in
// different availability zones, or one if all members share a zone.
func Probers(address string, members []fleet.Host) []fleet.Host {
	var probers []fleet.Host
	for _, h := range rank(address, members) {
		if len(probers) == 0 {
			probers = append(probers, h)
			continue
		}
		if h.AvailabilityZone != probers[0].AvailabilityZone {
			return append(probers, h)
		}
	}
	return probers
}

// SnapshotWriter returns the host that appends snapshots of the configuration to the log, or false if there is none.
// Views can differ for a while, and two writers are harmless.
func SnapshotWriter(hosts []fleet.Host) (fleet.Host, bool) {
	candidates := slices.DeleteFunc(slices.Clone(hosts), func(h fleet.Host) bool { return h.Leaving })
	if len(candidates) == 0 {
		return fleet.Host{}, false
	}
	return rank("snapshot", candidates)[0], true
}

// rank sorts the hosts by descending score for the key. It sorts scores and indices, because moving hosts while sorting
// took most of the time with 840 of them.
func rank(key string, hosts []fleet.Host) []fleet.Host {
	scored := make([]scoredHost, len(hosts))
	for i, h := range hosts {
		scored[i] = scoredHost{index: i, score: score(key, h)}
	}
	slices.SortFunc(scored, func(a, b scoredHost) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(hosts[a.index].ID, hosts[b.index].ID)
	})
	ranked := make([]fleet.Host, len(hosts))
	for i, s := range scored {
		ranked[i] = hosts[s.index]
	}
	return ranked
}

type scoredHost struct {
	index int
	score float64
}

// score is the weighted rendezvous score -w/ln(u), where u is a hash of key and host, uniform in (0, 1). A host gets the
// highest score with a probability in proportion to its weight.
func score(key string, h fleet.Host) float64 {
	weight := h.Weight
	if weight <= 0 {
		weight = 1
	}
	// 52 bits and the added half fit a float64 exactly, so that u never rounds to 1, whose logarithm is 0.
	const mantissaBits = 52
	u := (float64(hash(key, h.ID)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -weight / math.Log(u)
}

// hash is FNV-1a of the key, a zero byte and the host, without the allocations of hash/fnv.
func hash(key, host string) uint64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	v := uint64(offset)
	for i := range len(key) {
		v = (v ^ uint64(key[i])) * prime
	}
	v *= prime
	for i := range len(host) {
		v = (v ^ uint64(host[i])) * prime
	}
	// FNV of short keys with a common prefix is correlated in its high bits; the finalizer of SplitMix64 spreads them.
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
