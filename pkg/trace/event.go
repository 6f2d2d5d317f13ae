// Package trace records evidence about backend servers as JSON lines, reads them back, and replays them through the
// decisions of detection and floor.
package trace

import (
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// Kind says what an event describes.
type Kind string

// Kinds of events.
const (
	// Defined states the pool and the settings of a service, and the availability zone of the recording member.
	Defined Kind = "defined"
	// Started, Responded and Ended are the assignment, the response headers and the result of one request.
	Started   Kind = "started"
	Responded Kind = "responded"
	Ended     Kind = "ended"
	// Probed is the result of a probe.
	Probed Kind = "probed"
	// Reported is the suspicion of a peer.
	Reported Kind = "reported"
	// Paused says that the recording node was paused before this event.
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
	Leaving  bool
	// Peer is the host ID of the member that reported, and AvailabilityZone its zone.
	Peer             string
	AvailabilityZone string
	Excess           float64
	Age              time.Duration
	Definition       Definition
}

// Definition is the part of a service that detection depends on.
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
