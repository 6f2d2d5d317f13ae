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
	size := s.GroupSize
	if size == 0 {
		size = DefaultSize
	}
	// One pass keeps the best hosts. Sorting all 840 for each of 260 services took most of the time of a change.
	var first, top []scoredHost
	for i := range hosts {
		h := &hosts[i]
		if h.Leaving || h.Region != s.Region {
			continue
		}
		c := scoredHost{host: h, score: score(s.Name, h)}
		first = keepFirst(first, c)
		top = keepTop(top, c, size)
	}
	slices.SortFunc(first, compare)
	members := make([]fleet.Host, 0, max(size, len(first)))
	for _, c := range first {
		members = append(members, *c.host)
	}
	for _, c := range top {
		if len(members) < size && !slices.Contains(first, c) {
			members = append(members, *c.host)
		}
	}
	return members
}

// keepFirst keeps the best host of each availability zone.
func keepFirst(first []scoredHost, c scoredHost) []scoredHost {
	for i, f := range first {
		if f.host.AvailabilityZone == c.host.AvailabilityZone {
			if compare(c, f) < 0 {
				first[i] = c
			}
			return first
		}
	}
	return append(first, c)
}

// keepTop keeps the best hosts of all zones, up to the size, in order.
func keepTop(top []scoredHost, c scoredHost, size int) []scoredHost {
	if len(top) == size && compare(c, top[size-1]) > 0 {
		return top
	}
	i, _ := slices.BinarySearchFunc(top, c, compare)
	top = slices.Insert(top, i, c)
	return top[:min(len(top), size)]
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

// Rank returns the hosts by descending score for the key.
func Rank(key string, hosts []fleet.Host) []fleet.Host {
	scored := make([]scoredHost, len(hosts))
	for i := range hosts {
		scored[i] = scoredHost{host: &hosts[i], score: score(key, &hosts[i])}
	}
	slices.SortFunc(scored, compare)
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

// compare orders by descending score, then by ID.
func compare(a, b scoredHost) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.host.ID, b.host.ID)
}

// score is the weighted rendezvous score -w/ln(u), where u is a hash of key and host, uniform in (0, 1). A host gets the
// highest score with a probability in proportion to its weight.
func score(key string, h *fleet.Host) float64 {
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
