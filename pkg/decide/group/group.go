// Package group selects the hosts that serve a service, by weighted rendezvous hashing.
package group

import (
	"cmp"
	"math"
	"slices"

	"egretline.example/egretline/pkg/fleet"
)

// DefaultSize is the number of hosts that serve a service if its configuration sets no group size.
const DefaultSize = 4

// Members returns the hosts that serve the service: the host with the highest score in each availability zone, then the
// hosts with the highest remaining scores, up to the group size of the service. Leaving hosts and hosts of other regions
// are excluded.
func Members(s fleet.Service, hosts []fleet.Host) []fleet.Host {
	size := s.GroupSize
	if size == 0 {
		size = DefaultSize
	}
	// One pass keeps the best hosts. Sorting all 840 hosts for each of 260 services took most of the time of a
	// membership change.
	var zoneBest, top []scoredHost
	for i := range hosts {
		h := &hosts[i]
		if h.Leaving || h.Region != s.Region {
			continue
		}
		c := scoredHost{host: h, score: score(s.Name, h)}
		zoneBest = keepBestOfZone(zoneBest, c)
		top = keepHighestScores(top, c, size)
	}
	slices.SortFunc(zoneBest, compareScores)
	members := make([]fleet.Host, 0, max(size, len(zoneBest)))
	for _, c := range zoneBest {
		members = append(members, *c.host)
	}
	for _, c := range top {
		if len(members) < size && !slices.Contains(zoneBest, c) {
			members = append(members, *c.host)
		}
	}
	return members
}

// keepBestOfZone adds the candidate to the list, which holds the best host of each availability zone.
func keepBestOfZone(zoneBest []scoredHost, c scoredHost) []scoredHost {
	for i, best := range zoneBest {
		if best.host.AvailabilityZone == c.host.AvailabilityZone {
			if compareScores(c, best) < 0 {
				zoneBest[i] = c
			}
			return zoneBest
		}
	}
	return append(zoneBest, c)
}

// keepHighestScores adds the candidate to the list, which holds up to size hosts of all zones by descending score.
func keepHighestScores(top []scoredHost, c scoredHost, size int) []scoredHost {
	if len(top) == size && compareScores(c, top[size-1]) > 0 {
		return top
	}
	i, _ := slices.BinarySearchFunc(top, c, compareScores)
	top = slices.Insert(top, i, c)
	return top[:min(len(top), size)]
}

// OrderForCaller returns the hosts in the order in which a caller in the availability zone should use them. The hosts of
// the caller's zone are nearest and come first; those of the other zones alternate, so an outage of one zone does not
// affect consecutive choices.
func OrderForCaller(hosts []fleet.Host, availabilityZone string) []fleet.Host {
	var local []fleet.Host
	var zones []string
	remote := map[string][]fleet.Host{}
	for _, h := range hosts {
		if h.AvailabilityZone == availabilityZone {
			local = append(local, h)
			continue
		}
		if remote[h.AvailabilityZone] == nil {
			zones = append(zones, h.AvailabilityZone)
		}
		remote[h.AvailabilityZone] = append(remote[h.AvailabilityZone], h)
	}
	ordered := local
	for len(ordered) < len(hosts) {
		for _, z := range zones {
			if len(remote[z]) > 0 {
				ordered = append(ordered, remote[z][0])
				remote[z] = remote[z][1:]
			}
		}
	}
	return ordered
}

// Probers returns the members of a service group that probe the backend server: the two members with the highest scores
// in different availability zones, or one if all members are in the same zone.
func Probers(address string, members []fleet.Host) []fleet.Host {
	var probers []fleet.Host
	for _, h := range Rank(address, members) {
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

// Rank returns the hosts in descending order of their score for the key.
func Rank(key string, hosts []fleet.Host) []fleet.Host {
	scored := make([]scoredHost, len(hosts))
	for i := range hosts {
		scored[i] = scoredHost{host: &hosts[i], score: score(key, &hosts[i])}
	}
	slices.SortFunc(scored, compareScores)
	ranked := make([]fleet.Host, len(hosts))
	for i, c := range scored {
		ranked[i] = *c.host
	}
	return ranked
}

type scoredHost struct {
	host  *fleet.Host
	score float64
}

// compareScores orders by descending score, then by ID.
func compareScores(a, b scoredHost) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.host.ID, b.host.ID)
}

// score returns the weighted rendezvous score -w/ln(u), where u is a hash of key and host, uniform in (0, 1). A host gets
// the highest score with a probability proportional to its weight.
func score(key string, h *fleet.Host) float64 {
	weight := h.Weight
	if weight <= 0 {
		weight = 1
	}
	// 52 bits plus one half fit a float64 exactly. u therefore never rounds to 1, whose logarithm is 0.
	const mantissaBits = 52
	u := (float64(hash(key, h.ID)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -weight / math.Log(u)
}

// hash returns the FNV-1a hash of the key, a zero byte and the host, without the allocations of hash/fnv.
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
	// The high bits of FNV are correlated for short keys with a common prefix; the finalizer of SplitMix64 mixes them.
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
