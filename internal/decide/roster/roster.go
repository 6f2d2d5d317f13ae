// Package roster decides from gossip and direct contact which hosts are live, which of them are entry hosts for
// callers, and which of them (the registrars) distribute the state of the platform's log to the others.
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
	// contactTimeout is the time after the last direct contact, or the last report of one, during which a host
	// counts as live. Every host sends a message to each registrar at least once in two seconds.
	contactTimeout = 3 * time.Second
	// failedContactTimeout is the time during which a failed contact outweighs reports of other hosts.
	failedContactTimeout = 3 * time.Second
	// contactCheckDuration is the time in which all registrars are contacted after one of them has not answered.
	contactCheckDuration = time.Second
	// logCheckDuration is the time after which a host that is cut off knows whether it reaches the platform's log.
	logCheckDuration = 3 * time.Second
	// maxIsolation is how long a host counts as cut off. After that it is more likely to be the last one that is left.
	maxIsolation = 30 * time.Second
	// MaxRegistrars is the number of hosts that distribute state. Each other host contacts all of them in turn. The
	// number therefore bounds the messages of a host and the time until it detects a registrar that is unreachable.
	MaxRegistrars = 4
	// plannedLoadFraction is the fraction of an entry host's capacity that the planned load may use. The rest is headroom
	// for bursts and for the loss of some of the hosts.
	plannedLoadFraction = 0.7
)

// Figures for the capacity of a host, in requests per second.
const (
	// requestsPerSecondPerCore is the request rate of a whole core, with headroom for bursts and garbage collector
	// pauses.
	requestsPerSecondPerCore = 600
	// meanBytesPerRequest is the mean traffic of a request on the host's link, in and out. One request in ten is a large
	// download.
	meanBytesPerRequest = 20_000
	bytesPerMegabit     = 125_000
	// plannedLinkFraction is the fraction of the link's bandwidth that the planned load may use.
	plannedLinkFraction = 0.4
	// RequestsPerSecondPerSlot is the planned request rate of one slot of a backend server. It is half of the rate that
	// the slot can complete.
	RequestsPerSecondPerSlot = 1
)

// Capacity returns the requests per second that a host can serve, given its cores and its bandwidth in Mbit/s.
func Capacity(cores, megabitsPerSecond float64) float64 {
	return min(cores*requestsPerSecondPerCore, megabitsPerSecond*bytesPerMegabit*plannedLinkFraction/meanBytesPerRequest)
}

// entryHostHashKey is the hash key that orders hosts of equal capacity.
const entryHostHashKey = "entry"

// State is the evidence of a node about one other host.
type State struct {
	Host fleet.Host
	// Ready is set when the host has reported that it is ready to serve callers.
	Ready bool
	// LastContact is the time of the last message or response received from the host itself.
	LastContact time.Time
	// LastReportedContact is the last time that a registrar reported direct contact with the host.
	LastReportedContact time.Time
	// LastFailedContact is the time of the last failed contact, and LastUnanswered that of the last one that failed without a
	// sign of the host or its machine.
	LastFailedContact time.Time
	LastUnanswered    time.Time
}

// Live reports whether the host counts as live. A leaving host does not.
func Live(s State, now time.Time) bool {
	if s.Host.Leaving {
		return false
	}
	if now.Sub(s.LastContact) < contactTimeout && s.LastContact.After(s.LastFailedContact) {
		return true
	}
	return now.Sub(s.LastReportedContact) < contactTimeout && now.Sub(s.LastFailedContact) >= failedContactTimeout
}

// Reach is what a host knows of its connection to the others.
type Reach int

const (
	// Reached means that the host is in touch with at least half of the registrars.
	Reached Reach = iota
	// InDoubt means that a registrar has not answered, and that the others or the log have not been contacted since.
	InDoubt
	// CutOff means that neither most registrars nor the log answer.
	CutOff
)

// Contacts are the registrars that a host has contacted since one of them did not answer. A host that is a registrar itself
// counts as one that has answered.
type Contacts struct {
	Answered, Unanswered, Unknown int
	// LogUnreachable reports whether the last read of the platform's log failed.
	LogUnreachable bool
}

// Assess returns the reach of a host, given the time since the first contact that was not answered. Registrars that have
// failed refuse connections, or the log still answers; a host that hears neither is cut off itself.
func Assess(c Contacts, unanswered time.Duration) Reach {
	total := c.Answered + c.Unanswered + c.Unknown
	switch {
	case unanswered >= maxIsolation:
		return Reached
	case 2*c.Unanswered > total && c.LogUnreachable:
		return CutOff
	case 2*c.Unanswered > total && unanswered < logCheckDuration, c.Unknown > 0 && unanswered < contactCheckDuration:
		return InDoubt
	}
	return Reached
}

// HasRecentDirectContact reports whether the node had recent direct contact with the host. Only such hosts, including
// leaving ones, are reported to others.
func HasRecentDirectContact(s State, now time.Time) bool {
	return now.Sub(s.LastContact) < contactTimeout && s.LastContact.After(s.LastFailedContact)
}

// EntryHosts returns the entry hosts, the one with the highest capacity of each availability zone first. The load is in
// requests per second, like the capacities. Callers use the entry hosts of their own zone evenly, and each zone therefore
// gets as many as its share of the load needs. The number is kept small, because each host then handles a larger share of
// a backend server's requests and detects its failures sooner.
func EntryHosts(hosts []fleet.Host, load float64) []fleet.Host {
	zones := map[string][]fleet.Host{}
	for _, h := range byCapacity(hosts) {
		zones[h.AvailabilityZone] = append(zones[h.AvailabilityZone], h)
	}
	var chosen []fleet.Host
	position := map[string]int{}
	for _, list := range zones {
		for k, h := range list[:hostsNeeded(list, load/float64(len(zones)))] {
			chosen = append(chosen, h)
			position[h.ID] = k
		}
	}
	slices.SortFunc(chosen, func(a, b fleet.Host) int {
		return cmp.Or(cmp.Compare(position[a.ID], position[b.ID]), cmp.Compare(a.AvailabilityZone, b.AvailabilityZone))
	})
	return chosen
}

// hostsNeeded returns the smallest number of hosts, by descending capacity, that share the load evenly without
// overloading the weakest of them. If there is none, it returns the number that overloads the weakest host least,
// because a weak host beside a strong one would take half of the load.
func hostsNeeded(hosts []fleet.Host, load float64) int {
	best, leastUtilization := 1, math.Inf(1)
	for n := 1; n <= len(hosts); n++ {
		utilization := load / (float64(n) * hosts[n-1].Weight)
		if utilization <= plannedLoadFraction {
			return n
		}
		if utilization < leastUtilization {
			best, leastUtilization = n, utilization
		}
	}
	return best
}

// Registrars returns the entry hosts that distribute state, in the order of the list.
func Registrars(entryHosts []fleet.Host) []fleet.Host {
	return entryHosts[:min(len(entryHosts), MaxRegistrars)]
}

// byCapacity returns the hosts by descending capacity, and hosts of equal capacity in a hash order common to all nodes.
func byCapacity(hosts []fleet.Host) []fleet.Host {
	hashOrder := group.Rank(entryHostHashKey, unweighted(hosts))
	position := make(map[string]int, len(hashOrder))
	for i, h := range hashOrder {
		position[h.ID] = i
	}
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(a, b fleet.Host) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(position[a.ID], position[b.ID]))
	})
	return ordered
}

// unweighted returns the hosts with zero weights, so that their hash order does not depend on the capacity.
func unweighted(hosts []fleet.Host) []fleet.Host {
	equal := slices.Clone(hosts)
	for i := range equal {
		equal[i].Weight = 0
	}
	return equal
}
