package api

// Heartbeat is the body of POST /peer/heartbeat: the membership state of a node and its health evidence about backend
// servers.
type Heartbeat struct {
	Host        Host   `json:"host"`
	Incarnation string `json:"incarnation"`
	// Epoch is the idempotency key epoch of the node.
	Epoch int64 `json:"epoch"`
	// Revision is the configuration revision of the node.
	Revision              int64       `json:"revision"`
	BackendServersLeaving []ServerKey `json:"backend-servers-leaving,omitempty"`
	Suspicions            []Suspicion `json:"suspicions,omitempty"`
}

// ServerKey identifies a backend server of a service.
type ServerKey struct {
	Service string `json:"service"`
	Address string `json:"address"`
}

// Suspicion is the evidence of one node against a backend server.
type Suspicion struct {
	Service string `json:"service"`
	Address string `json:"address"`
	// AvailabilityZone is the zone of the node that reports it.
	AvailabilityZone string  `json:"availability-zone"`
	Excess           float64 `json:"excess"`
	// AgeMs is the time since the last failure. Unlike a timestamp, it does not depend on synchronized clocks.
	AgeMs int64 `json:"age-ms"`
}

// Paths between nodes.
const (
	PathHeartbeat  = "/peer/heartbeat"
	PathPeerConfig = "/peer/config"
	// PathForward is the prefix of the paths of forwarded requests.
	PathForward = "/peer/forward"
)
