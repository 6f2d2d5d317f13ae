// Package trace records evidence about backend servers as JSON lines, reads it back, and replays it through the
// ejection decisions of the packages detect and floor.
package trace

import (
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	// Defined holds the server pool and the settings of a service, and the availability zone of the recording member.
	Defined Kind = "defined"
	// Started, Responded and Ended are the assignment, the response headers and the result of one request.
	Started   Kind = "started"
	Responded Kind = "responded"
	Ended     Kind = "ended"
	// Probed is the result of a probe.
	Probed Kind = "probed"
	// Reported is a suspicion that a peer reported.
	Reported Kind = "reported"
	// Paused marks the end of a pause of the recording node. The ages of its requests in flight are then no evidence
	// against the servers.
	Paused Kind = "paused"
)

// Event is one piece of evidence. Which fields are set depends on the kind.
type Event struct {
	At      time.Time
	Kind    Kind
	Service string
	Address string
	// Request identifies a request from Started to Ended.
	Request  string
	Evidence fleet.Evidence
	Latency  time.Duration
	// Leaving is true if the server announced that it is leaving the pool.
	Leaving bool
	// Peer is the host ID of the reporting member. AvailabilityZone is the zone of that member for Reported, and of the
	// recording member for Defined.
	Peer             string
	AvailabilityZone string
	// Excess is the reported suspicion, and Age the time since the last failure that the peer saw.
	Excess     float64
	Age        time.Duration
	Definition Definition
}

// Definition holds the settings of a service that detection depends on.
type Definition struct {
	Preference fleet.Preference
	Floor      int
	ColdStart  time.Duration
	Servers    []Server
}

// Server is one backend server of a definition.
type Server struct {
	Address          string
	AvailabilityZone string
}

// DefinitionOf returns the definition of the service.
func DefinitionOf(s fleet.Service) Definition {
	d := Definition{Preference: s.Preference, Floor: s.Floor, ColdStart: s.ColdStart}
	for _, b := range s.BackendServers {
		d.Servers = append(d.Servers, Server{Address: b.Address, AvailabilityZone: b.AvailabilityZone})
	}
	return d
}
