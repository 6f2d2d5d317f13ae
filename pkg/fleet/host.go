package fleet

// Host is one machine that runs a node of the fleet.
type Host struct {
	ID               string
	Region           string
	AvailabilityZone string
	// CallerAddress is the IP:port where the node takes requests of callers.
	CallerAddress string
	// PeerAddress is the IP:port where the node takes messages of other nodes.
	PeerAddress string
	Leaving     bool
}
