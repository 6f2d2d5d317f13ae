// Package roster decides from what a node heard which hosts are live, which of them callers are sent to, and which of
// them spread the state of the platform's log to the others.
package roster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"egretline.example/egretline/pkg/decide/group"
	"egretline.example/egretline/pkg/fleet"
)

const (
	// heardFor is how long a host counts as live after it was heard. Every host speaks to each registrar at least once in
	// two seconds.
	heardFor = 3 * time.Second
	// failedFor is how long a failed contact outweighs what others say of the host.
	failedFor = 3 * time.Second
	// MaxRegistrars is the number of hosts that spread state. Each of the others speaks to all of them in turn, so that
	// the number bounds the messages of a host and the time in which one of them that is cut off goes unnoticed.
	MaxRegistrars = 4
	// busyShare is the part of an entry host's capacity that the load is planned to take, so that the loss of some of the
	// hosts and a burst leave room.
	busyShare = 0.7
)

// Capacities of a host, in requests a second.
const (
	// requestsPerCore is what a whole core takes with room for bursts and the pauses of the garbage collector.
	requestsPerCore = 600
	// bytesPerRequest is the mean that a request moves over the host's link, in and out: one of ten is a large download.
	bytesPerRequest = 20_000
	bytesPerMegabit = 125_000
	// linkShare is the part of a link that is planned to be used.
	linkShare = 0.4
	// CapacityPerSlot is the rate of requests that is planned for one slot of a backend server: half of what it completes.
	CapacityPerSlot = 1
)

// Capacity returns the requests a second that a host can carry, by its processor and its link.
func Capacity(cores, megabits float64) float64 {
	return min(cores*requestsPerCore, megabits*bytesPerMegabit*linkShare/bytesPerRequest)
}

// entryKey spreads the choice of entry hosts of equal capacity over the hosts.
const entryKey = "entry"

// State is what a node knows of one other host.
type State struct {
	Host fleet.Host
	// Ready says that the host has said to have what it needs to serve callers.
	Ready bool
	// Heard is the last time that the host itself spoke to the node, or answered it.
	Heard time.Time
	// Told is the last time that a registrar said to have heard the host.
	Told time.Time
	// Failed is the last time that a contact failed.
	Failed time.Time
}

// Live says whether the host is to be counted on.
func Live(s State, now time.Time) bool {
	if s.Host.Leaving {
		return false
	}
	if now.Sub(s.Heard) < heardFor && s.Heard.After(s.Failed) {
		return true
	}
	return now.Sub(s.Told) < heardFor && now.Sub(s.Failed) >= failedFor
}

// HeardDirectly says whether the host itself was heard, which is what a node may tell others. That a host is leaving is
// told as well.
func HeardDirectly(s State, now time.Time) bool {
	return now.Sub(s.Heard) < heardFor && s.Heard.After(s.Failed)
}

// Entries returns the hosts that callers are sent to, the strongest of each availability zone first. The load is given in
// the unit of the capacities. Callers are sent to the hosts of their own zone and choose among them evenly, so that each
// zone has as many hosts as it takes to carry its part of the load. Few hosts see the failures of a backend server sooner
// than many, because each sees a larger part of its requests.
func Entries(hosts []fleet.Host, load float64) []fleet.Host {
	zones := map[string][]fleet.Host{}
	for _, h := range order(hosts) {
		zones[h.AvailabilityZone] = append(zones[h.AvailabilityZone], h)
	}
	var chosen []fleet.Host
	place := map[string]int{}
	for _, list := range zones {
		for k, h := range list[:enough(list, load/float64(len(zones)))] {
			chosen = append(chosen, h)
			place[h.ID] = k
		}
	}
	slices.SortFunc(chosen, func(a, b fleet.Host) int {
		return cmp.Or(cmp.Compare(place[a.ID], place[b.ID]), cmp.Compare(a.AvailabilityZone, b.AvailabilityZone))
	})
	return chosen
}

// enough returns how many of the hosts, strongest first, share the load evenly without overloading the weakest of them.
// If no number does, it is the one that overloads it least: a weak host beside a strong one would take half of the load.
func enough(hosts []fleet.Host, load float64) int {
	best, least := 1, math.Inf(1)
	for n := 1; n <= len(hosts); n++ {
		busy := load / (float64(n) * hosts[n-1].Weight)
		if busy <= busyShare {
			return n
		}
		if busy < least {
			best, least = n, busy
		}
	}
	return best
}

// Registrars returns the hosts of the list that spread state, in the order in which they were chosen.
func Registrars(entries []fleet.Host) []fleet.Host {
	return entries[:min(len(entries), MaxRegistrars)]
}

// order sorts by descending capacity, hosts of equal capacity by a hash that all nodes agree on.
func order(hosts []fleet.Host) []fleet.Host {
	ranked := group.Rank(entryKey, unweighted(hosts))
	place := make(map[string]int, len(ranked))
	for i, h := range ranked {
		place[h.ID] = i
	}
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(a, b fleet.Host) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(place[a.ID], place[b.ID]))
	})
	return ordered
}

func unweighted(hosts []fleet.Host) []fleet.Host {
	equal := slices.Clone(hosts)
	for i := range equal {
		equal[i].Weight = 0
	}
	return equal
}
