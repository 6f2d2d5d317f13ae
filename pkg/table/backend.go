package table

import (
	"time"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
)

// Backends is the state of the backend servers, by service and address.
type Backends struct {
	Services map[string]map[string]*Backend
	// Health is what detection knows of each service beside the state of its servers.
	Health map[string]*Health
	// Peers is keyed by host ID and holds the last report of each group member.
	Peers map[string]PeerReport
	// Isolated says that the node itself is at fault, so that it ejects and reports nothing.
	Isolated bool
	// LastSweep is the time of the last sweep; zero before the first one.
	LastSweep time.Time
}

// Health is the state of detection for one service.
type Health struct {
	Floor    int
	Settings detect.Settings
	// Summary describes the pool as of the last sweep.
	Summary detect.Summary
	// Settled and Lost are decayed counts of requests that ended, and of those that were not served, as of SettledAt.
	Settled   float64
	Lost      float64
	SettledAt time.Time
	// Touched is the time of the last evidence about the pool; zero if there was none.
	Touched time.Time
}

// Backend is the state of one backend server at this node.
type Backend struct {
	Server      fleet.BackendServer
	FirstSeen   time.Time
	Outstanding int
	// Limit bounds Outstanding. It is set when the first request is dispatched to the service.
	Limit admission.Limit
	// InFlight is keyed by ticket ID.
	InFlight map[string]InFlight
	State    detect.State
	// Kept says that the server is suspected and stays in use because of the floor.
	Kept bool

	// Leaving says that the server gets no new work.
	Leaving bool
	// LeavingSince is the time of the last sign of leaving, and LeavingReason its kind.
	LeavingSince  time.Time
	LeavingReason LeavingReason
}

// LeavingReason is the sign by which a backend server was found to be leaving.
type LeavingReason string

// Signs of leaving.
const (
	LeavingAnnounced LeavingReason = "announced"
	LeavingRefused   LeavingReason = "refused"
	LeavingListed    LeavingReason = "listed"
	LeavingRemoved   LeavingReason = "removed"
	LeavingReported  LeavingReason = "reported"
)

// InFlight is one request that a backend server has not answered yet.
type InFlight struct {
	Started time.Time
	// Responded says that the response headers have arrived, so that the age no longer hints at a stall.
	Responded bool
	Age       detect.Age
}

// PeerReport is what one group member reported about the backend servers.
type PeerReport struct {
	AvailabilityZone string
	// Received is the time of receipt.
	Received time.Time
	// Suspicions is keyed by service and address.
	Suspicions map[ServerKey]Suspicion
}

// ServerKey identifies a backend server of a service.
type ServerKey struct {
	Service string
	Address string
}

// Suspicion is the evidence that a member reports about one backend server.
type Suspicion struct {
	// Excess is the evidence that the rest of the pool does not share, from the member's own requests only.
	Excess float64
	// Age is the time since the last failure. A duration does not depend on the clocks of the hosts.
	Age time.Duration
}

func newBackends() Backends {
	return Backends{
		Services: map[string]map[string]*Backend{},
		Health:   map[string]*Health{},
		Peers:    map[string]PeerReport{},
	}
}
