package api

// Service is a service in the response of GET /operator/services.
type Service struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	Floor      int    `json:"floor"`
	Preference string `json:"preference"`
	// BackendServers is the number of configured servers, and InUse the number of those that this node sends requests to.
	BackendServers int `json:"backend-servers"`
	InUse          int `json:"in-use"`
	// Group lists the hosts of the service's group as computed by this node.
	Group []string `json:"group"`
}

// Services is the response of GET /operator/services.
type Services struct {
	Services []Service `json:"services"`
}

// BackendServer is the state of a backend server as seen by one node, in the response of GET /operator/backend-servers.
type BackendServer struct {
	Service          string `json:"service"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	Use              string `json:"use"`
	KnownHealthy     bool   `json:"known-healthy"`
	Outstanding      int    `json:"outstanding"`
	Reason           string `json:"reason"`
}

// BackendServers is the response of GET /operator/backend-servers.
type BackendServers struct {
	BackendServers []BackendServer `json:"backend-servers"`
}

// Peer is another host in the response of GET /operator/peers.
type Peer struct {
	HostID           string `json:"host-id"`
	AvailabilityZone string `json:"availability-zone"`
	PeerAddress      string `json:"peer-address"`
	Live             bool   `json:"live"`
	Leaving          bool   `json:"leaving"`
	Listed           bool   `json:"listed"`
	Revision         int64  `json:"revision"`
	// SilentMs is the time since the last heartbeat in milliseconds; -1 if there was none.
	SilentMs int64 `json:"silent-ms"`
	Failures int   `json:"failures"`
}

// Peers is the response of GET /operator/peers.
type Peers struct {
	HostID      string `json:"host-id"`
	Incarnation string `json:"incarnation"`
	Peers       []Peer `json:"peers"`
}

// Explanation is the response of GET /operator/explain: how a node would dispatch a request now.
type Explanation struct {
	Route     string              `json:"route"`
	Service   string              `json:"service"`
	Rank      string              `json:"rank"`
	Sentences []string            `json:"sentences"`
	Servers   []ServerExplanation `json:"backend-servers"`
}

// ServerExplanation explains why a backend server is or is not eligible for the request.
type ServerExplanation struct {
	Address  string `json:"address"`
	Eligible bool   `json:"eligible"`
	Sentence string `json:"sentence"`
}
