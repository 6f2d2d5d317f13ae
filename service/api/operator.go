package api

// Service is a service in the response of GET /operator/services.
type Service struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	Floor      int    `json:"floor"`
	Preference string `json:"preference"`
	// BackendServers is the number of servers in the configuration, InUse that of the ones this node sends work to.
	BackendServers int `json:"backend-servers"`
	InUse          int `json:"in-use"`
	// Group lists the hosts that serve the service, in the view of this node.
	Group []string `json:"group"`
}

// Services is the response of GET /operator/services.
type Services struct {
	Services []Service `json:"services"`
}

// BackendServer is the state of a server at one node in the response of GET /operator/backend-servers.
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

// ServerExplanation says why one backend server can or cannot get the request.
type ServerExplanation struct {
	Address  string `json:"address"`
	Eligible bool   `json:"eligible"`
	Sentence string `json:"sentence"`
}
