package fleet

// Host is one machine that runs a node of the fleet.
type Host struct {
	ID               string
	Region           string
	AvailabilityZone string
	// CallerAddress is the IP:port on which the node accepts requests from callers.
	CallerAddress string
	// PeerAddress is the IP:port on which the node accepts messages from other nodes.
	PeerAddress string
	// Weight is the relative capacity of the host when service groups are chosen; 0 means 1.
	Weight  float64
	Leaving bool
}
