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
	// Weight is the relative capacity of the host in the choice of service groups; 0 means 1.
	Weight  float64
	Leaving bool
}
