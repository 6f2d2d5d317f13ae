package table

import (
	"time"

	"egretline.example/egretline/internal/decide/notice"
	"egretline.example/egretline/internal/decide/speed"
	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/fleet"
)

// Backends holds the state of the backend servers, by service and address.
type Backends struct {
	Services map[string]map[string]*Backend
	// Health holds the outlier detection state of each service, beyond the state of its servers.
	Health map[string]*ServiceHealth
	// Places holds how each service fills its servers.
	Places map[string]*ServicePlaces
	// Typical holds the typical latency of the requests of each service and route.
	Typical map[ServiceRoute]*speed.Typical
	// Notices holds what runs of backend servers asked of this node. It outlives their registration.
	Notices notice.Table
	// Peers holds the last report of each group member, by host ID.
	Peers map[string]PeerReport
	// Isolated reports whether the node itself is at fault. An isolated node ejects no servers and reports no evidence.
	Isolated bool
	// LastSweep is the time of the last detection sweep; zero before the first one.
	LastSweep time.Time
}

// ServiceHealth is the outlier detection state of one service.
type ServiceHealth struct {
	Floor    int
	Settings detect.Settings
	// Summary describes the pool as of the last sweep.
	Summary detect.Summary
	// Ended and Unserved are decaying counts of the requests that ended and of those that were not served, as of
	// CountedAt.
	Ended     float64
	Unserved  float64
	CountedAt time.Time
	// LastEvidence is the time of the last evidence about the pool; zero if there was none.
	LastEvidence time.Time
	// Latencies holds the latencies of the responses by route, and UsualOverdueRate the fraction of overdue requests of
	// servers that work, as of the last sweep.
	Latencies        map[string]*detect.Latencies
	UsualOverdueRate float64
	// OverdueResults tells whether overdue requests are evidence against their servers.
	OverdueResults detect.OverdueResults
}

// Backend is the state of one backend server at this node.
type Backend struct {
	Server      fleet.BackendServer
	FirstSeen   time.Time
	Outstanding int
	// OutstandingBytes is the length of the bodies of the outstanding requests.
	OutstandingBytes int64
	// Limit bounds Outstanding. It is set when the first request is dispatched to the service.
	Limit admission.Limit
	// InFlight is keyed by ticket ID.
	InFlight map[string]InFlight
	State    detect.State
	// Speed is how fast the server is, compared with the others of its service.
	Speed speed.Server
	// KeptByFloor reports whether the server is suspected but stays in use because of the floor.
	KeptByFloor bool

	// Leaving reports whether the server is leaving and gets no new requests.
	Leaving bool
	// LeavingSince is the time of the last indication that the server is leaving, and LeavingReason its kind.
	LeavingSince  time.Time
	LeavingReason LeavingReason
	// PausedUntil is the time until which the server wants no requests of this node; zero if it never asked for a pause.
	PausedUntil time.Time
}

// ServicePlaces is what a node knows about the places of the servers of one service.
type ServicePlaces struct {
	Acceptance admission.Acceptance
	Borrowing  admission.Borrowing
}

// ServiceRoute names the requests of a route that go to a service.
type ServiceRoute struct {
	Service string
	Route   string
}

// LeavingReason is the kind of indication that a backend server is leaving.
type LeavingReason string

// Reasons why a backend server is considered to be leaving.
const (
	LeavingAnnounced LeavingReason = "announced"
	LeavingRefused   LeavingReason = "refused"
	LeavingListed    LeavingReason = "listed"
	LeavingRemoved   LeavingReason = "removed"
	LeavingReported  LeavingReason = "reported"
)

// InFlight is a request that a backend server has not completed.
type InFlight struct {
	Started time.Time
	// Responded reports whether the response headers have arrived. After that, the age of the request does not indicate
	// a stall.
	Responded bool
	// OverdueAge is the age from which the request counts as overdue; zero if it never does.
	OverdueAge time.Duration
	// Evidence is the failure evidence that was counted for the request while it was in flight.
	Evidence detect.InFlightEvidence
}

// PeerReport holds what one group member reported about the backend servers.
type PeerReport struct {
	AvailabilityZone string
	// Received is the time of receipt.
	Received time.Time
	// Suspicions holds the evidence by service and address.
	Suspicions map[ServerKey]Suspicion
}

// ServerKey identifies a backend server of a service.
type ServerKey struct {
	Service string
	Address string
}

// Suspicion is the evidence against one backend server that a group member reported.
type Suspicion struct {
	// Excess is the evidence that the rest of the pool does not share. It includes only the member's own requests.
	Excess float64
	// Age is the time since the last failure. Unlike a timestamp, it does not depend on the clocks of the hosts.
	Age time.Duration
}

func newBackends() Backends {
	return Backends{
		Services: map[string]map[string]*Backend{},
		Health:   map[string]*ServiceHealth{},
		Places:   map[string]*ServicePlaces{},
		Typical:  map[ServiceRoute]*speed.Typical{},
		Peers:    map[string]PeerReport{},
	}
}
